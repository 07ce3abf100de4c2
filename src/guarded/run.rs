//! The loop that runs the actor on a runtime of one thread.

use super::actor::DispatcherActor;
use super::input::Input;
use super::metrics::DispatcherMetrics;
use super::ports::Ports;
use crate::peers::PeerHub;
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::guarded::{Dispatcher, Event};
use rustix::time::{ClockId, clock_gettime};
use stakker::{ActorOwn, Stakker, actor, call, ret_shutdown};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// Longest time for which the loop sleeps.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Inputs that are taken in before the actor runs.
const MAX_BATCH: usize = 64;
/// Length of a suspension from which on the beliefs of this process are not to be trusted.
const PAUSE_LIMIT: Duration = Duration::from_millis(300);

/// What the loop runs.
#[derive(Debug)]
pub struct Setup<P: Ports> {
    /// The decisions.
    pub dispatcher: Dispatcher,
    /// The adapter.
    pub ports: P,
    /// Connections to peers.
    pub peers: PeerHub<Message>,
    /// Metrics.
    pub metrics: DispatcherMetrics,
}

/// Runs the actor until it stops.
pub async fn run<P: Ports>(setup: Setup<P>, mut rx: UnboundedReceiver<Input<P::Answerer>>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let Setup {
        dispatcher,
        ports,
        peers,
        metrics,
    } = setup;
    let actor = actor!(
        s,
        <DispatcherActor<P>>::init(dispatcher, ports, peers, metrics),
        ret_shutdown!(s)
    );
    let mut pauses = PauseDetector::new();
    s.run(Instant::now(), false);
    while s.not_shutdown() {
        let wait = s.next_wait_max(Instant::now(), MAX_WAIT, false);
        let first = tokio::select! {
            biased;
            input = rx.recv() => input,
            () = tokio::time::sleep(wait) => None,
        };
        s.run(Instant::now(), false);
        if let Some(span) = pauses.check() {
            let event = Input::Event(Event::Stalled(span));
            call!([actor], input(event));
        }
        if let Some(input) = first {
            pass_on(&actor, input, &mut rx);
        }
        s.run(Instant::now(), false);
    }
}

/// Passes a batch of inputs on.
fn pass_on<P: Ports>(
    actor: &ActorOwn<DispatcherActor<P>>,
    first: Input<P::Answerer>,
    rx: &mut UnboundedReceiver<Input<P::Answerer>>,
) {
    call!([actor], input(first));
    for _ in 0..MAX_BATCH {
        let Ok(input) = rx.try_recv() else {
            return;
        };
        call!([actor], input(input));
    }
}

/// Notices that the VM was suspended: the monotonic clock does not count the time for which a VM
/// is suspended, the boot clock does.
#[derive(Debug)]
struct PauseDetector {
    ahead: Duration,
}

impl PauseDetector {
    fn new() -> Self {
        Self {
            ahead: boot_ahead(),
        }
    }

    /// Returns the length of a suspension since the last check. A standstill in which the monotonic
    /// clock goes on is noticed by the dispatcher itself.
    fn check(&mut self) -> Option<Duration> {
        let ahead = boot_ahead();
        let suspended = ahead.saturating_sub(self.ahead);
        self.ahead = ahead;
        (suspended >= PAUSE_LIMIT).then_some(suspended)
    }
}

/// Returns by how much the boot clock is ahead of the monotonic clock.
fn boot_ahead() -> Duration {
    let boot = clock_gettime(ClockId::Boottime);
    let monotonic = clock_gettime(ClockId::Monotonic);
    let boot: Duration = boot.try_into().unwrap_or_default();
    boot.saturating_sub(monotonic.try_into().unwrap_or_default())
}
