//! Requests of callers and the responses to them.

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
    /// The job.
    pub id: JobId,
    /// The authenticated customer.
    pub customer: CustomerId,
    /// How long the response may wait for the answer; zero asks for the present state.
    pub wait: Duration,
    /// What is asked.
    pub verb: JobVerb,
}

/// What a [`JobRequest`] asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobVerb {
    /// Submit the job, or fetch its state if it was submitted before.
    Submit(JobSpec),
    /// Fetch the state or the answer.
    Fetch,
    /// Cancel the job. An id that was not submitted is burnt.
    Cancel,
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Take `count` fresh ids.
    TakeIds {
        /// The authenticated customer.
        customer: CustomerId,
        /// Number of ids.
        count: u32,
    },
    /// A request about one job.
    Job(JobRequest),
    /// Submit a job in one step under an idempotency key.
    Keyed {
        /// The authenticated customer.
        customer: CustomerId,
        /// The key, bound to the customer.
        key: Arc<str>,
        /// The job.
        spec: JobSpec,
        /// How long the response may wait for the answer.
        wait: Duration,
    },
    /// Submit a job in one step without a key; a repetition is a new job.
    Once {
        /// The authenticated customer.
        customer: CustomerId,
        /// The job.
        spec: JobSpec,
        /// How long the response may wait for the answer.
        wait: Duration,
    },
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// Fresh ids.
    Ids(Vec<JobId>),
    /// The job is accepted and not finished.
    Running {
        /// The job.
        id: JobId,
        /// Tasks that finished.
        done: u32,
        /// Tasks in all.
        total: u32,
    },
    /// The answer of the job.
    Answer {
        /// The job.
        id: JobId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// The request was refused.
    Refused(Refusal),
}

/// To whom a response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Caller {
    /// A caller at this process.
    Local(CallId),
    /// A caller at a peer, which forwarded the request under this number.
    Peer(Incarnation, u64),
}

/// A start of a task on an executor, as the adapter is to send it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The attempt; the executor echoes it.
    pub attempt: AttemptId,
    /// The executor.
    pub executor: ExecutorId,
    /// The job.
    pub job: JobId,
    /// Position of the task in the job.
    pub index: u32,
    /// The customer to whom slot time is credited.
    pub customer: CustomerId,
    /// The task.
    pub task: TaskSpec,
    /// Time after which the attempt counts as lost.
    pub timeout: Duration,
}

/// What became of an attempt to start a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartReply {
    /// The task ran and returned a result.
    Done {
        /// Opaque result.
        result: Arc<str>,
        /// Slot time that the executor counted.
        slot_time: Duration,
    },
    /// The task ran and failed, or was aborted on request.
    Failed {
        /// Slot time that the executor counted.
        slot_time: Duration,
        /// Whether it ended because this process asked the executor to abort it.
        aborted: bool,
    },
    /// The task did not start, and this attempt never will start it.
    NotStarted(NotStarted),
    /// The request may have reached the executor, and the outcome is not known.
    Lost,
}

/// Why an attempt did not start its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// All slots of the executor were taken.
    Busy,
    /// The executor is leaving and takes no new work.
    Leaving,
    /// No connection was made, and nothing was sent.
    Unreachable,
}
