//! How jobs of different sizes of one queue are served.

use crate::model::time::Time;
use std::time::Duration;

/// Number of recent jobs of a queue whose sizes determine its classes.
const SAMPLE_LEN: usize = 128;
/// Number of jobs after which the limits of the classes are computed again.
const UPDATE_AFTER: usize = 16;
/// Rank of the smallest job of class `Large`, in hundredths of the sorted sample.
const LARGE_FROM: usize = 70;
/// Rank of the smallest job of class `Largest`, in hundredths of the sorted sample.
const LARGEST_FROM: usize = 90;
/// Time in which the counts of outcomes halve.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(5);
/// Number of recent outcomes of a class that are needed to judge it.
const MIN_OUTCOMES: f64 = 3.0;
/// Part of the rest's rate of service below which a class counts as behind. Above the half that
/// must be reached, since the correction takes effect only with the next jobs.
const BEHIND_BELOW: f64 = 0.75;

/// Class of a job by its CPU time among the jobs of its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeClass {
    /// The smaller seven tenths.
    Rest,
    /// The fifth below the largest tenth.
    Large,
    /// The largest tenth.
    Largest,
}

/// Recent outcomes of a class.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    served: f64,
    unserved: f64,
}

impl Outcomes {
    fn total(&self) -> f64 {
        self.served + self.unserved
    }

    fn rate(&self) -> Option<f64> {
        (self.total() >= MIN_OUTCOMES).then(|| self.served / self.total())
    }

    fn decay(&mut self, factor: f64) {
        self.served *= factor;
        self.unserved *= factor;
    }
}

/// Sizes of a queue's recent jobs, and how many of each class were completed.
#[derive(Clone, Debug, Default)]
pub struct SizeClasses {
    /// The last sizes; the oldest one is replaced next once it is full.
    sample: Vec<u64>,
    recorded: usize,
    large_from: u64,
    largest_from: u64,
    outcomes: [Outcomes; 3],
    decayed_at: Time,
}

impl SizeClasses {
    /// Records the size of a new job.
    pub fn record_size(&mut self, size: u64) {
        if self.sample.len() < SAMPLE_LEN {
            self.sample.push(size);
        } else {
            self.sample[self.recorded % SAMPLE_LEN] = size;
        }
        self.recorded += 1;
        if self.recorded.is_multiple_of(UPDATE_AFTER) {
            self.update_limits();
        }
    }

    fn update_limits(&mut self) {
        let mut sorted = self.sample.clone();
        sorted.sort_unstable();
        let at = |hundredth: usize| sorted[sorted.len() * hundredth / 100];
        self.large_from = at(LARGE_FROM);
        self.largest_from = at(LARGEST_FROM);
    }

    /// Returns the class of a size. Without enough jobs all are of class [`SizeClass::Rest`].
    #[must_use]
    pub const fn classify(&self, size: u64) -> SizeClass {
        if self.recorded < UPDATE_AFTER {
            SizeClass::Rest
        } else if size >= self.largest_from {
            SizeClass::Largest
        } else if size >= self.large_from {
            SizeClass::Large
        } else {
            SizeClass::Rest
        }
    }

    /// Records whether a job was completed in time.
    pub fn record_outcome(&mut self, now: Time, size: u64, is_served: bool) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        let factor = 0.5_f64.powf(passed / COUNT_HALF_LIFE.as_secs_f64());
        self.decayed_at = now;
        for outcomes in &mut self.outcomes {
            outcomes.decay(factor);
        }
        let outcomes = &mut self.outcomes[self.classify(size) as usize];
        if is_served {
            outcomes.served += 1.0;
        } else {
            outcomes.unserved += 1.0;
        }
    }

    /// Returns whether jobs of this size are completed less often than they should, compared with the rest.
    #[must_use]
    pub fn is_behind(&self, size: u64) -> bool {
        let class = self.classify(size);
        if class == SizeClass::Rest {
            return false;
        }
        let rest = self.outcomes[SizeClass::Rest as usize].rate();
        let rate = self.outcomes[class as usize].rate();
        rest.zip(rate)
            .is_some_and(|(rest, rate)| rate < BEHIND_BELOW * rest)
    }
}
