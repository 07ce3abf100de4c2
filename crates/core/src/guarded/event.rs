//! Events that the adapters report to the dispatcher.

use super::model::evacuations::Evacuations;
use super::model::ids::{ClientJobId, RunId, WorkerId};
use super::model::job::Job;
use super::model::message::Message;
use super::model::queue::QueueTable;
use super::model::reply::{PollReply, StartReply, StopReply};
use super::model::vm::VmEntry;
use super::model::worker::WorkerEntry;
use crate::model::ids::{CallId, VmId};
use crate::model::incarnation::Incarnation;
use std::sync::Arc;

/// An input of the dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client submitted a job.
    Submit {
        /// Number of the call, which the answer refers to.
        call: CallId,
        /// The job as submitted.
        job: Arc<Job>,
    },
    /// A client disconnected before its answer.
    ClientGone(CallId),
    /// A client cancelled a job.
    Cancel {
        /// Number of the call, which the acknowledgement refers to.
        call: CallId,
        /// Id of the job.
        job: ClientJobId,
    },
    /// The configuration was read from the store.
    Queues(Arc<QueueTable>),
    /// The evacuations that the operators requested were read from the store.
    Evacuations {
        /// State as of the newest revision.
        state: Arc<Evacuations>,
        /// Whether a change was just reported by a watch, rather than found in a list.
        is_change: bool,
    },
    /// A worker was added to the registry or changed.
    Worker(WorkerEntry),
    /// A worker was removed from the registry.
    WorkerGone(WorkerId),
    /// The registry was read, whether or not anything in it had changed.
    RegistryRead,
    /// Full list of the workers in the registry.
    WorkersListed(Vec<WorkerEntry>),
    /// Full list of the entry VMs in the registry, with or without this one.
    VmsListed(Vec<VmEntry>),
    /// A VM refused a connection: its process is not running.
    VmRefused(VmId),
    /// A peer connected.
    PeerUp(Incarnation),
    /// A peer disconnected.
    PeerDown(Incarnation),
    /// A peer sent a message.
    Message {
        /// Sending peer.
        from: Incarnation,
        /// Received message.
        message: Message,
    },
    /// A worker replied to a poll, or the poll went unanswered.
    Polled {
        /// Polled worker.
        worker: WorkerId,
        /// Number of the poll, as requested.
        poll: u64,
        /// Reply of the worker, or its absence.
        reply: PollReply,
    },
    /// A worker replied to a start, or the start went unanswered.
    Started {
        /// Worker that was to start the run.
        worker: WorkerId,
        /// Run to be started.
        run: RunId,
        /// Reply of the worker, or its absence.
        reply: StartReply,
    },
    /// A worker replied to a stop, or the stop went unanswered.
    Stopped {
        /// Worker that was to stop the run.
        worker: WorkerId,
        /// Run to be stopped.
        run: RunId,
        /// Reply of the worker, or its absence.
        reply: StopReply,
    },
    /// The process is to stop gracefully.
    Stop,
}
