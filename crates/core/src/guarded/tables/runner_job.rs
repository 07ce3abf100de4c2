//! Jobs that run on workers held by this VM.

use crate::guarded::model::ids::{ClientJobId, TaskId, WorkerId};
use crate::guarded::model::job::Job;
use crate::guarded::tables::estimator::Estimator;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// What a task is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for its step's turn, for room, or for the end of an earlier run.
    Waiting,
    /// A run of it is on this worker.
    Active(WorkerId),
    /// It ended as done.
    Done,
}

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// Its name.
    pub id: TaskId,
    /// What it is doing.
    pub state: TaskState,
    /// Number of its last run, 0 for none.
    pub last_run: u64,
    /// Number of its next run.
    pub next_run: u64,
    /// Runs that failed.
    pub failures: u32,
    /// The worker where the last run failed or was stopped for being slow.
    pub avoid: Option<WorkerId>,
}

/// A job that runs on workers held by this VM.
#[derive(Debug)]
pub struct RunnerJob {
    /// The job.
    pub job: Arc<Job>,
    /// The VMs whose clients wait for it, this one included.
    pub origins: Vec<Incarnation>,
    /// Time of its submission.
    pub submitted: Time,
    /// Time by which its latency objective wants it to end.
    pub objective_at: Time,
    /// Time until which its client waits.
    pub deadline: Time,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks of each step that are not done.
    pub open: Vec<u32>,
    /// Whether a start was ever ordered.
    pub started: bool,
}

impl RunnerJob {
    /// Builds the row of a job that was submitted `age` ago.
    pub fn new(
        now: Time,
        job: Arc<Job>,
        origin: Incarnation,
        age: Duration,
        estimator: &Estimator,
    ) -> Self {
        let submitted = Time::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).unwrap_or(u64::MAX)),
        );
        let chain = longest_chain(&job, |estimate| estimator.predict(estimate, None));
        let objective = chain.mul_f64(job.terms.stretch) + job.terms.target;
        let tasks = job.steps.iter().enumerate().flat_map(|(step, shape)| {
            (0..shape.count).map(move |index| (u32::try_from(step).unwrap_or(u32::MAX), index))
        });
        let tasks = tasks.map(|(step, index)| Task {
            id: TaskId {
                job: job.id,
                repetition: 0,
                step,
                index,
            },
            state: TaskState::Waiting,
            last_run: 0,
            next_run: 1,
            failures: 0,
            avoid: None,
        });
        Self {
            tasks: tasks.collect(),
            open: job.steps.iter().map(|step| step.count).collect(),
            origins: vec![origin],
            submitted,
            objective_at: submitted + objective,
            deadline: submitted + job.patience,
            started: false,
            job,
        }
    }

    /// Returns the id.
    pub fn id(&self) -> ClientJobId {
        self.job.id
    }

    /// Tells whether all steps before a step are done.
    pub fn is_due(&self, step: u32) -> bool {
        let after = &self.job.steps[step as usize].after;
        after.iter().all(|&earlier| self.open_of(earlier) == 0)
    }

    /// Iterates over the tasks that wait and whose step's turn has come.
    pub fn due_tasks(&self) -> impl Iterator<Item = &Task> {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Waiting);
        waiting.filter(|task| self.is_due(task.id.step))
    }

    /// Returns the processor that the tasks need which wait, in thousandths of a core.
    pub fn due_milli(&self) -> u64 {
        let needs = self.due_tasks();
        needs
            .map(|task| self.job.steps[task.id.step as usize].need.cpu_milli)
            .sum()
    }

    /// Returns the task of a name.
    pub fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.tasks.iter_mut().find(|task| task.id == id)
    }

    /// Tells whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.open.iter().all(|&open| open == 0)
    }

    /// Returns the longest chain of the work that is left, if every task ran on the fastest kind.
    pub fn work_left(&self, estimator: &Estimator) -> Duration {
        let chain = chains(&self.job, |step, estimate| {
            if self.open_of(step) == 0 {
                Duration::ZERO
            } else {
                estimator.predict_fastest(estimate)
            }
        });
        chain.into_iter().max().unwrap_or_default()
    }

    fn open_of(&self, step: u32) -> u32 {
        self.open.get(step as usize).copied().unwrap_or_default()
    }
}

/// Returns the longest chain of steps that wait for one another.
pub fn longest_chain(job: &Job, time: impl Fn(Duration) -> Duration) -> Duration {
    let ends = chains(job, |_, estimate| time(estimate));
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the earliest end of each step. Steps only wait for earlier ones.
fn chains(job: &Job, time: impl Fn(u32, Duration) -> Duration) -> Vec<Duration> {
    let mut ends: Vec<Duration> = Vec::with_capacity(job.steps.len());
    for (number, step) in job.steps.iter().enumerate() {
        let after = step.after.iter().filter_map(|&i| ends.get(i as usize));
        let begin = after.max().copied().unwrap_or_default();
        let number = u32::try_from(number).unwrap_or(u32::MAX);
        ends.push(begin + time(number, step.estimate));
    }
    ends
}
