//! Cancellations of jobs: what entry VMs ask and tell each other.

use super::ids::ClientJobId;
use std::time::Duration;

/// Whom the receiver of a message asks or tells in turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CancelScope {
    /// Nobody.
    Receiver,
    /// The VMs of its data centre.
    DataCentre,
    /// The VMs of its data centre and the relays of the others.
    System,
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// A VM knew the job and has ended it: no more of its tasks start.
    Cancelled,
    /// No VM knew the job.
    Unknown,
    /// No VM that answered knew the job, and some did not answer.
    Incomplete,
}

/// A request to cancel a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelRequest {
    /// Id of the job.
    pub job: ClientJobId,
    /// Whom the receiver asks in turn.
    pub scope: CancelScope,
}

/// The reply to a [`CancelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelReply {
    /// Id of the job.
    pub job: ClientJobId,
    /// Scope of the request.
    pub scope: CancelScope,
    /// Outcome among those that were asked.
    pub outcome: CancelOutcome,
}

/// Tells a VM of a job that was found and cancelled, so that no copy of its submission starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelMark {
    /// Id of the job.
    pub job: ClientJobId,
    /// Whom the receiver tells in turn.
    pub scope: CancelScope,
    /// Time since the cancellation.
    pub age: Duration,
}
