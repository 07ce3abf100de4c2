//! What workers reply.

use super::ids::{RunId, TaskId};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With success.
    Done,
    /// Through a fault of the task or of the worker.
    Failed,
    /// By a stop.
    Stopped,
    /// Because the lease lapsed.
    Lapsed,
    /// In another way that does not count as a failure of the task.
    Broken,
}

/// A run that is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunningRun {
    /// The run.
    pub run: RunId,
    /// How far it is, in percent, if the worker says.
    pub percent: Option<f64>,
}

/// A run that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end within the worker's boot.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub end: RunEnd,
}

/// What a worker lists of itself.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Listing {
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Time of its boot, in Unix milliseconds; it only tells boots apart.
    pub boot: Option<u64>,
    /// Runs that are there.
    pub running: Vec<RunningRun>,
    /// Ends that were not acknowledged, in order; not always all of them.
    pub ended: Vec<EndedRun>,
}

/// The reply to a look at a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum LookReply {
    /// The worker answered.
    Listed(Listing),
    /// The worker saw a higher fencing token.
    Fenced,
    /// Another boot answered.
    OtherBoot,
    /// No answer came, or one that can't be read.
    Silent,
}

/// The reply to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The run is there.
    Started {
        /// The worker's steady clock, in milliseconds.
        clock_ms: u64,
    },
    /// Not started: the worker saw a higher fencing token.
    Fenced,
    /// Not started: a run that is not lower has ended or was stopped there.
    OldRun,
    /// Not started: the deadline has passed on the worker's clock.
    Late,
    /// Not started: no room.
    NoRoom,
    /// Not started: the worker is not well.
    Unwell,
    /// Not started: the worker can't read the order.
    Invalid,
    /// Not started: another boot answered.
    OtherBoot,
    /// No answer: it may start, even later.
    Silent,
}

/// The reply to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReply {
    /// The run ends soon, or never begins.
    Stopped,
    /// The worker saw a higher fencing token.
    Fenced,
    /// Another boot answered.
    OtherBoot,
    /// No answer: it may be carried out later.
    Silent,
}

/// Splits the name of a task.
#[must_use]
pub fn parse_task(name: &str) -> Option<TaskId> {
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
