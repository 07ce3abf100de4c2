//! The actor that runs the core's node.

use crate::blocking_pool::BlockingPool;
use crate::callers::{AuthTable, Responder};
use crate::config_wire::ConfigurationWire;
use crate::executors::ExecutorClient;
use crate::executors::HttpExecutors;
use crate::input::{Input, InputSender};
use crate::operators::{
    ExecutorStatus, NodeMetrics, OperatorApi, StatusReport, respond_change, respond_drain,
};
use crate::peers::{PeerAddress, PeerHub};
use crate::platform::PlatformAdapter;
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

/// Maximum time between two ticks of the node.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Identity, runtime and adapters that the actor uses on behalf of the node.
#[derive(Debug)]
pub struct Environment {
    /// Name of the VM, from the settings.
    pub name: String,
    /// Name of the data centre, from the settings.
    pub data_centre: String,
    /// Runtime for asynchronous calls.
    pub runtime: Handle,
    /// Threads for blocking calls.
    pub blocking: BlockingPool,
    /// Sender of inputs to this actor, for the results of calls.
    pub tx: InputSender,
    /// Client of the executors.
    pub executors: HttpExecutors,
    /// Adapter of the platform's store.
    pub platform: PlatformAdapter,
    /// Connections to the peers.
    pub peers: PeerHub<Message>,
    /// Accepted tokens; their customers are updated with each configuration.
    pub auth: AuthTable,
    /// HTTP API for operators; its configuration is updated with each new one.
    pub operators: OperatorApi,
    /// Metrics of the node.
    pub metrics: NodeMetrics,
    /// Whether new work is admitted, for the load balancer's readiness check.
    pub ready: Arc<AtomicBool>,
}

/// A request that awaits its response.
#[derive(Debug)]
struct PendingCall {
    responder: Responder,
    received_at: Instant,
}

/// The actor that runs the core's node: passes events to it and carries out its actions.
#[derive(Debug)]
pub struct NodeActor {
    node: Node,
    env: Environment,
    epoch: Instant,
    calls: FastMap<CallId, PendingCall>,
    next_call: u64,
    actions: Vec<Action>,
    tick_queued: bool,
    tick_timer: MaxTimerKey,
    config: Option<Arc<Configuration>>,
    customers: FastMap<CustomerId, Arc<str>>,
}

impl NodeActor {
    /// Initializes the actor and queues its first tick.
    pub fn init(cx: CX![], node: Node, env: Environment) -> Option<Self> {
        call!([cx], run_tick());
        Some(Self {
            node,
            env,
            epoch: cx.now(),
            calls: FastMap::default(),
            next_call: 0,
            actions: Vec::new(),
            tick_queued: true,
            tick_timer: MaxTimerKey::default(),
            config: None,
            customers: FastMap::default(),
        })
    }

    fn to_node_time(&self, now: Instant) -> Time {
        let micros = now.duration_since(self.epoch).as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Handles an input. The inputs of a batch share one tick.
    pub fn handle_input(&mut self, cx: CX![], input: Input) {
        let now = self.to_node_time(cx.now());
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
            Input::Status(tx) => drop(tx.send(self.status_report(now))),
            Input::StopNow => self.stop_now(cx),
        }
        if !self.tick_queued {
            self.tick_queued = true;
            call!([cx], run_tick());
        }
    }

    fn add_call(&mut self, responder: Responder, now: Instant) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(
            call,
            PendingCall {
                responder,
                received_at: now,
            },
        );
        call
    }

    /// Ticks the node, carries out its actions and schedules the next tick.
    pub fn run_tick(&mut self, cx: CX![]) {
        self.tick_queued = false;
        let now = self.to_node_time(cx.now());
        self.node.tick(now, &mut self.actions);
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            self.execute(cx, action);
        }
        self.env
            .ready
            .store(self.node.is_ready(), Ordering::Relaxed);
        self.schedule_tick(cx, now);
    }

    fn schedule_tick(&mut self, cx: CX![], now: Time) {
        let wait = self
            .node
            .next_tick()
            .map_or(MAX_TICK_INTERVAL, |at| at.since(now))
            .min(MAX_TICK_INTERVAL);
        cx.timer_max_del(self.tick_timer);
        self.tick_timer = MaxTimerKey::default();
        let at = cx.now() + wait;
        timer_max!(&mut self.tick_timer, at, [cx], run_tick());
    }

    fn execute(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Respond { call, response } => self.respond(cx.now(), call, response),
            Action::RespondChange { call, result } => self.respond_change_result(call, result),
            Action::RespondDrain { call, found } => {
                if let Some(pending) = self.calls.remove(&call) {
                    respond_drain(pending.responder, found);
                }
            }
            Action::Send { to, message } => self.env.peers.send(to, message),
            Action::Start(req) => self.start(req),
            Action::Abort { attempt, executor } => {
                let executors = self.env.executors.clone();
                self.env
                    .runtime
                    .spawn(async move { executors.abort(attempt, executor).await });
            }
            Action::Store { op, req } => self.perform_store_op(op, req),
            Action::AdoptConfiguration(config) => self.adopt_configuration(cx, &config),
            Action::AdoptVmList(list) => self.adopt_vm_list(list),
            Action::Closed => {
                tracing::info!("graceful stop complete");
                cx.stop();
            }
        }
    }

    fn respond(&mut self, now: Instant, call: CallId, response: Response) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        self.env
            .metrics
            .record_response(now.duration_since(pending.received_at));
        self.env
            .blocking
            .spawn(move || pending.responder.respond(&response));
    }

    fn respond_change_result(&mut self, call: CallId, result: ChangeResult) {
        if let ChangeResult::Applied(config) = &result {
            self.write_audit(config);
        }
        if let Some(pending) = self.calls.remove(&call) {
            respond_change(pending.responder, &result);
        }
    }

    fn start(&self, req: StartRequest) {
        let customer = self.customers.get(&req.customer).map(Arc::clone);
        let customer = customer.unwrap_or_else(|| req.customer.to_string().into());
        let (executors, tx) = (self.env.executors.clone(), self.env.tx.clone());
        self.env.runtime.spawn(async move {
            let reply = executors.start(&req, &customer).await;
            tx.send_event(Event::AttemptEnded {
                attempt: req.attempt,
                reply,
            });
        });
    }

    fn perform_store_op(&self, op: StoreOpId, req: StoreOp) {
        let (platform, tx) = (self.env.platform.clone(), self.env.tx.clone());
        let config = self.config.clone();
        self.env.blocking.spawn(move || {
            let reply = platform.perform(&req, config.as_deref());
            tx.send_event(Event::Store { op, reply });
        });
    }

    fn adopt_configuration(&mut self, cx: CX![], config: &Arc<Configuration>) {
        let wire = ConfigurationWire::from(&**config);
        let preset = &wire.preset;
        tracing::info!(version = config.version, %preset, "new configuration in use");
        self.env.auth.apply_configuration(config);
        self.env.operators.apply_configuration(config);
        let rows = config.customers.iter();
        self.customers
            .extend(rows.map(|row| (row.id, Arc::clone(&row.name))));
        self.config = Some(Arc::clone(config));
        // The slot owner also writes the audit records, in case the process that made the change
        // died before it did.
        let status = self.node.status(self.to_node_time(cx.now()));
        if status.slot_owner == Some(status.me) {
            self.write_audit(config);
        }
    }

    fn write_audit(&self, config: &Arc<Configuration>) {
        let (platform, config) = (self.env.platform.clone(), Arc::clone(config));
        self.env
            .blocking
            .spawn(move || platform.write_audit(&config));
    }

    fn adopt_vm_list(&self, list: Arc<VmList>) {
        tracing::debug!(revision = list.revision, "new VM list in use");
        self.env.executors.apply_vm_list(&list);
        self.env.peers.set_peers(peer_addresses(&list));
    }

    fn status_report(&self, now: Time) -> StatusReport {
        let status = self.node.status(now);
        self.env.metrics.record_status(&status);
        let executors = self
            .node
            .executors()
            .map(|row| ExecutorStatus::new(row, now))
            .collect();
        let preset = self.config.as_ref().map(|config| &*config.preset);
        let names = (self.env.name.as_str(), self.env.data_centre.as_str());
        StatusReport::new(names, &status, preset, executors)
    }

    /// Stops the actor immediately and logs how much work it abandons.
    fn stop_now(&mut self, cx: CX![]) {
        let status = self.node.status(self.to_node_time(cx.now()));
        tracing::error!(
            open_jobs = status.open_jobs,
            running_attempts = status.running_attempts,
            waiting_callers = self.calls.len(),
            "stopped immediately; open jobs and running attempts are abandoned"
        );
        cx.stop();
    }
}

/// Returns the entry VMs of a list, except those whose peer address is not a valid socket address.
fn peer_addresses(list: &VmList) -> Vec<PeerAddress> {
    let parse = |address: &str| address.parse().ok();
    list.entries
        .iter()
        .filter_map(|vm| {
            Some(PeerAddress {
                vm: vm.id,
                address: parse(&vm.peer_address)?,
            })
        })
        .collect()
}
