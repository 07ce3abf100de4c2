//! Discrete-event simulation of several nodes with an unreliable network, executors and the
//! platform. Times are in microseconds unless the name says otherwise.

mod checks;
mod operations;
mod shape;

pub use shape::Shape;

use crate::executor::Executor;
use crate::history::{CallKind, History};
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

/// Number of data centres.
pub const DATA_CENTRES: usize = 2;
/// Number of VMs in each data centre.
pub const VMS_PER_DATA_CENTRE: usize = 2;
/// Total number of VMs.
pub const VMS: usize = DATA_CENTRES * VMS_PER_DATA_CENTRE;
/// Number of executors in each data centre.
const EXECUTORS_PER_DATA_CENTRE: usize = 2;
/// Number of slots of each executor.
const SLOTS_PER_EXECUTOR: u16 = 3;
/// Microseconds per millisecond.
const MS: u64 = 1_000;
/// Interval at which links are updated and nodes get the configuration and the VM list.
const HOUSEKEEPING_INTERVAL: u64 = 500 * MS;
/// Time after which a frozen peer is disconnected.
const PEER_SILENCE: u64 = 3_500 * MS;
/// Maximum time from the acceptance of a configuration until all VMs have activated it.
const MAX_CONFIG_PROPAGATION: u64 = 5_000 * MS;
/// Maximum time until all jobs have ended once there are no more faults.
const MAX_JOB_DURATION_MS: u64 = 120_000;
/// Number of checks, spread over `MAX_JOB_DURATION_MS`, whether all graceful stops have finished.
const STOP_CHECKS: u32 = 24;
/// Limit of unfinished tasks per node.
const MAX_OPEN_TASKS: u32 = 12;

/// A scheduled event of the simulation.
#[derive(Debug)]
enum SimEvent {
    Deliver {
        to: Incarnation,
        event: Event,
    },
    StartArrives {
        issuer: Incarnation,
        req: StartRequest,
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
        requested_at: u64,
    },
    /// A store operation takes effect although its reply was reported as lost.
    StoreEffect {
        req: StoreOp,
        usage_version: u64,
        requested_at: u64,
    },
    Housekeeping,
}

/// A VM and the process that runs on it, if any.
#[derive(Debug)]
struct Vm {
    data_centre: DataCentreId,
    process: Option<Process>,
    nonce: u64,
}

/// A process of the daemon.
#[derive(Debug)]
struct Process {
    me: Incarnation,
    node: Node,
    started_at: u64,
    /// Time at which the process was frozen; `None` if it is not.
    frozen_at: Option<u64>,
    /// Events that arrived while the process was frozen, with the call if it is one.
    inbox: Vec<(Event, Option<(CallId, CallKind)>)>,
    calls: FastMap<CallId, CallKind>,
    /// Active configuration version, 0 before the first one.
    version: u64,
    vm_list: Option<Arc<VmList>>,
    is_stopping: bool,
}

/// Faults of messages, start requests and store operations: probabilities of loss and duplication,
/// and the maximum delay.
#[derive(Clone, Copy, Debug, Default)]
struct MessageFaults {
    drop: f64,
    duplicate: f64,
    delay_ms: u64,
}

/// The nodes, executors, platform and oracle of a case.
#[derive(Debug)]
pub struct Fleet {
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: FastMap<u64, SimEvent>,
    next_event_number: u64,
    rng: SmallRng,
    vms: Vec<Vm>,
    executors: Vec<Executor>,
    store: Store,
    vm_list_revision: u64,
    links: FastSet<(Incarnation, Incarnation)>,
    cut: bool,
    platform_cut: Vec<bool>,
    message_faults: MessageFaults,
    next_call: u64,
    /// History that the oracle checks.
    pub history: History,
    /// Numbers of operations, outcomes and faults for the coverage.
    pub counts: BTreeMap<String, u64>,
    closed: FastSet<Incarnation>,
    /// End time of the last task of each incarnation.
    last_end: FastMap<Incarnation, u64>,
    /// Attempts whose connection broke at the issuer; their tasks may still run.
    lost_at_issuer: FastSet<(Incarnation, AttemptId)>,
    /// Time at which the last partition ended; `None` during a partition.
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

/// Returns the customer of the submission with this number; numbers alternate between two
/// customers.
pub fn customer(number: usize) -> CustomerId {
    CustomerId(1 + number as u64 % 2)
}

fn initial_change() -> Change {
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
    /// Starts all nodes with an initial configuration in the store and runs them for 3 s.
    pub fn new(seed: u64) -> Self {
        let vms = (0..VMS)
            .map(|i| Vm {
                data_centre: DataCentreId((i / VMS_PER_DATA_CENTRE) as u64),
                process: None,
                nonce: 0,
            })
            .collect();
        let executors = (0..DATA_CENTRES * EXECUTORS_PER_DATA_CENTRE)
            .map(|i| {
                let speed = 500 + 500 * (i as u32 % 3);
                Executor::new(
                    i as u64,
                    (i / EXECUTORS_PER_DATA_CENTRE) as u64,
                    SLOTS_PER_EXECUTOR,
                    speed,
                )
            })
            .collect();
        let mut fleet = Self {
            now: 0,
            queue: BinaryHeap::new(),
            events: FastMap::default(),
            next_event_number: 0,
            rng: SmallRng::seed_from_u64(seed),
            vms,
            executors,
            store: Store::default(),
            vm_list_revision: 1,
            links: FastSet::default(),
            cut: false,
            platform_cut: vec![false; DATA_CENTRES],
            message_faults: MessageFaults::default(),
            next_call: 0,
            history: History::default(),
            counts: BTreeMap::new(),
            closed: FastSet::default(),
            last_end: FastMap::default(),
            lost_at_issuer: FastSet::default(),
            healed_since: None,
        };
        let req = change_request(0, initial_change());
        let config =
            Configuration::next_version(None, &req, 1).expect("the initial configuration is valid");
        let config = Arc::new(config);
        fleet
            .store
            .perform(&StoreOp::CompareAndSwapConfiguration { base: 0, config });
        for vm in 0..VMS {
            fleet.replace(vm);
        }
        fleet.push(0, SimEvent::Housekeeping);
        fleet.advance(3_000);
        fleet
    }

    /// Increments a count of the coverage.
    pub fn count(&mut self, name: impl Into<String>) {
        *self.counts.entry(name.into()).or_insert(0) += 1;
    }

    fn push(&mut self, delay: u64, sim_event: SimEvent) {
        let number = self.next_event_number;
        self.next_event_number += 1;
        self.events.insert(number, sim_event);
        self.queue.push(Reverse((self.now + delay, number)));
    }

    fn find_vm(&self, me: Incarnation) -> Option<usize> {
        let vm = usize::try_from(me.vm.0).ok()?;
        let process = self.vms[vm].process.as_ref()?;
        (process.me == me).then_some(vm)
    }

    /// Advances the simulation by `ms` milliseconds.
    pub fn advance(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        loop {
            let event_at = self.queue.peek().map(|Reverse((at, _))| *at);
            let tick = self.next_tick();
            let tick_at = tick.map(|(at, _)| at);
            let next = event_at.into_iter().chain(tick_at).min();
            let Some(at) = next.filter(|&at| at <= end) else {
                break;
            };
            self.now = self.now.max(at);
            if event_at == Some(at) {
                self.run_next_event();
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
                .filter(|process| process.frozen_at.is_none())?;
            let at = process.node.next_tick()?;
            Some((process.started_at + at.as_micros(), vm))
        });
        ticks.min()
    }

    fn run_next_event(&mut self) {
        let Some(Reverse((_, number))) = self.queue.pop() else {
            return;
        };
        let Some(sim_event) = self.events.remove(&number) else {
            return;
        };
        match sim_event {
            SimEvent::Deliver { to, event } => {
                if let Some(vm) = self.find_vm(to) {
                    self.run_node(vm, Some(event));
                }
            }
            SimEvent::StartArrives { issuer, req } => self.handle_start(issuer, req),
            SimEvent::TaskEnds {
                executor,
                issuer,
                attempt,
            } => {
                self.end_task(executor, issuer, attempt, false);
            }
            SimEvent::AbortArrives {
                executor,
                issuer,
                attempt,
            } => {
                self.end_task(executor, issuer, attempt, true);
            }
            SimEvent::StoreOpArrives {
                from,
                op,
                req,
                requested_at,
            } => {
                self.handle_store_op(from, op, &req, requested_at);
            }
            SimEvent::StoreEffect {
                req,
                usage_version,
                requested_at,
            } => {
                self.perform_store_op(&req, usage_version, requested_at);
            }
            SimEvent::Housekeeping => {
                self.housekeeping();
                self.push(HOUSEKEEPING_INTERVAL, SimEvent::Housekeeping);
            }
        }
    }

    /// Passes an event, if any, to a node, lets it tick, and performs its actions. If the process
    /// is frozen, the event waits in its inbox.
    fn run_node(&mut self, vm: usize, event: Option<Event>) {
        let now = self.now;
        let Some(process) = self.vms[vm].process.as_mut() else {
            return;
        };
        if process.frozen_at.is_some() {
            process.inbox.extend(event.map(|event| (event, None)));
            return;
        }
        let time = Time::from_micros(now - process.started_at);
        let mut actions = Vec::new();
        if let Some(event) = event {
            process.node.handle(time, event, &mut actions);
        }
        process.node.tick(time, &mut actions);
        let me = process.me;
        for action in actions {
            self.perform_action(vm, me, action);
        }
    }

    fn perform_action(&mut self, vm: usize, me: Incarnation, action: Action) {
        match action {
            Action::Respond { call, response } => self.handle_response(vm, call, &response),
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
            Action::Start(req) => self.send_start(vm, me, req),
            Action::Abort { attempt, executor } => {
                let executor = executor.0 as usize;
                let sim_event = SimEvent::AbortArrives {
                    executor,
                    issuer: me,
                    attempt,
                };
                let delay = self.latency();
                self.push(delay, sim_event);
            }
            Action::Store { op, req } => {
                let delay = self.latency();
                self.push(
                    delay,
                    SimEvent::StoreOpArrives {
                        from: me,
                        op,
                        req,
                        requested_at: self.now,
                    },
                );
            }
            Action::AdoptConfiguration(config) => self.handle_configuration(vm, &config),
            Action::AdoptVmList(list) => self.process(vm).vm_list = Some(list),
            Action::Closed => self.handle_closed(vm, me),
        }
    }

    fn process(&mut self, vm: usize) -> &mut Process {
        self.vms[vm].process.as_mut().expect("the VM has a process")
    }

    fn handle_response(&mut self, vm: usize, call: CallId, response: &Response) {
        let kind = self
            .process(vm)
            .calls
            .remove(&call)
            .expect("each call is answered exactly once");
        let next_call = CallId(self.next_call);
        self.history
            .record_response(call, next_call, kind, response);
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

    fn handle_configuration(&mut self, vm: usize, config: &Arc<Configuration>) {
        let process = self.process(vm);
        assert!(
            config.version > process.version,
            "node activated an older configuration"
        );
        process.version = config.version;
        let accepted = self
            .store
            .accepted_configs
            .iter()
            .find(|row| row.version == config.version);
        // A change counts as accepted from the write on, before its reply arrives.
        assert_eq!(
            accepted,
            Some(config),
            "node activated a configuration that the store did not accept"
        );
        config
            .validate()
            .expect("the active configuration is valid");
    }

    fn handle_closed(&mut self, vm: usize, me: Incarnation) {
        self.count("closed gracefully");
        let process = self.vms[vm].process.take().expect("the VM has a process");
        let open: Vec<_> = process.calls.values().collect();
        assert!(
            open.is_empty(),
            "graceful stop left calls unanswered: {open:?}"
        );
        for executor in &self.executors {
            let running = executor.running.keys().filter(|(issuer, _)| *issuer == me);
            let unfinished: Vec<_> = running
                .filter(|key| !self.lost_at_issuer.contains(*key))
                .collect();
            assert!(
                unfinished.is_empty(),
                "graceful stop left tasks running: {unfinished:?}"
            );
        }
        self.closed.insert(me);
        self.drop_links(me);
    }

    /// Returns a random latency of a message, which includes the injected delay.
    fn latency(&mut self) -> u64 {
        let base = self.rng.random_range(200..2 * MS);
        if self.message_faults.delay_ms == 0 || !self.rng.random_bool(0.2) {
            return base;
        }
        base + self.rng.random_range(0..self.message_faults.delay_ms * MS)
    }

    fn is_cut(&self, a: DataCentreId, b: DataCentreId) -> bool {
        self.cut && a != b
    }

    fn send(&mut self, from: Incarnation, to: Incarnation, message: Message) {
        let cut = self.is_cut(from.data_centre, to.data_centre);
        if cut || self.rng.random_bool(self.message_faults.drop) {
            self.count("message dropped");
            return;
        }
        if self.rng.random_bool(self.message_faults.duplicate) {
            self.count("message duplicated");
            let delay = self.latency();
            let event = Event::Message {
                from,
                message: message.clone(),
            };
            self.push(delay, SimEvent::Deliver { to, event });
        }
        let delay = self.latency();
        self.push(
            delay,
            SimEvent::Deliver {
                to,
                event: Event::Message { from, message },
            },
        );
    }

    fn send_start(&mut self, vm: usize, me: Incarnation, req: StartRequest) {
        let is_known_leaving = self.process(vm).vm_list.as_ref().is_some_and(|list| {
            let row = list.executors.iter().find(|row| row.id == req.executor);
            row.is_none_or(|row| row.state == VmState::Leaving)
        });
        assert!(
            !is_known_leaving,
            "start on an executor that is known to be leaving"
        );
        let delay = self.latency();
        self.push(delay, SimEvent::StartArrives { issuer: me, req });
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
        self.push(delay, SimEvent::Deliver { to: issuer, event });
    }

    fn handle_start(&mut self, issuer: Incarnation, req: StartRequest) {
        let attempt = req.attempt;
        let executor = req.executor.0 as usize;
        if self.is_cut(issuer.data_centre, self.executors[executor].data_centre) {
            let reply = StartReply::NotStarted(NotStarted::Unreachable);
            self.reply_start(issuer, attempt, reply);
            return;
        }
        if self.rng.random_bool(self.message_faults.drop / 4.0) {
            // The request is lost, and the issuer sees a broken connection.
            self.reply_start(issuer, attempt, StartReply::Lost);
            return;
        }
        match self.executors[executor].start(issuer, req.clone(), self.now) {
            Ok(run) => {
                self.history.record_start(&req);
                let run = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
                self.push(
                    run,
                    SimEvent::TaskEnds {
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

    fn end_task(
        &mut self,
        executor: usize,
        issuer: Incarnation,
        attempt: AttemptId,
        aborted: bool,
    ) {
        self.last_end.insert(issuer, self.now);
        let Some(reply) = self.executors[executor].end_task(issuer, attempt, self.now, aborted)
        else {
            return;
        };
        let cut = self.is_cut(issuer.data_centre, self.executors[executor].data_centre);
        let lost = cut || self.rng.random_bool(self.message_faults.drop / 4.0);
        let reply = if lost { StartReply::Lost } else { reply };
        self.reply_start(issuer, attempt, reply);
    }

    /// Performs a store operation. A usage write has no effect if another one was made since it
    /// reached the store, that is, since `usage_version` was read.
    fn perform_store_op(
        &mut self,
        req: &StoreOp,
        usage_version: u64,
        requested_at: u64,
    ) -> StoreReply {
        match req {
            StoreOp::WriteUsage(report) => {
                self.store.write_usage(report, usage_version, requested_at)
            }
            _ => self.store.perform(req),
        }
    }

    fn handle_store_op(
        &mut self,
        from: Incarnation,
        op: StoreOpId,
        req: &StoreOp,
        requested_at: u64,
    ) {
        let cut = self.platform_cut[from.data_centre.0 as usize];
        let roll: f64 = self.rng.random();
        let usage_version = self.store.usage_version(from);
        let reply = if cut || roll < self.message_faults.drop {
            StoreReply::Lost
        } else if roll < 2.0 * self.message_faults.drop {
            self.perform_store_op(req, usage_version, requested_at);
            StoreReply::Lost
        } else if roll < 3.0 * self.message_faults.drop {
            // The operation is performed up to 3 s later, after the caller was told that the reply
            // is lost.
            let delay = self.rng.random_range(0..3_000 * MS);
            self.push(
                delay,
                SimEvent::StoreEffect {
                    req: req.clone(),
                    usage_version,
                    requested_at,
                },
            );
            StoreReply::Lost
        } else {
            self.perform_store_op(req, usage_version, requested_at)
        };
        if reply == StoreReply::Lost {
            self.count("store reply lost");
        }
        let delay = self.latency();
        self.push(
            delay,
            SimEvent::Deliver {
                to: from,
                event: Event::Store { op, reply },
            },
        );
    }

    /// Updates the links between VMs and delivers the configuration and the VM list.
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
        self.check_config_propagation();
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
            executors: self.executors.iter().map(Executor::vm_list_entry).collect(),
        }
    }

    fn update_link(&mut self, a: usize, b: usize) {
        let (Some(x), Some(y)) = (&self.vms[a].process, &self.vms[b].process) else {
            return;
        };
        let (now, pair) = (self.now, (x.me, y.me));
        let is_silent =
            |process: &Process| process.frozen_at.is_some_and(|at| now - at > PEER_SILENCE);
        let cut = self.is_cut(x.me.data_centre, y.me.data_centre);
        let should_be_up = !cut && !is_silent(x) && !is_silent(y);
        let is_up = self.links.contains(&pair);
        if should_be_up && !is_up {
            self.links.insert(pair);
            self.run_node(a, Some(Event::PeerUp(pair.1)));
            self.run_node(b, Some(Event::PeerUp(pair.0)));
        } else if !should_be_up && is_up {
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
            if let Some(vm) = self.find_vm(other) {
                self.run_node(vm, Some(Event::PeerDown(gone)));
            }
        }
    }

    /// Checks that every VM activates an accepted configuration within `MAX_CONFIG_PROPAGATION`
    /// while there is no partition.
    fn check_config_propagation(&mut self) {
        let Some(config) = self.store.config.clone() else {
            return;
        };
        let is_healed = !self.cut && !self.platform_cut.iter().any(|&cut| cut);
        let since = match (is_healed, self.healed_since) {
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
        let accepted_at = self.now.saturating_sub(MAX_CONFIG_PROPAGATION);
        for vm in &self.vms {
            let Some(process) = &vm.process else {
                continue;
            };
            let is_due = since < accepted_at && process.started_at < accepted_at;
            if is_due && process.frozen_at.is_none() {
                assert!(
                    process.version + 1 >= config.version,
                    "VM is more than one configuration version behind the store"
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
        if process.frozen_at.is_some() {
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
