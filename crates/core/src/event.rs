//! What the adapters tell the core.

use crate::model::configuration::{ChangeRequest, Configuration};
use crate::model::ids::{AttemptId, CallId, StoreOpId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::message::Message;
use crate::model::request::{Request, StartReply};
use crate::model::store::StoreReply;
use crate::model::vm_list::VmList;
use std::sync::Arc;

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for something.
    Call {
        /// Number under which the adapter expects the response.
        call: CallId,
        /// The request.
        req: Request,
    },
    /// An operator asks for a change of the configuration.
    Change {
        /// Number under which the adapter expects the result.
        call: CallId,
        /// The change.
        req: ChangeRequest,
    },
    /// A connection to a peer is established.
    PeerUp(Incarnation),
    /// The connection to a peer is lost.
    PeerDown(Incarnation),
    /// A peer sent a message.
    Message {
        /// The peer.
        from: Incarnation,
        /// The message.
        message: Message,
    },
    /// An attempt to start a task ended.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Its end.
        reply: StartReply,
    },
    /// The store answered, or did not.
    Store {
        /// The operation.
        op: StoreOpId,
        /// The reply.
        reply: StoreReply,
    },
    /// A watch or a poll delivered the configuration.
    Configuration(Arc<Configuration>),
    /// A poll delivered the VM list.
    VmList(Arc<VmList>),
    /// An operator asks for the graceful stop of an entry VM.
    Drain {
        /// Number under which the adapter expects the result.
        call: CallId,
        /// The VM.
        vm: VmId,
    },
    /// The process is to stop gracefully.
    Stop,
}
