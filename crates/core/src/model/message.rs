//! Messages between entry VMs.

use super::configuration::Configuration;
use super::ids::{CustomerId, ExecutorId};
use super::incarnation::Incarnation;
use super::job_id::IdKey;
use super::outcome::Outcome;
use super::request::{JobRequest, Response};
use super::vm_list::VmList;
use std::sync::Arc;
use std::time::Duration;

/// A message between two entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// State of the sender, sent at [`Policy::heartbeat_interval`].
    ///
    /// [`Policy::heartbeat_interval`]: crate::policy::Policy::heartbeat_interval
    Heartbeat(Heartbeat),
    /// Configuration, sent to a peer whose heartbeat shows an older version.
    Configuration(Arc<Configuration>),
    /// VM list, sent to a peer whose heartbeat shows an older revision.
    VmList(Arc<VmList>),
    /// Request about a job that the receiver issued, or whose archive it may hold.
    Forward {
        /// Number by which the sender matches the response to the request.
        number: u64,
        /// Forwarded request.
        req: JobRequest,
    },
    /// Response to a [`Message::Forward`].
    Forwarded {
        /// Number of the forwarded request.
        number: u64,
        /// Response for the caller.
        response: Response,
    },
    /// Slots and demand of an issuer, sent to the slot owner.
    Demand(Demand),
    /// Slots that the owner grants to an issuer or recalls from it.
    Grant(Grant),
    /// Request to stop gracefully.
    Drain,
    /// Part of the outcomes of an incarnation that is closing.
    Handover(Handover),
    /// Confirmation that all parts of a handover are stored.
    HandoverStored {
        /// Incarnation that is closing.
        closed: Incarnation,
    },
    /// Announcement that an incarnation has closed, with the peers that answer requests about its
    /// jobs.
    Closed {
        /// Incarnation that has closed.
        closed: Incarnation,
        /// Peers that hold its archive.
        holders: Vec<Incarnation>,
    },
}

/// State of a peer, sent at a fixed interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Version of the sender's configuration, 0 for none.
    pub config_version: u64,
    /// Revision of the sender's VM list, 0 for none.
    pub vm_list_revision: u64,
    /// Size of the sender's VM relative to the others.
    pub weight: u32,
    /// Whether the sender takes new work.
    pub serving: bool,
}

/// Slots that an issuer holds on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Executor that the slots belong to.
    pub executor: ExecutorId,
    /// Number of slots held, both in use and idle.
    pub slots: u16,
}

/// Claim on slots by a job, or by several jobs of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Customer of the job.
    pub customer: CustomerId,
    /// Rank of the job; a smaller one is served first. The owner compares the ranks of all issuers.
    pub rank: u64,
    /// Number of slots that running tasks of the job occupy.
    pub running: u32,
    /// Slots that waiting tasks need, by the speed that they need to end within `horizon`.
    pub needs: SlotsBySpeedClass,
    /// Largest number of slots that a waiting task needs.
    pub max_task_slots: u16,
    /// Total estimated run time of the waiting tasks on an executor of speed 1.
    pub work: Duration,
    /// Estimated run time of the longest waiting task on an executor of speed 1.
    pub longest: Duration,
    /// Time until the job is expected to end if its tasks get slots of the speed that they need.
    pub horizon: Duration,
    /// Time since the submission, or since the latest start of the task that was then the longest
    /// waiting one.
    pub waited: Duration,
}

impl Claim {
    /// Returns the claim projected to `age` later, when some of the waiting tasks are expected to
    /// have started on the slots that the job already has. The last classes, which need the least
    /// speed, are reduced first.
    #[must_use]
    pub fn projected(&self, age: Duration) -> Self {
        let waiting = self.needs.total();
        let mean = self.work.as_secs_f64() / f64::from(waiting.max(1));
        let served = f64::from(self.running) * age.as_secs_f64() / mean.max(f64::MIN_POSITIVE);
        let mut served = served.min(f64::from(waiting)) as u32;
        let mut needs = self.needs;
        for slots in needs.0.iter_mut().rev() {
            let reduction = served.min(*slots);
            *slots -= reduction;
            served -= reduction;
        }
        Self {
            needs,
            waited: self.waited + age,
            ..*self
        }
    }

    /// Returns whether the longest task of `class` should take a slot of `speed` rather than wait
    /// for a faster one. It should if the slower slot delays the job by no more than the time that
    /// the job has waited already or `expected_wait`, the expected wait for a faster slot.
    #[must_use]
    pub fn accepts_speed(&self, class: usize, speed: f64, expected_wait: Duration) -> bool {
        let share = 1.0 - class as f64 / SPEED_CLASSES as f64;
        let run = self.longest.mul_f64(share / speed.max(f64::MIN_POSITIVE));
        run <= self.horizon + self.waited.max(expected_wait)
    }
}

/// Fraction of the time until a job's expected end that the estimate of a task may take.
const HORIZON_FRACTION: f64 = 0.8;

/// Factor on the speed that a class needs. It is below 1 because learned speeds are noisy.
const SPEED_TOLERANCE: f64 = 0.9;

/// Number of speed classes in [`SlotsBySpeedClass`].
pub const SPEED_CLASSES: usize = 8;

/// Number of slots by speed class. Tasks of class 0 need nearly the fastest executors, tasks of
/// the last class can run on any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotsBySpeedClass(pub [u32; SPEED_CLASSES]);

impl SlotsBySpeedClass {
    /// Returns the speed class of a task with the run time `estimate` at speed 1, whose job is
    /// expected to end after `horizon`.
    #[must_use]
    pub fn class_for(estimate: Duration, horizon: Duration, top_speed: f64) -> usize {
        let max_run_time = horizon.as_secs_f64() * HORIZON_FRACTION * top_speed;
        let fraction = estimate.as_secs_f64() / max_run_time.max(f64::MIN_POSITIVE);
        let steps = ((1.0 - fraction).max(0.0) * SPEED_CLASSES as f64) as usize;
        steps.min(SPEED_CLASSES - 1)
    }

    /// Returns the minimum speed for `class`, as a fraction of the top speed.
    #[must_use]
    pub fn min_speed_fraction(class: usize) -> f64 {
        SPEED_TOLERANCE * (1.0 - class as f64 / SPEED_CLASSES as f64)
    }

    /// Returns the number of slots of all classes.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }
}

/// Slots and demand of an issuer. The values are absolute rather than changes, so messages may be
/// lost or repeated without harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Sequence number among the issuer's demands. The owner ignores a demand that is older than
    /// the last one.
    pub seq: u64,
    /// Sequence number of the last grant of this owner that the issuer has applied.
    pub grant_seq: u64,
    /// All slots that the issuer holds.
    pub holdings: Vec<Holding>,
    /// Claims of the jobs with the smallest ranks, then of all other jobs, summed up per customer.
    pub claims: Vec<Claim>,
    /// Recalled slots that the issuer has not returned yet.
    pub recall: Recall,
    /// Executors to which the issuer sends no work, or less than usual.
    pub avoid: Vec<AvoidedExecutor>,
}

/// An executor to which an issuer sends no work, or less than usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AvoidedExecutor {
    /// Executor that the issuer avoids.
    pub executor: ExecutorId,
    /// Reason for avoiding it.
    pub cause: AvoidCause,
}

/// Why an issuer avoids an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidCause {
    /// It recently refused a start as busy.
    Busy,
    /// It failed tasks, did not answer, could not be reached or reported that it is leaving.
    Failing,
    /// It failed before and gets one task at a time until one succeeds.
    Probation,
}

/// Slots that an issuer has to return to the owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recall {
    /// Number of slots.
    pub slots: u32,
    /// Minimum speed of the executors whose slots count, in thousandths of the reference machine.
    pub min_speed_milli: u32,
}

/// Slots that the owner grants to an issuer, and slots that it recalls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Sequence number among the owner's grants to this issuer.
    pub seq: u64,
    /// Slots granted in addition to those already held.
    pub slots: Vec<Holding>,
    /// Slots that the issuer has to return as soon as they are idle.
    pub recall: Recall,
    /// Expected time until a newly submitted task starts under the current load of all executors.
    pub expected_wait: Duration,
    /// Expected time until a task that needs one of the fastest slots gets one.
    pub fast_slot_wait: Duration,
}

/// Part of the outcomes of an incarnation that is closing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Incarnation that is closing.
    pub closed: Incarnation,
    /// Id key of the incarnation, with which the holder verifies ids that have no outcome.
    pub key: IdKey,
    /// First counter that has not expired.
    pub floor: u64,
    /// First counter that was never issued.
    pub next_counter: u64,
    /// Index of this part.
    pub part: u32,
    /// Number of parts of the handover.
    pub parts: u32,
    /// Outcomes in this part.
    pub outcomes: Vec<ArchivedOutcome>,
}

/// Outcome of a job of a closed incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArchivedOutcome {
    /// Counter part of the job id.
    pub counter: u64,
    /// Customer of the job.
    pub customer: CustomerId,
    /// Final outcome of the job.
    pub outcome: Outcome,
}
