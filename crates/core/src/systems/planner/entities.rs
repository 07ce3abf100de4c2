//! What a plan is made of.

use crate::collections::FastMap;
use crate::model::ids::ExecutorId;
use crate::model::incarnation::Incarnation;
use crate::model::message::{AvoidCause, Claim, Recall};

/// Free slots of an executor.
#[derive(Clone, Copy, Debug)]
pub struct FreeSlots {
    pub executor: ExecutorId,
    pub speed: f64,
    pub slots: u32,
    /// Whether it gets one task only.
    pub single: bool,
}

/// A claim of an issuer, with what the plan gives it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedClaim {
    pub issuer: usize,
    pub claim: Claim,
    pub target: u32,
}

/// What an issuer has and gets.
#[derive(Debug)]
pub struct PlannedIssuer {
    pub id: Incarnation,
    pub held: u32,
    pub target: u32,
    pub recall: Recall,
    pub told_recall: Recall,
    /// Whether a grant was sent to it a moment ago.
    pub recent: bool,
    /// Waiting slots that need the fastest executors.
    pub fast_wanted: u32,
    /// Slots held, by executor.
    pub holdings: FastMap<ExecutorId, u32>,
    pub avoid: FastMap<ExecutorId, AvoidCause>,
    pub grants: FastMap<ExecutorId, u16>,
}

impl PlannedIssuer {
    /// Tells whether the issuer takes slots of an executor.
    pub fn takes(&self, executor: ExecutorId) -> bool {
        matches!(
            self.avoid.get(&executor),
            None | Some(AvoidCause::Probation)
        )
    }
}
