//! What a client is told about its job.

use std::time::Duration;

/// The answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks ended as done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// No task was started, and none will be.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// Time after which the same job has a chance.
        retry_after: Duration,
    },
    /// The job was given up; some of its tasks may have run.
    Lost(LossCause),
}

/// Why a job was refused before any task started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It would not end within the client's patience.
    Overloaded,
    /// No worker could ever run one of its tasks.
    Impossible,
    /// No holder of a cell is known.
    NoRunner,
    /// The VM or the runner stops.
    Stopping,
}

/// Why a job was given up after tasks may have started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The client's patience ended.
    DeadlinePassed,
    /// The runner is gone or silent.
    RunnerLost,
    /// This VM stood still for too long.
    Paused,
    /// The runner stops before the job could end.
    Stopping,
}

impl RefusalCause {
    /// Returns a short name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Impossible => "impossible",
            Self::NoRunner => "no_runner",
            Self::Stopping => "stopping",
        }
    }
}

impl LossCause {
    /// Returns a short name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline_passed",
            Self::RunnerLost => "runner_lost",
            Self::Paused => "paused",
            Self::Stopping => "stopping",
        }
    }
}
