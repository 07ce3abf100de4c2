//! Messages between entry VMs.

use super::answer::Answer;
use super::cancel::{CancelMark, CancelReply, CancelRequest};
use super::cell::{Cell, HolderLoad};
use super::crash::{Crash, Evidence};
use super::echo::Echo;
use super::evacuations::Evacuations;
use super::ids::{ClientJobId, FencingToken, TaskId, WorkerId};
use super::job::Job;
use super::queue::QueueTable;
use super::queue_use::QueueUse;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// A message to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Periodic state of the sender.
    Heartbeat(Box<Heartbeat>),
    /// Asks the receiver to run a job.
    Place {
        /// Job to run.
        job: Arc<Job>,
        /// Time since its submission was read.
        age: Duration,
        /// Longest time for which the submission may have lain unread before.
        unread: Duration,
        /// Time stamp of the receiver.
        echo: Echo,
    },
    /// A job that the receiver placed has ended or was refused.
    Finished {
        /// Id of the job.
        job: ClientJobId,
        /// Outcome of the job.
        answer: Answer,
    },
    /// No client of the sender waits for this job any more.
    Withdraw {
        /// Id of the job.
        job: ClientJobId,
    },
    /// Clients cancelled these jobs, wherever they are.
    Cancel(Vec<CancelRequest>),
    /// Replies to such requests.
    CancelReplies(Vec<CancelReply>),
    /// Jobs that were found and cancelled.
    CancelMarks(Vec<CancelMark>),
    /// Asks for a newer configuration than the sender has.
    RequestQueues {
        /// Version that the sender has; 0 for none.
        version: u64,
    },
    /// The configuration, in reply to a request.
    Queues(Arc<QueueTable>),
    /// What the sender learned of tasks under which workers crashed.
    Suspects(Vec<SuspectReport>),
    /// What the sender learned of starts that may still be carried out.
    Starts(Vec<StartReport>),
    /// Workers that the sender read to be draining.
    Drains(Vec<DrainReport>),
}

/// A boot of a worker that is about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// The worker.
    pub worker: WorkerId,
    /// Its boot, as in its entry.
    pub boot: u64,
}

/// What a VM learned of a start that a worker did not answer. The task may be submitted again at any
/// VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReport {
    /// The worker may still carry it out.
    Open {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// Number of the run.
        number: u64,
        /// Fencing token of the start.
        token: FencingToken,
        /// Time since the start was sent.
        age: Duration,
    },
    /// It was ruled out on the worker's boot that the sender knows; a new boot may carry it out. A receiver
    /// that knows of the start ignores this, as it may be out of date.
    Known {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// Number of the run.
        number: u64,
        /// Fencing token of the start.
        token: FencingToken,
        /// Time since the start was sent.
        age: Duration,
    },
    /// The present boot of the worker does not carry out any start up to this token.
    RuledOut {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// Highest fencing token of the starts that are ruled out.
        token: FencingToken,
    },
}

/// What a VM learned of a task under which a worker crashed. The task may start at any VM next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectReport {
    /// A worker crashed while the task ran there, or the task is on trial there.
    Crashed {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
        /// Boot of the worker, if it was known.
        boot: Option<u64>,
        /// What is known of the cause.
        evidence: Evidence,
    },
    /// The task did not cause the crash of this worker.
    Withdrawn {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: WorkerId,
    },
    /// A run of the task ended by itself.
    Cleared {
        /// The task.
        task: TaskId,
    },
    /// The job of the task is given up.
    GivenUp {
        /// The task.
        task: TaskId,
    },
}

/// State that an entry VM sends to its peers at short intervals.
///
/// Its echo answers for the clients of the sender: at that moment each job that the sender had placed with
/// the receiver, and had not withdrawn before this message, had a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Time at which it was sent, on the clock of the sender.
    pub sent_at: Time,
    /// Time stamp of the receiver; `None` until one has arrived.
    pub echo: Option<Echo>,
    /// Size relative to other VMs.
    pub weight: u32,
    /// Whether it is stopping and accepts no new jobs.
    pub leaving: bool,
    /// Version of its configuration; 0 for none.
    pub queues_version: u64,
    /// Time since the first VM had that configuration, as far as the sender knows.
    pub queues_age: Duration,
    /// Evacuations that it knows of.
    pub evacuations: Arc<Evacuations>,
    /// Highest fencing token that it has seen.
    pub token: u64,
    /// Cells that it claims; empty while it is stopping.
    pub cells: Vec<Cell>,
    /// Load of all workers of these cells.
    pub load: HolderLoad,
    /// Workers that it still holds although it no longer claims their cells.
    pub still_held: Vec<WorkerId>,
    /// Time within which the sender sends its next heartbeat to this receiver, unless a job
    /// connects the two; then heartbeats follow at the shortest interval.
    pub next_within: Duration,
    /// Whether the sender is one of the relays of its data centre.
    pub is_relay: bool,
    /// Whether the sender needs the connection to the receiver.
    pub wants_link: bool,
    /// Holders in other data centres, for a receiver that has no connection to them.
    pub remote_holders: Vec<RemoteHolder>,
    /// What the queues use of the workers that the sender holds; empty unless its room is short.
    pub queue_uses: Vec<QueueUse>,
}

/// A holder in another data centre, as a relay knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteHolder {
    /// The holder.
    pub holder: Incarnation,
    /// Its load.
    pub load: HolderLoad,
    /// Time since the relay received the load.
    pub age: Duration,
}

impl SuspectReport {
    /// Returns the report of a crash.
    #[must_use]
    pub const fn crashed(task: TaskId, crash: &Crash) -> Self {
        Self::Crashed {
            task,
            worker: crash.worker,
            boot: crash.boot,
            evidence: crash.evidence,
        }
    }
}
