//! Queues whose tasks have crashed workers.

use crate::model::time::Time;

/// What is known of a queue whose tasks have crashed workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bulkhead {
    /// Time at which a job of the queue was last given up for crashing workers.
    pub last_given_up_at: Time,
    /// Time since which the queue is contained: its tasks may take only a share of the workers, and
    /// have these for themselves. `None` while it is not.
    pub contained_since: Option<Time>,
    /// Number of runs that ended well since a worker was last lost to the queue.
    pub ended_well: u32,
}

impl Bulkhead {
    /// Returns whether the queue is contained.
    #[must_use]
    pub const fn is_contained(&self) -> bool {
        self.contained_since.is_some()
    }
}
