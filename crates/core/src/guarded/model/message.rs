//! Messages between the entry VMs.

use super::answer::Answer;
use super::cell::CellLoad;
use super::ids::{ClientJobId, WorkerId};
use super::job::Job;
use super::queue::QueueTable;
use std::sync::Arc;
use std::time::Duration;

/// A message to a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The sender is there.
    Heartbeat(Heartbeat),
    /// Run this job.
    Place {
        /// The job.
        job: Arc<Job>,
        /// Time since its submission.
        age: Duration,
    },
    /// The job that the receiver placed has ended, or is handed back.
    Finished {
        /// The job.
        job: ClientJobId,
        /// What became of it.
        answer: Answer,
    },
    /// Nobody waits for this job at the sender any more.
    Withdraw {
        /// The job.
        job: ClientJobId,
    },
    /// The sender asks for the configuration, since it has only this version.
    WantQueues {
        /// Version that the sender has, 0 for none.
        version: u64,
    },
    /// The configuration, for one who asked for it.
    Queues(Arc<QueueTable>),
}

/// What an entry VM tells its peers at short intervals.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Size relative to other VMs.
    pub weight: u32,
    /// Whether it stops and takes no new jobs.
    pub leaving: bool,
    /// Version of its configuration, 0 for none.
    pub queues_version: u64,
    /// Highest fencing token that it knows of.
    pub token: u64,
    /// Cells that it holds.
    pub cells: Vec<CellLoad>,
    /// Workers that it still holds of cells that it does not hold any more.
    pub still_held: Vec<WorkerId>,
}
