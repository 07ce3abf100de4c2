//! Jobs that clients cancelled recently.

use crate::collections::FastMap;
use crate::guarded::model::ids::ClientJobId;
use crate::model::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Retention time of a mark. Copies of a submission arrive up to 6 s after the cancellation, and clients
/// wait for up to 2.8 s.
pub const RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of marks. At 360 cancellations per second, 3,600 are in use.
const MAX_MARKS: usize = 16_384;

/// What is known of a cancelled job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    /// Time of the cancellation.
    pub at: Time,
    /// Whether some VM knew the job and ended it.
    pub is_found: bool,
}

/// Marks of the jobs that clients cancelled recently. A marked job is not started.
#[derive(Debug, Default)]
pub struct CancelMarks {
    marks: FastMap<ClientJobId, Mark>,
    insertion_order: VecDeque<(Time, ClientJobId)>,
}

impl CancelMarks {
    /// Marks a job, and evicts the oldest marks. A later mark replaces an earlier one, except that a
    /// job that was found stays so. Returns whether the job was not marked in this way before.
    pub fn insert(&mut self, now: Time, job: ClientJobId, mark: Mark) -> bool {
        self.evict(now);
        let before = self.get(now, job);
        let is_found = mark.is_found || before.is_some_and(|before| before.is_found);
        let is_news = before.is_none_or(|before| before.is_found != is_found);
        let at = before.map_or(mark.at, |before| before.at.max(mark.at));
        if before.is_none_or(|before| before.at < at) {
            self.insertion_order.push_back((at, job));
        }
        self.marks.insert(job, Mark { at, is_found });
        is_news
    }

    /// Returns the mark of a job, unless it has expired.
    pub fn get(&self, now: Time, job: ClientJobId) -> Option<Mark> {
        let mark = self.marks.get(&job).copied();
        mark.filter(|mark| now.since(mark.at) < RETENTION)
    }

    /// Returns whether some VM knew and ended the job.
    pub fn is_found(&self, now: Time, job: ClientJobId) -> bool {
        self.get(now, job).is_some_and(|mark| mark.is_found)
    }

    /// Iterates over the jobs that some VM knew, the newest mark first.
    pub fn newest_found(&self) -> impl Iterator<Item = (ClientJobId, Mark)> {
        let rows = self.insertion_order.iter().rev();
        rows.filter_map(|(at, job)| {
            let mark = self.marks.get(job).filter(|mark| mark.at == *at)?;
            mark.is_found.then_some((*job, *mark))
        })
    }

    /// Returns the number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    fn evict(&mut self, now: Time) {
        while let Some(&(at, oldest)) = self.insertion_order.front() {
            if now.since(at) < RETENTION && self.insertion_order.len() < MAX_MARKS {
                break;
            }
            self.insertion_order.pop_front();
            if self.marks.get(&oldest).is_some_and(|mark| mark.at == at) {
                self.marks.remove(&oldest);
            }
        }
    }
}
