//! A job as its client submitted it.

use super::ids::{ClientJobId, QueueId, UpstreamId};
use super::resources::Resources;
use std::sync::Arc;
use std::time::Duration;

/// A step: tasks of one shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub need: Resources,
    /// The client's rough estimate of a task's run time.
    pub estimate: Duration,
    /// Steps whose tasks must all be done before.
    pub after: Vec<u32>,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack where the data is; elsewhere the tasks are slower.
    pub near_rack: Option<Arc<str>>,
    /// Tasks of the step on one worker at most; `None` for no limit.
    pub per_worker: Option<u32>,
}

/// What the queue of a job says about it, as of the configuration in force at submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// The queue.
    pub queue: QueueId,
    /// The upstream whose workers run the tasks.
    pub upstream: UpstreamId,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task, and so its job, has failed.
    pub max_attempts: u32,
    /// Factor on the longest chain of work that the latency objective allows.
    pub stretch: f64,
    /// Latency that the objective allows on top.
    pub target: Duration,
}

/// A best-effort job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The id that the client chose.
    pub id: ClientJobId,
    /// What its queue says.
    pub terms: Terms,
    /// What its tasks are to do; passed on as it is.
    pub payload: Arc<str>,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Time from submission for which the client waits.
    pub patience: Duration,
}

impl Job {
    /// Returns the number of tasks.
    #[must_use]
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }
}
