//! Actor that runs the core's dispatcher.

use super::adapter::{Adapter, JobResponder, WorkerClient};
use super::clock::{DispatcherClock, SystemClocks};
use super::input::Input;
use super::metrics::DispatcherMetrics;
use crate::peers::PeerHub;
use cardamomslip_core::collections::FastMap;
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::guarded::{Action, Dispatcher, Event};
use cardamomslip_core::model::ids::CallId;
use cardamomslip_core::model::incarnation::Incarnation;
use stakker::{CX, MaxTimerKey, call, timer_max};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time between two ticks of the dispatcher.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between checks for clients that have disconnected.
const ABANDON_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the dispatcher's statistics are copied to the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// A submission or cancellation that has not been answered.
#[derive(Debug)]
struct PendingCall<A> {
    responder: A,
    submitted_at: Instant,
}

/// Actor that passes events to the core's dispatcher and executes the resulting actions.
#[derive(Debug)]
pub struct DispatcherActor<P: Adapter> {
    dispatcher: Dispatcher,
    adapter: P,
    peers: PeerHub<Message>,
    metrics: DispatcherMetrics,
    clock: DispatcherClock<SystemClocks>,
    calls: FastMap<CallId, PendingCall<P::Responder>>,
    /// Link number of each connected peer, as last reported to the dispatcher. May lag behind the
    /// hub.
    links: FastMap<Incarnation, u64>,
    next_call: u64,
    actions: Vec<Action>,
    tick_queued: bool,
    tick_timer: MaxTimerKey,
    last_abandon_check: Instant,
    last_metrics_update: Instant,
}

impl<P: Adapter> DispatcherActor<P> {
    /// Initializes the actor and queues its first tick.
    pub fn init(
        cx: CX![],
        dispatcher: Dispatcher,
        adapter: P,
        peers: PeerHub<Message>,
        metrics: DispatcherMetrics,
    ) -> Option<Self> {
        call!([cx], run_tick());
        Some(Self {
            dispatcher,
            adapter,
            peers,
            metrics,
            clock: DispatcherClock::new(SystemClocks, cx.now()),
            calls: FastMap::default(),
            links: FastMap::default(),
            next_call: 0,
            actions: Vec::new(),
            tick_queued: true,
            tick_timer: MaxTimerKey::default(),
            last_abandon_check: cx.now(),
            last_metrics_update: cx.now(),
        })
    }

    /// Handles an input. The inputs of a batch share one tick.
    pub fn handle_input(&mut self, cx: CX![], input: Input<P::Responder>) {
        let event = match input {
            Input::Event(event) => event,
            Input::PeerUp(peer, link) => {
                self.links.insert(peer, link);
                Event::PeerUp(peer)
            }
            Input::Submit(responder, job) => {
                let call = self.add_call(cx.now(), responder);
                Event::Submit { call, job }
            }
            Input::Cancel(responder, job) => {
                let call = self.add_call(cx.now(), responder);
                Event::Cancel { call, job }
            }
        };
        self.handle(cx.now(), event);
        if !self.tick_queued {
            self.tick_queued = true;
            call!([cx], run_tick());
        }
    }

    fn add_call(&mut self, submitted_at: Instant, responder: P::Responder) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let pending = PendingCall {
            responder,
            submitted_at,
        };
        self.calls.insert(call, pending);
        call
    }

    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Stop => self.adapter.begin_stop(),
            Event::PeerDown(peer) => {
                self.links.remove(&peer);
            }
            _ => {}
        }
        let time = self.clock.time_at(now);
        self.dispatcher
            .handle(time, unix_ms(), event, &mut self.actions);
    }

    /// Ticks the dispatcher, executes its actions and schedules the next tick.
    pub fn run_tick(&mut self, cx: CX![]) {
        self.tick_queued = false;
        let now = cx.now();
        self.report_abandoned(now);
        self.dispatcher
            .tick(self.clock.time_at(now), unix_ms(), &mut self.actions);
        let actions = std::mem::take(&mut self.actions);
        for action in actions {
            self.execute(cx, action);
        }
        self.adapter.set_ready(self.dispatcher.is_ready());
        if now.duration_since(self.last_metrics_update) >= METRICS_INTERVAL {
            self.last_metrics_update = now;
            self.metrics.record_stats(&self.dispatcher.stats());
            self.metrics
                .record_queue_shares(&self.dispatcher.queue_shares());
            self.record_waits();
        }
        self.schedule_tick(cx);
    }

    fn record_waits(&mut self) {
        let observations = self.dispatcher.take_wait_observations();
        let Some(queues) = self.dispatcher.queues() else {
            return;
        };
        for observation in observations {
            if let Some(name) = queues.name(observation.queue) {
                self.metrics.record_wait(&name, &observation);
            }
        }
    }

    fn schedule_tick(&mut self, cx: CX![]) {
        let now = self.clock.time_at(cx.now());
        let next = self.dispatcher.next_tick();
        let wait = next
            .map_or(MAX_TICK_INTERVAL, |at| at.since(now))
            .min(MAX_TICK_INTERVAL);
        cx.timer_max_del(self.tick_timer);
        self.tick_timer = MaxTimerKey::default();
        timer_max!(&mut self.tick_timer, cx.now() + wait, [cx], run_tick());
    }

    /// Tells the dispatcher which clients have disconnected.
    fn report_abandoned(&mut self, now: Instant) {
        if now.duration_since(self.last_abandon_check) < ABANDON_CHECK_INTERVAL {
            return;
        }
        self.last_abandon_check = now;
        let abandoned: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, pending)| pending.responder.is_abandoned())
            .map(|(&call, _)| call)
            .collect();
        for call in abandoned {
            self.calls.remove(&call);
            self.handle(now, Event::ClientGone(call));
        }
    }

    fn execute(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Answer { call, answer } => {
                if let Some(pending) = self.calls.remove(&call) {
                    let elapsed = cx.now().duration_since(pending.submitted_at);
                    self.metrics.record_answer(answer, elapsed);
                    pending.responder.respond(answer);
                }
            }
            Action::Acknowledge { call, outcome } => {
                if let Some(pending) = self.calls.remove(&call) {
                    pending.responder.acknowledge(outcome);
                }
            }
            Action::Send { to, message } => {
                if let Some(&link) = self.links.get(&to) {
                    self.peers.send_on(to, link, message);
                }
            }
            Action::Connect(vms) => self.peers.set_wanted(vms),
            Action::Disconnect(peer) => {
                if let Some(&link) = self.links.get(&peer) {
                    self.peers.close_link(peer, link);
                }
            }
            Action::FollowWorkers(follow) => self.adapter.follow_workers(follow),
            Action::Poll(poll) => self.adapter.workers().poll(poll),
            Action::Start(start) => self.adapter.workers().start(start),
            Action::Stop(stop) => self.adapter.workers().stop(stop),
            Action::AdoptQueues(queues) => self.adapter.set_queues(&queues),
            Action::Evacuations(state) => self.adapter.set_evacuations(&state),
            Action::Closed => {
                tracing::info!("dispatcher closed");
                cx.stop();
            }
        }
    }
}

/// Returns the time since the Unix epoch in milliseconds; 0 if the system clock is before 1970.
fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
