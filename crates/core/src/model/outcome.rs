//! Outcomes of jobs, and refusals of requests.

use std::sync::Arc;
use std::time::Duration;

/// Whether any task of a job may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// No task was started, and none ever will be. Only the issuer, or the holder of the archive
    /// of a closed issuer, may report this.
    NotRun,
    /// At least one task was started or may have been started.
    MayHaveRun,
    /// The process that answers does not know.
    Unknown,
}

/// Reason why a job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureReason {
    /// An executor reported the failure of a task.
    TaskFailed,
    /// The outcome of a started task was lost.
    OutcomeLost,
    /// The deadline passed.
    DeadlineExceeded,
    /// The caller cancelled the job.
    Cancelled,
    /// The issuer of the job is permanently gone, and no peer holds its archive.
    IssuerLost,
    /// The job is not expected to end before its deadline under the current load.
    DeadlineUnreachable,
    /// A task fits no executor, or the number of tasks is out of bounds.
    Impossible,
    /// The issuer has reached its limit of open tasks or of the expected wait.
    Overloaded,
    /// The issuer is stopping.
    Stopping,
    /// The issuer has no configuration or knows no executor, or the active preset admits no work.
    NotServing,
}

/// Final answer of a job. It is complete or failed as a whole, never partial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task ended successfully. There is one result per task, in the order of submission.
    Complete(Arc<[Arc<str>]>),
    /// The job failed as a whole.
    Failed {
        /// Reason for the failure.
        reason: FailureReason,
        /// Whether any task may have run; never [`Ran::Unknown`].
        ran: Ran,
    },
}

impl Outcome {
    /// Creates the outcome of a failed job.
    #[must_use]
    pub const fn failed(reason: FailureReason, ran: Ran) -> Self {
        Self::Failed { reason, ran }
    }

    /// Returns whether every task ended successfully.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        matches!(self, Self::Complete(_))
    }
}

/// Reason why a request was refused without reaching an outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The id was not issued to this customer.
    NoSuchJob,
    /// The id was issued, but no job has been submitted under it.
    NotSubmitted,
    /// The id is older than the retention period and its outcome is no longer stored.
    Expired,
    /// The issuer can't be reached at the moment.
    IssuerUnreachable,
    /// The process is stopping and issues no ids.
    Stopping,
    /// The process has no configuration, or the active preset admits no work.
    NotServing,
    /// A limit on waiting or forwarded requests has been reached.
    TooManyWaiting,
    /// The batch asks for more ids than one request may take.
    BatchTooLarge,
    /// The platform's store did not complete the operation in time.
    StoreUnavailable,
    /// The operator's change is based on a version that is not the current one.
    VersionConflict,
    /// The change would make the configuration invalid.
    InvalidChange,
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether any task of the job in the request may have run.
    pub ran: Ran,
    /// Time after which a retry may succeed; `None` if there is no such estimate.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that does not say whether the job ran.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that names no job, so that no task can have run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}
