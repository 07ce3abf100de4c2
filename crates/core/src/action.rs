//! Outputs of the core: the actions that an adapter carries out.

use crate::model::configuration::Configuration;
use crate::model::ids::{AttemptId, CallId, ExecutorId, StoreOpId};
use crate::model::incarnation::Incarnation;
use crate::model::message::Message;
use crate::model::outcome::Refusal;
use crate::model::request::{Response, StartRequest};
use crate::model::store::StoreOp;
use crate::model::vm_list::VmList;
use std::sync::Arc;

/// An action that the core requests from its adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Respond to a caller.
    Respond {
        /// Id under which the call was passed in.
        call: CallId,
        /// Response to deliver.
        response: Response,
    },
    /// Respond to an operator's change request.
    RespondChange {
        /// Id under which the call was passed in.
        call: CallId,
        /// Outcome of the change.
        result: ChangeResult,
    },
    /// Respond to an operator's drain request.
    RespondDrain {
        /// Id under which the call was passed in.
        call: CallId,
        /// Whether the VM is this one or that of a connected peer, so that the request was
        /// delivered.
        found: bool,
    },
    /// Send a message to a peer.
    Send {
        /// Receiving peer.
        to: Incarnation,
        /// Message to send.
        message: Message,
    },
    /// Start a task on an executor. The result is passed back as an event.
    Start(StartRequest),
    /// Ask an executor to abort a running attempt.
    Abort {
        /// Attempt to abort.
        attempt: AttemptId,
        /// Executor that runs it.
        executor: ExecutorId,
    },
    /// Perform an operation on the store. The reply is passed back as an event.
    Store {
        /// Id to pass back with the reply.
        op: StoreOpId,
        /// Operation to perform.
        req: StoreOp,
    },
    /// A newer configuration took effect in this process.
    AdoptConfiguration(Arc<Configuration>),
    /// A newer VM list took effect in this process.
    AdoptVmList(Arc<VmList>),
    /// The graceful stop is complete; the process may exit.
    Closed,
}

/// Result of an operator's change request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// The change was accepted; this is the resulting configuration.
    Applied(Arc<Configuration>),
    /// The configuration has changed since the operator's base version; this is the current one.
    Conflict(Option<Arc<Configuration>>),
    /// The change would result in an invalid configuration.
    Invalid(crate::model::configuration::ConfigurationError),
    /// The process is stopping, or the store did not complete the change in time.
    Refused(Refusal),
}
