//! Dispatchers, workers and clients in virtual time.

mod clients;
mod links;
mod vms;
mod workers;

use crate::ledger::{JobRecord, Ledger, Stand};
use crate::worker::{Conduct, ModelWorker};
use cardamomslip_core::guarded::action::{Action, Poll};
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::model::ids::{
    ClientJobId, FencingToken, QueueId, TaskId, UpstreamId, WorkerId,
};
use cardamomslip_core::guarded::model::job::{Job, QueueSettings, Step};
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::guarded::model::queue::QueueTable;
use cardamomslip_core::guarded::model::reply::{PollReply, StartReply, StopReply};
use cardamomslip_core::guarded::model::resources::Resources;
use cardamomslip_core::guarded::model::worker::WorkerEntry;
use cardamomslip_core::guarded::{Dispatcher, Event, Identity, Policy, Stats};
use cardamomslip_core::model::ids::{CallId, DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::time::Time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// A millisecond in microseconds.
pub const MS: u64 = 1_000;
/// One way between two processes.
const HOP: u64 = 500;
/// Time after which an order without an answer counts as such.
const ORDER_TIMEOUT: u64 = 120 * MS;
/// Silence after which a link counts as dead.
const SILENCE: u64 = 400 * MS;
/// Time after which a client sends a job again.
const RESEND: u64 = 1_300 * MS;
/// Sends of one job at most.
const MAX_ATTEMPTS: u32 = 3;
/// Processor of a worker: two tasks fit.
const WORKER_CPU: u64 = 16_000;
/// Processor of a task.
const TASK_CPU: u64 = 6_800;

/// What happens at a time.
#[derive(Debug)]
enum Ev {
    Tick(usize, u32),
    Deliver(usize, u32, Event),
    Action(usize, usize, u32, Action, bool),
    Worker(usize, u64),
    Resend(ClientJobId),
    Impatient(ClientJobId, u32),
    Thaw(usize, u32),
    Reconnect(usize, usize),
    /// A VM notices that the connection of this number to a peer has ended.
    LinkDown(usize, u32, Incarnation, u64),
}

#[derive(Debug)]
struct Vm {
    dispatcher: Option<Dispatcher>,
    me: Incarnation,
    boot: u32,
    started: u64,
    frozen_since: Option<u64>,
    /// Whether the clock stands still with the VM.
    is_suspended: bool,
    frozen_total: u64,
    tick_at: u64,
    /// Jobs of open calls.
    calls: BTreeMap<CallId, ClientJobId>,
    /// Calls that the dispatcher has taken in.
    taken_in: BTreeSet<CallId>,
    /// What came while the VM was frozen, in order.
    backlog: Vec<Event>,
}

#[derive(Debug)]
struct PendingPoll {
    vm: usize,
    boot: u32,
    poll: Poll,
    until: u64,
}

/// Shape of the installation.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub vms: usize,
    pub data_centres: usize,
    pub workers: usize,
}

/// Dispatchers, workers and clients in virtual time.
#[derive(Debug)]
pub struct Sim {
    pub now: u64,
    pub ledger: Ledger,
    pub workers: Vec<ModelWorker>,
    pub late_share: f64,
    pub lost_share: f64,
    shape: Shape,
    seq: u64,
    queue: BTreeMap<(u64, u64), Ev>,
    vms: Vec<Vm>,
    polls: Vec<Vec<PendingPoll>>,
    /// Connections and their numbers.
    links: BTreeMap<(usize, usize), u64>,
    next_link: u64,
    /// The connections that VMs know of, which lags behind.
    known_links: BTreeMap<(usize, Incarnation), u64>,
    /// Directed pairs of VMs whose messages are lost.
    cut: BTreeSet<(usize, usize)>,
    /// VMs and workers that can't reach each other.
    worker_cut: BTreeSet<(usize, usize)>,
    /// Workers at whose address another one answers.
    replaced: BTreeSet<usize>,
    /// Configurations that VMs sent to each other.
    pub queues_sent: u64,
    /// Orders that reached them.
    pub misdirected: u64,
    rng: SmallRng,
    next_call: u64,
    next_job: u64,
    version: u64,
}

impl Sim {
    pub fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let capacity = Resources {
            cpu_milli: WORKER_CPU,
            memory_mb: 65_536,
            accelerators: 0,
        };
        let workers = (0..shape.workers)
            .map(|_| ModelWorker::new(0, capacity, rng.random_range(0.98..=1.0)))
            .collect();
        let mut sim = Self {
            now: 0,
            ledger: Ledger::default(),
            workers,
            late_share: 0.0,
            lost_share: 0.0,
            shape,
            seq: 0,
            queue: BTreeMap::new(),
            vms: Vec::new(),
            polls: (0..shape.workers).map(|_| Vec::new()).collect(),
            links: BTreeMap::new(),
            next_link: 0,
            known_links: BTreeMap::new(),
            cut: BTreeSet::new(),
            worker_cut: BTreeSet::new(),
            replaced: BTreeSet::new(),
            queues_sent: 0,
            misdirected: 0,
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
                is_suspended: false,
                frozen_total: 0,
                tick_at: 0,
                calls: BTreeMap::new(),
                taken_in: BTreeSet::new(),
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

    fn push(&mut self, at: u64, ev: Ev) {
        self.seq += 1;
        self.queue.insert((at, self.seq), ev);
    }

    fn event(&mut self, at: u64, vm: usize, event: Event) {
        let boot = self.vms[vm].boot;
        self.push(at, Ev::Deliver(vm, boot, event));
    }

    /// Runs for some milliseconds.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let (_, ev) = self.queue.pop_first().expect("an event");
            self.now = self.now.max(at);
            self.handle(ev);
        }
        self.now = end;
        self.ledger.check_orphans(self.now);
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(vm, boot) => {
                if self.vms[vm].boot == boot && self.vms[vm].tick_at <= self.now {
                    self.run_vm(vm, None);
                }
            }
            Ev::Deliver(vm, boot, event) => {
                if self.vms[vm].boot != boot {
                    return;
                }
                if self.vms[vm].frozen_since.is_some() {
                    // It stays in the socket until the VM wakes up.
                    self.vms[vm].backlog.push(event);
                    return;
                }
                self.run_vm(vm, Some(event));
            }
            Ev::Action(worker, vm, boot, action, answered) => {
                self.carry_out(worker, vm, boot, action, answered);
            }
            Ev::Worker(worker, boot) => {
                if self.workers[worker].boot == boot {
                    self.advance_worker(worker);
                }
            }
            Ev::Resend(id) => self.send_again(id),
            Ev::Impatient(id, attempt) => self.lose_patience(id, attempt),
            Ev::Thaw(vm, boot) => self.thaw(vm, boot),
            Ev::Reconnect(a, b) => self.reconnect(a, b),
            Ev::LinkDown(vm, boot, peer, link) => {
                // A connection that was replaced meanwhile has been reported as ended.
                let known = self.known_links.get(&(vm, peer)) == Some(&link);
                if self.vms[vm].boot == boot && known {
                    self.event(self.now, vm, Event::PeerDown(peer));
                }
            }
        }
    }
}
