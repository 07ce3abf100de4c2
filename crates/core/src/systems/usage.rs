//! Reports of the slot time that customers used.

use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::model::store::{StoreOp, UsageReport};
use crate::model::time::Time;
use crate::status::Phase;
use crate::tables::attempt_table::Attempt;
use crate::tables::store_op_table::StoreOpPurpose;
use crate::world::{Cx, World};
use std::time::Duration;

/// Records an upper bound of the slot time that a lost attempt has used until now.
pub fn record_lost(world: &mut World, now: Time, attempt: &Attempt) {
    let bound = slot_time_bound(now, attempt);
    world.usage.add_lost(attempt.customer, bound);
}

fn slot_time_bound(now: Time, attempt: &Attempt) -> Duration {
    now.since(attempt.started_at) * u32::from(attempt.slots)
}

/// Returns the cumulative usage report. Running attempts are included as unsettled, with an upper
/// bound of their slot time.
pub fn report(world: &World, now: Time, closed: bool) -> UsageReport {
    let mut outstanding: FastMap<CustomerId, Duration> = FastMap::default();
    for attempt in world.attempts.iter() {
        *outstanding.entry(attempt.customer).or_default() += slot_time_bound(now, attempt);
    }
    let lines = world.usage.lines(&outstanding);
    UsageReport {
        incarnation: world.me,
        closed,
        lines,
    }
}

/// Writes the report if it changed and no write is outstanding. No report follows the last one of a
/// graceful stop.
pub fn write_if_changed(world: &mut World, cx: &mut Cx<'_>) {
    let reporting = matches!(world.phase, Phase::Serving | Phase::Draining);
    if reporting && !world.store_ops.has_usage_write() && world.usage.take_changed() {
        write(world, cx, false);
    }
}

/// Writes the report to the store. `is_last` marks the last report of a graceful stop.
pub fn write(world: &mut World, cx: &mut Cx<'_>, is_last: bool) {
    let report = report(world, cx.now, is_last);
    let purpose = StoreOpPurpose::WriteUsage { is_last };
    super::store::submit(world, cx, purpose, StoreOp::WriteUsage(report));
}
