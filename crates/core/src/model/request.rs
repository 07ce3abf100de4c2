//! Requests of callers, starts on executors, and the responses to both.

use super::ids::{AttemptId, CallId, CustomerId, ExecutorId};
use super::incarnation::Incarnation;
use super::job_id::JobId;
use super::outcome::{Outcome, Refusal};
use super::spec::{JobSpec, TaskSpec};
use std::sync::Arc;
use std::time::Duration;

/// A request about one job that may be forwarded to its issuer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRequest {
    /// Job that the request is about.
    pub id: JobId,
    /// Authenticated customer.
    pub customer: CustomerId,
    /// Time that the response may wait for the job to end; zero returns the current state at once.
    pub wait: Duration,
    /// Requested operation.
    pub op: JobOp,
}

/// Operation that a [`JobRequest`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobOp {
    /// Submit the job, or fetch its state if it has been submitted already.
    Submit(JobSpec),
    /// Fetch the state or the outcome.
    Fetch,
    /// Cancel the job. An id that was not submitted is closed, so that it can't be submitted later.
    Cancel,
}

/// A request from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Issue `count` new ids.
    IssueIds {
        /// Authenticated customer.
        customer: CustomerId,
        /// Number of ids.
        count: u32,
    },
    /// A request about one job.
    Job(JobRequest),
    /// Submit a job under an idempotency key, without taking an id first.
    SubmitKeyed {
        /// Authenticated customer.
        customer: CustomerId,
        /// Idempotency key, unique per customer.
        key: Arc<str>,
        /// Job to run.
        spec: JobSpec,
        /// Time that the response may wait for the job to end.
        wait: Duration,
    },
    /// Submit a job without an id or a key. Repeating the request creates another job.
    SubmitUnkeyed {
        /// Authenticated customer.
        customer: CustomerId,
        /// Job to run.
        spec: JobSpec,
        /// Time that the response may wait for the job to end.
        wait: Duration,
    },
}

/// Response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Newly issued ids.
    Ids(Vec<JobId>),
    /// The job was accepted and has not ended.
    Running {
        /// Job that the request was about.
        id: JobId,
        /// Number of tasks that have ended.
        done: u32,
        /// Number of tasks of the job.
        total: u32,
    },
    /// The job has ended.
    Answer {
        /// Job that the request was about.
        id: JobId,
        /// Outcome of the job.
        outcome: Outcome,
    },
    /// The request was refused.
    Refused(Refusal),
}

/// Recipient of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Caller {
    /// A caller that is connected to this process.
    Local(CallId),
    /// A peer that forwarded a caller's request under this number.
    Peer(Incarnation, u64),
}

/// Request to start a task on an executor, which the adapter sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRequest {
    /// Attempt, which the reply refers to.
    pub attempt: AttemptId,
    /// Executor to start the task on.
    pub executor: ExecutorId,
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in the job.
    pub index: u32,
    /// Customer to whom the slot time is charged.
    pub customer: CustomerId,
    /// Task to start.
    pub task: TaskSpec,
    /// Time after which the attempt counts as lost.
    pub timeout: Duration,
}

/// Result of an attempt to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The task ran and ended successfully.
    Done {
        /// Opaque result of the task.
        result: Arc<str>,
        /// Slot time that the executor measured.
        slot_time: Duration,
    },
    /// The task ran, and failed or was aborted on request.
    Failed {
        /// Slot time that the executor measured.
        slot_time: Duration,
        /// Whether the task ended because this process asked the executor to abort it.
        aborted: bool,
    },
    /// The task did not start, and will not start under this attempt.
    NotStarted(NotStarted),
    /// The outcome is not known, and the task may have run.
    Lost,
}

/// Reason why an attempt did not start its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// The executor had too few free slots.
    Busy,
    /// The executor is leaving and takes no new work.
    Leaving,
    /// No connection was established, so nothing was sent.
    Unreachable,
}
