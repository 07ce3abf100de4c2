//! Event loop that runs the actor on a single-threaded runtime.

use super::actor::DispatcherActor;
use super::adapter::Adapter;
use super::input::Input;
use super::metrics::DispatcherMetrics;
use crate::peers::PeerHub;
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::guarded::{Dispatcher, Event};
use rustix::time::{ClockId, clock_gettime};
use stakker::{ActorOwn, Stakker, actor, call, ret_shutdown};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// Maximum wait for an input before the loop checks for shutdown and for a suspension.
const MAX_INPUT_WAIT: Duration = Duration::from_millis(250);
/// Maximum number of further inputs that are passed to the actor before it runs.
const MAX_INPUT_BATCH: usize = 64;
/// Minimum length of a suspension that is reported to the dispatcher. From this length on, what
/// this process knows of its leases and peers can no longer be trusted.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

/// Components that [`run`] connects.
#[derive(Debug)]
pub struct Setup<P: Adapter> {
    /// Dispatcher that makes the scheduling decisions.
    pub dispatcher: Dispatcher,
    /// Adapter to clients and workers.
    pub adapter: P,
    /// Connections to peers.
    pub peers: PeerHub<Message>,
    /// Metrics of the dispatcher.
    pub metrics: DispatcherMetrics,
}

/// Runs the actor until the dispatcher has closed.
pub async fn run<P: Adapter>(setup: Setup<P>, mut rx: UnboundedReceiver<Input<P::Responder>>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let Setup {
        dispatcher,
        adapter,
        peers,
        metrics,
    } = setup;
    let actor = actor!(
        s,
        <DispatcherActor<P>>::init(dispatcher, adapter, peers, metrics),
        ret_shutdown!(s)
    );
    let mut suspend_detector = SuspendDetector::new();
    s.run(Instant::now(), false);
    while s.not_shutdown() {
        let wait = s.next_wait_max(Instant::now(), MAX_INPUT_WAIT, false);
        let first = tokio::select! {
            biased;
            input = rx.recv() => input,
            () = tokio::time::sleep(wait) => None,
        };
        s.run(Instant::now(), false);
        if let Some(suspended) = suspend_detector.check() {
            let event = Input::Event(Event::Stalled(suspended));
            call!([actor], handle_input(event));
        }
        if let Some(input) = first {
            queue_inputs(&actor, input, &mut rx);
        }
        s.run(Instant::now(), false);
    }
}

/// Passes a batch of inputs to the actor.
fn queue_inputs<P: Adapter>(
    actor: &ActorOwn<DispatcherActor<P>>,
    first: Input<P::Responder>,
    rx: &mut UnboundedReceiver<Input<P::Responder>>,
) {
    call!([actor], handle_input(first));
    for _ in 0..MAX_INPUT_BATCH {
        let Ok(input) = rx.try_recv() else {
            return;
        };
        call!([actor], handle_input(input));
    }
}

/// Detects that the VM was suspended. The boot clock counts the time for which a VM is suspended,
/// the monotonic clock does not.
#[derive(Debug)]
struct SuspendDetector {
    lead: Duration,
}

impl SuspendDetector {
    fn new() -> Self {
        Self {
            lead: boot_clock_lead(),
        }
    }

    /// Returns the length of a suspension since the last check. Stalls during which the monotonic
    /// clock advances are detected by the dispatcher.
    fn check(&mut self) -> Option<Duration> {
        let lead = boot_clock_lead();
        let suspended = lead.saturating_sub(self.lead);
        self.lead = lead;
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

/// Returns the time by which the boot clock is ahead of the monotonic clock.
fn boot_clock_lead() -> Duration {
    let boot = clock_gettime(ClockId::Boottime);
    let monotonic = clock_gettime(ClockId::Monotonic);
    let boot: Duration = boot.try_into().unwrap_or_default();
    boot.saturating_sub(monotonic.try_into().unwrap_or_default())
}
