//! Bodies of callers' requests and of the answers.

use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::outcome::{FailureReason, Outcome, Ran};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::sync::Arc;
use std::time::Duration;

/// Longest idempotency key, in bytes.
pub const MAX_KEY_LEN: usize = 200;
/// Longest name of a kind, in bytes.
const MAX_KIND_LEN: usize = 100;
/// Longest declared run time and deadline, in milliseconds.
const MAX_MS: u64 = 24 * 3_600 * 1_000;

/// A batch of ids to take.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdsBody {
    /// Number of ids.
    #[serde(default = "one_id")]
    pub count: u32,
}

const fn one_id() -> u32 {
    1
}

const fn one_slot() -> u16 {
    1
}

/// A task.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    kind: String,
    #[serde(default)]
    payload: Option<Box<RawValue>>,
    run_ms: u64,
    #[serde(default = "one_slot")]
    slots: u16,
}

/// A job.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    tasks: Vec<TaskBody>,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
}

/// A one-off request: a job of one task.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnceBody {
    task: TaskBody,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    repeatable: bool,
}

impl From<OnceBody> for JobBody {
    fn from(body: OnceBody) -> Self {
        Self {
            tasks: vec![body.task],
            deadline_ms: body.deadline_ms,
            repeatable: body.repeatable,
        }
    }
}

/// What is wrong with the values of a body.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// There is no task.
    #[error("tasks: at least one is needed")]
    NoTask,
    /// There are too many tasks.
    #[error("tasks: at most {0} are allowed")]
    TooManyTasks(usize),
    /// A kind is empty or too long.
    #[error("tasks[{0}].kind: must have 1 to 100 bytes")]
    Kind(usize),
    /// A declared run time is out of range.
    #[error("tasks[{0}].run_ms: must be from 1 to 86400000")]
    RunTime(usize),
    /// A task takes no slot.
    #[error("tasks[{0}].slots: must be at least 1")]
    Slots(usize),
    /// The deadline is out of range.
    #[error("deadline_ms: must be from 1 to 86400000")]
    Deadline,
}

impl JobBody {
    /// Checks the values and converts them.
    ///
    /// # Errors
    ///
    /// Returns the first value that is out of range.
    pub fn into_spec(self, max_tasks: usize) -> Result<JobSpec, BodyError> {
        if self.tasks.is_empty() {
            return Err(BodyError::NoTask);
        }
        if self.tasks.len() > max_tasks {
            return Err(BodyError::TooManyTasks(max_tasks));
        }
        if self.deadline_ms.is_some_and(|ms| ms == 0 || ms > MAX_MS) {
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
        if self.run_ms == 0 || self.run_ms > MAX_MS {
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

/// Fresh ids.
#[derive(Debug, Serialize)]
pub struct IdsAnswer {
    /// The ids.
    pub ids: Vec<String>,
}

/// The state of a job.
#[derive(Debug, Serialize)]
#[serde(tag = "status", rename_all = "snake_case")]
pub enum JobAnswer<'a> {
    /// Accepted and not finished.
    Running {
        /// The job.
        id: String,
        /// Tasks that ended.
        done: u32,
        /// Tasks in all.
        total: u32,
    },
    /// Complete.
    Complete {
        /// The job.
        id: String,
        /// Results in task order.
        results: Vec<&'a RawValue>,
    },
    /// Failed as a whole.
    Failed {
        /// The job.
        id: String,
        /// The cause.
        reason: &'static str,
        /// Whether any task may have run.
        ran: &'static str,
    },
}

/// Returns the text form of a failure's cause.
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

/// Returns the text form of whether a job ran.
#[must_use]
pub const fn ran_name(ran: Ran) -> &'static str {
    match ran {
        Ran::NotRun => "not_run",
        Ran::MayHaveRun => "may_have_run",
        Ran::Unknown => "unknown",
    }
}

/// Converts the answer of a job to JSON.
///
/// # Errors
///
/// Returns an error if a result of an executor is not JSON.
pub fn answer_json(id: JobId, outcome: &Outcome) -> Result<String, serde_json::Error> {
    let id = id.to_string();
    match outcome {
        Outcome::Complete(results) => {
            let raw: Result<Vec<&RawValue>, _> = results
                .iter()
                .map(|result| serde_json::from_str(result))
                .collect();
            serde_json::to_string(&JobAnswer::Complete { id, results: raw? })
        }
        Outcome::Failed { reason, ran } => {
            let (reason, ran) = (reason_name(*reason), ran_name(*ran));
            serde_json::to_string(&JobAnswer::Failed { id, reason, ran })
        }
    }
}
