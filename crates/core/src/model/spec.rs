//! What a caller submits.

use std::sync::Arc;
use std::time::Duration;

/// One task as its caller declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// Kind of the task; run times are learned per kind.
    pub kind: Arc<str>,
    /// Opaque input, handed to the executor as it is.
    pub payload: Arc<str>,
    /// Run time that the caller expects on an executor of speed 1.
    pub declared: Duration,
    /// Slots of one executor that the task occupies, at least 1.
    pub slots: u16,
}

/// Whether the tasks of a job may be started again after an ambiguous loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Each task starts at most once.
    Unrepeatable,
    /// A task whose outcome was lost may start again, on another executor.
    Repeatable,
}

/// A job as its caller submits it. The tasks are shared, since specs are forwarded and stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// The tasks; results are returned in this order.
    pub tasks: Arc<[TaskSpec]>,
    /// Time from acceptance after which the answer is of no use.
    pub deadline: Option<Duration>,
    /// Whether tasks may be repeated.
    pub repeatability: Repeatability,
}
