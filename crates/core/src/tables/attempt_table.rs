//! Start attempts whose outcome is not known yet.

use crate::collections::FastMap;
use crate::model::ids::{AttemptId, CustomerId, ExecutorId};
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// A start of a task on an executor whose outcome is not known yet.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Counter part of the job id.
    pub job: u64,
    /// Index of the task in the job.
    pub index: u32,
    /// Executor that the start was sent to.
    pub executor: ExecutorId,
    /// Customer to whom the slot time is charged.
    pub customer: CustomerId,
    /// Task kind, by which run times are learned.
    pub kind: Arc<str>,
    /// Run time that the caller declared, on an executor of speed 1.
    pub declared: Duration,
    /// Bias of the job's declared run times; see [`JobEstimate`].
    ///
    /// [`JobEstimate`]: crate::tables::estimator::JobEstimate
    pub bias: f64,
    /// Estimated run time on an executor of speed 1.
    pub estimate: Duration,
    /// Slots that the attempt occupies.
    pub slots: u16,
    /// Time at which the start was sent.
    pub started_at: Time,
}

/// Outstanding attempts by id.
#[derive(Debug, Default)]
pub struct AttemptTable {
    rows: FastMap<AttemptId, Attempt>,
    next_id: u64,
}

impl AttemptTable {
    /// Adds an attempt and returns its new id.
    pub fn insert(&mut self, attempt: Attempt) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        self.rows.insert(id, attempt);
        id
    }

    /// Removes an attempt whose outcome is known or counts as lost.
    pub fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.rows.remove(&id)
    }

    /// Returns the attempt with the given id, if it is outstanding.
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

    /// Returns whether no attempt is outstanding.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
