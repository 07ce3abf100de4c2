//! An open job and the state of its tasks.

use crate::model::ids::{AttemptId, CustomerId};
use crate::model::job_id::JobId;
use crate::model::request::Caller;
use crate::model::spec::{JobSpec, Repeatability, TaskSpec};
use crate::model::time::Time;
use crate::tables::estimator::JobEstimate;
use std::sync::Arc;
use std::time::Duration;

/// State of a task of an open job.
#[derive(Clone, Debug)]
pub enum TaskState {
    /// In the queue of the job, not running.
    Waiting,
    /// Started under this attempt, whose outcome is not known yet.
    Running(AttemptId),
    /// Ended successfully with this result.
    Done(Arc<str>),
}

/// A waiting task, with what is needed to place it.
#[derive(Clone, Copy, Debug)]
pub struct QueuedTask<'a> {
    /// Index of the task in the job.
    pub index: u32,
    /// Task as submitted.
    pub spec: &'a TaskSpec,
    /// Estimated run time on an executor of speed 1.
    pub estimate: Duration,
}

/// An open job.
///
/// Invariants: `queue` contains exactly the indices of the waiting tasks, the longest last;
/// `running` is the number of running tasks and `done` that of the ended ones; `remaining` is the
/// sum of the estimates of the waiting and the running tasks.
#[derive(Debug)]
pub struct Job {
    /// Job id.
    pub id: JobId,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// Job as submitted.
    pub spec: JobSpec,
    /// State of each task.
    pub tasks: Vec<TaskState>,
    /// Estimated run time of each task on an executor of speed 1.
    pub estimates: Vec<Duration>,
    /// Bias of the declared run times; see [`JobEstimate`].
    pub bias: f64,
    /// Number of starts of each task that may have happened.
    pub starts: Vec<u8>,
    /// Indices of the waiting tasks, the longest last.
    pub queue: Vec<u32>,
    /// Number of running tasks.
    pub running: u32,
    /// Slots that the running tasks occupy.
    pub running_slots: u32,
    /// Slots that the waiting tasks need.
    pub waiting_slots: u32,
    /// Number of ended tasks.
    pub done: u32,
    /// Estimated run time of all tasks that have not ended, on an executor of speed 1.
    pub remaining: Duration,
    /// Time of submission.
    pub submitted_at: Time,
    /// Time after which the caller has no use for the answer; `None` if there is no limit.
    pub deadline: Option<Time>,
    /// Time of the submission, or of the latest start of the task that was then the longest waiting
    /// one.
    pub waiting_since: Time,
    /// Time by which all running tasks are expected to have ended.
    pub expected_end: Time,
    /// Callers that wait for the answer.
    pub waiters: Vec<Caller>,
}

impl Job {
    /// Builds a job with all tasks waiting.
    #[must_use]
    pub fn new(
        id: JobId,
        customer: CustomerId,
        spec: JobSpec,
        estimate: JobEstimate,
        now: Time,
    ) -> Self {
        let JobEstimate {
            tasks: estimates,
            bias,
        } = estimate;
        let count = spec.tasks.len();
        let mut queue: Vec<u32> = (0..).take(count).collect();
        queue.sort_by_key(|&i| (estimates[i as usize], std::cmp::Reverse(i)));
        Self {
            id,
            customer,
            tasks: vec![TaskState::Waiting; count],
            starts: vec![0; count],
            queue,
            running: 0,
            running_slots: 0,
            waiting_slots: spec.tasks.iter().map(|task| u32::from(task.slots)).sum(),
            done: 0,
            remaining: estimates.iter().sum(),
            estimates,
            bias,
            submitted_at: now,
            deadline: spec.deadline.map(|span| now + span),
            waiting_since: now,
            expected_end: now,
            spec,
            waiters: Vec::new(),
        }
    }

    /// Returns the waiting task at a position of the queue, if there is one.
    #[must_use]
    pub fn queued_task(&self, position: usize) -> Option<QueuedTask<'_>> {
        let index = *self.queue.get(position)?;
        let i = index as usize;
        Some(QueuedTask {
            index,
            spec: &self.spec.tasks[i],
            estimate: self.estimates[i],
        })
    }

    /// Returns the estimated run time of the longest waiting task, or zero if none waits.
    #[must_use]
    pub fn longest_waiting(&self) -> Duration {
        self.queue
            .last()
            .map(|&index| self.estimates[index as usize])
            .unwrap_or_default()
    }

    /// Marks the waiting task at a position of the queue as started under `attempt`.
    pub fn start_queued(&mut self, position: usize, attempt: AttemptId, now: Time) {
        let is_longest = position + 1 == self.queue.len();
        let index = self.queue.remove(position) as usize;
        let slots = u32::from(self.spec.tasks[index].slots);
        self.tasks[index] = TaskState::Running(attempt);
        self.starts[index] = self.starts[index].saturating_add(1);
        self.running += 1;
        self.running_slots += slots;
        self.waiting_slots -= slots;
        if is_longest {
            self.waiting_since = now;
        }
    }

    /// Returns whether the task at `index` is running under `attempt`.
    #[must_use]
    pub fn is_running_as(&self, index: u32, attempt: AttemptId) -> bool {
        let state = &self.tasks[index as usize];
        matches!(state, TaskState::Running(current) if *current == attempt)
    }

    /// Stores the result of a running task.
    pub fn finish_task(&mut self, index: u32, result: Arc<str>) {
        let i = index as usize;
        self.tasks[i] = TaskState::Done(result);
        self.remove_running(i);
        self.done += 1;
        self.remaining = self.remaining.saturating_sub(self.estimates[i]);
    }

    /// Puts a running task back into the queue. `may_have_run` is whether this start
    /// counts as one of its attempts.
    pub fn requeue_task(&mut self, index: u32, may_have_run: bool) {
        let i = index as usize;
        self.tasks[i] = TaskState::Waiting;
        self.remove_running(i);
        self.waiting_slots += u32::from(self.spec.tasks[i].slots);
        if !may_have_run {
            self.starts[i] -= 1;
        }
        let key = (self.estimates[i], std::cmp::Reverse(index));
        let position = self.queue.partition_point(|&other| {
            (self.estimates[other as usize], std::cmp::Reverse(other)) < key
        });
        self.queue.insert(position, index);
    }

    fn remove_running(&mut self, i: usize) {
        self.running -= 1;
        self.running_slots -= u32::from(self.spec.tasks[i].slots);
    }

    /// Returns whether any task may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.starts.iter().any(|&count| count > 0)
    }

    /// Returns whether the task at `index` may be started again although it may have run before.
    #[must_use]
    pub fn can_retry(&self, index: u32, max_attempts: u32) -> bool {
        let repeatable = self.spec.repeatability == Repeatability::Repeatable;
        repeatable && u32::from(self.starts[index as usize]) < max_attempts
    }

    /// Returns the results in task order, or `None` if not every task has ended.
    #[must_use]
    pub fn results(&self) -> Option<Arc<[Arc<str>]>> {
        self.tasks
            .iter()
            .map(|state| match state {
                TaskState::Done(result) => Some(Arc::clone(result)),
                TaskState::Waiting | TaskState::Running(_) => None,
            })
            .collect()
    }

    /// Iterates over the attempts whose outcome is not known yet.
    pub fn running_attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.tasks.iter().filter_map(|state| match state {
            TaskState::Running(attempt) => Some(*attempt),
            TaskState::Waiting | TaskState::Done(_) => None,
        })
    }

    /// Returns the largest number of slots that a waiting task needs, or 1 if none waits.
    #[must_use]
    pub fn max_waiting_task_slots(&self) -> u16 {
        let slots = self
            .queue
            .iter()
            .map(|&i| self.spec.tasks[i as usize].slots);
        slots.max().unwrap_or(1)
    }
}
