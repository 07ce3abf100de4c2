//! Discrete-event simulation of dispatchers, workers and clients. Times are in microseconds.

mod clients;
mod evacuations;
mod faults;
mod links;
mod stalls;
mod vms;
mod workers;

pub use faults::{Fault, Request, Restart};
pub use stalls::{CatchUp, Series, Span};

use stalls::CurrentSeries;

use crate::history::{ClientState, History, JobRecord};
use crate::worker::{Behaviour, ModelWorker};
use cardamomslip_core::guarded::action::{Action, Poll};
use cardamomslip_core::guarded::model::answer::{Answer, LossCause};
use cardamomslip_core::guarded::model::cancel::CancelOutcome;
use cardamomslip_core::guarded::model::evacuations::{Evacuation, Evacuations};
use cardamomslip_core::guarded::model::ids::{
    ClientJobId, FencingToken, QueueId, TaskId, UpstreamId, WorkerId,
};
use cardamomslip_core::guarded::model::job::{Job, QueueSettings, Step};
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::guarded::model::queue::{Queue, QueueTable};
use cardamomslip_core::guarded::model::reply::{PollReply, StartReply, StopReply};
use cardamomslip_core::guarded::model::resources::Resources;
use cardamomslip_core::guarded::model::vm::VmEntry;
use cardamomslip_core::guarded::model::worker::WorkerEntry;
use cardamomslip_core::guarded::shares::ShareSettings;
use cardamomslip_core::guarded::{Dispatcher, Event, Identity, Policy, Stats, WaitObservation};
use cardamomslip_core::model::ids::{CallId, DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::time::Time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

/// Microseconds per millisecond.
pub const MS: u64 = 1_000;
/// One-way latency between two processes.
const LINK_LATENCY: u64 = 500;
/// Timeout of a request to a worker, in addition to the time that a poll may wait.
const REQUEST_TIMEOUT: u64 = 120 * MS;
/// Time without a message after which a connection between VMs is closed if no VM closed it before.
const LINK_IDLE_TIMEOUT: u64 = 3_500 * MS;
/// Delay before a VM connects again to one that it lost the connection to.
const REDIAL_DELAY: u64 = 100 * MS;
/// Whether the clocks of the dispatchers count suspensions, as those of `src/guarded/clock.rs` do.
const CLOCKS_COUNT_SUSPENSIONS: bool = true;
/// Weights of VMs of the same size.
pub const EQUAL: &[u32] = &[25];
/// Delay before a client submits a job again.
const CLIENT_RESEND: u64 = 1_300 * MS;
/// Maximum number of times that a client submits a job.
const MAX_SUBMISSIONS: u32 = 3;
/// CPU of a worker in thousandths of a core; two default tasks fit.
const WORKER_CPU_MILLI: u64 = 16_000;
/// Time from the start of a deadly task to the crash of its worker.
const CRASH_DELAY: u64 = 10 * MS;
/// Time from the crash of a worker to its restart.
pub const WORKER_RESTART_DELAY: u64 = 3_300 * MS;
/// CPU of a default task, in thousandths of a core.
const TASK_CPU_MILLI: u64 = 6_800;

/// A scheduled event of the simulation.
#[derive(Debug)]
enum SimEvent {
    /// A timer of the dispatcher on a VM is due: VM and its boot.
    Tick(usize, u32),
    /// An event arrives at a dispatcher: VM, its boot, event. Dropped if the VM was restarted.
    Deliver(usize, u32, Event),
    /// A request arrives at a worker: worker, VM, boot of the VM, request, whether the reply
    /// arrives.
    Request(usize, usize, u32, Action, bool),
    /// A run ends, a lease expires or a poll times out: worker and its boot.
    Worker(usize, u64),
    /// A client submits a job again.
    Resend(ClientJobId),
    /// A client stops waiting for the answer to this submission of a job.
    ClientTimeout(ClientJobId, u32),
    /// A frozen VM resumes: VM and its boot.
    Thaw(usize, u32),
    /// The next stall of a series begins.
    Stall(CurrentSeries),
    /// Two VMs try to connect to each other.
    Reconnect(usize, usize),
    /// A VM connects to one whose process may have ended: VM, its boot, the other VM.
    Redial(usize, u32, usize),
    /// A run crashes its worker: worker, its boot, task.
    Crash(usize, u64, TaskId),
    /// A crashed worker starts again.
    RestartWorker(usize),
    /// A worker that was replaced by another one is back at its address.
    ReturnWorker(usize),
    /// A fault ends.
    EndFault(Fault),
    /// A VM detects that the connection with this number to a peer has closed.
    LinkDown(usize, u32, Incarnation, u64),
}

#[derive(Debug)]
struct Vm {
    dispatcher: Option<Dispatcher>,
    me: Incarnation,
    /// Number of starts and ends of the process. Events for an earlier value are dropped.
    boot: u32,
    started: u64,
    frozen_since: Option<u64>,
    /// Whether the VM has no power, so that it does not refuse connections.
    is_powerless: bool,
    /// VMs that its dispatcher connects to.
    wanted: BTreeSet<VmId>,
    /// Whether its dispatcher follows the registry of the workers.
    follows_workers: bool,
    /// Whether the monotonic clock of the VM stops while the VM is frozen.
    is_suspended: bool,
    /// Time that the monotonic clock was stopped.
    suspended_total: u64,
    next_tick_at: u64,
    /// Number of series of stalls that began or were ended.
    series: u64,
    /// Jobs of pending client calls.
    calls: BTreeMap<CallId, ClientJobId>,
    /// Calls that the dispatcher has received.
    received_calls: BTreeSet<CallId>,
    /// Events that arrived while the VM was frozen, in order.
    backlog: Vec<Event>,
}

/// A poll that waits at a worker for a run to end.
#[derive(Debug)]
struct PendingPoll {
    vm: usize,
    boot: u32,
    poll: Poll,
    until: u64,
}

/// Heartbeats that a VM sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeartbeatCount {
    pub sent: u64,
    pub received: u64,
    /// Upper bound of the size of the sent ones, in bytes.
    pub sent_bytes: u64,
    /// Same for the received ones.
    pub received_bytes: u64,
    /// Rows on the use of queues in the sent ones.
    pub queue_uses: u64,
}

/// Upper bounds of the parts of an encoded heartbeat in bytes, which `tests/guarded_frames.rs` of
/// the root crate checks: the fixed part, a cell, a holder elsewhere, a worker and the use of a queue.
const HEARTBEAT_PART_BYTES: [u64; 5] = [110, 16, 56, 9, 31];

/// A job to submit.
#[derive(Clone, Copy, Debug)]
pub struct JobShape {
    pub tasks: u32,
    pub work_ms: u64,
    pub cpu_milli: u64,
    pub priority: u32,
    pub queue: u64,
    pub client_timeout_ms: u64,
    /// Whether the first task crashes each worker that starts it.
    pub is_deadly: bool,
}

impl Default for JobShape {
    fn default() -> Self {
        Self {
            tasks: 1,
            work_ms: 100,
            cpu_milli: TASK_CPU_MILLI,
            priority: 0,
            queue: 1,
            client_timeout_ms: 2_500,
            is_deadly: false,
        }
    }
}

/// Size of the simulated deployment. VMs and workers alternate between data centres.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub vms: usize,
    pub data_centres: usize,
    pub workers: usize,
    /// Weights of the VMs of a data centre, which repeat.
    pub weights: &'static [u32],
}

/// State of the simulation.
#[derive(Debug)]
pub struct Sim {
    pub now: u64,
    pub history: History,
    pub workers: Vec<ModelWorker>,
    /// Fraction of requests to workers that arrive only after their timeout.
    pub delayed_request_ratio: f64,
    /// Fraction of replies from workers that are lost.
    pub lost_reply_ratio: f64,
    /// Fraction of stops that never reach their worker.
    pub lost_stop_ratio: f64,
    /// How VMs take up what arrived during a stall; drawn for each stall if `None`.
    pub catch_up: Option<CatchUp>,
    /// Whether the clocks of the dispatchers count suspensions.
    pub clocks_count_suspensions: bool,
    /// Whether the entry of a job isn't told that its client left.
    pub clients_leave_silently: bool,
    /// Time from the first tick after a stall to the reading of what arrived meanwhile, for
    /// `CatchUp::AfterTick`, in microseconds.
    pub read_lag: u64,
    /// VM to which clients submit their jobs again; drawn if `None`.
    pub resend_vm: Option<usize>,
    /// Shares of the queues, for dispatchers that start.
    pub shares: Option<ShareSettings>,
    shape: Shape,
    policy: Policy,
    /// Factors within which the actual run time of a task differs from its estimate.
    pub run_time_error: RangeInclusive<f64>,
    seq: u64,
    queue: BTreeMap<(u64, u64), SimEvent>,
    vms: Vec<Vm>,
    polls: Vec<Vec<PendingPoll>>,
    /// Numbers of the open connections, by VM and peer.
    links: BTreeMap<(usize, usize), u64>,
    next_link: u64,
    /// Numbers of the connections that each VM has been notified of. Notifications are delayed, so
    /// these may differ from `links`.
    known_links: BTreeMap<(usize, Incarnation), u64>,
    /// Time before which no connection between VMs is established.
    no_connections_until: u64,
    /// Sender and receiver VMs between which messages are lost.
    cut: BTreeSet<(usize, usize)>,
    /// Pairs of a VM and a worker that can't reach each other.
    worker_cut: BTreeSet<(usize, usize)>,
    /// Faults between VMs and workers that are in effect.
    faults: BTreeSet<Fault>,
    /// Workers at whose address another worker answers.
    replaced_workers: BTreeSet<usize>,
    /// Heartbeats that each VM sent and received.
    pub heartbeats: Vec<HeartbeatCount>,
    /// Outcomes of cancellations and when the client got them.
    pub cancel_acks: BTreeMap<CallId, (CancelOutcome, u64)>,
    /// Jobs of the cancellations that clients requested.
    cancel_calls: BTreeMap<CallId, ClientJobId>,
    /// Number of messages about cancellations, and of their rows.
    pub cancel_messages: u64,
    pub cancel_rows: u64,
    /// Time of the last cut between VMs or the last time that one ended.
    cut_at: u64,
    /// Number of starts and stops that each VM sent.
    pub orders: Vec<u64>,
    /// Evacuations that the store has.
    evacuations: Evacuations,
    /// Whether a VM that starts can't read the configuration from the store.
    pub configuration_unavailable: bool,
    /// Number of configurations sent between VMs.
    pub queues_sent: u64,
    /// Number of next starts to hold back. They are not answered.
    pub starts_to_hold: u32,
    /// Starts that were held back: worker, VM, boot of the VM, request.
    held_starts: Vec<(usize, usize, u32, Action)>,
    /// Number of requests to workers that are down or replaced.
    pub misdirected_requests: u64,
    rng: SmallRng,
    next_call: u64,
    next_job: u64,
    version: u64,
}

impl Sim {
    pub fn new(shape: Shape, seed: u64) -> Self {
        Self::with_settings(shape, seed, Policy::default(), None)
    }

    /// Creates a deployment that shares room among queues.
    pub fn with_shares(shape: Shape, seed: u64, shares: Option<ShareSettings>) -> Self {
        Self::with_settings(shape, seed, Policy::default(), shares)
    }

    pub fn with_policy(shape: Shape, seed: u64, policy: Policy) -> Self {
        Self::with_settings(shape, seed, policy, None)
    }

    /// Creates a deployment whose dispatchers have these settings.
    pub fn with_settings(
        shape: Shape,
        seed: u64,
        policy: Policy,
        shares: Option<ShareSettings>,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let capacity = Resources {
            cpu_milli: WORKER_CPU_MILLI,
            memory_mb: 65_536,
            accelerators: 0,
        };
        let workers = (0..shape.workers)
            .map(|_| ModelWorker::new(0, capacity, rng.random_range(0.98..=1.0)))
            .collect();
        let mut sim = Self {
            now: 0,
            history: History::default(),
            workers,
            delayed_request_ratio: 0.0,
            lost_reply_ratio: 0.0,
            lost_stop_ratio: 0.0,
            catch_up: None,
            clocks_count_suspensions: CLOCKS_COUNT_SUSPENSIONS,
            clients_leave_silently: false,
            read_lag: 0,
            resend_vm: None,
            shares,
            shape,
            policy,
            run_time_error: 1.0..=1.0,
            seq: 0,
            queue: BTreeMap::new(),
            vms: Vec::new(),
            polls: (0..shape.workers).map(|_| Vec::new()).collect(),
            links: BTreeMap::new(),
            next_link: 0,
            known_links: BTreeMap::new(),
            no_connections_until: 0,
            cut: BTreeSet::new(),
            worker_cut: BTreeSet::new(),
            faults: BTreeSet::new(),
            replaced_workers: BTreeSet::new(),
            heartbeats: vec![HeartbeatCount::default(); shape.vms],
            cancel_acks: BTreeMap::new(),
            cancel_calls: BTreeMap::new(),
            cancel_messages: 0,
            cancel_rows: 0,
            cut_at: 0,
            orders: vec![0; shape.vms],
            evacuations: Evacuations::new(1),
            configuration_unavailable: false,
            queues_sent: 0,
            starts_to_hold: 0,
            held_starts: Vec::new(),
            misdirected_requests: 0,
            rng,
            next_call: 0,
            next_job: 1,
            version: 1,
        };
        for vm in 0..shape.vms {
            let me = sim.incarnation(vm);
            sim.vms.push(Vm {
                dispatcher: None,
                me,
                boot: 0,
                started: 0,
                frozen_since: None,
                is_powerless: false,
                wanted: BTreeSet::new(),
                follows_workers: false,
                is_suspended: false,
                suspended_total: 0,
                next_tick_at: 0,
                series: 0,
                calls: BTreeMap::new(),
                received_calls: BTreeSet::new(),
                backlog: Vec::new(),
            });
        }
        for vm in 0..shape.vms {
            sim.boot(vm);
        }
        sim.advance(2_000);
        sim
    }

    fn incarnation(&mut self, vm: usize) -> Incarnation {
        Incarnation {
            data_centre: DataCentreId((vm % self.shape.data_centres) as u64),
            vm: VmId(vm as u64 + 1),
            nonce: self.rng.random(),
        }
    }

    fn push(&mut self, at: u64, ev: SimEvent) {
        self.seq += 1;
        self.queue.insert((at, self.seq), ev);
    }

    /// Schedules the arrival of an event at the dispatcher on a VM.
    fn push_event(&mut self, at: u64, vm: usize, event: Event) {
        let boot = self.vms[vm].boot;
        self.push(at, SimEvent::Deliver(vm, boot, event));
    }

    /// Advances the simulation by this time, in milliseconds, and then checks for orphaned runs.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let (_, ev) = self.queue.pop_first().expect("the queue is not empty");
            self.now = self.now.max(at);
            self.handle(ev);
        }
        self.now = end;
        self.history.check_orphans(self.now);
    }

    fn handle(&mut self, ev: SimEvent) {
        match ev {
            SimEvent::Tick(vm, boot) => {
                if self.vms[vm].boot == boot && self.vms[vm].next_tick_at <= self.now {
                    self.run_vm(vm, Vec::new());
                }
            }
            SimEvent::Deliver(vm, boot, event) => {
                if self.vms[vm].boot != boot {
                    return;
                }
                if self.vms[vm].frozen_since.is_some() {
                    // It stays in the receive buffer until the VM thaws.
                    self.vms[vm].backlog.push(event);
                    return;
                }
                self.run_vm(vm, vec![event]);
            }
            SimEvent::Request(worker, vm, boot, action, answered) => {
                self.handle_request(worker, vm, boot, action, answered);
            }
            SimEvent::Worker(worker, boot) => {
                if self.workers[worker].boot == boot {
                    self.advance_worker(worker);
                }
            }
            SimEvent::Crash(worker, boot, task) => {
                let row = &self.workers[worker];
                if row.up && row.boot == boot && row.tasks().any(|active| active == task) {
                    self.crash_and_restart(worker);
                }
            }
            SimEvent::RestartWorker(worker) => self.restart_worker(worker),
            SimEvent::ReturnWorker(worker) => self.return_worker(worker),
            SimEvent::EndFault(fault) => self.end_fault(fault),
            SimEvent::Resend(id) => self.resend(id),
            SimEvent::ClientTimeout(id, submission) => self.handle_client_timeout(id, submission),
            SimEvent::Thaw(vm, boot) => self.thaw(vm, boot),
            SimEvent::Stall(current) => self.stall(current),
            SimEvent::Reconnect(a, b) => self.reconnect(a, b),
            SimEvent::Redial(vm, boot, peer) => self.redial(vm, boot, peer),
            SimEvent::LinkDown(vm, boot, peer, link) => {
                // If the connection was replaced, its end has been reported already.
                let known = self.known_links.get(&(vm, peer)) == Some(&link);
                if self.vms[vm].boot == boot && known {
                    self.push_event(self.now, vm, Event::PeerDown(peer));
                    self.redial_soon(vm, peer);
                }
            }
        }
    }
}
