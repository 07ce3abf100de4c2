//! Error responses as RFC 9457 problem details.

use super::body::{ran_name, reason_name};
use crate::http::Reply;
use cardamomslip_core::model::outcome::{FailureReason, Ran, Refusal, RefusalReason};
use serde::Serialize;
use std::time::Duration;

/// Media type of problem details.
const PROBLEM_JSON: &str = "application/problem+json";
/// `Retry-After` of a job that was refused because of load or the state of the node.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An error response in the form of RFC 9457.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Machine-readable problem type, `urn:cardamomslip:KIND`. Stable, so that programs can match
    /// it.
    #[serde(rename = "type")]
    pub kind: String,
    /// Problem type in words: the kind with spaces.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Explanation of this occurrence; absent if the type is sufficient.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Whether the job in the request may have run: `not_run`, `may_have_run` or `unknown`.
    pub ran: &'static str,
    /// Value of the `Retry-After` header; `None` for no header.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem of this kind whose `ran` is `unknown`.
    #[must_use]
    pub fn new(status: u16, kind: &str, detail: impl Into<Option<String>>) -> Self {
        Self {
            kind: format!("urn:cardamomslip:{kind}"),
            title: kind.replace('_', " "),
            status,
            detail: detail.into(),
            ran: ran_name(Ran::Unknown),
            retry_after: None,
        }
    }

    /// Sets whether the job in the request may have run.
    #[must_use]
    pub const fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran_name(ran);
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, span: Option<Duration>) -> Self {
        self.retry_after = span;
        self
    }

    /// Converts a failure for which the issuer refuses a job at admission. Returns `None` for a
    /// failure after admission, which is answered with status 200 as the outcome of the job.
    #[must_use]
    pub fn from_admission_failure(reason: FailureReason, ran: Ran) -> Option<Self> {
        let (status, retry) = match reason {
            FailureReason::Impossible => (422, None),
            FailureReason::Overloaded => (429, Some(OVERLOAD_RETRY_AFTER)),
            FailureReason::DeadlineUnreachable
            | FailureReason::Stopping
            | FailureReason::NotServing => (503, Some(OVERLOAD_RETRY_AFTER)),
            FailureReason::TaskFailed
            | FailureReason::OutcomeLost
            | FailureReason::DeadlineExceeded
            | FailureReason::Cancelled
            | FailureReason::IssuerLost => return None,
        };
        let problem = Self::new(status, reason_name(reason), None);
        Some(problem.with_ran(ran).with_retry_after(retry))
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, kind) = match refusal.reason {
            RefusalReason::NoSuchJob => (404, "no_such_job"),
            RefusalReason::NotSubmitted => (404, "not_submitted"),
            RefusalReason::Expired => (410, "expired"),
            RefusalReason::IssuerUnreachable => (503, "issuer_unreachable"),
            RefusalReason::Stopping => (503, "stopping"),
            RefusalReason::NotServing => (503, "not_serving"),
            RefusalReason::TooManyWaiting => (429, "too_many_waiting"),
            RefusalReason::BatchTooLarge => (400, "batch_too_large"),
            RefusalReason::StoreUnavailable => (503, "store_unavailable"),
            RefusalReason::VersionConflict => (409, "version_conflict"),
            RefusalReason::InvalidChange => (422, "invalid_change"),
        };
        let problem = Self::new(status, kind, None);
        problem
            .with_ran(refusal.ran)
            .with_retry_after(refusal.retry_after)
    }
}

impl From<&Problem> for Reply {
    fn from(problem: &Problem) -> Self {
        Self {
            status: problem.status,
            media_type: PROBLEM_JSON,
            retry_after: problem.retry_after,
            close: false,
            body: serde_json::to_string(problem).unwrap_or_default(),
        }
    }
}
