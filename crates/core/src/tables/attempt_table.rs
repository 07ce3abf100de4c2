//! Attempts to start tasks whose outcome is outstanding.

use crate::collections::FastMap;
use crate::model::ids::{AttemptId, CustomerId, ExecutorId};
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// An outstanding attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Counter of the job.
    pub job: u64,
    /// Position of the task in the job.
    pub index: u32,
    /// The executor.
    pub executor: ExecutorId,
    /// The customer.
    pub customer: CustomerId,
    /// Kind of the task.
    pub kind: Arc<str>,
    /// Run time that the caller declared.
    pub declared: Duration,
    /// Bias of the job's declared run times.
    pub bias: f64,
    /// Estimated run time on an executor of speed 1.
    pub estimate: Duration,
    /// Slots that it occupies.
    pub slots: u16,
    /// Time of the start.
    pub started: Time,
}

/// Outstanding attempts.
#[derive(Debug, Default)]
pub struct AttemptTable {
    rows: FastMap<AttemptId, Attempt>,
    next: u64,
}

impl AttemptTable {
    /// Adds an attempt.
    pub fn insert(&mut self, attempt: Attempt) -> AttemptId {
        let id = AttemptId(self.next);
        self.next += 1;
        self.rows.insert(id, attempt);
        id
    }

    /// Removes an attempt whose outcome is known or given up.
    pub fn take(&mut self, id: AttemptId) -> Option<Attempt> {
        self.rows.remove(&id)
    }

    /// Returns an attempt.
    #[must_use]
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.rows.get(&id)
    }

    /// Returns all outstanding attempts.
    pub fn iter(&self) -> impl Iterator<Item = &Attempt> {
        self.rows.values()
    }

    /// Returns the number of outstanding attempts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no attempt is outstanding.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
