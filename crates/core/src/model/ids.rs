//! Small copyable identifiers.
//!
//! Each is a number derived from a configured name by the adapters, which keep the names.

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
    /// A data centre.
    DataCentreId, "dc-"
);
id!(
    /// An entry VM, whichever process runs on it.
    VmId, "vm-"
);
id!(
    /// A customer, to whom capacity is credited.
    CustomerId, "customer-"
);
id!(
    /// An executor: an upstream that runs tasks in slots.
    ExecutorId, "executor-"
);
id!(
    /// One attempt to start a task; unique within the incarnation that made it.
    AttemptId, "attempt-"
);
id!(
    /// A request of a caller that waits at this process for its response.
    CallId, "call-"
);
id!(
    /// An operation on the platform's store that waits for its reply.
    StoreOpId, "store-op-"
);
