//! Identifiers derived from configured names.
//!
//! Every process derives the same identifier from the same name, so that no central assignment of
//! identifiers is needed. An identifier is the first 64 bits of a version 5 UUID of the kind and
//! the name.

use cardamomslip_core::model::ids::{CustomerId, DataCentreId, ExecutorId, VmId};
use uuid::Uuid;

/// Returns the UUID namespace, derived from the name of this project.
fn namespace() -> Uuid {
    Uuid::new_v5(&Uuid::NAMESPACE_OID, b"cardamomslip")
}

fn hash_name(kind: &str, name: &str) -> u64 {
    let input = format!("{kind}:{name}");
    let (high, _) = Uuid::new_v5(&namespace(), input.as_bytes()).as_u64_pair();
    high
}

/// Returns the identifier of a data centre.
#[must_use]
pub fn data_centre_id(name: &str) -> DataCentreId {
    DataCentreId(hash_name("data-centre", name))
}

/// Returns the identifier of an entry VM.
#[must_use]
pub fn vm_id(name: &str) -> VmId {
    VmId(hash_name("vm", name))
}

/// Returns the identifier of a customer.
#[must_use]
pub fn customer_id(name: &str) -> CustomerId {
    CustomerId(hash_name("customer", name))
}

/// Returns the identifier of an executor.
#[must_use]
pub fn executor_id(name: &str) -> ExecutorId {
    ExecutorId(hash_name("executor", name))
}
