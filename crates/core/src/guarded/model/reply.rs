//! Replies of workers.

use super::ids::{RunId, TaskId};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run succeeded.
    Done,
    /// The run failed through a fault of the task or of the worker.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run was stopped because the lease expired.
    Lapsed,
    /// The run was lost with its worker, whose process ended.
    Crashed,
    /// The run ended in another way that does not count as a failure of the task.
    Broken,
}

/// A run in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunInProgress {
    /// Id of the run.
    pub run: RunId,
    /// Progress in percent, if the worker reports it.
    pub percent: Option<f64>,
}

/// An ended run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number of the end within the worker's boot, used for acknowledgement.
    pub number: u64,
    /// Id of the run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
}

/// State that a worker reports in reply to a poll.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct WorkerStatus {
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Boot time in Unix milliseconds, used only to tell boots apart.
    pub boot: Option<u64>,
    /// Runs in progress.
    pub running: Vec<RunInProgress>,
    /// Ended runs that were not acknowledged, in order; the list may be incomplete.
    pub ended: Vec<EndedRun>,
}

/// The reply to a poll of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum PollReply {
    /// The worker answered with its state.
    Listed(WorkerStatus),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another boot of the worker, or another worker, answered.
    OtherBoot,
    /// No answer: the worker closed the connection in order, and nothing listens at its address any
    /// more, so its process has ended. A lost route or a reset is [`PollReply::Silent`].
    Ended,
    /// No answer came, or one that could not be decoded.
    Silent,
}

/// The reply to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is in progress.
    Started {
        /// The worker's steady clock, in milliseconds.
        clock_ms: u64,
    },
    /// Not started: the worker has seen a higher fencing token.
    Fenced,
    /// Not started: this run of the task or a later one has ended or was stopped there.
    OldRun,
    /// Not started: the lease end of the request has passed on the worker's clock.
    Late,
    /// Not started: the worker has no room.
    NoRoom,
    /// Not started: the worker is unhealthy.
    Unwell,
    /// Not started: the worker could not decode the request.
    Invalid,
    /// Not started: another boot of the worker, or another worker, answered.
    OtherBoot,
    /// No answer: the run may start, even later.
    Silent,
}

/// The reply to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run ends soon, or never starts.
    Stopped,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another boot of the worker, or another worker, answered.
    OtherBoot,
    /// Not stopped: the worker refused the request.
    Refused,
    /// No answer: the stop may be carried out later.
    Unanswered,
}

/// Parses a task id of the form `job.repetition.step.index`, where the job is hexadecimal. Returns
/// `None` if it is malformed.
#[must_use]
pub fn parse_task_id(name: &str) -> Option<TaskId> {
    let mut parts = name.split('.');
    let job = u64::from_str_radix(parts.next()?, 16).ok()?;
    let mut number = || parts.next()?.parse().ok();
    let (repetition, step, index) = (number()?, number()?, number()?);
    Some(TaskId {
        job: super::ids::ClientJobId(job),
        repetition,
        step,
        index,
    })
}
