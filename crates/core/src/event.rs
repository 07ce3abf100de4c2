//! Inputs of the core: the events that an adapter reports.

use crate::model::configuration::{ChangeRequest, Configuration};
use crate::model::ids::{AttemptId, CallId, StoreOpId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::message::Message;
use crate::model::request::{Request, StartReply};
use crate::model::store::StoreReply;
use crate::model::vm_list::VmList;
use std::sync::Arc;

/// An event that the adapter passes to the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a request.
    Call {
        /// Id that the response will carry.
        call: CallId,
        /// Request of the caller.
        req: Request,
    },
    /// An operator requested a change of the configuration.
    Change {
        /// Id that the result will carry.
        call: CallId,
        /// Requested change.
        req: ChangeRequest,
    },
    /// A connection to a peer was established.
    PeerUp(Incarnation),
    /// The connection to a peer was lost.
    PeerDown(Incarnation),
    /// A message arrived from a peer.
    Message {
        /// Peer that sent it.
        from: Incarnation,
        /// Received message.
        message: Message,
    },
    /// An attempt ended, successfully or not.
    AttemptEnded {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Result of the attempt.
        reply: StartReply,
    },
    /// An operation on the store ended; the reply says so too if it was lost.
    Store {
        /// Id of the operation.
        op: StoreOpId,
        /// Reply of the store.
        reply: StoreReply,
    },
    /// The configuration was read from the store, by a watch or a poll.
    Configuration(Arc<Configuration>),
    /// The VM list was read from the platform.
    VmList(Arc<VmList>),
    /// An operator requested the graceful stop of an entry VM.
    Drain {
        /// Id that the result will carry.
        call: CallId,
        /// VM to stop.
        vm: VmId,
    },
    /// The process was asked to stop gracefully.
    Stop,
}
