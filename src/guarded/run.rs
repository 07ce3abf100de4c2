//! Event loop that runs the actor on a single-threaded runtime.

use super::actor::DispatcherActor;
use super::adapter::Adapter;
use super::backlog::BacklogReader;
use super::input::Input;
use super::metrics::DispatcherMetrics;
use crate::http::ReadHorizon;
use crate::peers::PeerHub;
use cardamomslip_core::guarded::Dispatcher;
use cardamomslip_core::guarded::model::message::Message;
use stakker::{ActorOwn, Stakker, actor, call, ret_shutdown};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// Maximum wait for an input before the loop checks for shutdown.
const MAX_INPUT_WAIT: Duration = Duration::from_millis(250);
/// Maximum number of further inputs that are passed to the actor before it runs.
const MAX_INPUT_BATCH: usize = 64;
/// Same as [`MAX_INPUT_BATCH`], after a stall.
const MAX_BACKLOG: usize = 4_096;

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
    /// Time by which the sockets had been read, which the event loop advances.
    pub horizon: ReadHorizon,
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
        horizon,
    } = setup;
    let actor = actor!(
        s,
        <DispatcherActor<P>>::init(dispatcher, adapter, peers, metrics),
        ret_shutdown!(s)
    );
    let mut backlog = BacklogReader::new(horizon);
    s.run(Instant::now(), false);
    while s.not_shutdown() {
        let wait = s.next_wait_max(Instant::now(), MAX_INPUT_WAIT, false);
        // Then the I/O driver does not run before the first input is taken.
        let left = !rx.is_empty();
        let first = tokio::select! {
            biased;
            input = rx.recv() => input,
            () = tokio::time::sleep(wait) => None,
        };
        let further = if backlog.begin_pass(wait, left, &rx).await {
            MAX_BACKLOG
        } else {
            MAX_INPUT_BATCH
        };
        // Before the due timers, which judge by them.
        queue_inputs(&actor, first, further, &mut rx);
        s.run(Instant::now(), false);
    }
}

/// Passes an input, if there is one, and at most `further` others to the actor.
fn queue_inputs<P: Adapter>(
    actor: &ActorOwn<DispatcherActor<P>>,
    first: Option<Input<P::Responder>>,
    further: usize,
    rx: &mut UnboundedReceiver<Input<P::Responder>>,
) {
    if let Some(input) = first {
        call!([actor], handle_input(input));
    }
    for _ in 0..further {
        let Ok(input) = rx.try_recv() else {
            return;
        };
        call!([actor], handle_input(input));
    }
}
