//! Answers to submitted jobs.

use std::time::Duration;

/// The answer to a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks succeeded.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// A client cancelled the job; no more tasks will be started.
    Cancelled,
    /// No task was started, and none will be.
    Refused {
        /// Reason for the refusal.
        cause: RefusalCause,
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
    /// The job was dropped; some of its tasks may have run.
    Lost(LossCause),
}

/// Reason why a job was refused before any task started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// The job would not end within the client's timeout.
    Overloaded,
    /// No worker is able to run one of its tasks.
    Impossible,
    /// No holder of a cell is known.
    NoRunner,
    /// The entry or the runner is stopping.
    Stopping,
    /// Tasks of its queue crash workers, and the share of the workers that the queue may take is in
    /// use.
    Contained,
    /// The data centre of the workers is being evacuated.
    Evacuated,
    /// A client cancelled the job before any VM knew it.
    CancelledBefore,
}

/// Reason why a job was dropped after tasks may have started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The client's timeout has passed.
    DeadlinePassed,
    /// The runner disconnected or lost its workers.
    RunnerLost,
    /// This VM was stalled for too long.
    Paused,
    /// The entry or the runner stopped before the job ended.
    Stopping,
    /// Tasks of it or of its queue crash workers, and as many workers as may be risked are down.
    Suspected,
    /// A start of one of its tasks was not answered, and may still be carried out.
    StartInFlight,
    /// The data centre of the workers is evacuated, and not all of its tasks had started.
    Evacuated,
}

impl RefusalCause {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Impossible => "impossible",
            Self::NoRunner => "no_runner",
            Self::Contained => "contained",
            Self::Evacuated => "evacuated",
            Self::Stopping => "stopping",
            Self::CancelledBefore => "cancelled_before",
        }
    }
}

impl LossCause {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::DeadlinePassed => "deadline_passed",
            Self::RunnerLost => "runner_lost",
            Self::Paused => "paused",
            Self::Stopping => "stopping",
            Self::Suspected => "suspected",
            Self::StartInFlight => "start_in_flight",
            Self::Evacuated => "evacuated",
        }
    }
}
