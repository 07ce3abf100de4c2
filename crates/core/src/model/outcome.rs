//! The answer of a job, and refusals.

use std::sync::Arc;
use std::time::Duration;

/// Whether any task of a job may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// No task was started, and none ever will be. Only the issuer, or the holder of the archive
    /// of a closed issuer, says so.
    NotRun,
    /// At least one task was started or may have been.
    MayHaveRun,
    /// The process that answers can't tell.
    Unknown,
}

/// Why a job failed.
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
    /// The issuer of the job is gone for good.
    IssuerLost,
    /// The job can't finish before its deadline under the present load.
    DeadlineUnreachable,
    /// No executor could ever run one of the tasks.
    Impossible,
    /// The issuer holds as much work as it accepts.
    Overloaded,
    /// The issuer is stopping.
    Stopping,
    /// The issuer knows no configuration, or the preset in force admits no work.
    NotServing,
}

/// The answer of a job: complete or failed, never partial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every task ran; one result per task, in the order of the submission.
    Complete(Arc<[Arc<str>]>),
    /// The job failed as a whole.
    Failed {
        /// The cause.
        reason: FailureReason,
        /// Whether any task may have run. Never [`Ran::Unknown`].
        ran: Ran,
    },
}

impl Outcome {
    /// Builds a failed outcome.
    #[must_use]
    pub const fn failed(reason: FailureReason, ran: Ran) -> Self {
        Self::Failed { reason, ran }
    }

    /// Tells whether the job is complete.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        matches!(self, Self::Complete(_))
    }
}

/// Why a request was refused without an answer of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// No such id was issued to this customer.
    NoSuchJob,
    /// The id was issued, and nothing was submitted under it yet.
    NotSubmitted,
    /// The issuer no longer keeps the outcome of so old an id.
    Expired,
    /// The issuer can't be reached at present.
    IssuerUnreachable,
    /// The process is stopping and issues no ids.
    Stopping,
    /// The process knows no configuration, or the preset in force admits no work.
    NotServing,
    /// A limit on waiting requests is reached.
    TooManyWaiting,
    /// The batch asks for more ids than one request may take.
    BatchTooLarge,
    /// The platform's store did not settle the operation in time.
    StoreUnavailable,
    /// The operator's change named a version that is not in force.
    VersionConflict,
    /// The change is not valid.
    InvalidChange,
}

/// A refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The cause.
    pub reason: RefusalReason,
    /// Whether the job that the request names ran.
    pub ran: Ran,
    /// When the same request may succeed, if it ever may.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Builds a refusal that leaves open whether the job ran.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after: None,
        }
    }

    /// Builds a refusal of a request that named no job and so ran nothing.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after: None,
        }
    }

    /// Adds the time after which a retry is worthwhile.
    #[must_use]
    pub const fn with_retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}
