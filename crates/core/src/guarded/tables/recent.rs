//! Cache of the outcomes of recently ended jobs.

use crate::collections::FastMap;
use crate::guarded::model::answer::Answer;
use crate::guarded::model::ids::ClientJobId;
use crate::model::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Retention time of an outcome. A client whose answer was lost submits the job again within this
/// time.
const RETENTION: Duration = Duration::from_secs(6);
/// Maximum number of stored outcomes.
const MAX_OUTCOMES: usize = 20_000;

/// Outcomes of recently ended jobs. A job whose answer was lost in transit is answered from here
/// instead of running again.
#[derive(Debug, Default)]
pub struct RecentOutcomes {
    answers: FastMap<ClientJobId, Answer>,
    insertion_order: VecDeque<(Time, ClientJobId)>,
}

impl RecentOutcomes {
    /// Stores an outcome and evicts the expired ones.
    pub fn insert(&mut self, now: Time, job: ClientJobId, answer: Answer) {
        self.answers.insert(job, answer);
        self.insertion_order.push_back((now, job));
        while let Some(&(at, oldest)) = self.insertion_order.front() {
            if now.since(at) < RETENTION && self.insertion_order.len() <= MAX_OUTCOMES {
                break;
            }
            self.insertion_order.pop_front();
            self.answers.remove(&oldest);
        }
    }

    /// Returns the stored outcome of a job.
    pub fn get(&self, job: ClientJobId) -> Option<Answer> {
        self.answers.get(&job).copied()
    }
}
