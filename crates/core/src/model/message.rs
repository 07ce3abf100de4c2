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
    /// Sent at a fixed rate.
    Heartbeat(Heartbeat),
    /// The configuration, sent to a peer that has an older one.
    Configuration(Arc<Configuration>),
    /// The VM list, sent to a peer that has an older one.
    VmList(Arc<VmList>),
    /// A request for a job that the receiver issued or answers for.
    Forward {
        /// Number that the sender matches the response by.
        number: u64,
        /// The request.
        req: JobRequest,
    },
    /// The response to a [`Message::Forward`].
    Forwarded {
        /// Number of the forward.
        number: u64,
        /// The response.
        response: Response,
    },
    /// An issuer's slots and demand, sent to the slot owner.
    Demand(Demand),
    /// Slots that the owner grants to an issuer or wants back.
    Grant(Grant),
    /// Asks the receiver to stop gracefully.
    Drain,
    /// A part of the outcomes of an incarnation that closes.
    Handover(Handover),
    /// Confirms that all parts of a handover are stored.
    HandoverStored {
        /// The incarnation that closes.
        closed: Incarnation,
    },
    /// Tells that an incarnation closed and who answers for it.
    Closed {
        /// The incarnation.
        closed: Incarnation,
        /// Peers that hold its archive.
        holders: Vec<Incarnation>,
    },
}

/// What a peer says of itself at a fixed rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Version of its configuration, 0 for none.
    pub config_version: u64,
    /// Revision of its VM list, 0 for none.
    pub vm_list_revision: u64,
    /// Size of the VM relative to the others.
    pub weight: u32,
    /// Whether it takes new work.
    pub serving: bool,
}

/// Slots that an issuer holds on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The executor.
    pub executor: ExecutorId,
    /// Slots held, in use or idle.
    pub slots: u16,
}

/// A job's claim on slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The customer.
    pub customer: CustomerId,
    /// Urgency; a smaller one goes first. Comparable across issuers within one owner's view.
    pub rank: u64,
    /// Slots that tasks of the job occupy now.
    pub running: u32,
    /// Slots that waiting tasks need, by the speed that they need to end in time.
    pub needs: SpeedNeeds,
    /// Widest waiting task, in slots.
    pub width: u16,
    /// Estimated work of the waiting tasks on an executor of speed 1.
    pub work: Duration,
    /// Estimate of the longest waiting task on an executor of speed 1.
    pub longest: Duration,
    /// Time until the job is expected to end if its tasks get the speed that they need.
    pub horizon: Duration,
    /// Time for which the job has waited for a slot.
    pub waited: Duration,
}

impl Claim {
    /// Returns the claim as it is expected to stand after `age`: the job's own slots have served
    /// some of the waiting tasks.
    #[must_use]
    pub fn aged(&self, age: Duration) -> Self {
        let waiting = self.needs.total();
        let mean = self.work.as_secs_f64() / f64::from(waiting.max(1));
        let served = f64::from(self.running) * age.as_secs_f64() / mean.max(f64::MIN_POSITIVE);
        let mut served = served.min(f64::from(waiting)) as u32;
        let mut needs = self.needs;
        for slots in needs.0.iter_mut().rev() {
            let taken = served.min(*slots);
            *slots -= taken;
            served -= taken;
        }
        Self {
            needs,
            waited: self.waited + age,
            ..*self
        }
    }

    /// Tells whether the longest task of `class` should take a slot of `speed` rather than wait
    /// for a faster one: if the slot delays the job no longer than it has waited already, or than
    /// `patience`, the time that it is expected to wait.
    #[must_use]
    pub fn accepts(&self, class: usize, speed: f64, patience: Duration) -> bool {
        let share = 1.0 - class as f64 / SPEED_CLASSES as f64;
        let run = self.longest.mul_f64(share / speed.max(f64::MIN_POSITIVE));
        run <= self.horizon + self.waited.max(patience)
    }
}

/// Share of the time until a job's expected end that a task may take by estimate.
const HORIZON_SHARE: f64 = 0.8;

/// Share of the speed that a class needs which suffices; learned speeds are noisy.
const SPEED_SLACK: f64 = 0.9;

/// Number of speed classes in [`SpeedNeeds`].
pub const SPEED_CLASSES: usize = 8;

/// Slots by speed class. Class 0 needs nearly the fastest executor, the last class takes any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedNeeds(pub [u32; SPEED_CLASSES]);

impl SpeedNeeds {
    /// Returns the class of a task of `estimate` at speed 1 whose job is expected to end after
    /// `horizon`.
    #[must_use]
    pub fn class_of(estimate: Duration, horizon: Duration, top_speed: f64) -> usize {
        let allowed = horizon.as_secs_f64() * HORIZON_SHARE * top_speed;
        let fraction = estimate.as_secs_f64() / allowed.max(f64::MIN_POSITIVE);
        let steps = ((1.0 - fraction).max(0.0) * SPEED_CLASSES as f64) as usize;
        steps.min(SPEED_CLASSES - 1)
    }

    /// Returns the fraction of the highest speed that suffices for `class`.
    #[must_use]
    pub fn fraction_of(class: usize) -> f64 {
        SPEED_SLACK * (1.0 - class as f64 / SPEED_CLASSES as f64)
    }

    /// Returns the slots of all classes.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }
}

/// An issuer's slots and demand. Absolute, so a repetition or a loss does no harm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Position in the issuer's sequence of demands; an older one is ignored.
    pub seq: u64,
    /// Last grant of this owner that the issuer has taken in.
    pub grant_seq: u64,
    /// All slots held on executors.
    pub holdings: Vec<Holding>,
    /// The most urgent jobs with waiting or running tasks.
    pub claims: Vec<Claim>,
    /// Slots that the issuer still has to give back.
    pub recall: Recall,
    /// Executors that the issuer does not send work to as usual.
    pub avoid: Vec<Avoid>,
}

/// An executor that an issuer does not send work to as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Avoid {
    /// The executor.
    pub executor: ExecutorId,
    /// The cause.
    pub cause: AvoidCause,
}

/// Why an issuer avoids an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidCause {
    /// It refused a start as busy, a moment ago.
    Busy,
    /// It failed tasks, went silent or could not be reached.
    Failing,
    /// It failed before and is tried with one task.
    Probation,
}

/// Slots that an issuer is to give back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Recall {
    /// Number of slots.
    pub slots: u32,
    /// Lowest speed of the executors whose slots count, in thousandths.
    pub min_speed_milli: u32,
}

/// Slots for an issuer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Position in the owner's sequence of grants to this issuer.
    pub seq: u64,
    /// Slots granted on top of those held.
    pub slots: Vec<Holding>,
    /// Slots that the issuer is to give back as soon as they are idle.
    pub recall: Recall,
    /// Expected time until a newly submitted unit of work starts, given the load of the pool.
    pub expected_wait: Duration,
    /// Expected time until a task that needs one of the fastest slots gets it.
    pub patience: Duration,
}

/// A part of the outcomes of an incarnation that closes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The incarnation that closes.
    pub closed: Incarnation,
    /// Its id key, with which the holder verifies ids that were never submitted.
    pub key: IdKey,
    /// First counter that the incarnation still keeps; older ids are expired.
    pub floor: u64,
    /// First counter that was never issued.
    pub next_counter: u64,
    /// Position of this part.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Outcomes by counter, with their customers.
    pub outcomes: Vec<ArchivedOutcome>,
}

/// An outcome in an archive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArchivedOutcome {
    /// Counter of the job id.
    pub counter: u64,
    /// Customer of the job.
    pub customer: CustomerId,
    /// The outcome.
    pub outcome: Outcome,
}
