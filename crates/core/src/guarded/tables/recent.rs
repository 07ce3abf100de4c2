//! Outcomes of jobs that ended a short time ago.

use crate::collections::FastMap;
use crate::guarded::model::answer::Answer;
use crate::guarded::model::ids::ClientJobId;
use crate::model::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which an outcome is kept; a client that lost it sends the job again before.
const KEPT: Duration = Duration::from_secs(6);
/// Outcomes kept at most.
const MAX_KEPT: usize = 20_000;

/// Outcomes of jobs that ended a short time ago, so that a job whose answer was lost on its way
/// does not run again.
#[derive(Debug, Default)]
pub struct RecentOutcomes {
    answers: FastMap<ClientJobId, Answer>,
    order: VecDeque<(Time, ClientJobId)>,
}

impl RecentOutcomes {
    /// Keeps an outcome.
    pub fn insert(&mut self, now: Time, job: ClientJobId, answer: Answer) {
        self.answers.insert(job, answer);
        self.order.push_back((now, job));
        while let Some(&(at, oldest)) = self.order.front() {
            if now.since(at) < KEPT && self.order.len() <= MAX_KEPT {
                break;
            }
            self.order.pop_front();
            self.answers.remove(&oldest);
        }
    }

    /// Returns the outcome of a job.
    pub fn get(&self, job: ClientJobId) -> Option<Answer> {
        self.answers.get(&job).copied()
    }
}
