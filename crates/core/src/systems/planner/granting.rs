//! Assignment of free slots to claims.

use super::plan::{FreeSlots, PlannedClaim, PlannedIssuer};
use crate::model::message::{SPEED_CLASSES, SlotsBySpeedClass};
use std::time::Duration;

/// Number of the fastest speed classes whose slots are granted at once, without waiting for
/// `grant_interval`.
const IMMEDIATE_GRANT_CLASSES: usize = 2;
/// One in this many running tasks of a job is expected to end before a grant could be used. Its
/// slots then serve waiting tasks of the job.
const ENDING_TASKS_DIVISOR: u32 = 8;
/// Smoothing factor of the mean time that claims wait for the fastest slots.
const FAST_WAIT_SMOOTHING: f64 = 0.05;

/// Grants free slots to issuers that hold fewer than the plan allots to them.
#[derive(Debug)]
pub struct GrantAllocator<'a> {
    pub free: &'a mut Vec<FreeSlots>,
    pub top_speed: f64,
    /// Mean time that claims of the fastest speed class waited for a slot.
    pub fast_slot_wait: Duration,
    /// Slots by speed class that the plan allots to claims but that are not free.
    pub unmet: SlotsBySpeedClass,
    /// Whether grants were postponed so that several slots go out in one message.
    pub deferred: bool,
}

impl GrantAllocator<'_> {
    /// Grants slots to the claims in the given order.
    pub fn allocate(&mut self, claims: &[PlannedClaim], issuers: &mut [PlannedIssuer]) {
        for planned in claims {
            let waiting = planned.target.saturating_sub(planned.claim.running);
            let issuer = &mut issuers[planned.issuer];
            let mut missing = issuer.target.saturating_sub(issuer.held).min(waiting);
            for class in 0..SPEED_CLASSES {
                if class == IMMEDIATE_GRANT_CLASSES {
                    // The job's own slots are about to become free for that many of its waiting
                    // tasks.
                    missing = missing.saturating_sub(planned.claim.running / ENDING_TASKS_DIVISOR);
                }
                let wanted = planned.claim.needs.0[class].min(missing);
                if wanted > 0 && issuer.recently_granted && class >= IMMEDIATE_GRANT_CLASSES {
                    self.deferred = true;
                    break;
                }
                let granted = self.grant_class(planned, class, wanted, issuer);
                missing = missing.saturating_sub(granted);
                self.unmet.0[class] += wanted.saturating_sub(granted);
            }
        }
    }

    /// Grants up to `wanted` slots for tasks of one speed class. Returns the number of granted
    /// slots.
    fn grant_class(
        &mut self,
        planned: &PlannedClaim,
        class: usize,
        wanted: u32,
        issuer: &mut PlannedIssuer,
    ) -> u32 {
        let task_slots = u32::from(planned.claim.max_task_slots.max(1));
        let speed = SlotsBySpeedClass::min_speed_fraction(class) * self.top_speed;
        let mut granted = 0;
        while granted < wanted {
            let Some(position) = find_free_slots(self.free, issuer, speed, task_slots) else {
                withhold_largest(self.free, task_slots);
                break;
            };
            let found_speed = self.free[position].speed;
            if found_speed < speed
                && !planned
                    .claim
                    .accepts_speed(class, found_speed, self.fast_slot_wait)
            {
                break;
            }
            if class == 0 && granted == 0 {
                self.update_fast_slot_wait(planned.claim.waited);
            }
            granted += grant_slots(self.free, issuer, position, task_slots);
        }
        granted
    }

    fn update_fast_slot_wait(&mut self, waited: Duration) {
        let mean = self.fast_slot_wait.as_secs_f64();
        let next = mean + FAST_WAIT_SMOOTHING * (waited.as_secs_f64() - mean);
        self.fast_slot_wait = Duration::from_secs_f64(next.max(0.0));
    }
}

/// Returns the position of the slowest suitable executor of at least `speed`, or else of the
/// fastest suitable one. `free` is sorted by ascending speed.
fn find_free_slots(
    free: &[FreeSlots],
    issuer: &PlannedIssuer,
    speed: f64,
    task_slots: u32,
) -> Option<usize> {
    let fits = |slots: &FreeSlots| slots.slots >= task_slots && issuer.can_use(slots.executor);
    let enough = free
        .iter()
        .position(|slots| slots.speed >= speed && fits(slots));
    enough.or_else(|| free.iter().rposition(fits))
}

fn grant_slots(
    free: &mut Vec<FreeSlots>,
    issuer: &mut PlannedIssuer,
    position: usize,
    task_slots: u32,
) -> u32 {
    let slots = &mut free[position];
    slots.slots -= task_slots;
    issuer.held += task_slots;
    let granted = issuer.grants.entry(slots.executor).or_insert(0);
    *granted += u16::try_from(task_slots).unwrap_or(u16::MAX);
    if slots.slots == 0 || slots.one_at_a_time {
        free.remove(position);
    }
    task_slots
}

/// Withholds the executor with the most free slots from the rest of this pass, so that enough slots
/// become free there for a task that currently fits nowhere.
fn withhold_largest(free: &mut Vec<FreeSlots>, task_slots: u32) {
    if task_slots <= 1 {
        return;
    }
    let largest = free.iter().enumerate().max_by_key(|(_, slots)| slots.slots);
    if let Some((position, _)) = largest {
        free.remove(position);
    }
}
