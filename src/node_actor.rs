//! The actor around the core's node.

use crate::callers::{AuthTable, Responder};
use crate::config_wire::ConfigurationWire;
use crate::executors::ExecutorClient;
use crate::executors::HttpExecutors;
use crate::input::{Input, InputSender};
use crate::operators::{
    ExecutorStatus, NodeMetrics, OperatorApi, StatusReport, respond_change, respond_drain,
};
use crate::peers::{ListedPeer, PeerHub};
use crate::platform::PlatformLink;
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::ids::{CallId, CustomerId, StoreOpId};
use cardamomslip_core::model::message::Message;
use cardamomslip_core::model::request::{Response, StartRequest};
use cardamomslip_core::model::store::StoreOp;
use cardamomslip_core::model::time::Time;
use cardamomslip_core::model::vm_list::VmList;
use cardamomslip_core::{Action, ChangeResult, Event, Node};
use stakker::{CX, MaxTimerKey, call, timer_max};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Longest time between two ticks.
const MAX_TICK: Duration = Duration::from_millis(250);

/// What surrounds the node.
#[derive(Debug)]
pub struct Surroundings {
    /// Name of the VM.
    pub name: String,
    /// Name of the data centre.
    pub data_centre: String,
    /// Where blocking calls run.
    pub runtime: Handle,
    /// The way back to the actor.
    pub tx: InputSender,
    /// Executors.
    pub executors: HttpExecutors,
    /// The platform.
    pub platform: PlatformLink,
    /// Peers.
    pub peers: PeerHub<Message>,
    /// Who may do what.
    pub auth: AuthTable,
    /// The operators' resources.
    pub operators: OperatorApi,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Whether work is admitted, for the balancer.
    pub ready: Arc<AtomicBool>,
}

/// A request that waits for its response.
#[derive(Debug)]
struct PendingCall {
    responder: Responder,
    since: Instant,
}

/// The actor around the core's node: feeds it events and carries out its actions.
#[derive(Debug)]
pub struct NodeActor {
    node: Node,
    around: Surroundings,
    epoch: Instant,
    calls: FastMap<CallId, PendingCall>,
    next_call: u64,
    actions: Vec<Action>,
    flush_pending: bool,
    tick_timer: MaxTimerKey,
    config: Option<Arc<Configuration>>,
    customers: FastMap<CustomerId, Arc<str>>,
}

impl NodeActor {
    /// Starts the actor.
    pub fn init(cx: CX![], node: Node, around: Surroundings) -> Option<Self> {
        call!([cx], flush());
        Some(Self {
            node,
            around,
            epoch: cx.now(),
            calls: FastMap::default(),
            next_call: 0,
            actions: Vec::new(),
            flush_pending: true,
            tick_timer: MaxTimerKey::default(),
            config: None,
            customers: FastMap::default(),
        })
    }

    fn time(&self, now: Instant) -> Time {
        let micros = now.duration_since(self.epoch).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Takes in an input. Inputs of one batch are flushed together.
    pub fn input(&mut self, cx: CX![], input: Input) {
        let now = self.time(cx.now());
        match input {
            Input::Event(event) => self.node.handle(now, event, &mut self.actions),
            Input::Call(responder, req) => {
                let call = self.add_call(responder, cx.now());
                self.node
                    .handle(now, Event::Call { call, req }, &mut self.actions);
            }
            Input::Change(responder, req) => {
                let call = self.add_call(responder, cx.now());
                self.node
                    .handle(now, Event::Change { call, req }, &mut self.actions);
            }
            Input::Drain(responder, vm) => {
                let call = self.add_call(responder, cx.now());
                self.node
                    .handle(now, Event::Drain { call, vm }, &mut self.actions);
            }
            Input::Status(tx) => drop(tx.send(self.report(now))),
            Input::Abandon => self.abandon(cx),
        }
        if !self.flush_pending {
            self.flush_pending = true;
            call!([cx], flush());
        }
    }

    fn add_call(&mut self, responder: Responder, now: Instant) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(
            call,
            PendingCall {
                responder,
                since: now,
            },
        );
        call
    }

    /// Runs the systems and carries out the actions.
    pub fn flush(&mut self, cx: CX![]) {
        self.flush_pending = false;
        let now = self.time(cx.now());
        self.node.tick(now, &mut self.actions);
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            self.act(cx, action);
        }
        self.around
            .ready
            .store(self.node.is_ready(), Ordering::Relaxed);
        self.schedule_tick(cx, now);
    }

    fn schedule_tick(&mut self, cx: CX![], now: Time) {
        let wait = self
            .node
            .next_tick()
            .map_or(MAX_TICK, |at| at.since(now))
            .min(MAX_TICK);
        cx.timer_max_del(self.tick_timer);
        self.tick_timer = MaxTimerKey::default();
        let at = cx.now() + wait;
        timer_max!(&mut self.tick_timer, at, [cx], flush());
    }

    fn act(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Respond { call, response } => self.respond(cx.now(), call, response),
            Action::RespondChange { call, result } => self.finish_change(call, result),
            Action::RespondDrain { call, found } => {
                if let Some(pending) = self.calls.remove(&call) {
                    respond_drain(pending.responder, found);
                }
            }
            Action::Send { to, message } => self.around.peers.send(to, message),
            Action::Start(order) => self.start(order),
            Action::Abort { attempt, executor } => {
                let executors = self.around.executors.clone();
                self.around
                    .runtime
                    .spawn(async move { executors.abort(attempt, executor).await });
            }
            Action::Store { op, req } => self.store(op, req),
            Action::AdoptConfiguration(config) => self.adopt_configuration(cx, &config),
            Action::AdoptVmList(list) => self.adopt_vm_list(list),
            Action::Closed => {
                tracing::info!("closed");
                cx.stop();
            }
        }
    }

    fn respond(&mut self, now: Instant, call: CallId, response: Response) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        self.around
            .metrics
            .record_response(now.duration_since(pending.since));
        self.around
            .runtime
            .spawn_blocking(move || pending.responder.close_with(&response));
    }

    fn finish_change(&mut self, call: CallId, result: ChangeResult) {
        if let ChangeResult::Applied(config) = &result {
            self.write_audit(config);
        }
        if let Some(pending) = self.calls.remove(&call) {
            respond_change(pending.responder, &result);
        }
    }

    fn start(&self, order: StartRequest) {
        let customer = self.customers.get(&order.customer).map(Arc::clone);
        let customer = customer.unwrap_or_else(|| order.customer.to_string().into());
        let (executors, tx) = (self.around.executors.clone(), self.around.tx.clone());
        self.around.runtime.spawn(async move {
            let reply = executors.start(&order, &customer).await;
            tx.event(Event::AttemptEnded {
                attempt: order.attempt,
                reply,
            });
        });
    }

    fn store(&self, op: StoreOpId, req: StoreOp) {
        let (platform, tx) = (self.around.platform.clone(), self.around.tx.clone());
        let config = self.config.clone();
        self.around.runtime.spawn_blocking(move || {
            let reply = platform.perform(&req, config.as_deref());
            tx.event(Event::Store { op, reply });
        });
    }

    fn adopt_configuration(&mut self, cx: CX![], config: &Arc<Configuration>) {
        let wire = ConfigurationWire::from(&**config);
        let preset = &wire.preset;
        tracing::info!(version = config.version, %preset, "configuration in force");
        self.around.auth.take_configuration(config);
        self.around.operators.take_configuration(config);
        let rows = config.customers.iter();
        self.customers
            .extend(rows.map(|row| (row.id, Arc::clone(&row.name))));
        self.config = Some(Arc::clone(config));
        // The slot owner backs up the process that made the change, should that have died.
        let status = self.node.status(self.time(cx.now()));
        if status.slot_owner == Some(status.me) {
            self.write_audit(config);
        }
    }

    fn write_audit(&self, config: &Arc<Configuration>) {
        let (platform, config) = (self.around.platform.clone(), Arc::clone(config));
        self.around
            .runtime
            .spawn_blocking(move || platform.write_audit(&config));
    }

    fn adopt_vm_list(&self, list: Arc<VmList>) {
        tracing::debug!(revision = list.revision, "VM list in use");
        self.around.executors.take_list(&list);
        self.around.peers.take_list(listed_peers(&list));
    }

    fn report(&self, now: Time) -> StatusReport {
        let status = self.node.status(now);
        self.around.metrics.record_status(&status);
        let executors = self
            .node
            .executors()
            .map(|row| ExecutorStatus::new(row, now))
            .collect();
        let preset = self.config.as_ref().map(|config| &*config.preset);
        let names = (self.around.name.as_str(), self.around.data_centre.as_str());
        StatusReport::new(names, &status, preset, executors)
    }

    /// Ends the process at once and logs what is cut off.
    fn abandon(&mut self, cx: CX![]) {
        let status = self.node.status(self.time(cx.now()));
        tracing::error!(
            open_jobs = status.open_jobs,
            running_attempts = status.running_attempts,
            waiting_callers = self.calls.len(),
            "stopped at once; this work is cut off"
        );
        cx.stop();
    }
}

/// Returns the entry VMs of a list whose addresses can be dialled.
fn listed_peers(list: &VmList) -> Vec<ListedPeer> {
    let peer = |address: &str| address.parse().ok();
    list.entries
        .iter()
        .filter_map(|vm| {
            Some(ListedPeer {
                vm: vm.id,
                address: peer(&vm.peer_address)?,
            })
        })
        .collect()
}
