//! What the threads around the node tell its actor.

use crate::callers::Responder;
use crate::operators::StatusReport;
use cardamomslip_core::Event;
use cardamomslip_core::model::configuration::ChangeRequest;
use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::request::Request;
use std::sync::mpsc::Sender;

/// An input of the actor.
#[derive(Debug)]
pub enum Input {
    /// An event of the core.
    Event(Event),
    /// A request of a caller, and where its response goes.
    Call(Responder, Request),
    /// A change by an operator, and where its result goes.
    Change(Responder, ChangeRequest),
    /// An operator's request to stop a VM, and where its result goes.
    Drain(Responder, VmId),
    /// An operator asks for a snapshot.
    Status(Sender<StatusReport>),
    /// The process ends now, whatever is in flight.
    Abandon,
}

/// The way to the actor. Sending never fails: an input to an actor that ended is dropped.
#[derive(Clone, Debug)]
pub struct InputSender(Sender<Input>);

impl InputSender {
    /// Wraps the sending end of the actor's channel.
    #[must_use]
    pub const fn new(tx: Sender<Input>) -> Self {
        Self(tx)
    }

    /// Sends an input.
    pub fn send(&self, input: Input) {
        drop(self.0.send(input));
    }

    /// Sends an event of the core.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}
