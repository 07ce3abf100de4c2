//! Several nodes, joined by a message soup, in virtual time.

mod checks;
mod operations;
mod shape;

pub use shape::Shape;

use crate::executor::Executor;
use crate::ledger::{CallKind, Ledger};
use crate::store::Store;
use cardamomslip_core::collections::{FastMap, FastSet};
use cardamomslip_core::model::configuration::{
    Change, ChangeRequest, Configuration, CustomerEntry, Preset,
};
use cardamomslip_core::model::ids::{AttemptId, CallId, CustomerId, DataCentreId, StoreOpId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;
use cardamomslip_core::model::outcome::Outcome;
use cardamomslip_core::model::request::{NotStarted, Request, Response, StartReply, StartRequest};
use cardamomslip_core::model::store::{StoreOp, StoreReply};
use cardamomslip_core::model::time::Time;
use cardamomslip_core::model::vm_list::{EntryVm, VmList, VmState};
use cardamomslip_core::{Action, ChangeResult, Event, Node, Policy, PolicyBuilder};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

/// Data centres.
pub const DATA_CENTRES: usize = 2;
/// Entry VMs in each data centre.
pub const ENTRIES: usize = 2;
/// All entry VMs.
pub const VMS: usize = DATA_CENTRES * ENTRIES;
/// Executors in each data centre.
const EXECUTORS: usize = 2;
/// Slots of each executor.
const SLOTS: u16 = 3;
/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// Interval at which connections and polls are brought up to date, in microseconds.
const HOUSEKEEPING: u64 = 500 * MS;
/// Time after which a frozen peer is disconnected, in microseconds.
const SILENCE: u64 = 3_500 * MS;
/// Bound of the time until an accepted configuration is in force, in microseconds.
const CONFIG_BOUND: u64 = 5_000 * MS;
/// Time within which every job ends once everything is healed, in milliseconds.
const LONGEST_JOB_MS: u64 = 120_000;
/// Looks whether a planned stop has ended.
const STOP_STEPS: u32 = 24;
/// Unfinished tasks that one node holds at most.
const MAX_OPEN_TASKS: u32 = 12;

/// Something that happens at a time.
#[derive(Debug)]
enum Item {
    Deliver {
        to: Incarnation,
        event: Event,
    },
    StartArrives {
        issuer: Incarnation,
        order: StartRequest,
    },
    TaskEnds {
        executor: usize,
        issuer: Incarnation,
        attempt: AttemptId,
    },
    AbortArrives {
        executor: usize,
        issuer: Incarnation,
        attempt: AttemptId,
    },
    StoreOpArrives {
        from: Incarnation,
        op: StoreOpId,
        req: StoreOp,
        asked: u64,
    },
    StoreEffect {
        req: StoreOp,
        usage_version: u64,
        asked: u64,
    },
    Housekeeping,
}

/// An entry VM.
#[derive(Debug)]
struct Vm {
    data_centre: DataCentreId,
    process: Option<Process>,
    nonce: u64,
}

/// A run of the daemon.
#[derive(Debug)]
struct Process {
    me: Incarnation,
    node: Node,
    epoch: u64,
    paused_at: Option<u64>,
    inbox: Vec<(Event, Option<(CallId, CallKind)>)>,
    calls: FastMap<CallId, CallKind>,
    version: u64,
    list: Option<Arc<VmList>>,
    closing: bool,
}

/// How the soup treats messages.
#[derive(Clone, Copy, Debug, Default)]
struct Chaos {
    drop: f64,
    duplicate: f64,
    delay_ms: u64,
}

/// Nodes, executors, the platform, and the oracle.
#[derive(Debug)]
pub struct Fleet {
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: FastMap<u64, Item>,
    next_item: u64,
    rng: SmallRng,
    vms: Vec<Vm>,
    executors: Vec<Executor>,
    store: Store,
    vm_list_revision: u64,
    links: FastSet<(Incarnation, Incarnation)>,
    cut: bool,
    platform_cut: Vec<bool>,
    chaos: Chaos,
    next_call: u64,
    /// The oracle.
    pub ledger: Ledger,
    /// What was reached.
    pub counts: BTreeMap<String, u64>,
    closed: FastSet<Incarnation>,
    /// When the last task of an incarnation ended.
    last_end: FastMap<Incarnation, u64>,
    lost_at_issuer: FastSet<(Incarnation, AttemptId)>,
    healed_since: Option<u64>,
}

fn policy() -> Policy {
    PolicyBuilder::new()
        .min_attempt_timeout(Duration::from_millis(4_000))
        .attempt_timeout_factor(10)
        .store_timeout(Duration::from_millis(3_000))
        .usage_interval(Duration::from_millis(2_000))
        .retention(Duration::from_secs(1_000))
        .handover_timeout(Duration::from_millis(6_000))
        .handover_part_len(1)
        .build()
}

/// Returns the customer with this number.
pub fn customer(number: usize) -> CustomerId {
    CustomerId(1 + number as u64 % 2)
}

fn first_change() -> Change {
    let preset = |name: &str, admits_work| Preset {
        name: name.into(),
        admits_work,
        max_open_tasks: MAX_OPEN_TASKS,
        max_wait_ms: 60_000,
    };
    let entry = |number: usize, weight| CustomerEntry {
        id: customer(number),
        name: format!("customer {number}").into(),
        token_sha256: format!("hash {number}").into(),
        weight,
        quota_slots: None,
    };
    Change::Replace {
        preset: "ordinary".into(),
        presets: vec![
            preset("ordinary", true),
            preset("peak", true),
            preset("maintenance", false),
        ],
        customers: vec![entry(0, 1), entry(1, 2)],
    }
}

impl Fleet {
    /// Starts all nodes with a first configuration in the store.
    pub fn new(seed: u64) -> Self {
        let vms = (0..VMS)
            .map(|i| Vm {
                data_centre: DataCentreId((i / ENTRIES) as u64),
                process: None,
                nonce: 0,
            })
            .collect();
        let executors = (0..DATA_CENTRES * EXECUTORS)
            .map(|i| {
                let speed = 500 + 500 * (i as u32 % 3);
                Executor::new(i as u64, (i / EXECUTORS) as u64, SLOTS, speed)
            })
            .collect();
        let mut fleet = Self {
            now: 0,
            queue: BinaryHeap::new(),
            items: FastMap::default(),
            next_item: 0,
            rng: SmallRng::seed_from_u64(seed),
            vms,
            executors,
            store: Store::default(),
            vm_list_revision: 1,
            links: FastSet::default(),
            cut: false,
            platform_cut: vec![false; DATA_CENTRES],
            chaos: Chaos::default(),
            next_call: 0,
            ledger: Ledger::default(),
            counts: BTreeMap::new(),
            closed: FastSet::default(),
            last_end: FastMap::default(),
            lost_at_issuer: FastSet::default(),
            healed_since: None,
        };
        let req = change_request(0, first_change());
        let config = Configuration::next_version(None, &req, 1).expect("a valid configuration");
        let config = Arc::new(config);
        fleet
            .store
            .perform(&StoreOp::CompareAndSwapConfiguration { base: 0, config });
        for vm in 0..VMS {
            fleet.replace(vm);
        }
        fleet.push(0, Item::Housekeeping);
        fleet.advance(3_000);
        fleet
    }

    /// Counts something that was reached.
    pub fn count(&mut self, name: impl Into<String>) {
        *self.counts.entry(name.into()).or_insert(0) += 1;
    }

    fn push(&mut self, delay: u64, item: Item) {
        let number = self.next_item;
        self.next_item += 1;
        self.items.insert(number, item);
        self.queue.push(Reverse((self.now + delay, number)));
    }

    fn vm_of(&self, me: Incarnation) -> Option<usize> {
        let vm = usize::try_from(me.vm.0).ok()?;
        let process = self.vms[vm].process.as_ref()?;
        (process.me == me).then_some(vm)
    }

    /// Runs for `ms` milliseconds.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        loop {
            let item_at = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick = self.next_tick();
            let tick_at = tick.map(|(at, _)| at);
            let next = item_at.into_iter().chain(tick_at).min();
            let Some(at) = next.filter(|&at| at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if item_at == Some(at) {
                self.run_item();
            } else if let Some((_, vm)) = tick {
                self.run_node(vm, None);
            }
        }
        self.now = end;
    }

    fn next_tick(&self) -> Option<(u64, usize)> {
        let ticks = self.vms.iter().enumerate().filter_map(|(vm, row)| {
            let process = row
                .process
                .as_ref()
                .filter(|process| process.paused_at.is_none())?;
            let at = process.node.next_tick()?;
            Some((process.epoch + at.as_micros(), vm))
        });
        ticks.min()
    }

    fn run_item(&mut self) {
        let Some(Reverse((_, number))) = self.queue.pop() else {
            return;
        };
        let Some(item) = self.items.remove(&number) else {
            return;
        };
        match item {
            Item::Deliver { to, event } => {
                if let Some(vm) = self.vm_of(to) {
                    self.run_node(vm, Some(event));
                }
            }
            Item::StartArrives { issuer, order } => self.start_arrives(issuer, order),
            Item::TaskEnds {
                executor,
                issuer,
                attempt,
            } => {
                self.task_ends(executor, issuer, attempt, false);
            }
            Item::AbortArrives {
                executor,
                issuer,
                attempt,
            } => {
                self.task_ends(executor, issuer, attempt, true);
            }
            Item::StoreOpArrives {
                from,
                op,
                req,
                asked,
            } => {
                self.store_op_arrives(from, op, &req, asked);
            }
            Item::StoreEffect {
                req,
                usage_version,
                asked,
            } => {
                self.perform(&req, usage_version, asked);
            }
            Item::Housekeeping => {
                self.housekeeping();
                self.push(HOUSEKEEPING, Item::Housekeeping);
            }
        }
    }

    /// Feeds a node an event, or lets it tick, and carries out its actions.
    fn run_node(&mut self, vm: usize, event: Option<Event>) {
        let now = self.now;
        let Some(process) = self.vms[vm].process.as_mut() else {
            return;
        };
        if process.paused_at.is_some() {
            process.inbox.extend(event.map(|event| (event, None)));
            return;
        }
        let time = Time::from_micros(now - process.epoch);
        let mut actions = Vec::new();
        if let Some(event) = event {
            process.node.handle(time, event, &mut actions);
        }
        process.node.tick(time, &mut actions);
        let me = process.me;
        for action in actions {
            self.act(vm, me, action);
        }
    }

    fn act(&mut self, vm: usize, me: Incarnation, action: Action) {
        match action {
            Action::Respond { call, response } => self.responded(vm, call, &response),
            Action::RespondChange { call, result } => {
                self.count(match result {
                    ChangeResult::Applied(_) => "change applied",
                    ChangeResult::Conflict(_) => "change conflict",
                    ChangeResult::Invalid(_) => "change invalid",
                    ChangeResult::Refused(_) => "change refused",
                });
                self.process(vm).calls.remove(&call);
            }
            Action::RespondDrain { .. } => {}
            Action::Send { to, message } => self.send(me, to, message),
            Action::Start(order) => self.send_start(vm, me, order),
            Action::Abort { attempt, executor } => {
                let executor = executor.0 as usize;
                let item = Item::AbortArrives {
                    executor,
                    issuer: me,
                    attempt,
                };
                let delay = self.latency();
                self.push(delay, item);
            }
            Action::Store { op, req } => {
                let delay = self.latency();
                self.push(
                    delay,
                    Item::StoreOpArrives {
                        from: me,
                        op,
                        req,
                        asked: self.now,
                    },
                );
            }
            Action::AdoptConfiguration(config) => self.adopted(vm, &config),
            Action::AdoptVmList(list) => self.process(vm).list = Some(list),
            Action::Closed => self.node_closed(vm, me),
        }
    }

    fn process(&mut self, vm: usize) -> &mut Process {
        self.vms[vm].process.as_mut().expect("the process acts")
    }

    fn responded(&mut self, vm: usize, call: CallId, response: &Response) {
        let kind = self
            .process(vm)
            .calls
            .remove(&call)
            .expect("each call is answered once");
        let next_call = CallId(self.next_call);
        self.ledger.note_response(call, next_call, kind, response);
        match response {
            Response::Answer {
                outcome: Outcome::Complete(_),
                ..
            } => {
                self.count("outcome complete");
            }
            Response::Answer {
                outcome: Outcome::Failed { reason, .. },
                ..
            } => {
                self.count(format!("outcome {reason:?}"));
            }
            Response::Refused(refusal) => self.count(format!("refused {:?}", refusal.reason)),
            Response::Ids(_) | Response::Running { .. } => {}
        }
    }

    fn adopted(&mut self, vm: usize, config: &Arc<Configuration>) {
        let process = self.process(vm);
        assert!(
            config.version > process.version,
            "the configuration went back"
        );
        process.version = config.version;
        let accepted = self
            .store
            .accepted
            .iter()
            .find(|row| row.version == config.version);
        // A change whose reply is on its way is accepted already.
        assert_eq!(
            accepted,
            Some(config),
            "a configuration is in force that was not accepted"
        );
        config.validate().expect("exactly one preset is in force");
    }

    fn node_closed(&mut self, vm: usize, me: Incarnation) {
        self.count("closed gracefully");
        let process = self.vms[vm].process.take().expect("the process acts");
        let open: Vec<_> = process.calls.values().collect();
        assert!(open.is_empty(), "a planned stop cut off callers: {open:?}");
        for executor in &self.executors {
            let running = executor.running.keys().filter(|(issuer, _)| *issuer == me);
            let cut_off: Vec<_> = running
                .filter(|key| !self.lost_at_issuer.contains(*key))
                .collect();
            assert!(
                cut_off.is_empty(),
                "a planned stop cut off tasks: {cut_off:?}"
            );
        }
        self.closed.insert(me);
        self.drop_links(me);
    }

    /// Returns the time that a message takes, in microseconds.
    fn latency(&mut self) -> u64 {
        let base = self.rng.random_range(200..2 * MS);
        if self.chaos.delay_ms == 0 || !self.rng.random_bool(0.2) {
            return base;
        }
        base + self.rng.random_range(0..self.chaos.delay_ms * MS)
    }

    fn is_cut(&self, a: DataCentreId, b: DataCentreId) -> bool {
        self.cut && a != b
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, message: Message) {
        let cut = self.is_cut(from.data_centre, to.data_centre);
        if cut || self.rng.random_bool(self.chaos.drop) {
            self.count("message dropped");
            return;
        }
        if self.rng.random_bool(self.chaos.duplicate) {
            self.count("message duplicated");
            let delay = self.latency();
            let event = Event::Message {
                from,
                message: message.clone(),
            };
            self.push(delay, Item::Deliver { to, event });
        }
        let delay = self.latency();
        self.push(
            delay,
            Item::Deliver {
                to,
                event: Event::Message { from, message },
            },
        );
    }

    fn send_start(&mut self, vm: usize, me: Incarnation, order: StartRequest) {
        let listed_leaving = self.process(vm).list.as_ref().is_some_and(|list| {
            let row = list.executors.iter().find(|row| row.id == order.executor);
            row.is_none_or(|row| row.state == VmState::Leaving)
        });
        assert!(
            !listed_leaving,
            "a start on an upstream that is known to be leaving"
        );
        let delay = self.latency();
        self.push(delay, Item::StartArrives { issuer: me, order });
    }

    fn reply_start(&mut self, issuer: Incarnation, attempt: AttemptId, reply: StartReply) {
        match reply {
            StartReply::NotStarted(_) => self.count("start not_started"),
            StartReply::Lost => {
                self.count("start lost");
                self.lost_at_issuer.insert((issuer, attempt));
            }
            StartReply::Done { .. } | StartReply::Failed { .. } => {}
        }
        let delay = self.latency();
        let event = Event::AttemptEnded { attempt, reply };
        self.push(delay, Item::Deliver { to: issuer, event });
    }

    fn start_arrives(&mut self, issuer: Incarnation, order: StartRequest) {
        let attempt = order.attempt;
        let executor = order.executor.0 as usize;
        if self.is_cut(issuer.data_centre, self.executors[executor].data_centre) {
            let reply = StartReply::NotStarted(NotStarted::Unreachable);
            self.reply_start(issuer, attempt, reply);
            return;
        }
        if self.rng.random_bool(self.chaos.drop / 4.0) {
            // The request is lost on its way, and the issuer only sees a broken connection.
            self.reply_start(issuer, attempt, StartReply::Lost);
            return;
        }
        match self.executors[executor].start(issuer, order.clone(), self.now) {
            Ok(run) => {
                self.ledger.note_start(&order);
                let run = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
                self.push(
                    run,
                    Item::TaskEnds {
                        executor,
                        issuer,
                        attempt,
                    },
                );
            }
            Err(reason) => {
                self.reply_start(issuer, attempt, StartReply::NotStarted(reason));
            }
        }
    }

    fn task_ends(
        &mut self,
        executor: usize,
        issuer: Incarnation,
        attempt: AttemptId,
        aborted: bool,
    ) {
        self.last_end.insert(issuer, self.now);
        let Some(reply) = self.executors[executor].end(issuer, attempt, self.now, aborted) else {
            return;
        };
        let cut = self.is_cut(issuer.data_centre, self.executors[executor].data_centre);
        let lost = cut || self.rng.random_bool(self.chaos.drop / 4.0);
        let reply = if lost { StartReply::Lost } else { reply };
        self.reply_start(issuer, attempt, reply);
    }

    /// Performs an operation. A usage write that began when the store held another report than now
    /// has no effect.
    fn perform(&mut self, req: &StoreOp, usage_version: u64, asked: u64) -> StoreReply {
        match req {
            StoreOp::WriteUsage(report) => self.store.write_usage(report, usage_version, asked),
            _ => self.store.perform(req),
        }
    }

    fn store_op_arrives(&mut self, from: Incarnation, op: StoreOpId, req: &StoreOp, asked: u64) {
        let cut = self.platform_cut[from.data_centre.0 as usize];
        let roll: f64 = self.rng.random();
        let usage_version = self.store.usage_version(from);
        let reply = if cut || roll < self.chaos.drop {
            StoreReply::Lost
        } else if roll < 2.0 * self.chaos.drop {
            self.perform(req, usage_version, asked);
            StoreReply::Lost
        } else if roll < 3.0 * self.chaos.drop {
            // The write takes effect long after the caller gave it up.
            let delay = self.rng.random_range(0..3_000 * MS);
            self.push(
                delay,
                Item::StoreEffect {
                    req: req.clone(),
                    usage_version,
                    asked,
                },
            );
            StoreReply::Lost
        } else {
            self.perform(req, usage_version, asked)
        };
        if reply == StoreReply::Lost {
            self.count("store reply lost");
        }
        let delay = self.latency();
        self.push(
            delay,
            Item::Deliver {
                to: from,
                event: Event::Store { op, reply },
            },
        );
    }

    /// Brings connections up to date and delivers what the platform publishes.
    fn housekeeping(&mut self) {
        for a in 0..VMS {
            for b in a + 1..VMS {
                self.update_link(a, b);
            }
        }
        let list = Arc::new(self.vm_list());
        for vm in 0..VMS {
            let data_centre = self.vms[vm].data_centre.0 as usize;
            if self.platform_cut[data_centre] || self.vms[vm].process.is_none() {
                continue;
            }
            if let Some(config) = self.store.config.clone() {
                self.run_node(vm, Some(Event::Configuration(config)));
            }
            self.run_node(vm, Some(Event::VmList(Arc::clone(&list))));
        }
        self.check_spread();
    }

    fn vm_list(&self) -> VmList {
        let entries = self.vms.iter().zip(0..).map(|(vm, i)| EntryVm {
            id: VmId(i),
            data_centre: vm.data_centre,
            peer_address: "".into(),
            state: VmState::Live,
        });
        VmList {
            revision: self.vm_list_revision,
            entries: entries.collect(),
            executors: self.executors.iter().map(Executor::listed).collect(),
        }
    }

    fn update_link(&mut self, a: usize, b: usize) {
        let (Some(x), Some(y)) = (&self.vms[a].process, &self.vms[b].process) else {
            return;
        };
        let (now, pair) = (self.now, (x.me, y.me));
        let silent = |process: &Process| process.paused_at.is_some_and(|at| now - at > SILENCE);
        let cut = self.is_cut(x.me.data_centre, y.me.data_centre);
        let wanted = !cut && !silent(x) && !silent(y);
        let up = self.links.contains(&pair);
        if wanted && !up {
            self.links.insert(pair);
            self.run_node(a, Some(Event::PeerUp(pair.1)));
            self.run_node(b, Some(Event::PeerUp(pair.0)));
        } else if !wanted && up {
            self.links.remove(&pair);
            self.run_node(a, Some(Event::PeerDown(pair.1)));
            self.run_node(b, Some(Event::PeerDown(pair.0)));
        }
    }

    fn drop_links(&mut self, gone: Incarnation) {
        let links: Vec<_> = self.links.iter().copied().collect();
        for (x, y) in links {
            if x != gone && y != gone {
                continue;
            }
            self.links.remove(&(x, y));
            let other = if x == gone { y } else { x };
            if let Some(vm) = self.vm_of(other) {
                self.run_node(vm, Some(Event::PeerDown(gone)));
            }
        }
    }

    /// Checks that an accepted configuration is in force within its bound once nothing is cut.
    fn check_spread(&mut self) {
        let Some(config) = self.store.config.clone() else {
            return;
        };
        let calm = !self.cut && !self.platform_cut.iter().any(|&cut| cut);
        let since = match (calm, self.healed_since) {
            (true, Some(since)) => since,
            (true, None) => {
                self.healed_since = Some(self.now);
                return;
            }
            (false, _) => {
                self.healed_since = None;
                return;
            }
        };
        let accepted_at = self.now.saturating_sub(CONFIG_BOUND);
        for vm in &self.vms {
            let Some(process) = &vm.process else {
                continue;
            };
            let settled = since < accepted_at && process.epoch < accepted_at;
            if settled && process.paused_at.is_none() {
                assert!(
                    process.version + 1 >= config.version,
                    "a configuration did not spread"
                );
            }
        }
    }

    fn call(&mut self, vm: usize, kind: CallKind, req: Request) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let Some(process) = self.vms[vm].process.as_mut() else {
            return;
        };
        let event = Event::Call { call, req };
        if process.paused_at.is_some() {
            process.inbox.push((event, Some((call, kind))));
            return;
        }
        process.calls.insert(call, kind);
        self.run_node(vm, Some(event));
    }
}

fn change_request(base: u64, change: Change) -> ChangeRequest {
    ChangeRequest {
        base,
        who: "operator".into(),
        why: "test".into(),
        when_ms: 0,
        change,
    }
}
