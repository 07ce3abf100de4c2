//! JSON bodies of the executors' HTTP API.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;

/// Body of a start request.
#[derive(Debug, Serialize)]
pub struct StartBody<'a> {
    pub job: String,
    pub index: u32,
    pub attempt: String,
    pub customer: &'a str,
    pub kind: &'a str,
    pub slots: u16,
    pub timeout_ms: u64,
    pub payload: &'a RawValue,
}

/// Body of an abort request.
#[derive(Debug, Serialize)]
pub struct AbortBody {
    pub attempt: String,
}

/// Result of an attempt, as the executor reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptStatus {
    Done,
    Failed,
    Aborted,
    NotStarted,
}

/// Reason why an executor did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotStartedReason {
    Busy,
    Leaving,
    #[serde(other)]
    Other,
}

/// Response to a start request, sent when the attempt has ended or was refused.
#[derive(Debug, Deserialize)]
pub struct StartResponseBody<'a> {
    pub status: AttemptStatus,
    #[serde(default)]
    pub reason: Option<NotStartedReason>,
    #[serde(default)]
    pub job: Option<String>,
    #[serde(default)]
    pub index: Option<u32>,
    #[serde(default)]
    pub attempt: Option<String>,
    #[serde(default)]
    pub slot_us: u64,
    #[serde(default)]
    #[serde(borrow)]
    pub result: Option<&'a RawValue>,
}

impl StartResponseBody<'_> {
    /// Returns whether this response names the job, the task and the attempt of `body`.
    pub fn matches_request(&self, body: &StartBody<'_>) -> bool {
        let same_job = self.job.as_deref() == Some(&body.job) && self.index == Some(body.index);
        same_job && self.attempt.as_deref() == Some(&body.attempt)
    }

    /// Returns the slot time that the executor measured.
    pub const fn slot_time(&self) -> Duration {
        Duration::from_micros(self.slot_us)
    }
}
