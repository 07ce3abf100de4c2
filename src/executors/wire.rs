//! What crosses the wire between this process and an executor.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::time::Duration;

/// A start.
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

/// An abort.
#[derive(Debug, Serialize)]
pub struct AbortBody {
    pub attempt: String,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndStatus {
    Done,
    Failed,
    Aborted,
    NotStarted,
}

/// Why a task was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    Busy,
    Leaving,
    #[serde(other)]
    Other,
}

/// The end of an attempt.
#[derive(Debug, Deserialize)]
pub struct EndBody<'a> {
    pub status: EndStatus,
    #[serde(default)]
    pub reason: Option<RefusalCause>,
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

impl EndBody<'_> {
    /// Tells whether this is the end of the attempt that `body` started.
    pub fn answers(&self, body: &StartBody<'_>) -> bool {
        let same_job = self.job.as_deref() == Some(&body.job) && self.index == Some(body.index);
        same_job && self.attempt.as_deref() == Some(&body.attempt)
    }

    /// Returns the slot time that the executor counted.
    pub const fn slot_time(&self) -> Duration {
        Duration::from_micros(self.slot_us)
    }
}
