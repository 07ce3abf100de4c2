//! Inputs that adapters send to the actor.

use super::adapter::JobResponder;
use crate::peers::PeerSink;
use cardamomslip_core::guarded::Event;
use cardamomslip_core::guarded::model::answer::{Answer, RefusalCause};
use cardamomslip_core::guarded::model::ids::ClientJobId;
use cardamomslip_core::guarded::model::job::Job;
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::incarnation::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Retry delay given to a client whose job arrives after the dispatcher has stopped.
const STOPPED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An input to the actor.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "most inputs are events, and boxing them costs an allocation each"
)]
pub enum Input<A> {
    /// An event for the dispatcher.
    Event(Event),
    /// A connection to the peer was established; the number identifies the connection.
    PeerUp(Incarnation, u64),
    /// A client submitted a job. The answer goes to the given responder.
    Submit(A, Arc<Job>),
    /// A client cancelled a job. The acknowledgement goes to the given responder.
    Cancel(A, ClientJobId),
}

/// Sends inputs to the actor. Clones send to the same actor.
#[derive(Debug)]
pub struct InputSender<A>(UnboundedSender<Input<A>>);

impl<A> Clone for InputSender<A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<A> InputSender<A> {
    /// Creates a sender from the sending half of the actor's channel.
    #[must_use]
    pub const fn new(tx: UnboundedSender<Input<A>>) -> Self {
        Self(tx)
    }

    /// Submits a job. The job is refused as [`RefusalCause::Stopping`] if the actor has ended.
    pub fn submit(&self, responder: A, job: Arc<Job>)
    where
        A: JobResponder,
    {
        if let Err(e) = self.0.send(Input::Submit(responder, job))
            && let Input::Submit(responder, job) = e.0
        {
            tracing::info!(job = %job.id, "job refused: the dispatcher of this VM has stopped");
            responder.respond(Answer::Refused {
                cause: RefusalCause::Stopping,
                retry_after: STOPPED_RETRY_AFTER,
            });
        }
    }

    /// Cancels a job. It is unknown if the actor has ended, which ended all jobs.
    pub fn cancel(&self, responder: A, job: ClientJobId)
    where
        A: JobResponder,
    {
        if let Err(e) = self.0.send(Input::Cancel(responder, job))
            && let Input::Cancel(responder, _) = e.0
        {
            responder.acknowledge(false);
        }
    }

    /// Sends an event to the dispatcher. The event is dropped if the actor has ended.
    pub fn send_event(&self, event: Event) {
        drop(self.0.send(Input::Event(event)));
    }
}

impl<A: JobResponder + Send + 'static> PeerSink<Message> for InputSender<A> {
    fn peer_up(&self, peer: Incarnation, link: u64) {
        // Sending fails only if the actor has ended; the event is not needed then.
        let _ = self.0.send(Input::PeerUp(peer, link));
    }

    fn peer_down(&self, peer: Incarnation) {
        self.send_event(Event::PeerDown(peer));
    }

    fn connection_refused(&self, vm: VmId) {
        self.send_event(Event::VmRefused(vm));
    }

    fn message_received(&self, from: Incarnation, message: Message) {
        self.send_event(Event::Message { from, message });
    }
}
