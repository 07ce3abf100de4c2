//! Jobs and tasks as callers submit them.

use std::sync::Arc;
use std::time::Duration;

/// A task as the caller declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskSpec {
    /// Kind of the task, by which run times are learned.
    pub kind: Arc<str>,
    /// Opaque input, passed to the executor unchanged.
    pub payload: Arc<str>,
    /// Run time that the caller expects on an executor of speed 1.
    pub declared: Duration,
    /// Number of slots of one executor that the task occupies, at least 1.
    pub slots: u16,
}

/// Whether a task may be started again if it may have run before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Each task starts at most once.
    Unrepeatable,
    /// A task that failed or whose outcome was lost may start again. A lost outcome ejects the
    /// executor, so the task then starts on another one.
    Repeatable,
}

/// A job as the caller submits it. The tasks are reference-counted, because specs are cloned when
/// they are forwarded and stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// Tasks of the job. Results are returned in this order.
    pub tasks: Arc<[TaskSpec]>,
    /// Time from acceptance after which the caller has no use for the answer; `None` if there is no
    /// limit.
    pub deadline: Option<Duration>,
    /// Whether tasks may be started again.
    pub repeatability: Repeatability,
}

/// Bytes of the rows about a task while its job is open, beside what the caller sent.
const TASK_ROW_BYTES: usize = 256;

impl JobSpec {
    /// Returns about how many bytes the job holds while it is open.
    #[must_use]
    pub fn size(&self) -> usize {
        let tasks = self.tasks.iter();
        tasks
            .map(|task| task.kind.len() + task.payload.len() + TASK_ROW_BYTES)
            .sum()
    }
}
