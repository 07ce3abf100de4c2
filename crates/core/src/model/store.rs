//! Operations on the platform's key-value store.

use super::configuration::Configuration;
use super::ids::CustomerId;
use super::incarnation::Incarnation;
use super::job_id::JobId;
use std::sync::Arc;
use std::time::Duration;

/// An operation on the store. The adapter determines the keys and the encoding of the values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Read the configuration.
    ReadConfiguration,
    /// Replace the configuration if its version is `base`, or create it if `base` is 0 and there is
    /// none.
    CompareAndSwapConfiguration {
        /// Version that the operation replaces; 0 for none.
        base: u64,
        /// New configuration.
        config: Arc<Configuration>,
    },
    /// Bind an idempotency key to a job id if the key is unbound.
    BindKey {
        /// Customer that the key belongs to.
        customer: CustomerId,
        /// Idempotency key.
        key: Arc<str>,
        /// Job id to bind the key to.
        id: JobId,
    },
    /// Read the job id that an idempotency key is bound to.
    ReadKey {
        /// Customer that the key belongs to.
        customer: CustomerId,
        /// Idempotency key.
        key: Arc<str>,
    },
    /// Write the cumulative usage of this incarnation under a key of its own, if the value has not
    /// changed since the operation began.
    WriteUsage(UsageReport),
}

/// Reply to a [`StoreOp`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The write took effect.
    Written,
    /// The condition of the write did not hold.
    Conflict,
    /// Configuration in the store, if any.
    Configuration(Option<Arc<Configuration>>),
    /// Job id that the key is bound to, if any.
    Key(Option<JobId>),
    /// No reply arrived. The operation may have taken effect.
    Lost,
}

/// Slot time that one incarnation charged to one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageLine {
    /// Customer to whom the slot time is charged.
    pub customer: CustomerId,
    /// Total slot time that executors reported.
    pub settled: Duration,
    /// Upper bound of the slot time of attempts whose outcome was lost or is not known yet.
    pub unsettled: Duration,
    /// Number of task runs that executors reported.
    pub tasks: u64,
}

/// Cumulative usage of one incarnation. The totals are absolute, so the write is idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Incarnation that the usage belongs to.
    pub incarnation: Incarnation,
    /// Whether this is the last report before a graceful stop.
    pub closed: bool,
    /// One line per customer.
    pub lines: Vec<UsageLine>,
}
