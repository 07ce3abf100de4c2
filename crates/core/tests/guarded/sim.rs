//! Dispatchers, workers and clients in virtual time.

use crate::ledger::{JobRecord, Ledger, Stand};
use crate::worker::{Conduct, ModelWorker};
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::model::ids::{ClientJobId, QueueId, TaskId, UpstreamId, WorkerId};
use cardamomslip_core::guarded::model::job::{Job, Step, Terms};
use cardamomslip_core::guarded::model::queue::QueueTable;
use cardamomslip_core::guarded::model::reply::{LookReply, StartReply, StopReply};
use cardamomslip_core::guarded::model::resources::Resources;
use cardamomslip_core::guarded::model::worker::WorkerEntry;
use cardamomslip_core::guarded::order::{Look, Order};
use cardamomslip_core::guarded::{Dispatcher, Event, Member, Policy};
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

/// What the store says of one worker: index, whether it is listed, whether it drains.
#[derive(Debug)]
enum Ev {
    Tick(usize, u32),
    Deliver(usize, u32, Event),
    Order(usize, usize, u32, Order, bool),
    Worker(usize, u64),
    Resend(ClientJobId),
    Impatient(ClientJobId, u32),
    Thaw(usize, u32),
    Reconnect(usize, usize),
    LinkDown(usize, u32, Incarnation),
}

#[derive(Debug)]
struct Vm {
    dispatcher: Option<Dispatcher>,
    me: Incarnation,
    boot: u32,
    started: u64,
    frozen_since: Option<u64>,
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
struct PendingLook {
    vm: usize,
    boot: u32,
    look: Look,
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
    looks: Vec<Vec<PendingLook>>,
    links: BTreeSet<(usize, usize)>,
    /// Directed pairs of VMs whose messages are lost.
    cut: BTreeSet<(usize, usize)>,
    /// VMs and workers that can't reach each other.
    worker_cut: BTreeSet<(usize, usize)>,
    /// Workers at whose address another one answers.
    replaced: BTreeSet<usize>,
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
            looks: (0..shape.workers).map(|_| Vec::new()).collect(),
            links: BTreeSet::new(),
            cut: BTreeSet::new(),
            worker_cut: BTreeSet::new(),
            replaced: BTreeSet::new(),
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
            Ev::Order(worker, vm, boot, order, answered) => {
                self.carry_out(worker, vm, boot, order, answered);
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
            Ev::LinkDown(vm, boot, peer) => {
                if self.vms[vm].boot == boot {
                    self.event(self.now, vm, Event::PeerDown(peer));
                }
            }
        }
    }

    // --- VMs

    /// Starts a VM anew; its peers see another incarnation.
    pub fn boot(&mut self, vm: usize) {
        let me = self.incarnation(vm);
        let row = &mut self.vms[vm];
        row.me = me;
        row.boot += 1;
        row.started = self.now;
        row.frozen_since = None;
        row.frozen_total = 0;
        row.backlog.clear();
        row.dispatcher = Some(Dispatcher::new(
            Member { me, weight: 25 },
            Policy::default(),
        ));
        row.tick_at = self.now;
        let boot = row.boot;
        self.push(self.now, Ev::Tick(vm, boot));
        let entries = (0..self.workers.len()).filter(|&w| self.workers[w].up);
        let entries: Vec<_> = entries.map(|w| self.entry(w)).collect();
        self.event(self.now + MS, vm, Event::Workers(entries));
        let table = Arc::new(QueueTable::new(self.version, Vec::new(), 0));
        self.event(self.now + MS, vm, Event::Queues(table));
        for peer in 0..self.vms.len() {
            let wait = self.rng.random_range(20..300) * MS;
            self.push(self.now + wait, Ev::Reconnect(vm, peer));
        }
    }

    /// Ends a VM at once. Without power its peers only notice its silence.
    pub fn kill(&mut self, vm: usize, power: bool) {
        if self.vms[vm].dispatcher.take().is_none() {
            return;
        }
        let me = self.vms[vm].me;
        self.vms[vm].boot += 1;
        self.drop_links(vm, me, if power { SILENCE } else { HOP });
        let calls = std::mem::take(&mut self.vms[vm].calls);
        for id in calls.into_values() {
            self.lose_answer(id);
        }
    }

    fn drop_links(&mut self, vm: usize, me: Incarnation, delay: u64) {
        for peer in 0..self.vms.len() {
            let known = self.links.remove(&(vm, peer)) | self.links.remove(&(peer, vm));
            if known {
                let boot = self.vms[peer].boot;
                self.push(self.now + delay, Ev::LinkDown(peer, boot, me));
            }
        }
    }

    /// Stops a VM gracefully.
    pub fn stop(&mut self, vm: usize) {
        if self.is_up(vm) {
            self.event(self.now, vm, Event::Stop);
        }
    }

    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].dispatcher.is_some()
    }

    /// Suspends a VM. Its monotonic clock stands still meanwhile.
    pub fn freeze(&mut self, vm: usize, ms: u64) {
        if !self.is_up(vm) || self.vms[vm].frozen_since.is_some() {
            return;
        }
        self.vms[vm].frozen_since = Some(self.now);
        let boot = self.vms[vm].boot;
        self.push(self.now + ms * MS, Ev::Thaw(vm, boot));
        if ms * MS > SILENCE {
            let me = self.vms[vm].me;
            for peer in 0..self.vms.len() {
                if self.links.contains(&(vm, peer)) {
                    let boot = self.vms[peer].boot;
                    self.push(self.now + SILENCE, Ev::LinkDown(peer, boot, me));
                }
            }
        }
    }

    fn thaw(&mut self, vm: usize, boot: u32) {
        if self.vms[vm].boot != boot {
            return;
        }
        let Some(since) = self.vms[vm].frozen_since.take() else {
            return;
        };
        let span = self.now - since;
        self.vms[vm].frozen_total += span;
        if span >= 300 * MS {
            self.run_vm(vm, Some(Event::Paused(Duration::from_micros(span))));
        }
        if span > SILENCE {
            for peer in 0..self.vms.len() {
                let known = self.links.remove(&(vm, peer)) | self.links.remove(&(peer, vm));
                if known {
                    let incarnation = self.vms[peer].me;
                    self.event(self.now, vm, Event::PeerDown(incarnation));
                    self.push(self.now + 250 * MS, Ev::Reconnect(vm, peer));
                }
            }
        }
        for event in std::mem::take(&mut self.vms[vm].backlog) {
            self.event(self.now, vm, event);
        }
        let boot = self.vms[vm].boot;
        self.vms[vm].tick_at = self.now;
        self.push(self.now, Ev::Tick(vm, boot));
    }

    fn vm_time(&self, vm: usize) -> Time {
        let row = &self.vms[vm];
        Time::from_micros(self.now - row.started - row.frozen_total)
    }

    fn run_vm(&mut self, vm: usize, event: Option<Event>) {
        if self.vms[vm].frozen_since.is_some() {
            return;
        }
        let (now, unix_ms) = (self.vm_time(vm), 1_790_000_000_000 + self.now / MS);
        if let Some(Event::Submit { call, .. }) = &event {
            self.vms[vm].taken_in.insert(*call);
        }
        let mut orders = Vec::new();
        let Some(dispatcher) = &mut self.vms[vm].dispatcher else {
            return;
        };
        if let Some(event) = event {
            dispatcher.handle(now, unix_ms, event, &mut orders);
        }
        dispatcher.tick(now, unix_ms, &mut orders);
        let next = dispatcher.next_tick().expect("a timer");
        let wait = u64::try_from(next.since(now).as_micros()).expect("a short time");
        let at = self.now + wait.max(100);
        self.vms[vm].tick_at = at;
        let boot = self.vms[vm].boot;
        self.push(at, Ev::Tick(vm, boot));
        for order in orders {
            self.take_order(vm, order);
        }
    }

    fn take_order(&mut self, vm: usize, order: Order) {
        match order {
            Order::Answer { call, answer } => {
                // The client may have left already.
                if let Some(id) = self.vms[vm].calls.remove(&call) {
                    self.answer(id, answer);
                }
            }
            Order::Send { to, message } => {
                let Some(peer) = (0..self.vms.len()).find(|&p| self.vms[p].me == to) else {
                    return;
                };
                if self.links.contains(&(vm, peer)) && !self.cut.contains(&(vm, peer)) {
                    let from = self.vms[vm].me;
                    self.event(self.now + HOP, peer, Event::Message { from, message });
                }
            }
            Order::Look(look) => self.send_order(vm, look.worker, Order::Look(look)),
            Order::Start(start) => self.send_order(vm, start.worker, Order::Start(start)),
            Order::Stop { worker, run, token } => {
                self.send_order(vm, worker, Order::Stop { worker, run, token });
            }
            Order::AdoptQueues(table) => {
                let boot = self.vms[vm].boot;
                self.ledger.adopted(vm, boot, table.version);
            }
            Order::Closed => {
                let me = self.vms[vm].me;
                self.vms[vm].dispatcher = None;
                self.vms[vm].boot += 1;
                let calls = std::mem::take(&mut self.vms[vm].calls);
                for (call, id) in calls {
                    let taken_in = self.vms[vm].taken_in.contains(&call);
                    assert!(!taken_in, "a stop left {id} without an answer");
                    self.lose_answer(id);
                }
                self.drop_links(vm, me, HOP);
            }
        }
    }

    // --- links

    fn reconnect(&mut self, a: usize, b: usize) {
        if a == b || !self.is_up(a) || !self.is_up(b) || self.links.contains(&(a, b)) {
            return;
        }
        let cut = self.cut.contains(&(a, b)) || self.cut.contains(&(b, a));
        let frozen = self.vms[a].frozen_since.is_some() || self.vms[b].frozen_since.is_some();
        if cut || frozen {
            self.push(self.now + 250 * MS, Ev::Reconnect(a, b));
            return;
        }
        self.links.insert((a, b));
        self.links.insert((b, a));
        let (of_a, of_b) = (self.vms[a].me, self.vms[b].me);
        self.event(self.now, a, Event::PeerUp(of_b));
        self.event(self.now, b, Event::PeerUp(of_a));
    }

    /// Cuts the way from `a` to `b`. `b` notices the silence; when it closes, so does `a`.
    pub fn cut(&mut self, a: usize, b: usize) {
        if a == b || !self.cut.insert((a, b)) || !self.links.contains(&(a, b)) {
            return;
        }
        self.links.remove(&(a, b));
        self.links.remove(&(b, a));
        let both = self.cut.contains(&(b, a));
        let (of_a, of_b) = (self.vms[a].me, self.vms[b].me);
        let (boot_a, boot_b) = (self.vms[a].boot, self.vms[b].boot);
        self.push(self.now + SILENCE, Ev::LinkDown(b, boot_b, of_a));
        let later = if both { SILENCE } else { SILENCE + HOP };
        self.push(self.now + later, Ev::LinkDown(a, boot_a, of_b));
    }

    /// Cuts a VM off a worker, both ways.
    pub fn cut_worker(&mut self, vm: usize, worker: usize) {
        self.worker_cut.insert((vm, worker));
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.worker_cut.clear();
        self.late_share = 0.0;
        self.lost_share = 0.0;
        for a in 0..self.vms.len() {
            for b in 0..a {
                self.push(self.now + SILENCE + 200 * MS, Ev::Reconnect(a, b));
            }
        }
    }

    // --- workers

    fn worker_id(worker: usize) -> WorkerId {
        WorkerId((worker as u64) << 32)
    }

    fn entry(&self, worker: usize) -> WorkerEntry {
        let row = &self.workers[worker];
        WorkerEntry {
            id: Self::worker_id(worker),
            upstream: UpstreamId(1),
            data_centre: DataCentreId((worker % self.shape.data_centres) as u64),
            capacity: row.capacity,
            labels: vec!["a".into()],
            draining: row.draining_since.is_some(),
        }
    }

    /// The registry tells all VMs of a worker.
    fn announce(&mut self, worker: usize) {
        for vm in 0..self.vms.len() {
            let event = if self.workers[worker].up {
                Event::Worker(self.entry(worker))
            } else {
                Event::WorkerGone(Self::worker_id(worker))
            };
            self.event(self.now + 5 * MS, vm, event);
        }
    }

    /// A worker starts anew under its id, at once.
    pub fn reboot_worker(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.ledger.ended(worker, task);
        }
        self.workers[worker].reboot(self.now);
        for pending in std::mem::take(&mut self.looks[worker]) {
            let order = Order::Look(pending.look);
            if self.vms[pending.vm].boot == pending.boot {
                self.silent(pending.vm, &order, ORDER_TIMEOUT);
            }
        }
        self.announce(worker);
    }

    /// A worker leaves: it gets no new work and takes none after a while.
    pub fn drain_worker(&mut self, worker: usize) {
        self.workers[worker].draining_since = Some(self.now);
        self.announce(worker);
    }

    /// Another worker answers at the address of this one, whose entry the registry still has.
    pub fn replace_worker(&mut self, worker: usize) {
        let tasks: Vec<TaskId> = self.workers[worker].tasks().collect();
        for task in tasks {
            self.ledger.ended(worker, task);
        }
        self.workers[worker].reboot(self.now);
        self.replaced.insert(worker);
    }

    pub fn set_conduct(&mut self, worker: usize, conduct: Conduct) {
        self.workers[worker].conduct = conduct;
    }

    fn send_order(&mut self, vm: usize, id: WorkerId, order: Order) {
        let worker = (id.0 >> 32) as usize;
        let boot = self.vms[vm].boot;
        let wait = match &order {
            Order::Look(look) => u64::try_from(look.wait.as_micros()).expect("a short wait"),
            _ => 0,
        };
        if self.worker_cut.contains(&(vm, worker)) || !self.workers[worker].up {
            self.silent(vm, &order, ORDER_TIMEOUT + wait);
            return;
        }
        if self.rng.random_bool(self.late_share) {
            let late = self.rng.random_range(2_000..12_000) * MS;
            self.silent(vm, &order, ORDER_TIMEOUT + wait);
            self.push(self.now + late, Ev::Order(worker, vm, boot, order, false));
            return;
        }
        let answered = !self.rng.random_bool(self.lost_share);
        if !answered {
            self.silent(vm, &order, ORDER_TIMEOUT + wait);
        }
        let hop = HOP + self.rng.random_range(0..400);
        self.push(self.now + hop, Ev::Order(worker, vm, boot, order, answered));
    }

    fn silent(&mut self, vm: usize, order: &Order, after: u64) {
        let event = match order {
            Order::Look(look) => Event::Looked {
                worker: look.worker,
                look: look.look,
                reply: LookReply::Silent,
            },
            Order::Start(start) => Event::Started {
                worker: start.worker,
                run: start.run,
                reply: StartReply::Silent,
            },
            Order::Stop { worker, run, .. } => Event::Stopped {
                worker: *worker,
                run: *run,
                reply: StopReply::Silent,
            },
            _ => return,
        };
        self.event(self.now + after, vm, event);
    }

    fn reply(&mut self, vm: usize, boot: u32, event: Event) {
        self.push(self.now + HOP, Ev::Deliver(vm, boot, event));
    }

    fn carry_out(&mut self, worker: usize, vm: usize, boot: u32, order: Order, answered: bool) {
        self.advance_worker(worker);
        if self.replaced.contains(&worker) {
            self.misdirected += 1;
            if let Some(event) = misdirected(&order) {
                self.reply(vm, boot, event);
            }
            return;
        }
        match order {
            Order::Look(look) => self.look(worker, vm, boot, look, answered),
            Order::Start(start) => {
                let before: BTreeSet<TaskId> = self.workers[worker].tasks().collect();
                let (need, work) = self.shape_of(start.run.task);
                let (token, end) = (start.token, start.lease_end_ms);
                let row = &mut self.workers[worker];
                let reply = row.start(self.now, start.run, token, end, need, work);
                let fresh = matches!(reply, StartReply::Started { .. })
                    && !before.contains(&start.run.task);
                if fresh {
                    self.check_draining(worker, answered);
                    self.ledger.started(self.now, worker, start.run.task);
                }
                if answered {
                    let id = Self::worker_id(worker);
                    let run = start.run;
                    let event = Event::Started {
                        worker: id,
                        run,
                        reply,
                    };
                    self.reply(vm, boot, event);
                }
            }
            Order::Stop {
                worker: id,
                run,
                token,
            } => {
                let reply = self.workers[worker].stop(self.now, run, token);
                if answered {
                    let event = Event::Stopped {
                        worker: id,
                        run,
                        reply,
                    };
                    self.reply(vm, boot, event);
                }
            }
            _ => {}
        }
        self.schedule_worker(worker);
    }

    /// A worker that is known to drain gets no new work; orders carried out late don't count.
    fn check_draining(&self, worker: usize, answered: bool) {
        let since = self.workers[worker].draining_since;
        let known = since.is_some_and(|since| self.now > since + 2_000 * MS);
        assert!(!(known && answered), "a start on draining worker {worker}");
    }

    fn look(&mut self, worker: usize, vm: usize, boot: u32, look: Look, answered: bool) {
        let row = &mut self.workers[worker];
        let listing = row.look(self.now, look.token, look.lease_end_ms, look.last_seen);
        if !answered {
            return;
        }
        let Some(listing) = listing else {
            let event = Event::Looked {
                worker: look.worker,
                look: look.look,
                reply: LookReply::Fenced,
            };
            self.reply(vm, boot, event);
            return;
        };
        if row.has_ends() || look.wait.is_zero() {
            let event = Event::Looked {
                worker: look.worker,
                look: look.look,
                reply: LookReply::Listed(listing),
            };
            self.reply(vm, boot, event);
            return;
        }
        let until = self.now + u64::try_from(look.wait.as_micros()).expect("a short wait");
        let boot_of_worker = row.boot;
        self.looks[worker].push(PendingLook {
            vm,
            boot,
            look,
            until,
        });
        self.push(until, Ev::Worker(worker, boot_of_worker));
    }

    fn advance_worker(&mut self, worker: usize) {
        let before: Vec<TaskId> = self.workers[worker].tasks().collect();
        self.workers[worker].advance(self.now);
        let after: BTreeSet<TaskId> = self.workers[worker].tasks().collect();
        let listing = self.workers[worker].listing(self.now);
        for task in before.into_iter().filter(|task| !after.contains(task)) {
            self.ledger.ended(worker, task);
            let end = listing.ended.iter().rev().find(|end| end.run.task == task);
            if let Some(end) = end {
                self.ledger.saw_end(task, end.end);
            }
        }
        let now = self.now;
        let is_due = |pending: &mut PendingLook| pending.until <= now || !listing.ended.is_empty();
        let due: Vec<_> = self.looks[worker].extract_if(.., is_due).collect();
        for pending in due {
            let event = Event::Looked {
                worker: pending.look.worker,
                look: pending.look.look,
                reply: LookReply::Listed(listing.clone()),
            };
            self.reply(pending.vm, pending.boot, event);
        }
        self.schedule_worker(worker);
    }

    fn schedule_worker(&mut self, worker: usize) {
        let row = &self.workers[worker];
        if let Some(at) = row.next_change(self.now).filter(|&at| at != u64::MAX) {
            let boot = row.boot;
            self.push(at, Ev::Worker(worker, boot));
        }
    }

    fn shape_of(&self, task: TaskId) -> (Resources, u64) {
        let job = &self.ledger.jobs[&task.job].job;
        let step = &job.steps[task.step as usize];
        let work = u64::try_from(step.estimate.as_micros()).expect("a short task");
        (step.need, work)
    }

    // --- clients

    /// A client submits a job of `tasks` tasks of `work_ms` each to a VM.
    pub fn submit(&mut self, vm: usize, tasks: u32, work_ms: u64, priority: u32) -> ClientJobId {
        self.submit_job(vm, tasks, work_ms, priority, TASK_CPU)
    }

    /// A client submits a job whose tasks need `cpu_milli` thousandths of a core.
    pub fn submit_sized(
        &mut self,
        vm: usize,
        tasks: u32,
        work_ms: u64,
        cpu_milli: u64,
    ) -> ClientJobId {
        self.submit_job(vm, tasks, work_ms, 0, cpu_milli)
    }

    fn submit_job(
        &mut self,
        vm: usize,
        tasks: u32,
        work_ms: u64,
        priority: u32,
        cpu_milli: u64,
    ) -> ClientJobId {
        let id = ClientJobId(self.next_job);
        self.next_job += 1;
        let job = Job {
            id,
            terms: Terms {
                queue: QueueId(1),
                upstream: UpstreamId(1),
                priority,
                max_attempts: 3,
                stretch: 1.6,
                target: Duration::from_millis(60),
            },
            payload: "what to do".into(),
            steps: vec![Step {
                count: tasks,
                need: Resources {
                    cpu_milli,
                    memory_mb: 64,
                    accelerators: 0,
                },
                estimate: Duration::from_millis(work_ms),
                after: Vec::new(),
                label: None,
                near_rack: None,
                per_worker: None,
            }],
            patience: Duration::from_millis(2_500),
        };
        self.ledger.jobs.insert(
            id,
            JobRecord {
                job: Arc::new(job),
                stand: Stand::Waiting,
                attempts: 0,
                refusals: 0,
                answer: None,
                sent: self.now,
                over: None,
                done: BTreeSet::new(),
                ever_started: false,
            },
        );
        self.send(id, vm);
        id
    }

    fn send(&mut self, id: ClientJobId, vm: usize) {
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        record.stand = Stand::Waiting;
        record.attempts += 1;
        let attempt = record.attempts;
        let job = Arc::clone(&record.job);
        let call = CallId(self.next_call);
        self.next_call += 1;
        if !self.is_up(vm) {
            self.lose_answer(id);
            return;
        }
        self.vms[vm].calls.insert(call, id);
        self.event(self.now + HOP, vm, Event::Submit { call, job });
        self.push(self.now + 2_600 * MS, Ev::Impatient(id, attempt));
    }

    /// The client has no answer: it sends the job again after a while.
    fn lose_answer(&mut self, id: ClientJobId) {
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        if record.attempts < MAX_ATTEMPTS {
            record.stand = Stand::Between(self.now);
            self.push(self.now + RESEND, Ev::Resend(id));
        } else {
            record.stand = Stand::Over(self.now);
        }
    }

    fn send_again(&mut self, id: ClientJobId) {
        let vm = self.rng.random_range(0..self.vms.len());
        self.send(id, vm);
    }

    fn lose_patience(&mut self, id: ClientJobId, attempt: u32) {
        let record = &self.ledger.jobs[&id];
        if record.stand == Stand::Waiting && record.attempts == attempt {
            self.hang_up(id);
            self.lose_answer(id);
        }
    }

    /// The client leaves for good.
    pub fn leave(&mut self, id: ClientJobId) {
        self.hang_up(id);
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        record.stand = Stand::Over(self.now);
    }

    fn hang_up(&mut self, id: ClientJobId) {
        for vm in 0..self.vms.len() {
            let call = self.vms[vm].calls.iter().find(|(_, job)| **job == id);
            if let Some((&call, _)) = call {
                self.vms[vm].calls.remove(&call);
                self.event(self.now + HOP, vm, Event::Abandon(call));
            }
        }
    }

    fn answer(&mut self, id: ClientJobId, answer: Answer) {
        self.ledger.answered(self.now, id, answer);
        let record = self.ledger.jobs.get_mut(&id).expect("the job");
        record.answer = Some(answer);
        record.over = Some(self.now);
        if matches!(answer, Answer::Lost(_)) {
            self.lose_answer(id);
        } else {
            record.stand = Stand::Over(self.now);
        }
    }

    /// The operators put another configuration in force; VMs learn of it one after the other.
    pub fn change_queues(&mut self) {
        self.version += 1;
        for vm in 0..self.vms.len() {
            let table = Arc::new(QueueTable::new(self.version, Vec::new(), 0));
            let wait = self.rng.random_range(1..200) * MS;
            self.event(self.now + wait, vm, Event::Queues(table));
        }
    }

    /// Returns the time from submission to refusal of a job, in milliseconds, if it was refused.
    pub fn refused_after(&self, id: ClientJobId) -> Option<u64> {
        let record = &self.ledger.jobs[&id];
        let refused = matches!(record.answer, Some(Answer::Refused { .. }));
        refused.then(|| (record.over.unwrap_or(self.now) - record.sent) / MS)
    }

    /// Returns the VM that holds workers of a data centre, if there is exactly one.
    pub fn holder(&self, data_centre: usize) -> usize {
        let vms = (0..self.vms.len()).filter(|vm| vm % self.shape.data_centres == data_centre);
        let held = |vm: &usize| {
            let dispatcher = self.vms[*vm].dispatcher.as_ref();
            dispatcher.is_some_and(|dispatcher| dispatcher.stats().held_workers > 0)
        };
        let holders: Vec<usize> = vms.filter(held).collect();
        assert_eq!(holders.len(), 1, "holders of data centre {data_centre}");
        holders[0]
    }

    /// Returns how often a worker was taken over by the present VMs.
    pub fn takeovers(&self) -> u64 {
        let dispatchers = self.vms.iter().filter_map(|vm| vm.dispatcher.as_ref());
        dispatchers
            .map(|dispatcher| dispatcher.stats().takeovers)
            .sum()
    }

    /// Returns the time from submission to answer of a job, in milliseconds, if it completed.
    pub fn completed_in(&self, id: ClientJobId) -> Option<u64> {
        let record = &self.ledger.jobs[&id];
        let completed = record.answer == Some(Answer::Completed);
        completed.then(|| (record.over.unwrap_or(self.now) - record.sent) / MS)
    }
}

/// The reply of another worker than the one that an order is meant for.
fn misdirected(order: &Order) -> Option<Event> {
    Some(match order {
        Order::Look(look) => Event::Looked {
            worker: look.worker,
            look: look.look,
            reply: LookReply::OtherBoot,
        },
        Order::Start(start) => Event::Started {
            worker: start.worker,
            run: start.run,
            reply: StartReply::OtherBoot,
        },
        Order::Stop { worker, run, .. } => Event::Stopped {
            worker: *worker,
            run: *run,
            reply: StopReply::OtherBoot,
        },
        _ => return None,
    })
}
