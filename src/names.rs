//! Identifiers derived from configured names.
//!
//! Every process derives the same identifier from the same name, so no register of numbers is
//! needed. A name is hashed as a version 5 UUID, of which the first 64 bits are kept.

use cardamomslip_core::model::ids::{CustomerId, DataCentreId, ExecutorId, VmId};
use uuid::Uuid;

/// Namespace of the names, itself derived from the name of this project.
fn namespace() -> Uuid {
    Uuid::new_v5(&Uuid::NAMESPACE_OID, b"cardamomslip")
}

fn hash(kind: &str, name: &str) -> u64 {
    let text = format!("{kind}:{name}");
    let (high, _) = Uuid::new_v5(&namespace(), text.as_bytes()).as_u64_pair();
    high
}

/// Returns the identifier of a data centre.
#[must_use]
pub fn data_centre_id(name: &str) -> DataCentreId {
    DataCentreId(hash("data-centre", name))
}

/// Returns the identifier of an entry VM.
#[must_use]
pub fn vm_id(name: &str) -> VmId {
    VmId(hash("vm", name))
}

/// Returns the identifier of a customer.
#[must_use]
pub fn customer_id(name: &str) -> CustomerId {
    CustomerId(hash("customer", name))
}

/// Returns the identifier of an executor.
#[must_use]
pub fn executor_id(name: &str) -> ExecutorId {
    ExecutorId(hash("executor", name))
}
