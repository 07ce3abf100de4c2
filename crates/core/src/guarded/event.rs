//! What the adapters tell the dispatcher.

use super::model::ids::{RunId, WorkerId};
use super::model::job::Job;
use super::model::message::Message;
use super::model::queue::QueueTable;
use super::model::reply::{LookReply, StartReply, StopReply};
use super::model::worker::WorkerEntry;
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client submits a job.
    Submit {
        /// Number under which the adapter expects the answer.
        call: CallId,
        /// The job.
        job: Arc<Job>,
    },
    /// A client left before its answer.
    Abandon(CallId),
    /// The configuration, from the store.
    Queues(Arc<QueueTable>),
    /// A worker is new in the registry or has changed.
    Worker(WorkerEntry),
    /// A worker is no longer in the registry.
    WorkerGone(WorkerId),
    /// All workers of the registry.
    Workers(Vec<WorkerEntry>),
    /// The registry lists this many other entry VMs.
    VmsListed(usize),
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
    /// A worker replied to a look, or did not.
    Looked {
        /// The worker.
        worker: WorkerId,
        /// Number of the look.
        look: u64,
        /// The reply.
        reply: LookReply,
    },
    /// A worker replied to a start, or did not.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The run.
        run: RunId,
        /// The reply.
        reply: StartReply,
    },
    /// A worker replied to a stop, or did not.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The run.
        run: RunId,
        /// The reply.
        reply: StopReply,
    },
    /// This process stood still for this long without noticing.
    Paused(Duration),
    /// The process is to stop gracefully.
    Stop,
}
