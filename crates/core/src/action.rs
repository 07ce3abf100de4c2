//! What the core wants done.

use crate::model::configuration::Configuration;
use crate::model::ids::{AttemptId, CallId, ExecutorId, StoreOpId};
use crate::model::incarnation::Incarnation;
use crate::model::message::Message;
use crate::model::outcome::Refusal;
use crate::model::request::{Response, StartOrder};
use crate::model::store::StoreOp;
use crate::model::vm_list::VmList;
use std::sync::Arc;

/// An output of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a caller.
    Respond {
        /// Number of the call.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// Tell an operator what became of a change.
    RespondChange {
        /// Number of the call.
        call: CallId,
        /// The result.
        result: ChangeResult,
    },
    /// Tell an operator whether a request to stop reached the VM's process.
    RespondDrain {
        /// Number of the call.
        call: CallId,
        /// Whether the VM is this one or a connected peer.
        found: bool,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Incarnation,
        /// The message.
        message: Message,
    },
    /// Start a task on an executor.
    Start(StartOrder),
    /// Ask an executor to end a running attempt.
    Abort {
        /// The attempt.
        attempt: AttemptId,
        /// The executor.
        executor: ExecutorId,
    },
    /// Perform an operation on the store.
    Store {
        /// Number under which the core expects the reply.
        op: StoreOpId,
        /// The operation.
        req: StoreOp,
    },
    /// A newer configuration is in force in this process.
    AdoptConfiguration(Arc<Configuration>),
    /// A newer VM list steers this process.
    AdoptVmList(Arc<VmList>),
    /// The incarnation is closed; the process may exit.
    Closed,
}

/// What became of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeResult {
    /// The change was accepted with this value.
    Applied(Arc<Configuration>),
    /// Another change was accepted first; this is the value in force.
    Conflict(Option<Arc<Configuration>>),
    /// The change would produce an invalid configuration.
    Invalid(crate::model::configuration::ConfigurationError),
    /// The store did not settle the change in time.
    Refused(Refusal),
}
