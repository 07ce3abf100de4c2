//! The state that the systems work on.

use super::action::Action;
use super::model::answer::Answer;
use super::model::cell::Cell;
use super::model::ids::{ClientJobId, FencingToken, QueueId, RunId, TaskId, WorkerId};
use super::model::message::{DrainReport, StartReport, SuspectReport};
use super::model::queue::QueueTable;
use super::model::reply::RunEnd;
use super::policy::Policy;
use super::shares::ShareSettings;
use super::stats::Stats;
use super::systems::crashes::WorkerLoss;
use super::tables::bulkhead::Bulkhead;
use super::tables::cancel_marks::CancelMarks;
use super::tables::cancellation::{CancelOutbox, Cancellations};
use super::tables::drains::Drains;
use super::tables::entry_job::EntryJob;
use super::tables::estimator::Estimator;
use super::tables::evacuation::EvacuationTable;
use super::tables::peer::Peer;
use super::tables::queue_account::QueueAccounts;
use super::tables::read_horizon::ReadHorizon;
use super::tables::recent::RecentOutcomes;
use super::tables::remote_holder::RemoteHolderRow;
use super::tables::room::Room;
use super::tables::runner_job::RunnerJob;
use super::tables::starts_in_flight::StartsInFlight;
use super::tables::suspects::Suspects;
use super::tables::token_bucket::TokenBucket;
use super::tables::topology::Topology;
use super::tables::vm_directory::VmDirectory;
use super::tables::worker::{Run, Worker};
use super::tables::worker_registry::WorkerRegistry;
use crate::collections::FastMap;
use crate::model::ids::{CallId, DataCentreId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use crate::timers::TimerQueue;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Periodic timers of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Heartbeats to the peers are due.
    Heartbeat,
    /// The periodic checks are due.
    Sweep,
}

/// Phase in the life cycle of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts new jobs.
    Serving,
    /// Stopping since this time.
    Stopping(Time),
    /// All work has ended.
    Closed,
}

/// A run that has ended, for the system that updates its job.
#[derive(Clone, Debug)]
pub struct FinishedRun {
    /// Worker that it ran on.
    pub worker: WorkerId,
    /// Last known state of the run.
    pub run: Run,
    /// How it ended; `None` if the worker did not report it.
    pub end: Option<RunEnd>,
}

/// A job that ended on this VM's workers, for the system that answers its clients.
#[derive(Clone, Copy, Debug)]
pub struct FinishedJob {
    /// Id of the job.
    pub job: ClientJobId,
    /// Outcome of the job.
    pub answer: Answer,
}

/// All state of one dispatcher.
#[derive(Debug)]
pub struct World {
    pub me: Incarnation,
    /// Size of this VM relative to the others.
    pub weight: u32,
    pub policy: Policy,
    /// Shares of the queues; `None` if room is not shared out.
    pub shares: Option<Arc<ShareSettings>>,
    /// What the queues use of the workers held here.
    pub accounts: QueueAccounts,
    pub phase: Phase,
    pub timers: TimerQueue<Timer>,
    pub stats: Stats,
    pub queues: Option<Arc<QueueTable>>,
    /// Time at which the first VM, as far as is known, had the configuration.
    pub queues_known_at: Time,
    /// Time at which the first VM had a newer configuration, if a peer has one.
    pub outdated_since: Option<Time>,
    /// Time of the last request for it.
    pub queues_requested_at: Option<Time>,
    /// Data centres whose workers get no new runs.
    pub evacuations: EvacuationTable,
    /// Workers that the store lists.
    pub registry: WorkerRegistry,
    /// Time at which the registry was last read; `None` if that is not reported.
    pub registry_read_at: Option<Time>,
    /// Boots of workers that are about to leave.
    pub drains: Drains,
    /// What `systems::drain_reports` tells the other holders.
    pub drain_reports: Vec<DrainReport>,
    /// Workers of the claimed cells, and others whose runs are not known to have ended.
    pub workers: BTreeMap<WorkerId, Worker>,
    /// Entry VMs that the store lists.
    pub directory: VmDirectory,
    pub peers: BTreeMap<Incarnation, Peer>,
    pub topology: Topology,
    /// Holders in other data centres that the relays reported.
    pub remote_holders: BTreeMap<Incarnation, RemoteHolderRow>,
    /// Time of the last event or tick, used to detect stalls.
    pub last_active_at: Option<Time>,
    /// Up to when everything that had arrived has been read.
    pub horizon: ReadHorizon,
    /// Messages that arrived during a stall of this process may be unread before this time.
    pub catching_up_until: Time,
    /// Whether `systems::leases` noted runs of jobs whose entries may be gone.
    pub has_doubtful_workers: bool,
    /// Cell claims are not changed before this time, after a short stall of this process.
    pub claims_paused_until: Time,
    /// No cell is claimed before this time, because the peers and their cells may not be known yet.
    pub claims_allowed_at: Time,
    /// Whether claims may begin early, once every peer has sent a heartbeat. Not so after a stall.
    pub may_claim_early: bool,
    /// Cells whose workers this VM acquires and uses.
    pub claimed_cells: BTreeSet<Cell>,
    /// Claimed cells that a peer claims as well.
    pub contested_cells: BTreeSet<Cell>,
    /// Highest fencing token seen.
    pub token: FencingToken,
    /// Jobs whose clients called this VM.
    pub entries: FastMap<ClientJobId, EntryJob>,
    pub calls: FastMap<CallId, ClientJobId>,
    /// Jobs that run on workers held by this VM.
    pub jobs: FastMap<ClientJobId, RunnerJob>,
    /// Number of runs per task that are present or may be, on any worker.
    pub present_runs: FastMap<TaskId, u32>,
    pub recent: RecentOutcomes,
    /// Jobs that clients cancelled recently.
    pub cancel_marks: CancelMarks,
    /// Cancellations that wait for other VMs.
    pub cancellations: Cancellations,
    /// Limits how often clients make this VM ask all others for a job.
    pub lookup_limit: TokenBucket,
    /// What `systems::cancels` sends to the peers.
    pub cancel_outbox: CancelOutbox,
    /// Starts that no worker answered, of this VM and of others.
    pub starts_in_flight: StartsInFlight,
    /// What `systems::starts_in_flight` tells other VMs.
    pub start_reports: Vec<StartReport>,
    /// VMs that are told of them although they hold no workers: their clients wait for the jobs.
    pub start_report_origins: BTreeSet<Incarnation>,
    /// Tasks under which workers crashed, here or elsewhere.
    pub suspects: Suspects,
    /// Whether a worker may be reserved for a suspect.
    pub has_reservations: bool,
    /// Queues whose tasks crashed workers held here.
    pub bulkheads: FastMap<QueueId, Bulkhead>,
    /// What `systems::crashes` tells the other holders.
    pub suspect_reports: Vec<SuspectReport>,
    /// Workers that were lost a moment ago, which `systems::crashes` judges.
    pub losses: Vec<WorkerLoss>,
    pub estimator: Estimator,
    /// Forecast for the jobs that wait here.
    pub room: Room,
    pub mean_run_ms: f64,
    next_poll_number: u64,
    /// Ended runs, which `systems::progress` applies to their jobs.
    pub finished_runs: Vec<FinishedRun>,
    /// Ended jobs, whose clients `systems::entry` answers.
    pub finished_jobs: Vec<FinishedJob>,
    /// Stops that `systems::stops` sends.
    pub stops: Vec<(WorkerId, RunId)>,
    /// Whether the next tick begins a heartbeat round.
    pub round_due: bool,
    /// Number of the current heartbeat round.
    pub heartbeat_round: u64,
    /// Whether heartbeats are to be sent to all peers without waiting for their rounds.
    pub heartbeat_due: bool,
    /// Time of the last heartbeats that did not wait for their rounds.
    pub last_broadcast_at: Time,
}

/// Seconds' worth of searches for jobs that may begin at once.
const LOOKUP_BURST_SECONDS: u32 = 2;
/// Mean run time assumed before the first observation, in milliseconds.
const DEFAULT_MEAN_RUN_MS: f64 = 200.0;
/// Number of low bits of a fencing token that identify the VM.
const TOKEN_VM_BITS: u32 = 20;
/// Unit of the upper bits of a fencing token, in milliseconds.
const TOKEN_STEP_MS: u64 = 100;

impl World {
    pub fn new(me: Incarnation, weight: u32, policy: Policy) -> Self {
        Self {
            me,
            weight,
            policy,
            shares: None,
            accounts: QueueAccounts::default(),
            phase: Phase::Serving,
            timers: TimerQueue::default(),
            stats: Stats::default(),
            queues: None,
            queues_known_at: Time::ZERO,
            outdated_since: None,
            queues_requested_at: None,
            evacuations: EvacuationTable::default(),
            registry: WorkerRegistry::default(),
            registry_read_at: None,
            drains: Drains::default(),
            drain_reports: Vec::new(),
            workers: BTreeMap::new(),
            directory: VmDirectory::default(),
            peers: BTreeMap::new(),
            topology: Topology::default(),
            remote_holders: BTreeMap::new(),
            last_active_at: None,
            horizon: ReadHorizon::default(),
            catching_up_until: Time::ZERO,
            has_doubtful_workers: false,
            claims_paused_until: Time::ZERO,
            claims_allowed_at: Time::ZERO + policy.claim_delay,
            may_claim_early: true,
            claimed_cells: BTreeSet::new(),
            contested_cells: BTreeSet::new(),
            token: FencingToken(0),
            entries: FastMap::default(),
            calls: FastMap::default(),
            jobs: FastMap::default(),
            present_runs: FastMap::default(),
            recent: RecentOutcomes::default(),
            cancel_marks: CancelMarks::default(),
            cancellations: Cancellations::default(),
            lookup_limit: TokenBucket::new(
                policy.lookups_per_second,
                policy.lookups_per_second * LOOKUP_BURST_SECONDS,
            ),
            cancel_outbox: CancelOutbox::default(),
            starts_in_flight: StartsInFlight::default(),
            start_reports: Vec::new(),
            start_report_origins: BTreeSet::new(),
            suspects: Suspects::default(),
            has_reservations: false,
            bulkheads: FastMap::default(),
            suspect_reports: Vec::new(),
            losses: Vec::new(),
            estimator: Estimator::default(),
            room: Room::default(),
            mean_run_ms: DEFAULT_MEAN_RUN_MS,
            next_poll_number: 0,
            finished_runs: Vec::new(),
            finished_jobs: Vec::new(),
            stops: Vec::new(),
            round_due: false,
            heartbeat_round: 0,
            heartbeat_due: false,
            last_broadcast_at: Time::ZERO,
        }
    }

    /// Returns a fencing token above all that this VM has seen. `unix_ms` may be wrong: workers
    /// refuse a token that is too low, and the next one is higher.
    pub fn next_token(&mut self, unix_ms: u64) -> FencingToken {
        let step = (unix_ms / TOKEN_STEP_MS).max((self.token.0 >> TOKEN_VM_BITS) + 1);
        let vm = self.me.nonce & ((1 << TOKEN_VM_BITS) - 1);
        self.token = FencingToken((step << TOKEN_VM_BITS) | vm);
        self.token
    }

    /// Records a fencing token of another VM.
    pub fn record_token(&mut self, token: u64) {
        self.token = self.token.max(FencingToken(token));
    }

    /// Raises the highest known token to `steps` steps above one that a worker refused. Tokens of
    /// other VMs may be ahead of this VM's time of day.
    pub fn raise_token(&mut self, refused: FencingToken, steps: u64) {
        self.record_token(refused.0.saturating_add(steps << TOKEN_VM_BITS));
    }

    pub const fn next_poll_number(&mut self) -> u64 {
        self.next_poll_number += 1;
        self.next_poll_number
    }

    /// Returns the version of the configuration; 0 if there is none.
    pub fn queues_version(&self) -> u64 {
        self.queues.as_ref().map_or(0, |table| table.version)
    }

    /// Adds a run to a worker and to the count of present runs.
    pub fn add_run(&mut self, worker: WorkerId, run: Run) {
        let Some(row) = self.workers.get_mut(&worker) else {
            return;
        };
        *self.present_runs.entry(run.id.task).or_default() += 1;
        row.add_run(run);
    }

    /// Removes a run that has certainly ended and queues it for the system that updates its job.
    pub fn end_run(&mut self, worker: WorkerId, task: TaskId, end: Option<RunEnd>) {
        let row = self.workers.get_mut(&worker);
        let Some(run) = row.and_then(|row| row.remove_run(task)) else {
            return;
        };
        if let Some(count) = self.present_runs.get_mut(&task) {
            *count -= 1;
            if *count == 0 {
                self.present_runs.remove(&task);
            }
        }
        self.finished_runs.push(FinishedRun { worker, run, end });
    }

    /// Ends all runs of a worker.
    pub fn end_all_runs(&mut self, worker: WorkerId, end: RunEnd) {
        let Some(row) = self.workers.get(&worker) else {
            return;
        };
        let tasks: Vec<_> = row.runs.keys().copied().collect();
        for task in tasks {
            self.end_run(worker, task, Some(end));
        }
    }

    /// Returns the peer on a VM.
    pub fn peer_of_vm(&self, data_centre: DataCentreId, vm: VmId) -> Option<&Peer> {
        let with_nonce = |nonce| Incarnation {
            data_centre,
            vm,
            nonce,
        };
        let mut rows = self.peers.range(with_nonce(0)..=with_nonce(u64::MAX));
        rows.next().map(|(_, row)| row)
    }

    pub const fn is_serving(&self) -> bool {
        matches!(self.phase, Phase::Serving)
    }
}

/// Time and outputs of one call of the dispatcher.
#[derive(Debug)]
pub struct Cx<'a> {
    /// Current steady time.
    pub now: Time,
    /// Time of day in Unix milliseconds, which may be wrong.
    pub unix_ms: u64,
    actions: &'a mut Vec<Action>,
}

impl<'a> Cx<'a> {
    pub const fn new(now: Time, unix_ms: u64, actions: &'a mut Vec<Action>) -> Self {
        Self {
            now,
            unix_ms,
            actions,
        }
    }

    pub fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }
}
