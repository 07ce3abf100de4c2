//! The jobs whose ids this incarnation issued.

use super::job::Job;
use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::{IdKey, JobId};
use crate::model::message::ArchivedOutcome;
use crate::model::outcome::Outcome;
use crate::model::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// A job whose outcome is final.
#[derive(Debug)]
struct ClosedJob {
    customer: CustomerId,
    outcome: Outcome,
    closed_at: Time,
}

/// Result of looking up a job id.
#[derive(Debug)]
pub enum Lookup<'a> {
    /// The job is open.
    Open,
    /// The outcome is final.
    Closed(&'a Outcome),
    /// The id was issued, and no job was submitted under it.
    NotSubmitted,
    /// The id is older than the retention period and its outcome, if any, has been removed.
    Expired,
    /// The id was not issued by this incarnation to this customer.
    NoSuchJob,
}

/// All job ids that this incarnation issued, with the state of their jobs.
///
/// Invariant: no task of an id starts if its counter is below `floor` and it is in neither map,
/// whether or not it was submitted. Removing a closed job below the floor is therefore safe.
#[derive(Debug)]
pub struct JobTable {
    issuer: Incarnation,
    key: IdKey,
    next_counter: u64,
    floor: u64,
    open: FastMap<u64, Job>,
    closed: FastMap<u64, ClosedJob>,
    /// Times of earlier calls of [`JobTable::remove_expired`], with `next_counter` at that time.
    checkpoints: VecDeque<(Time, u64)>,
}

impl JobTable {
    /// Builds the empty table of `issuer`, which signs its ids with `key`.
    #[must_use]
    pub fn new(issuer: Incarnation, key: IdKey) -> Self {
        Self {
            issuer,
            key,
            next_counter: 0,
            floor: 0,
            open: FastMap::default(),
            closed: FastMap::default(),
            checkpoints: VecDeque::new(),
        }
    }

    /// Issues a new id to `customer`.
    pub fn issue(&mut self, customer: CustomerId) -> JobId {
        let counter = self.next_counter;
        self.next_counter += 1;
        JobId {
            issuer: self.issuer,
            counter,
            tag: self.key.tag(counter, customer),
        }
    }

    /// Looks up an id whose issuer is this incarnation.
    #[must_use]
    pub fn look_up(&self, id: JobId, customer: CustomerId) -> Lookup<'_> {
        if id.counter >= self.next_counter || !self.key.verifies(id, customer) {
            return Lookup::NoSuchJob;
        }
        if self.open.contains_key(&id.counter) {
            return Lookup::Open;
        }
        if let Some(job) = self.closed.get(&id.counter) {
            return Lookup::Closed(&job.outcome);
        }
        if id.counter < self.floor {
            return Lookup::Expired;
        }
        Lookup::NotSubmitted
    }

    /// Adds an open job. Its id must have been looked up as [`Lookup::NotSubmitted`].
    pub fn insert(&mut self, job: Job) {
        let counter = job.id.counter;
        let previous = self.open.insert(counter, job);
        debug_assert!(previous.is_none() && !self.closed.contains_key(&counter));
    }

    /// Returns the open job with the given counter for changes.
    pub fn get_mut(&mut self, counter: u64) -> Option<&mut Job> {
        self.open.get_mut(&counter)
    }

    /// Returns the open job with the given counter.
    #[must_use]
    pub fn get(&self, counter: u64) -> Option<&Job> {
        self.open.get(&counter)
    }

    /// Removes an open job and stores `outcome` as its final answer.
    pub fn close_job(&mut self, counter: u64, outcome: Outcome, now: Time) -> Option<Job> {
        let job = self.open.remove(&counter)?;
        let customer = job.customer;
        self.closed.insert(
            counter,
            ClosedJob {
                customer,
                outcome,
                closed_at: now,
            },
        );
        Some(job)
    }

    /// Stores `outcome` as the final answer of an id that was never submitted, so that no later
    /// submission under it is accepted.
    pub fn reject_permanently(
        &mut self,
        counter: u64,
        customer: CustomerId,
        outcome: Outcome,
        now: Time,
    ) {
        debug_assert!(!self.open.contains_key(&counter));
        self.closed.insert(
            counter,
            ClosedJob {
                customer,
                outcome,
                closed_at: now,
            },
        );
    }

    /// Expires ids and removes outcomes that are older than `retention`.
    pub fn remove_expired(&mut self, now: Time, retention: Duration) {
        self.checkpoints.push_back((now, self.next_counter));
        while let Some(&(at, counter)) = self.checkpoints.front() {
            if now.since(at) < retention {
                break;
            }
            self.floor = counter;
            self.checkpoints.pop_front();
        }
        let floor = self.floor;
        self.closed
            .retain(|&counter, job| counter >= floor || now.since(job.closed_at) < retention);
    }

    /// Iterates over the open jobs.
    pub fn iter_open(&self) -> impl Iterator<Item = &Job> {
        self.open.values()
    }

    /// Returns the number of open jobs.
    #[must_use]
    pub fn open_len(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of stored outcomes.
    #[must_use]
    pub fn closed_len(&self) -> usize {
        self.closed.len()
    }

    /// Returns the key that signs the ids.
    #[must_use]
    pub const fn key(&self) -> IdKey {
        self.key
    }

    /// Returns the first counter that has not expired, and the first that was never issued.
    #[must_use]
    pub const fn counter_bounds(&self) -> (u64, u64) {
        (self.floor, self.next_counter)
    }

    /// Returns all stored outcomes in the order of their counters, for a handover.
    #[must_use]
    pub fn outcomes(&self) -> Vec<ArchivedOutcome> {
        let mut outcomes: Vec<_> = self
            .closed
            .iter()
            .map(|(&counter, job)| ArchivedOutcome {
                counter,
                customer: job.customer,
                outcome: job.outcome.clone(),
            })
            .collect();
        outcomes.sort_by_key(|outcome| outcome.counter);
        outcomes
    }
}
