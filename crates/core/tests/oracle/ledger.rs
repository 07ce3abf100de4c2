//! The oracle: what was started, what was answered, and what must hold of both.

use crate::executor::result_of;
use cardamomslip_core::collections::{FastMap, FastSet};
use cardamomslip_core::model::ids::{CallId, CustomerId};
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::outcome::{FailureReason, Outcome, Ran, RefusalReason};
use cardamomslip_core::model::request::{Response, StartRequest};
use cardamomslip_core::model::spec::{JobSpec, Repeatability, TaskSpec};
use std::sync::Arc;
use std::time::Duration;

/// A submission as the client made it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Label; the payload of task `i` is `label/i`.
    pub label: String,
    /// The customer.
    pub customer: CustomerId,
    /// The id, unless the job is submitted under a key.
    pub id: Option<JobId>,
    /// The job.
    pub spec: JobSpec,
    /// Whether it was submitted at least once.
    pub submitted: bool,
}

/// What a call was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Take ids for a submission with this number.
    TakeIds(usize),
    /// Anything about the submission with this number.
    Job(usize),
    /// A request by a customer who does not own the job.
    Foreign,
    /// A change of the configuration.
    Change,
}

/// Everything the oracle remembers.
#[derive(Debug)]
pub struct Ledger {
    /// Submissions.
    pub submissions: Vec<Submission>,
    starts: FastMap<Arc<str>, u32>,
    /// Ids answered `not run`, with the first call that was made after that.
    not_run: FastMap<JobId, CallId>,
    next_call: CallId,
    /// Last response about each submission, for messages.
    last: FastMap<usize, Response>,
    answers: FastMap<JobId, Outcome>,
    issuer_lost: FastSet<JobId>,
    accepted: FastSet<JobId>,
}

/// Tells whether a response says nothing about the job. That the issuer of an id is gone can be
/// seen by anyone; with the issuer went the key that tells whose id it was.
fn is_uninformative(response: &Response) -> bool {
    match response {
        Response::Refused(_) => true,
        Response::Answer {
            outcome: Outcome::Failed { reason, .. },
            ..
        } => *reason == FailureReason::IssuerLost,
        _ => false,
    }
}

/// Builds a task; `kind` is its true run time in milliseconds.
pub fn task(label: &str, i: usize, kind: u64, declared: u64, slots: u16) -> TaskSpec {
    TaskSpec {
        kind: kind.to_string().into(),
        payload: format!("{label}/{i}").into(),
        declared: Duration::from_millis(declared),
        slots,
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            submissions: Vec::new(),
            starts: FastMap::default(),
            not_run: FastMap::default(),
            next_call: CallId(0),
            last: FastMap::default(),
            answers: FastMap::default(),
            issuer_lost: FastSet::default(),
            accepted: FastSet::default(),
        }
    }
}

impl Ledger {
    /// Returns the last response about a submission.
    pub fn last_response(&self, number: usize) -> Option<&Response> {
        self.last.get(&number)
    }

    /// Counts a start. Panics if it must not take place.
    pub fn note_start(&mut self, order: &StartRequest) {
        let payload = Arc::clone(&order.task.payload);
        let label = payload.split('/').next().unwrap_or_default().to_owned();
        let submission = self.submissions.iter().find(|row| row.label == label);
        let spec = &submission.expect("started tasks were submitted").spec;
        let limit = match spec.repeatability {
            Repeatability::Unrepeatable => 1,
            Repeatability::Repeatable => 3,
        };
        let count = self.starts.entry(Arc::clone(&payload)).or_insert(0);
        *count += 1;
        assert!(*count <= limit, "task {payload} was started {count} times");
        assert!(
            !self.not_run.contains_key(&order.job),
            "job {} ran after `not run`",
            order.job
        );
    }

    /// Returns the starts of a submission's tasks.
    fn starts_of(&self, label: &str) -> u32 {
        let prefix = format!("{label}/");
        let rows = self
            .starts
            .iter()
            .filter(|(payload, _)| payload.starts_with(&prefix));
        rows.map(|(_, count)| count).sum()
    }

    /// Takes in the response to a call. Panics if it must not be given.
    pub fn note_response(
        &mut self,
        call: CallId,
        next_call: CallId,
        kind: CallKind,
        response: &Response,
    ) {
        self.next_call = next_call;
        match kind {
            CallKind::TakeIds(number) => {
                if let Response::Ids(ids) = response {
                    self.submissions[number].id = Some(ids[0]);
                }
            }
            CallKind::Job(number) => {
                self.last.insert(number, response.clone());
                self.note_job_response(call, number, response);
            }
            CallKind::Foreign => assert!(
                is_uninformative(response),
                "another customer got {response:?}"
            ),
            CallKind::Change => {}
        }
    }

    fn note_job_response(&mut self, call: CallId, number: usize, response: &Response) {
        match response {
            Response::Answer { id, outcome } => self.note_answer(number, *id, outcome),
            Response::Running { id, done, total } => {
                assert!(done <= total, "more tasks done than there are");
                self.check_id(number, *id);
                self.accepted.insert(*id);
                // The response to an earlier call may be older than the answer.
                let later = self
                    .not_run
                    .get(id)
                    .is_some_and(|answered| call >= *answered);
                assert!(!later, "job {id} runs after `not run`");
            }
            Response::Refused(refusal) => {
                assert!(
                    refusal.ran != Ran::NotRun || refusal.reason == RefusalReason::Stopping,
                    "only answers may say `not run` of a job: {refusal:?}"
                );
            }
            Response::Ids(_) => panic!("ids in answer to a request for a job"),
        }
    }

    fn check_id(&self, number: usize, id: JobId) {
        if let Some(expected) = self.submissions[number].id {
            assert_eq!(expected, id, "the answer is of another job");
        }
    }

    fn note_answer(&mut self, number: usize, id: JobId, outcome: &Outcome) {
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
            } => self.note_not_run(id, &submission),
            Outcome::Failed { ran, .. } => {
                assert_eq!(
                    *ran,
                    Ran::MayHaveRun,
                    "an answer leaves open whether the job ran"
                );
            }
        }
        self.check_final(id, outcome);
    }

    fn note_not_run(&mut self, id: JobId, submission: &Submission) {
        if submission.id.is_some() {
            let starts = self.starts_of(&submission.label);
            assert_eq!(
                starts, 0,
                "{} was started and answered `not run`",
                submission.label
            );
        }
        self.not_run.entry(id).or_insert(self.next_call);
    }

    /// An answer is final. Only the loss of the issuer may replace it, and is final then.
    fn check_final(&mut self, id: JobId, outcome: &Outcome) {
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
            "{id} has an answer after its issuer was lost"
        );
        let first = self.answers.entry(id).or_insert_with(|| outcome.clone());
        assert_eq!(first, outcome, "two answers for {id}");
    }

    /// Tells whether a client was told that the job is accepted.
    pub fn is_accepted(&self, id: JobId) -> bool {
        self.accepted.contains(&id)
    }

    /// Tells whether a final answer was given for the job.
    pub fn is_answered(&self, id: JobId) -> bool {
        self.answers.contains_key(&id) || self.issuer_lost.contains(&id)
    }
}
