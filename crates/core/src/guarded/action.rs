//! Actions that the dispatcher requests.

use super::model::answer::Answer;
use super::model::cancel::CancelOutcome;
use super::model::evacuations::Evacuations;
use super::model::ids::{FencingToken, RunId, WorkerId};
use super::model::message::Message;
use super::model::queue::QueueTable;
use crate::model::ids::{CallId, VmId};
use crate::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An output of the dispatcher, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Answer a client.
    Answer {
        /// Number of the call, from [`Event::Submit`](super::Event::Submit).
        call: CallId,
        /// Answer to send.
        answer: Answer,
    },
    /// Tell a client the outcome of its cancellation of a job.
    Acknowledge {
        /// Number of the call, from [`Event::Cancel`](super::Event::Cancel).
        call: CallId,
        /// Outcome of the cancellation.
        outcome: CancelOutcome,
    },
    /// Send a message to a peer.
    Send {
        /// Receiving peer.
        to: Incarnation,
        /// Message to send.
        message: Message,
    },
    /// Keep connections to exactly these VMs, besides those that other VMs open.
    Connect(Vec<VmId>),
    /// Close the connection to a peer.
    Disconnect(Incarnation),
    /// Follow the registry of the workers, or stop following it.
    FollowWorkers(bool),
    /// Poll a worker.
    Poll(Poll),
    /// Start a run on a worker.
    Start(Start),
    /// Stop a run on a worker.
    Stop(Stop),
    /// Use this newer configuration in this process.
    AdoptQueues(Arc<QueueTable>),
    /// These evacuations are in force now.
    Evacuations(Arc<Evacuations>),
    /// Exit the process: all work has ended.
    Closed,
}

/// A poll of a worker, which lists its runs, acknowledges ended ones and may renew its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Worker to poll.
    pub worker: WorkerId,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Number of the poll, to be passed back with the reply.
    pub id: u64,
    /// Fencing token of the holder, or 0 for a probe.
    pub token: FencingToken,
    /// End of the lease on the worker's clock, in milliseconds; `None` leaves the lease unchanged.
    pub lease_end_ms: Option<u64>,
    /// Number of the last ended run to acknowledge.
    pub last_seen: u64,
    /// Maximum time that the worker may wait for a run to end before it answers.
    pub wait: Duration,
}

/// A request to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// Worker to start the run on.
    pub worker: WorkerId,
    /// Address of the worker, which stays the same while it has the run.
    pub address: SocketAddr,
    /// Run to start.
    pub run: RunId,
    /// Payload of the job, passed on unchanged.
    pub payload: Arc<str>,
    /// Fencing token of the holder.
    pub token: FencingToken,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
}

/// A request to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Worker that the run is on.
    pub worker: WorkerId,
    /// Address at which the run was started.
    pub address: SocketAddr,
    /// Run to stop.
    pub run: RunId,
    /// Fencing token of the holder.
    pub token: FencingToken,
}
