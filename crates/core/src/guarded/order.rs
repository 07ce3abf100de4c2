//! What the dispatcher wants done.

use super::model::answer::Answer;
use super::model::ids::{FencingToken, RunId, WorkerId};
use super::model::message::Message;
use super::model::queue::QueueTable;
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// An output of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Answer a client.
    Answer {
        /// Number of the call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: Incarnation,
        /// The message.
        message: Message,
    },
    /// Look at a worker.
    Look(Look),
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The run.
        run: RunId,
        /// Token of the holder.
        token: FencingToken,
    },
    /// A newer configuration is in force in this process.
    AdoptQueues(Arc<QueueTable>),
    /// All work has ended; the process may exit.
    Closed,
}

/// A look at a worker: lists its runs, acknowledges ends and may renew its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Look {
    /// The worker.
    pub worker: WorkerId,
    /// Number of the look, for its reply.
    pub look: u64,
    /// Token of the holder.
    pub token: FencingToken,
    /// End of the lease on the worker's clock, in milliseconds; `None` leaves it as it is.
    pub lease_end_ms: Option<u64>,
    /// Ends up to this number are acknowledged.
    pub last_seen: u64,
    /// Time for which the worker may wait for an end before it answers.
    pub wait: Duration,
}

/// A start of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The worker.
    pub worker: WorkerId,
    /// The run.
    pub run: RunId,
    /// What the task is to do.
    pub payload: Arc<str>,
    /// Token of the holder.
    pub token: FencingToken,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
}
