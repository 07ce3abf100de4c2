//! Inputs of the node's actor, sent by the other threads of the process.

use crate::callers::Responder;
use crate::operators::StatusReport;
use cardamomslip_core::Event;
use cardamomslip_core::model::configuration::ChangeRequest;
use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::request::Request;
use std::sync::mpsc::Sender;

/// An input of the node's actor.
#[derive(Debug)]
pub enum Input {
    /// An event for the core.
    Event(Event),
    /// A request of a caller, with the responder for its response.
    Call(Responder, Request),
    /// A configuration change by an operator, with the responder for its result.
    Change(Responder, ChangeRequest),
    /// An operator's request to stop a VM gracefully, with the responder for its result.
    Drain(Responder, VmId),
    /// A request for a status report, which is sent to this channel.
    Status(Sender<StatusReport>),
    /// Stop immediately, without waiting for open jobs.
    StopNow,
}

/// Sender of inputs to the node's actor. Sending never fails; inputs to a stopped actor are
/// dropped.
#[derive(Clone, Debug)]
pub struct InputSender(Sender<Input>);

impl InputSender {
    /// Creates a sender for the actor's channel.
    #[must_use]
    pub const fn new(tx: Sender<Input>) -> Self {
        Self(tx)
    }

    /// Sends an input.
    pub fn send(&self, input: Input) {
        drop(self.0.send(input));
    }

    /// Sends an event for the core.
    pub fn send_event(&self, event: Event) {
        self.send(Input::Event(event));
    }
}
