//! Starts that no worker answered: a copy of each may still be carried out.
//!
//! A row is *open* while nothing rules the copies out on the present boot of the worker. A row that is
//! ruled out is kept until its age, since a new boot of the worker would carry the copies out again.

use crate::collections::FastMap;
use crate::guarded::model::ids::{ClientJobId, FencingToken, TaskId, WorkerId};
use crate::model::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of rows. Beyond it the oldest one is removed.
const MAX_ROWS: usize = 8_192;
/// Lowest id of a task.
const FIRST_TASK: TaskId = TaskId {
    job: ClientJobId(0),
    repetition: 0,
    step: 0,
    index: 0,
};

/// Why a row is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenCause {
    /// The worker did not answer the start.
    Unanswered,
    /// The start was not answered yet when its job was removed or its worker was lost.
    Pending,
    /// The only start was answered after that; its run has not ended yet.
    Started,
    /// The boot of the worker that ruled it out was lost.
    WorkerLost,
    /// Another VM reported it.
    Reported,
    /// The boot of the worker that ruled it out may have ended.
    Suspected,
}

impl OpenCause {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::Pending => "pending",
            Self::Started => "started",
            Self::WorkerLost => "worker_lost",
            Self::Reported => "reported",
            Self::Suspected => "suspected",
        }
    }
}

/// The unanswered starts of a task on a worker. One row stands for all of them: it has the highest run
/// number and token, and the time of the last one.
#[derive(Clone, Copy, Debug)]
pub struct StartInFlight {
    /// Number of the run.
    pub number: u64,
    /// Fencing token of the start.
    pub token: FencingToken,
    /// Time at which the last start was sent, or was known to be unanswered.
    pub sent_at: Time,
    /// Boot of the worker that it was meant for, if it was known.
    pub boot: Option<u64>,
    /// Why it is open; `None` while it is ruled out.
    pub open: Option<OpenCause>,
    /// Whether other VMs know that it is open.
    pub is_shared: bool,
    /// Whether it also stands for an earlier start.
    pub has_earlier: bool,
}

impl StartInFlight {
    /// Merges the row of an earlier start of the same task on the same worker.
    fn merge(&mut self, earlier: &Self) {
        self.number = self.number.max(earlier.number);
        self.token = self.token.max(earlier.token);
        self.sent_at = self.sent_at.max(earlier.sent_at);
        self.boot = self.boot.or(earlier.boot);
        self.is_shared |= earlier.is_shared;
        self.has_earlier |= earlier.has_earlier || earlier.number < self.number;
        if self.open == Some(OpenCause::Pending) && earlier.open.is_some() {
            self.open = earlier.open;
        }
    }
}

/// The unanswered starts, by worker and task.
#[derive(Debug, Default)]
pub struct StartsInFlight {
    rows: BTreeMap<(WorkerId, TaskId), StartInFlight>,
    /// The rows by age, oldest first.
    by_age: BTreeSet<(Time, WorkerId, TaskId)>,
    /// Workers with an open row, by task.
    open: FastMap<TaskId, Vec<WorkerId>>,
    /// Due tasks that wait, and since when.
    pub waiting: FastMap<TaskId, Time>,
}

impl StartsInFlight {
    /// Returns whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether a start of the task may be carried out anywhere.
    pub fn is_open(&self, task: TaskId) -> bool {
        !self.open.is_empty() && self.open.contains_key(&task)
    }

    /// Returns the number of tasks with an open row.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Iterates over the tasks with an open row.
    pub fn open_tasks(&self) -> impl Iterator<Item = TaskId> {
        self.open.keys().copied()
    }

    /// Returns the workers that may carry out a start of the task.
    pub fn open_workers(&self, task: TaskId) -> &[WorkerId] {
        self.open.get(&task).map_or(&[], Vec::as_slice)
    }

    /// Returns the row of a task on a worker.
    pub fn get(&self, worker: WorkerId, task: TaskId) -> Option<&StartInFlight> {
        self.rows.get(&(worker, task))
    }

    /// Iterates over the rows of a worker.
    pub fn of_worker(&self, worker: WorkerId) -> impl Iterator<Item = (TaskId, &StartInFlight)> {
        let rows = self.rows.range((worker, FIRST_TASK)..);
        let rows = rows.take_while(move |((other, _), _)| *other == worker);
        rows.map(|(&(_, task), row)| (task, row))
    }

    /// Iterates over the rows that are ruled out.
    pub fn ruled_out(&self) -> impl Iterator<Item = (WorkerId, TaskId)> {
        let rows = self.rows.iter().filter(|(_, row)| row.open.is_none());
        rows.map(|(&key, _)| key)
    }

    /// Iterates over the rows, newest first.
    pub fn newest(&self) -> impl Iterator<Item = (WorkerId, TaskId, &StartInFlight)> {
        let keys = self.by_age.iter().rev();
        keys.filter_map(|&(_, worker, task)| Some((worker, task, self.get(worker, task)?)))
    }

    /// Adds a row, or merges it with the one that is there.
    pub fn record(&mut self, worker: WorkerId, task: TaskId, mut row: StartInFlight) {
        if let Some(earlier) = self.rows.get(&(worker, task)) {
            row.merge(earlier);
            self.by_age.remove(&(earlier.sent_at, worker, task));
        } else if self.rows.len() >= MAX_ROWS {
            self.remove_oldest();
        }
        self.by_age.insert((row.sent_at, worker, task));
        self.rows.insert((worker, task), row);
        self.index(worker, task, row.open.is_some());
    }

    /// Changes whether a row is open, or who knows of it.
    pub fn update(
        &mut self,
        worker: WorkerId,
        task: TaskId,
        change: impl FnOnce(&mut StartInFlight),
    ) {
        if let Some(row) = self.rows.get_mut(&(worker, task)) {
            change(row);
            let is_open = row.open.is_some();
            self.index(worker, task, is_open);
        }
    }

    /// Removes a row.
    pub fn remove(&mut self, worker: WorkerId, task: TaskId) -> Option<StartInFlight> {
        self.index(worker, task, false);
        let row = self.rows.remove(&(worker, task))?;
        self.by_age.remove(&(row.sent_at, worker, task));
        Some(row)
    }

    /// Returns the rows that no worker can carry out any more because of their age.
    pub fn aged(&self, now: Time, max_age: Duration) -> Vec<(WorkerId, TaskId)> {
        let rows = self.by_age.iter();
        let aged = rows.take_while(|(sent_at, ..)| now.since(*sent_at) > max_age);
        aged.map(|&(_, worker, task)| (worker, task)).collect()
    }

    fn remove_oldest(&mut self) {
        if let Some(&(_, worker, task)) = self.by_age.first() {
            self.remove(worker, task);
        }
    }

    /// Notes whether a row is open.
    fn index(&mut self, worker: WorkerId, task: TaskId, is_open: bool) {
        if is_open {
            let workers = self.open.entry(task).or_default();
            if !workers.contains(&worker) {
                workers.push(worker);
            }
        } else if let Some(workers) = self.open.get_mut(&task) {
            workers.retain(|&other| other != worker);
            if workers.is_empty() {
                self.open.remove(&task);
            }
        }
    }
}
