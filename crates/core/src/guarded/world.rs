//! The state that the systems work on.

use super::model::answer::Answer;
use super::model::cell::Cell;
use super::model::ids::{ClientJobId, FencingToken, RunId, TaskId, WorkerId};
use super::model::queue::QueueTable;
use super::model::reply::RunEnd;
use super::order::Order;
use super::policy::Policy;
use super::stats::Stats;
use super::tables::entry_job::EntryJob;
use super::tables::estimator::Estimator;
use super::tables::member::MemberRow;
use super::tables::recent::RecentOutcomes;
use super::tables::runner_job::RunnerJob;
use super::tables::worker::{Run, Worker};
use crate::collections::FastMap;
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use crate::timers::TimerService;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a subscriber is told when its time comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Time to send heartbeats.
    Heartbeat,
    /// Time to look at everything that waits or may be overdue.
    Sweep,
}

/// What this process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes new work.
    Serving,
    /// It stops since then.
    Stopping(Time),
    /// It has ended.
    Closed,
}

/// A run that is over.
#[derive(Clone, Debug)]
pub struct RunOver {
    /// The worker.
    pub worker: WorkerId,
    /// The run.
    pub run: Run,
    /// How it ended; `None` if the worker said nothing of it.
    pub end: Option<RunEnd>,
}

/// A job that ended here, for the system that answers its clients.
#[derive(Clone, Copy, Debug)]
pub struct JobOver {
    /// The job.
    pub job: ClientJobId,
    /// What became of it.
    pub answer: Answer,
}

/// The state that the systems work on.
#[derive(Debug)]
pub struct World {
    pub me: Incarnation,
    /// Size of this VM relative to the others.
    pub weight: u32,
    pub policy: Policy,
    pub phase: Phase,
    pub timers: TimerService<Timer>,
    pub stats: Stats,
    pub queues: Option<Arc<QueueTable>>,
    /// Since when a peer has a newer configuration.
    pub behind_since: Option<Time>,
    pub workers: BTreeMap<WorkerId, Worker>,
    pub members: BTreeMap<Incarnation, MemberRow>,
    /// Time of the last event or tick.
    pub active_at: Option<Time>,
    /// No cell is claimed before this time, since this process stood still for a moment.
    pub caught_up_at: Time,
    /// No cell is claimed before this time, since this process does not know the others yet.
    pub settled_at: Time,
    /// Other VMs that the registry lists; `None` until it was read, and after a pause.
    pub listed_vms: Option<usize>,
    /// Cells whose workers this VM takes over and uses.
    pub claimed: BTreeSet<Cell>,
    /// Highest fencing token seen.
    pub token: FencingToken,
    pub entries: FastMap<ClientJobId, EntryJob>,
    pub calls: FastMap<CallId, ClientJobId>,
    pub jobs: FastMap<ClientJobId, RunnerJob>,
    /// Runs of each task that are there or may be, on any worker.
    pub live: FastMap<TaskId, u32>,
    pub recent: RecentOutcomes,
    pub estimator: Estimator,
    pub mean_run_ms: f64,
    next_look: u64,
    /// Results of the systems, for those that run after them.
    pub runs_over: Vec<RunOver>,
    pub jobs_over: Vec<JobOver>,
    pub stops: Vec<(WorkerId, RunId)>,
    pub heartbeat_due: bool,
}

/// Run time that is reckoned with before any was seen, in milliseconds.
const FIRST_MEAN_RUN_MS: f64 = 200.0;
/// Bits of a fencing token that tell the VM.
const TOKEN_VM_BITS: u32 = 20;
/// Length of a step of the token's upper bits, in milliseconds.
const TOKEN_STEP_MS: u64 = 100;

impl World {
    pub fn new(me: Incarnation, weight: u32, policy: Policy) -> Self {
        Self {
            me,
            weight,
            policy,
            phase: Phase::Serving,
            timers: TimerService::default(),
            stats: Stats::default(),
            queues: None,
            behind_since: None,
            workers: BTreeMap::new(),
            members: BTreeMap::new(),
            active_at: None,
            caught_up_at: Time::ZERO,
            settled_at: Time::ZERO + policy.settle,
            listed_vms: None,
            claimed: BTreeSet::new(),
            token: FencingToken(0),
            entries: FastMap::default(),
            calls: FastMap::default(),
            jobs: FastMap::default(),
            live: FastMap::default(),
            recent: RecentOutcomes::default(),
            estimator: Estimator::default(),
            mean_run_ms: FIRST_MEAN_RUN_MS,
            next_look: 0,
            runs_over: Vec::new(),
            jobs_over: Vec::new(),
            stops: Vec::new(),
            heartbeat_due: false,
        }
    }

    /// Returns a fencing token above all that were seen here. `unix_ms` need not be right: a token
    /// that is too low is refused, and the next one is higher.
    pub fn next_token(&mut self, unix_ms: u64) -> FencingToken {
        let step = (unix_ms / TOKEN_STEP_MS).max((self.token.0 >> TOKEN_VM_BITS) + 1);
        let vm = self.me.nonce & ((1 << TOKEN_VM_BITS) - 1);
        self.token = FencingToken((step << TOKEN_VM_BITS) | vm);
        self.token
    }

    /// Takes in a fencing token of another VM.
    pub fn saw_token(&mut self, token: u64) {
        self.token = self.token.max(FencingToken(token));
    }

    /// Raises the known tokens by some steps above one that was refused: those of other VMs may be
    /// ahead of the time of day.
    pub fn raise_tokens(&mut self, refused: FencingToken, steps: u64) {
        self.saw_token(refused.0.saturating_add(steps << TOKEN_VM_BITS));
    }

    pub const fn next_look(&mut self) -> u64 {
        self.next_look += 1;
        self.next_look
    }

    /// Returns the version of the configuration, 0 for none.
    pub fn queues_version(&self) -> u64 {
        self.queues.as_ref().map_or(0, |table| table.version)
    }

    /// Adds a run to a worker and to the count of live runs.
    pub fn add_run(&mut self, worker: WorkerId, run: Run) {
        let Some(row) = self.workers.get_mut(&worker) else {
            return;
        };
        *self.live.entry(run.id.task).or_default() += 1;
        row.add_run(run);
    }

    /// Removes a run that is over for certain and leaves it to the system that follows.
    pub fn end_run(&mut self, worker: WorkerId, task: TaskId, end: Option<RunEnd>) {
        let row = self.workers.get_mut(&worker);
        let Some(run) = row.and_then(|row| row.remove_run(task)) else {
            return;
        };
        if let Some(count) = self.live.get_mut(&task) {
            *count -= 1;
            if *count == 0 {
                self.live.remove(&task);
            }
        }
        self.runs_over.push(RunOver { worker, run, end });
    }

    /// Removes all runs of a worker.
    pub fn end_all_runs(&mut self, worker: WorkerId, end: RunEnd) {
        let Some(row) = self.workers.get(&worker) else {
            return;
        };
        let tasks: Vec<_> = row.runs.keys().copied().collect();
        for task in tasks {
            self.end_run(worker, task, Some(end));
        }
    }

    pub const fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Serving)
    }
}

/// The surroundings of one call.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The present time.
    pub now: Time,
    /// The time of day in Unix milliseconds, which may be wrong.
    pub unix_ms: u64,
    orders: &'a mut Vec<Order>,
}

impl<'a> Cx<'a> {
    pub const fn new(now: Time, unix_ms: u64, orders: &'a mut Vec<Order>) -> Self {
        Self {
            now,
            unix_ms,
            orders,
        }
    }

    pub fn order(&mut self, order: Order) {
        self.orders.push(order);
    }
}
