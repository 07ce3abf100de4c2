//! Tasks under which workers have crashed.

use crate::collections::FastMap;
use crate::guarded::model::crash::{Crash, Evidence};
use crate::guarded::model::ids::{QueueId, TaskId, WorkerId};
use crate::guarded::model::job::Job;
use crate::model::time::Time;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// Retention time of a suspect. A client whose answer was lost submits its job again within this
/// time.
const RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 20_000;
/// Maximum number of crashes that are kept of a task.
const MAX_KEPT_CRASHES: usize = 8;
/// Number of workers that certainly crashed after which a task is given up, if the last crash points to
/// it.
const MAX_CRASHES: usize = 2;
/// Number of lost workers after which a task is given up in any case, whether or not they crashed.
const MAX_LOSSES: usize = 3;
/// Number of lost workers from which each failed run counts like a further one.
const MIN_LOSSES: usize = 2;

/// A task under which a worker has crashed.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// Queue of its job; `None` if this VM does not know the job.
    pub queue: Option<QueueId>,
    /// Crashes, in the order in which they became known.
    pub crashes: Vec<Crash>,
    /// Whether its last crash is still to be judged: it may have a cause that other workers share.
    pub is_pending: bool,
    /// Whether its job is given up.
    pub is_given_up: bool,
}

impl Suspect {
    /// Returns whether the task must not start again, after as many failed runs.
    fn is_to_be_given_up(&self, failures: usize) -> bool {
        let last = self.crashes.last();
        let decisive = last.is_some_and(|crash| crash.evidence == Evidence::Decisive);
        let losses = self.crashes.len();
        decisive && self.has_crashed() || losses >= MIN_LOSSES && losses + failures >= MAX_LOSSES
    }

    /// Returns whether so many workers certainly crashed under the task that its job may fail for it.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        let proofs = self.crashes.iter();
        let proofs = proofs.filter(|crash| crash.evidence.is_proof());
        proofs.count() >= MAX_CRASHES
    }

    /// Returns whether it is more likely than others to have caused its last crash.
    #[must_use]
    pub fn is_likely(&self) -> bool {
        let last = self.crashes.last();
        last.is_some_and(|crash| matches!(crash.evidence, Evidence::Decisive | Evidence::Likely))
    }

    /// Returns whether another VM started it alone on a worker, and the end is not known.
    #[must_use]
    pub fn is_on_trial(&self) -> bool {
        let last = self.crashes.last();
        last.is_some_and(|crash| crash.evidence == Evidence::Trial)
    }

    /// Returns whether a boot of this worker crashed under the task.
    #[must_use]
    pub fn crashed(&self, worker: WorkerId) -> bool {
        self.crashes.iter().any(|crash| crash.worker == worker)
    }

    /// Returns whether this boot of a worker crashed under the task, or may have.
    #[must_use]
    pub fn crashed_boot(&self, worker: WorkerId, boot: Option<u64>) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| {
            crash.worker == worker && (boot.is_none() || crash.boot.is_none() || crash.boot == boot)
        })
    }
}

/// The tasks under which workers have crashed, by their identity, so that a crash counts wherever
/// the task starts next.
#[derive(Debug, Default)]
pub struct Suspects {
    rows: FastMap<TaskId, Suspect>,
    /// Tasks of the rows whose jobs are not given up.
    open: BTreeSet<TaskId>,
    insertion_order: VecDeque<(Time, TaskId)>,
}

impl Suspects {
    /// Returns the state of a task; `None` if no worker crashed under it.
    #[must_use]
    pub fn get(&self, task: TaskId) -> Option<&Suspect> {
        self.rows.get(&task)
    }

    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of suspects whose jobs are not given up.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Iterates over the suspects whose jobs are not given up.
    pub fn open(&self) -> impl Iterator<Item = (TaskId, &Suspect)> {
        let tasks = self.open.iter();
        tasks.filter_map(|&task| Some((task, self.rows.get(&task)?)))
    }

    /// Iterates over the suspects that were added last, newest first.
    pub fn newest(&self) -> impl Iterator<Item = (TaskId, &Suspect)> {
        let tasks = self.insertion_order.iter().rev();
        tasks.filter_map(|&(_, task)| Some((task, self.rows.get(&task)?)))
    }

    /// Records that a worker crashed under a task, or may have. A crash of the same boot counts once.
    pub fn record(&mut self, task: TaskId, queue: Option<QueueId>, crash: Crash) {
        let row = self.row(crash.at, task);
        row.queue = row.queue.or(queue);
        let same_boot = |known: &Crash| (known.worker, known.boot) == (crash.worker, crash.boot);
        match row.crashes.iter().position(same_boot) {
            Some(i) if is_better(crash.evidence, row.crashes[i].evidence) => row.crashes[i] = crash,
            None if row.crashes.len() < MAX_KEPT_CRASHES => row.crashes.push(crash),
            _ => {}
        }
    }

    /// Holds a task back until its last crash is judged.
    pub fn hold(&mut self, task: TaskId) {
        if let Some(row) = self.rows.get_mut(&task) {
            row.is_pending = true;
        }
    }

    /// Returns the suspects of which this boot of a worker may have been lost, and not an earlier one.
    #[must_use]
    pub fn lost_on(&self, worker: WorkerId, boot: Option<u64>) -> Vec<TaskId> {
        let is_last = |row: &Suspect| {
            let mut last = row.crashes.iter().rev();
            let last = last.find(|crash| crash.worker == worker);
            last.is_some_and(|crash| crash.boot == boot && crash.evidence == Evidence::Unproven)
        };
        let rows = self.rows.iter().filter(|(_, row)| is_last(row));
        rows.map(|(&task, _)| task).collect()
    }

    /// Withdraws the last crash of a worker, because the task was not its cause. Crashes of earlier boots
    /// stay.
    pub fn withdraw(&mut self, task: TaskId, worker: WorkerId) {
        if let Some(row) = self.rows.get_mut(&task) {
            let of_worker = |crash: &Crash| crash.worker == worker;
            if let Some(i) = row.crashes.iter().rposition(of_worker) {
                row.crashes.remove(i);
            }
            row.is_pending = false;
            if row.crashes.is_empty() && !row.is_given_up {
                self.rows.remove(&task);
                self.open.remove(&task);
            }
        }
    }

    /// Judges the crashes of a task of which as many runs have failed. Returns whether its job is to be
    /// given up.
    pub fn judge(&mut self, task: TaskId, failures: usize) -> bool {
        let Some(row) = self.rows.get_mut(&task) else {
            return false;
        };
        row.is_pending = false;
        row.is_given_up |= row.is_to_be_given_up(failures);
        let is_given_up = row.is_given_up;
        if is_given_up {
            self.open.remove(&task);
        }
        is_given_up
    }

    /// Records that another VM has given up the job of a task.
    pub fn give_up(&mut self, now: Time, task: TaskId) {
        self.row(now, task).is_given_up = true;
        self.open.remove(&task);
    }

    /// Removes a task that has ended by itself, unless its job is given up.
    pub fn clear(&mut self, task: TaskId) {
        if self.rows.get(&task).is_some_and(|row| !row.is_given_up) {
            self.rows.remove(&task);
            self.open.remove(&task);
        }
    }

    /// Returns the first task of a job for which `condition` holds.
    pub fn find_in(&self, job: &Job, condition: impl Fn(&Suspect) -> bool) -> Option<TaskId> {
        if self.rows.is_empty() {
            return None;
        }
        let mut tasks = job.task_ids();
        tasks.find(|&task| self.get(task).is_some_and(&condition))
    }

    /// Returns the row of a task, which is added if there is none.
    fn row(&mut self, now: Time, task: TaskId) -> &mut Suspect {
        self.evict(now);
        self.rows.entry(task).or_insert_with(|| {
            self.insertion_order.push_back((now, task));
            self.open.insert(task);
            Suspect::default()
        })
    }

    /// Removes the suspects that are older than their retention time, and the oldest beyond the maximum
    /// number.
    pub fn evict(&mut self, now: Time) {
        while let Some(&(at, oldest)) = self.insertion_order.front() {
            if now.since(at) < RETENTION && self.insertion_order.len() <= MAX_SUSPECTS {
                break;
            }
            self.insertion_order.pop_front();
            self.rows.remove(&oldest);
            self.open.remove(&oldest);
        }
    }
}

/// Returns whether new evidence on a crash replaces what is known of it: a trial is over, or what may
/// have been a crash is proven.
fn is_better(new: Evidence, known: Evidence) -> bool {
    match known {
        Evidence::Trial => true,
        Evidence::Unproven => new.is_proof(),
        Evidence::Decisive | Evidence::Likely | Evidence::Unclear => false,
    }
}
