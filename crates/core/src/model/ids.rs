//! Numeric identifiers.
//!
//! Ids of data centres, VMs, customers and executors are hashes of configured names, computed by
//! the adapters, which also keep the names.

use std::fmt;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{:016x}"), self.0)
            }
        }
    };
}

id!(
    /// Identifier of a data centre.
    DataCentreId, "dc-"
);
id!(
    /// Identifier of an entry VM, independent of the process that runs on it.
    VmId, "vm-"
);
id!(
    /// Identifier of a customer, to whom slot time is charged.
    CustomerId, "customer-"
);
id!(
    /// Identifier of an executor, an upstream that runs tasks in slots.
    ExecutorId, "executor-"
);
id!(
    /// Identifier of an attempt to start a task, unique within the incarnation that made it.
    AttemptId, "attempt-"
);
id!(
    /// Identifier of a caller's request that waits at this process for its response.
    CallId, "call-"
);
id!(
    /// Identifier of an operation on the platform's store that waits for its reply.
    StoreOpId, "store-op-"
);
