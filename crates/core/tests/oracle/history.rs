//! The oracle: a history of starts and responses, and the invariants that it must satisfy.

use crate::executor::result_of;
use cardamomslip_core::collections::{FastMap, FastSet};
use cardamomslip_core::model::ids::{CallId, CustomerId};
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::outcome::{FailureReason, Outcome, Ran, RefusalReason};
use cardamomslip_core::model::request::{Response, StartRequest};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use std::sync::Arc;
use std::time::Duration;

/// A job as the client submits it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Unique label. The payload of task `i` is `label/i`.
    pub label: String,
    /// The customer that owns the job.
    pub customer: CustomerId,
    /// The issued id. `None` before that, and always for jobs submitted under an idempotency key.
    pub id: Option<JobId>,
    /// The submitted specification.
    pub spec: JobSpec,
    /// Whether the client submitted it at least once.
    pub submitted: bool,
}

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Issue an id for the submission with this number.
    IssueIds(usize),
    /// Submit, fetch or cancel the submission with this number.
    Job(usize),
    /// A request by a customer that does not own the job.
    Foreign,
    /// Change the configuration.
    Change,
}

/// History of a case.
#[derive(Debug)]
pub struct History {
    /// Prepared submissions; their index is the number of the submission.
    pub submissions: Vec<Submission>,
    /// Number of starts, by payload.
    starts: FastMap<Arc<str>, u32>,
    /// Jobs answered `not run`, with the first call made after that answer.
    not_run: FastMap<JobId, CallId>,
    next_call: CallId,
    /// Last response for each submission, for failure messages.
    last_responses: FastMap<usize, Response>,
    final_answers: FastMap<JobId, Outcome>,
    issuer_lost: FastSet<JobId>,
    accepted: FastSet<JobId>,
}

/// Returns whether a customer that does not own the job may get this response. This includes the
/// loss of the issuer, because the key that identifies the owner of an id is lost with its issuer.
fn is_allowed_for_other_customers(response: &Response) -> bool {
    match response {
        Response::Refused(_) => true,
        Response::Answer {
            outcome: Outcome::Failed { reason, .. },
            ..
        } => *reason == FailureReason::IssuerLost,
        _ => false,
    }
}

/// Builds task `i` of a submission. `kind` is its true run time and `declared` its declared one,
/// both in milliseconds.
pub fn task(label: &str, i: usize, kind: u64, declared: u64, slots: u16) -> TaskSpec {
    TaskSpec {
        kind: kind.to_string().into(),
        payload: format!("{label}/{i}").into(),
        declared: Duration::from_millis(declared),
        slots,
    }
}

impl Default for History {
    fn default() -> Self {
        Self {
            submissions: Vec::new(),
            starts: FastMap::default(),
            not_run: FastMap::default(),
            next_call: CallId(0),
            last_responses: FastMap::default(),
            final_answers: FastMap::default(),
            issuer_lost: FastSet::default(),
            accepted: FastSet::default(),
        }
    }
}

impl History {
    /// Returns the last response for a submission.
    pub fn last_response(&self, number: usize) -> Option<&Response> {
        self.last_responses.get(&number)
    }

    /// Records a start. Panics if the task was started too often or after its job was answered
    /// `not run`.
    pub fn record_start(&mut self, req: &StartRequest) {
        let payload = Arc::clone(&req.task.payload);
        let label = payload.split('/').next().unwrap_or_default().to_owned();
        let submission = self.submissions.iter().find(|row| row.label == label);
        let spec = &submission.expect("each started task was submitted").spec;
        let limit = match spec.repeatability {
            Repeatability::Unrepeatable => 1,
            Repeatability::Repeatable => 3,
        };
        let count = self.starts.entry(Arc::clone(&payload)).or_insert(0);
        *count += 1;
        assert!(*count <= limit, "task {payload} was started {count} times");
        assert!(
            !self.not_run.contains_key(&req.job),
            "job {} was started after it was answered `not run`",
            req.job
        );
    }

    /// Returns the number of starts of a submission's tasks.
    fn starts_of(&self, label: &str) -> u32 {
        let prefix = format!("{label}/");
        let rows = self
            .starts
            .iter()
            .filter(|(payload, _)| payload.starts_with(&prefix));
        rows.map(|(_, count)| count).sum()
    }

    /// Records the response to a call. Panics if it violates an invariant.
    pub fn record_response(
        &mut self,
        call: CallId,
        next_call: CallId,
        kind: CallKind,
        response: &Response,
    ) {
        self.next_call = next_call;
        match kind {
            CallKind::IssueIds(number) => {
                if let Response::Ids(ids) = response {
                    self.submissions[number].id = Some(ids[0]);
                }
            }
            CallKind::Job(number) => {
                self.last_responses.insert(number, response.clone());
                self.record_job_response(call, number, response);
            }
            CallKind::Foreign => assert!(
                is_allowed_for_other_customers(response),
                "another customer got {response:?}"
            ),
            CallKind::Change => {}
        }
    }

    fn record_job_response(&mut self, call: CallId, number: usize, response: &Response) {
        match response {
            Response::Answer { id, outcome } => self.record_answer(number, *id, outcome),
            Response::Running { id, done, total } => {
                assert!(done <= total, "more tasks done than the job has");
                self.check_id(number, *id);
                self.accepted.insert(*id);
                // The response to an earlier call may predate the answer.
                let is_stale = self
                    .not_run
                    .get(id)
                    .is_some_and(|answered| call >= *answered);
                assert!(
                    !is_stale,
                    "job {id} is reported as running after it was answered `not run`"
                );
            }
            Response::Refused(refusal) => {
                assert!(
                    refusal.ran != Ran::NotRun || refusal.reason == RefusalReason::Stopping,
                    "refusal other than `Stopping` reports a job as `not run`: {refusal:?}"
                );
            }
            Response::Ids(_) => panic!("response to a job request contains ids"),
        }
    }

    fn check_id(&self, number: usize, id: JobId) {
        if let Some(expected) = self.submissions[number].id {
            assert_eq!(expected, id, "response for another job");
        }
    }

    fn record_answer(&mut self, number: usize, id: JobId, outcome: &Outcome) {
        self.check_id(number, id);
        let submission = self.submissions[number].clone();
        match outcome {
            Outcome::Complete(results) => {
                let expected: Vec<_> = submission
                    .spec
                    .tasks
                    .iter()
                    .map(|task| result_of(&task.payload))
                    .collect();
                let got: Vec<_> = results.iter().map(ToString::to_string).collect();
                assert_eq!(expected, got, "results of {}", submission.label);
            }
            Outcome::Failed {
                ran: Ran::NotRun, ..
            } => self.record_not_run(id, &submission),
            Outcome::Failed { ran, .. } => {
                assert_eq!(
                    *ran,
                    Ran::MayHaveRun,
                    "failed job without `not run` or `may have run`"
                );
            }
        }
        self.check_answer_is_final(id, outcome);
    }

    fn record_not_run(&mut self, id: JobId, submission: &Submission) {
        if submission.id.is_some() {
            let starts = self.starts_of(&submission.label);
            assert_eq!(
                starts, 0,
                "{} was answered `not run` after it was started",
                submission.label
            );
        }
        self.not_run.entry(id).or_insert(self.next_call);
    }

    /// Checks that an answer does not change. Only the loss of the issuer may replace another
    /// answer, and nothing may replace that.
    fn check_answer_is_final(&mut self, id: JobId, outcome: &Outcome) {
        let lost = matches!(
            outcome,
            Outcome::Failed {
                reason: FailureReason::IssuerLost,
                ..
            }
        );
        if lost {
            self.issuer_lost.insert(id);
            return;
        }
        assert!(
            !self.issuer_lost.contains(&id),
            "{id} got another answer after the loss of its issuer was reported"
        );
        let first = self
            .final_answers
            .entry(id)
            .or_insert_with(|| outcome.clone());
        assert_eq!(first, outcome, "different answers for {id}");
    }

    /// Returns whether a client got the response that the job is running.
    pub fn is_accepted(&self, id: JobId) -> bool {
        self.accepted.contains(&id)
    }

    /// Returns whether a client got a final answer for the job.
    pub fn is_answered(&self, id: JobId) -> bool {
        self.final_answers.contains_key(&id) || self.issuer_lost.contains(&id)
    }
}
