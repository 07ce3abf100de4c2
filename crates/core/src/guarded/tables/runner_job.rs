//! Jobs that run on workers held by this VM.

use crate::guarded::model::ids::{ClientJobId, TaskId, WorkerId};
use crate::guarded::model::job::Job;
use crate::guarded::policy::CLIENT_TIMEOUT_SLACK;
use crate::guarded::tables::estimator::Estimator;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waiting for earlier steps, for room on a worker, or for the end of an earlier run.
    Waiting,
    /// A run is in progress on this worker.
    Active(WorkerId),
    /// A run succeeded.
    Done,
}

/// Scheduling state of a task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Id of the task.
    pub id: TaskId,
    /// Current state.
    pub state: TaskState,
    /// Number of its last run; 0 if there was none.
    pub last_run: u64,
    /// Number of its next run, from 1.
    pub next_run: u64,
    /// Number of failed runs.
    pub failures: u32,
    /// Worker where the last run failed or was stopped for taking too long. It is used again only
    /// if no other worker has room.
    pub avoid: Option<WorkerId>,
}

/// A job that runs on workers held by this VM.
#[derive(Debug)]
pub struct RunnerJob {
    /// The job as the client submitted it.
    pub job: Arc<Job>,
    /// VMs whose clients wait for the job, which may include this one.
    pub origins: Vec<Incarnation>,
    /// Time of submission, from the age that the entry reported.
    pub submitted_at: Time,
    /// Time by which the job should end according to its latency objective.
    pub objective_at: Time,
    /// Time at which its client times out, if the job arrived without delay.
    pub deadline: Time,
    /// Time at which its client has certainly timed out.
    pub overdue_at: Time,
    /// Tasks of all steps, in step order.
    pub tasks: Vec<Task>,
    /// Number of unfinished tasks per step.
    pub unfinished: Vec<u32>,
    /// Whether any run was ever started.
    pub started: bool,
    /// Whether shares ever put it before a job of another queue.
    pub was_put_first: bool,
    /// Whether shares ever held it back behind a job of another queue.
    pub was_held_back: bool,
    /// Whether a dispatch has considered it.
    pub is_offered: bool,
    /// Time of the first forecast and the wait that it gave, until all due tasks have started.
    pub first_forecast: Option<(Time, Duration)>,
}

impl RunnerJob {
    /// Creates the state of a job that was submitted `age` ago.
    pub fn new(
        now: Time,
        job: Arc<Job>,
        origin: Incarnation,
        age: Duration,
        estimator: &Estimator,
    ) -> Self {
        let submitted_at = Time::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        let path = critical_path(&job, |estimate| estimator.predict(estimate, None));
        let objective = path.mul_f64(job.settings.stretch) + job.settings.target;
        let tasks = job.task_ids().map(|id| Task {
            id,
            state: TaskState::Waiting,
            last_run: 0,
            next_run: 1,
            failures: 0,
            avoid: None,
        });
        Self {
            tasks: tasks.collect(),
            unfinished: job.steps.iter().map(|step| step.count).collect(),
            origins: vec![origin],
            submitted_at,
            objective_at: submitted_at + objective,
            deadline: submitted_at + job.client_timeout,
            overdue_at: submitted_at + job.client_timeout + CLIENT_TIMEOUT_SLACK,
            started: false,
            was_put_first: false,
            was_held_back: false,
            is_offered: false,
            first_forecast: None,
            job,
        }
    }

    /// Returns the id that the client chose.
    pub fn id(&self) -> ClientJobId {
        self.job.id
    }

    /// Returns whether all dependencies of a step are done.
    pub fn is_due(&self, step: u32) -> bool {
        let after = &self.job.steps[step as usize].after;
        after
            .iter()
            .all(|&earlier| self.unfinished_in(earlier) == 0)
    }

    /// Iterates over the waiting tasks of steps whose dependencies are done.
    pub fn due_tasks(&self) -> impl Iterator<Item = &Task> {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Waiting);
        waiting.filter(|task| self.is_due(task.id.step))
    }

    /// Returns the CPU that the due tasks need, in thousandths of a core.
    pub fn due_milli(&self) -> u64 {
        let needs = self.due_tasks();
        needs
            .map(|task| self.job.steps[task.id.step as usize].need.cpu_milli)
            .sum()
    }

    /// Returns a task by its id.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.tasks.iter_mut().find(|task| task.id == id)
    }

    /// Returns the number of failed runs of a task.
    pub fn failures(&self, id: TaskId) -> usize {
        let task = self.tasks.iter().find(|task| task.id == id);
        task.map_or(0, |task| task.failures as usize)
    }

    /// Returns whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.unfinished.iter().all(|&unfinished| unfinished == 0)
    }

    /// Returns the length of the critical path of the unfinished steps, if every task ran on the
    /// fastest kind of worker.
    pub fn work_left(&self, estimator: &Estimator) -> Duration {
        let path = earliest_ends(&self.job, |step, estimate| {
            if self.unfinished_in(step) == 0 {
                Duration::ZERO
            } else {
                estimator.predict_fastest(estimate)
            }
        });
        path.into_iter().max().unwrap_or_default()
    }

    fn unfinished_in(&self, step: u32) -> u32 {
        self.unfinished
            .get(step as usize)
            .copied()
            .unwrap_or_default()
    }
}

/// Returns the length of the critical path through the steps, with the run time of each step given
/// by `time`.
pub fn critical_path(job: &Job, time: impl Fn(Duration) -> Duration) -> Duration {
    let ends = earliest_ends(job, |_, estimate| time(estimate));
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the earliest end time of each step. Steps depend only on earlier ones.
fn earliest_ends(job: &Job, time: impl Fn(u32, Duration) -> Duration) -> Vec<Duration> {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for (number, step) in job.steps.iter().enumerate() {
        let after = step.after.iter().filter_map(|&i| ends.get(i as usize));
        let begin = after.max().copied().unwrap_or_default();
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        ends.push(begin + time(number, step.estimate));
    }
    ends
}
