//! Jobs as clients submit them.

use super::ids::{ClientJobId, QueueId, TaskId, UpstreamId};
use super::resources::Resources;
use std::sync::Arc;
use std::time::Duration;

/// Maximum of a run-time estimate, a latency target and a client's timeout. Longer ones are cut to
/// it, so that sums and products of them do not overflow.
pub const MAX_TIME: Duration = Duration::from_secs(24 * 3_600);

/// A step of a job: a number of tasks with the same requirements.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// The client's rough estimate of a task's run time; zero if it gave none.
    pub estimate: Duration,
    /// Numbers of earlier steps whose tasks must all be done before this step starts.
    pub after: Vec<u32>,
    /// Label that a worker must have; `None` for any worker.
    pub label: Option<Arc<str>>,
    /// Label of the rack that holds the data; tasks run slower on workers without it.
    pub preferred_rack: Option<Arc<str>>,
    /// Maximum number of concurrent tasks of the step on one worker; `None` for no limit.
    pub max_per_worker: Option<u32>,
}

impl Step {
    /// Cuts the values to their maximums.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            need: self.need.bounded(),
            estimate: self.estimate.min(MAX_TIME),
            ..self
        }
    }
}

/// Settings that a queue applies to a job, from the configuration at the time of submission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// Upstream whose workers run the tasks.
    pub upstream: UpstreamId,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub max_attempts: u32,
    /// Factor on the critical path of the job in its latency objective.
    pub stretch: f64,
    /// Latency that the objective allows in addition to the stretched critical path.
    pub target: Duration,
}

impl QueueSettings {
    /// Cuts the values to their maximums.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            target: self.target.min(MAX_TIME),
            ..self
        }
    }
}

/// A best-effort job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Id that the client chose.
    pub id: ClientJobId,
    /// Settings of its queue.
    pub settings: QueueSettings,
    /// Description of the work, passed to the workers unchanged.
    pub payload: Arc<str>,
    /// Steps of the job; each depends only on earlier ones.
    pub steps: Vec<Step>,
    /// Time from submission for which the client waits for the answer.
    pub client_timeout: Duration,
}

impl Job {
    /// Returns the number of tasks in all steps.
    #[must_use]
    pub fn task_count(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Iterates over the ids of the tasks of all steps, in step order.
    pub fn task_ids(&self) -> impl Iterator<Item = TaskId> {
        let job = self.id;
        (0..).zip(&self.steps).flat_map(move |(step, shape)| {
            (0..shape.count).map(move |index| TaskId {
                job,
                repetition: 0,
                step,
                index,
            })
        })
    }
}
