//! What the adapters tell the actor.

use super::ports::Answerer;
use crate::peers::PeerSink;
use cardamomslip_core::guarded::Event;
use cardamomslip_core::guarded::model::answer::{Answer, RefusalCause};
use cardamomslip_core::guarded::model::job::Job;
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::model::incarnation::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

/// Time after which a job may be tried again that met a VM which has stopped.
const STOPPED_RETRY: Duration = Duration::from_millis(500);

/// An input of the actor.
#[derive(Debug)]
pub enum Input<A> {
    /// An event of the core.
    Event(Event),
    /// A connection to a peer is established under this number.
    PeerUp(Incarnation, u64),
    /// A caller submits a job.
    Submit(A, Arc<Job>),
}

/// The way to the actor.
#[derive(Debug)]
pub struct InputSender<A>(UnboundedSender<Input<A>>);

impl<A> Clone for InputSender<A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<A> InputSender<A> {
    /// Wraps the sending end of the actor's channel.
    #[must_use]
    pub const fn new(tx: UnboundedSender<Input<A>>) -> Self {
        Self(tx)
    }

    /// Sends a submission. One that an actor which has ended can't take in is refused.
    pub fn submit(&self, answerer: A, job: Arc<Job>)
    where
        A: Answerer,
    {
        if let Err(e) = self.0.send(Input::Submit(answerer, job))
            && let Input::Submit(answerer, job) = e.0
        {
            tracing::info!(job = %job.id, "job refused: this VM has stopped");
            answerer.close(Answer::Refused {
                cause: RefusalCause::Stopping,
                retry_after: STOPPED_RETRY,
            });
        }
    }

    /// Sends an event of the core. One for an actor that ended is dropped.
    pub fn event(&self, event: Event) {
        drop(self.0.send(Input::Event(event)));
    }
}

impl<A: Answerer + Send + 'static> PeerSink<Message> for InputSender<A> {
    fn peer_up(&self, peer: Incarnation, link: u64) {
        // An actor that has ended needs no peers.
        let _ = self.0.send(Input::PeerUp(peer, link));
    }

    fn peer_down(&self, peer: Incarnation) {
        self.event(Event::PeerDown(peer));
    }

    fn message(&self, from: Incarnation, message: Message) {
        self.event(Event::Message { from, message });
    }
}
