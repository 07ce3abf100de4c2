//! What the adapters tell the actor.

use super::ports::Answerer;
use crate::peers::PeerSink;
use cardamomslip_core::guarded::Event;
use cardamomslip_core::guarded::model::job::Job;
use cardamomslip_core::guarded::model::message::Message;
use cardamomslip_core::model::incarnation::Incarnation;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

/// An input of the actor.
#[derive(Debug)]
pub enum Input<A> {
    /// An event of the core.
    Event(Event),
    /// A caller submits a job.
    Submit(A, Arc<Job>),
}

/// The way to the actor. Sending never fails: an input to an actor that ended is dropped.
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

    /// Sends an input.
    pub fn send(&self, input: Input<A>) {
        // The receiver is dropped only when the process ends.
        drop(self.0.send(input));
    }

    /// Sends an event of the core.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}

impl<A: Answerer + Send + 'static> PeerSink<Message> for InputSender<A> {
    fn peer_up(&self, peer: Incarnation) {
        self.event(Event::PeerUp(peer));
    }

    fn peer_down(&self, peer: Incarnation) {
        self.event(Event::PeerDown(peer));
    }

    fn message(&self, from: Incarnation, message: Message) {
        self.event(Event::Message { from, message });
    }
}
