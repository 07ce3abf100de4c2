//! Wire format of job requests, responses and outcomes.

use super::codes::{
    failure_code, failure_from_code, ran_code, ran_from_code, refusal_code, refusal_from_code,
};
use super::ids::JobIdWire;
use super::{WireError, from_micros, micros};
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::outcome::{Outcome, Ran, Refusal};
use cardamomslip_core::model::request::{JobOp, JobRequest, Response};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// `kind`, `payload`, `declared` in microseconds, `slots`.
#[derive(Debug, Serialize, Deserialize)]
pub struct TaskSpecWire(Arc<str>, Arc<str>, u64, u16);

/// `tasks`, `deadline` in microseconds, and whether the tasks are repeatable.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobSpecWire(Vec<TaskSpecWire>, Option<u64>, bool);

impl From<&JobSpec> for JobSpecWire {
    fn from(spec: &JobSpec) -> Self {
        let tasks = spec.tasks.iter().map(|task| {
            let kind = Arc::clone(&task.kind);
            TaskSpecWire(
                kind,
                Arc::clone(&task.payload),
                micros(task.declared),
                task.slots,
            )
        });
        let repeatable = spec.repeatability == Repeatability::Repeatable;
        Self(tasks.collect(), spec.deadline.map(micros), repeatable)
    }
}

impl From<JobSpecWire> for JobSpec {
    fn from(JobSpecWire(tasks, deadline, repeatable): JobSpecWire) -> Self {
        let tasks = tasks
            .into_iter()
            .map(|TaskSpecWire(kind, payload, declared, slots)| TaskSpec {
                kind,
                payload,
                declared: from_micros(declared),
                slots,
            });
        let repeatability = if repeatable {
            Repeatability::Repeatable
        } else {
            Repeatability::Unrepeatable
        };
        Self {
            tasks: tasks.collect(),
            deadline: deadline.map(from_micros),
            repeatability,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub enum JobOpWire {
    #[serde(rename = "s")]
    Submit(JobSpecWire),
    #[serde(rename = "f")]
    Fetch,
    #[serde(rename = "c")]
    Cancel,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum OutcomeWire {
    #[serde(rename = "c")]
    Complete(Vec<Arc<str>>),
    #[serde(rename = "f")]
    Failed(u8, bool),
}

impl From<&Outcome> for OutcomeWire {
    fn from(outcome: &Outcome) -> Self {
        match outcome {
            Outcome::Complete(results) => Self::Complete(results.to_vec()),
            Outcome::Failed { reason, ran } => {
                Self::Failed(failure_code(*reason), *ran == Ran::NotRun)
            }
        }
    }
}

impl TryFrom<OutcomeWire> for Outcome {
    type Error = WireError;

    fn try_from(wire: OutcomeWire) -> Result<Self, WireError> {
        Ok(match wire {
            OutcomeWire::Complete(results) => Self::Complete(results.into()),
            OutcomeWire::Failed(reason, not_run) => {
                let ran = if not_run {
                    Ran::NotRun
                } else {
                    Ran::MayHaveRun
                };
                Self::failed(failure_from_code(reason)?, ran)
            }
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub enum ResponseWire {
    #[serde(rename = "i")]
    Ids(Vec<JobIdWire>),
    #[serde(rename = "r")]
    Running(JobIdWire, u32, u32),
    #[serde(rename = "a")]
    Answer(JobIdWire, OutcomeWire),
    #[serde(rename = "x")]
    Refused(u8, u8, Option<u64>),
}

impl From<&Response> for ResponseWire {
    fn from(response: &Response) -> Self {
        match response {
            Response::Ids(ids) => Self::Ids(ids.iter().map(|&id| id.into()).collect()),
            Response::Running { id, done, total } => Self::Running((*id).into(), *done, *total),
            Response::Answer { id, outcome } => Self::Answer((*id).into(), outcome.into()),
            Response::Refused(refusal) => Self::Refused(
                refusal_code(refusal.reason),
                ran_code(refusal.ran),
                refusal.retry_after.map(micros),
            ),
        }
    }
}

impl TryFrom<ResponseWire> for Response {
    type Error = WireError;

    fn try_from(wire: ResponseWire) -> Result<Self, WireError> {
        Ok(match wire {
            ResponseWire::Ids(ids) => Self::Ids(ids.into_iter().map(JobId::from).collect()),
            ResponseWire::Running(id, done, total) => Self::Running {
                id: id.into(),
                done,
                total,
            },
            ResponseWire::Answer(id, outcome) => Self::Answer {
                id: id.into(),
                outcome: outcome.try_into()?,
            },
            ResponseWire::Refused(reason, ran, retry_after) => Self::Refused(Refusal {
                reason: refusal_from_code(reason)?,
                ran: ran_from_code(ran)?,
                retry_after: retry_after.map(from_micros),
            }),
        })
    }
}

/// `id`, `customer`, `wait` in microseconds, `op`.
#[derive(Debug, Serialize, Deserialize)]
pub struct JobRequestWire(JobIdWire, u64, u64, JobOpWire);

impl From<&JobRequest> for JobRequestWire {
    fn from(req: &JobRequest) -> Self {
        let op = match &req.op {
            JobOp::Submit(spec) => JobOpWire::Submit(spec.into()),
            JobOp::Fetch => JobOpWire::Fetch,
            JobOp::Cancel => JobOpWire::Cancel,
        };
        Self(req.id.into(), req.customer.0, micros(req.wait), op)
    }
}

impl From<JobRequestWire> for JobRequest {
    fn from(JobRequestWire(id, customer, wait, op): JobRequestWire) -> Self {
        let op = match op {
            JobOpWire::Submit(spec) => JobOp::Submit(spec.into()),
            JobOpWire::Fetch => JobOp::Fetch,
            JobOpWire::Cancel => JobOp::Cancel,
        };
        Self {
            id: id.into(),
            customer: CustomerId(customer),
            wait: from_micros(wait),
            op,
        }
    }
}
