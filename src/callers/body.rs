//! JSON bodies of callers' requests and of the responses.

use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::outcome::{FailureReason, Outcome, Ran};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_LEN: usize = 200;
/// Maximum length of a task kind, in bytes.
const MAX_KIND_LEN: usize = 100;
/// Maximum of a declared run time and of a deadline, in milliseconds: 24 hours.
const MAX_DURATION_MS: u64 = 24 * 3_600 * 1_000;

/// Body of a request for new job ids: `{"count": 10}`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdsBody {
    /// Number of ids to issue; 1 by default.
    #[serde(default = "default_count")]
    pub count: u32,
}

const fn default_count() -> u32 {
    1
}

const fn default_slots() -> u16 {
    1
}

/// A task of a submitted job.
///
/// `kind` (1 to 100 bytes) and `run_ms` (1 to 86400000) are required. `payload` is any JSON value,
/// `null` by default; `slots` is at least 1 and 1 by default.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    kind: String,
    #[serde(default)]
    payload: Option<Box<RawValue>>,
    run_ms: u64,
    #[serde(default = "default_slots")]
    slots: u16,
}

/// Body of a job submission: `{"tasks": [...], "deadline_ms": 2000, "repeatable": true}`.
///
/// `tasks` is required. `deadline_ms` (1 to 86400000) counts from acceptance; there is no deadline
/// by default. `repeatable` is false by default.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    tasks: Vec<TaskBody>,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
}

/// Body of a submission without an id or a key: a job of exactly one `task`, otherwise as
/// [`JobBody`].
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UnkeyedBody {
    task: TaskBody,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
}

impl From<UnkeyedBody> for JobBody {
    fn from(body: UnkeyedBody) -> Self {
        Self {
            tasks: vec![body.task],
            deadline_ms: body.deadline_ms,
            repeatable: body.repeatable,
        }
    }
}

/// Error about a value of a body that is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The job has no tasks.
    #[error("tasks: at least one is needed")]
    NoTask,
    /// The job has more tasks than this limit.
    #[error("tasks: at most {0} are allowed")]
    TooManyTasks(usize),
    /// The kind of the task with this index is empty or too long.
    #[error("tasks[{0}].kind: must have 1 to 100 bytes")]
    Kind(usize),
    /// The declared run time of the task with this index is out of range.
    #[error("tasks[{0}].run_ms: must be from 1 to 86400000")]
    RunTime(usize),
    /// The task with this index declares 0 slots.
    #[error("tasks[{0}].slots: must be at least 1")]
    Slots(usize),
    /// The deadline of the job is out of range.
    #[error("deadline_ms: must be from 1 to 86400000")]
    Deadline,
}

impl JobBody {
    /// Validates the body and converts it to a job of at most `max_tasks` tasks.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first value that is out of range.
    pub fn into_spec(self, max_tasks: usize) -> Result<JobSpec, BodyError> {
        if self.tasks.is_empty() {
            return Err(BodyError::NoTask);
        }
        if self.tasks.len() > max_tasks {
            return Err(BodyError::TooManyTasks(max_tasks));
        }
        if self
            .deadline_ms
            .is_some_and(|ms| ms == 0 || ms > MAX_DURATION_MS)
        {
            return Err(BodyError::Deadline);
        }
        let tasks: Result<Arc<[TaskSpec]>, _> = self
            .tasks
            .into_iter()
            .enumerate()
            .map(|(i, task)| task.into_spec(i))
            .collect();
        let repeatability = if self.repeatable {
            Repeatability::Repeatable
        } else {
            Repeatability::Unrepeatable
        };
        let deadline = self.deadline_ms.map(Duration::from_millis);
        Ok(JobSpec {
            tasks: tasks?,
            deadline,
            repeatability,
        })
    }
}

impl TaskBody {
    fn into_spec(self, i: usize) -> Result<TaskSpec, BodyError> {
        if self.kind.is_empty() || self.kind.len() > MAX_KIND_LEN {
            return Err(BodyError::Kind(i));
        }
        if self.run_ms == 0 || self.run_ms > MAX_DURATION_MS {
            return Err(BodyError::RunTime(i));
        }
        if self.slots == 0 {
            return Err(BodyError::Slots(i));
        }
        let payload = self.payload.as_deref().map_or("null", RawValue::get);
        Ok(TaskSpec {
            kind: self.kind.into(),
            payload: payload.into(),
            declared: Duration::from_millis(self.run_ms),
            slots: self.slots,
        })
    }
}

/// Response with newly issued ids: `{"ids": [...]}`.
#[derive(Debug, Serialize)]
pub struct IdsResponse {
    /// Ids in text form.
    pub ids: Vec<String>,
}

/// Response with the state of a job. The field `status` is `running`, `complete` or `failed`.
#[derive(Debug, Serialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum JobResponse<'a> {
    /// The job was accepted and has not ended.
    Running {
        /// Job id.
        id: String,
        /// Number of tasks that have ended.
        done: u32,
        /// Number of tasks of the job.
        total: u32,
    },
    /// Every task ended successfully.
    Complete {
        /// Job id.
        id: String,
        /// Results, one per task, in the order of submission.
        results: Vec<&'a RawValue>,
    },
    /// The job failed as a whole.
    Failed {
        /// Job id.
        id: String,
        /// Reason for the failure, one of the values of [`reason_name`].
        reason: &'static str,
        /// Whether any task may have run: `not_run` or `may_have_run`.
        ran: &'static str,
    },
}

/// Returns the JSON value for the reason of a failure.
#[must_use]
pub const fn reason_name(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::TaskFailed => "task_failed",
        FailureReason::OutcomeLost => "outcome_lost",
        FailureReason::DeadlineExceeded => "deadline_exceeded",
        FailureReason::Cancelled => "cancelled",
        FailureReason::IssuerLost => "issuer_lost",
        FailureReason::DeadlineUnreachable => "deadline_unreachable",
        FailureReason::Impossible => "impossible",
        FailureReason::Overloaded => "overloaded",
        FailureReason::Stopping => "stopping",
        FailureReason::NotServing => "not_serving",
    }
}

/// Returns the JSON value for whether a job may have run.
#[must_use]
pub const fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::NotRun => "not_run",
        Ran::MayHaveRun => "may_have_run",
        Ran::Unknown => "unknown",
    }
}

/// Encodes the outcome of a job as JSON. The results of executors are embedded unchanged.
///
/// # Errors
///
/// Returns an error if a result of an executor is not valid JSON.
pub fn encode_outcome(id: JobId, outcome: &Outcome) -> Result<String, serde_json::Error> {
    let id = id.to_string();
    match outcome {
        Outcome::Complete(results) => {
            let raw: Result<Vec<&RawValue>, _> = results
                .iter()
                .map(|result| serde_json::from_str(result))
                .collect();
            serde_json::to_string(&JobResponse::Complete { id, results: raw? })
        }
        Outcome::Failed { reason, ran } => {
            let (reason, ran) = (reason_name(*reason), ran_name(*ran));
            serde_json::to_string(&JobResponse::Failed { id, reason, ran })
        }
    }
}
