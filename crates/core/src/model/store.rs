//! Operations on the platform's key-value store.

use super::configuration::Configuration;
use super::ids::CustomerId;
use super::incarnation::Incarnation;
use super::job_id::JobId;
use std::sync::Arc;
use std::time::Duration;

/// An operation on the store. The adapter chooses keys and codecs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Read the configuration.
    ReadConfiguration,
    /// Replace the configuration if its version is `base` (0: if there is none).
    SwapConfiguration {
        /// Version that is replaced.
        base: u64,
        /// The new value.
        config: Arc<Configuration>,
    },
    /// Bind an idempotency key to a job id if the key is not bound.
    BindKey {
        /// The customer of the key.
        customer: CustomerId,
        /// The key.
        key: Arc<str>,
        /// The job id.
        id: JobId,
    },
    /// Read the binding of an idempotency key.
    ReadKey {
        /// The customer of the key.
        customer: CustomerId,
        /// The key.
        key: Arc<str>,
    },
    /// Write the cumulative usage of this incarnation under its own key, if the value did not
    /// change since the operation began.
    WriteUsage(UsageReport),
}

/// The reply to a [`StoreOp`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The write took effect.
    Written,
    /// The condition of the write did not hold.
    Conflict,
    /// The configuration that the store holds, if any.
    Configuration(Option<Arc<Configuration>>),
    /// The job id that the key is bound to, if any.
    Key(Option<JobId>),
    /// No reply came; the operation may have taken effect.
    Lost,
}

/// Slot time that one incarnation credited to one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageLine {
    /// The customer.
    pub customer: CustomerId,
    /// Slot time that executors reported.
    pub settled: Duration,
    /// Upper bound of slot time of attempts whose outcome was lost or is outstanding.
    pub unsettled: Duration,
    /// Tasks that executors reported as run.
    pub tasks: u64,
}

/// Cumulative usage of one incarnation. Repeating the write does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Whether this is the last report of a graceful stop.
    pub closed: bool,
    /// One line a customer.
    pub lines: Vec<UsageLine>,
}
