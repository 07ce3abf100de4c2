//! Which free slots go to which claims.

use super::entities::{FreeSlots, PlannedClaim, PlannedIssuer};
use crate::model::message::{SPEED_CLASSES, SpeedNeeds};
use std::time::Duration;

/// Speed classes whose slots are granted without delay.
const URGENT_CLASSES: usize = 2;
/// One of this many running tasks ends before a grant could be used.
const OWN_SERVICE: u32 = 8;
/// Weight of a new observation of the time that claims wait for the fastest slots.
const PATIENCE_GAIN: f64 = 0.05;

/// Grants free slots to the issuers of the claims that have fewer than the plan gives them.
#[derive(Debug)]
pub struct Granting<'a> {
    pub free: &'a mut Vec<FreeSlots>,
    pub top_speed: f64,
    /// Mean time that claims on the fastest slots waited for them.
    pub patience: Duration,
    /// Slots by speed class for which claims wait although the plan has them.
    pub lacking: SpeedNeeds,
    /// Whether slots are kept back to be granted with later ones in one message.
    pub deferred: bool,
}

impl Granting<'_> {
    /// Grants slots claim by claim.
    pub fn run(&mut self, claims: &[PlannedClaim], issuers: &mut [PlannedIssuer]) {
        for planned in claims {
            let waiting = planned.target.saturating_sub(planned.claim.running);
            let issuer = &mut issuers[planned.issuer];
            let mut missing = issuer.target.saturating_sub(issuer.held).min(waiting);
            for class in 0..SPEED_CLASSES {
                if class == URGENT_CLASSES {
                    // The job's own slots will serve that many in a moment.
                    missing = missing.saturating_sub(planned.claim.running / OWN_SERVICE);
                }
                let wanted = planned.claim.needs.0[class].min(missing);
                if wanted > 0 && issuer.recent && class >= URGENT_CLASSES {
                    self.deferred = true;
                    break;
                }
                let granted = self.grant_class(planned, class, wanted, issuer);
                missing = missing.saturating_sub(granted);
                self.lacking.0[class] += wanted.saturating_sub(granted);
            }
        }
    }

    /// Grants up to `wanted` slots for tasks of one speed class and returns how many it granted.
    fn grant_class(
        &mut self,
        planned: &PlannedClaim,
        class: usize,
        wanted: u32,
        issuer: &mut PlannedIssuer,
    ) -> u32 {
        let width = u32::from(planned.claim.width.max(1));
        let speed = SpeedNeeds::fraction_of(class) * self.top_speed;
        let mut granted = 0;
        while granted < wanted {
            let Some(position) = choose_free(self.free, issuer, speed, width) else {
                reserve(self.free, width);
                break;
            };
            let found = self.free[position].speed;
            if found < speed && !planned.claim.accepts(class, found, self.patience) {
                break;
            }
            if class == 0 && granted == 0 {
                self.note_wait(planned.claim.waited);
            }
            granted += take(self.free, issuer, position, width);
        }
        granted
    }

    fn note_wait(&mut self, waited: Duration) {
        let mean = self.patience.as_secs_f64();
        let next = mean + PATIENCE_GAIN * (waited.as_secs_f64() - mean);
        self.patience = Duration::from_secs_f64(next.max(0.0));
    }
}

/// Chooses the slowest free executor of at least `speed`, or else the fastest.
fn choose_free(
    free: &[FreeSlots],
    issuer: &PlannedIssuer,
    speed: f64,
    width: u32,
) -> Option<usize> {
    let fits = |slots: &FreeSlots| slots.slots >= width && issuer.takes(slots.executor);
    let enough = free
        .iter()
        .position(|slots| slots.speed >= speed && fits(slots));
    enough.or_else(|| free.iter().rposition(fits))
}

fn take(free: &mut Vec<FreeSlots>, issuer: &mut PlannedIssuer, position: usize, width: u32) -> u32 {
    let slots = &mut free[position];
    slots.slots -= width;
    issuer.held += width;
    let granted = issuer.grants.entry(slots.executor).or_insert(0);
    *granted += u16::try_from(width).unwrap_or(u16::MAX);
    if slots.slots == 0 || slots.single {
        free.remove(position);
    }
    width
}

/// Keeps the executor with the most free slots for a task that is wider than what is free.
fn reserve(free: &mut Vec<FreeSlots>, width: u32) {
    if width <= 1 {
        return;
    }
    let widest = free.iter().enumerate().max_by_key(|(_, slots)| slots.slots);
    if let Some((position, _)) = widest {
        free.remove(position);
    }
}
