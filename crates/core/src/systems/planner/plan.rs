//! Intermediate data of one planning pass.

use crate::collections::FastMap;
use crate::model::ids::ExecutorId;
use crate::model::incarnation::Incarnation;
use crate::model::message::{AvoidCause, Claim, Recall};

/// Slots of an executor that no issuer holds.
#[derive(Clone, Copy, Debug)]
pub struct FreeSlots {
    pub executor: ExecutorId,
    pub speed: f64,
    pub slots: u32,
    /// Whether the executor is granted for one task at a time because it is suspected of failing.
    pub one_at_a_time: bool,
}

/// A claim of an issuer and the slots that the plan allots to it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedClaim {
    pub issuer: usize,
    pub claim: Claim,
    pub target: u32,
}

/// The slots that an issuer holds, should hold and is granted in this plan.
#[derive(Debug)]
pub struct PlannedIssuer {
    pub id: Incarnation,
    pub held: u32,
    pub target: u32,
    pub recall: Recall,
    pub outstanding_recall: Recall,
    /// Whether the last grant to this issuer is younger than the policy's `grant_interval`.
    pub recently_granted: bool,
    /// Slots that waiting tasks of the fastest speed class need.
    pub fast_slots_needed: u32,
    /// Slots held or granted, by executor.
    pub holdings: FastMap<ExecutorId, u32>,
    pub avoid: FastMap<ExecutorId, AvoidCause>,
    pub grants: FastMap<ExecutorId, u16>,
}

impl PlannedIssuer {
    /// Returns whether the issuer can use slots of an executor, which may be on probation.
    pub fn can_use(&self, executor: ExecutorId) -> bool {
        matches!(
            self.avoid.get(&executor),
            None | Some(AvoidCause::Probation)
        )
    }
}
