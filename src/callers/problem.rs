//! Refusals as RFC 9457 problem details.

use super::body::{ran_name, reason_name};
use crate::http::Reply;
use cardamomslip_core::model::outcome::{FailureReason, Ran, Refusal, RefusalReason};
use serde::Serialize;
use std::time::Duration;

/// Media type of refusals.
const PROBLEM_JSON: &str = "application/problem+json";
/// Time after which a caller that met a load limit may try again.
const RETRY_LOAD: Duration = Duration::from_secs(1);

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Kind of the problem, stable for programs.
    #[serde(rename = "type")]
    pub kind: String,
    /// Kind of the problem, for people.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What is wrong with this request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Whether the job that the request names ran: `not_run`, `may_have_run` or `unknown`.
    pub ran: &'static str,
    /// Value of the `Retry-After` header.
    #[serde(skip)]
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Builds a problem that leaves open whether the job that the request may name ran.
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

    /// States whether the job that the request names ran.
    #[must_use]
    pub const fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran_name(ran);
        self
    }

    /// Adds the time after which a retry is worthwhile.
    #[must_use]
    pub const fn with_retry_after(mut self, span: Option<Duration>) -> Self {
        self.retry_after = span;
        self
    }

    /// Converts the refusal of a job at admission, if the reason is one.
    #[must_use]
    pub fn of_failure(reason: FailureReason, ran: Ran) -> Option<Self> {
        let (status, retry) = match reason {
            FailureReason::Impossible => (422, None),
            FailureReason::Overloaded => (429, Some(RETRY_LOAD)),
            FailureReason::DeadlineUnreachable
            | FailureReason::Stopping
            | FailureReason::NotServing => (503, Some(RETRY_LOAD)),
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
