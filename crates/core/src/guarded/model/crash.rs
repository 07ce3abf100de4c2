//! Crashes of workers under tasks.

use super::ids::WorkerId;
use crate::model::time::Time;

/// What is known of the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// It points to the task, which was alone on a worker that does not crash by itself.
    Decisive,
    /// The task had started last of those on the worker.
    Likely,
    /// It does not tell the task from others or from the worker.
    Unclear,
    /// It is not known that the worker crashed while the task ran there: the worker was silent, or the
    /// run was not confirmed or may have ended before.
    Unproven,
    /// Another VM started the task alone on the worker, and has not told the end yet.
    Trial,
}

impl Evidence {
    /// Returns whether the worker certainly crashed while the task ran there.
    #[must_use]
    pub const fn is_proof(self) -> bool {
        match self {
            Self::Decisive | Self::Likely | Self::Unclear => true,
            Self::Unproven | Self::Trial => false,
        }
    }
}

/// A worker that crashed while a task ran there, or may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The worker.
    pub worker: WorkerId,
    /// Boot of the worker, if it was known.
    pub boot: Option<u64>,
    /// What is known of the cause.
    pub evidence: Evidence,
    /// Time of the crash, or of the report of another VM.
    pub at: Time,
}
