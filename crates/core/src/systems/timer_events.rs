//! Handling of expired timers.

use super::{attempts, demand, jobs, membership, planner, routing, shutdown, store, usage};
use crate::model::outcome::FailureReason;
use crate::timers::Timer;
use crate::world::{Cx, World};

/// Expired outcomes are removed at intervals of the retention time divided by this.
const RETENTION_SWEEP_DIVISOR: u32 = 20;

/// Calls the handler of an expired timer.
pub fn handle(world: &mut World, cx: &mut Cx<'_>, timer: Timer) {
    match timer {
        Timer::JobDeadline(counter) => {
            jobs::fail(world, cx, counter, FailureReason::DeadlineExceeded);
        }
        Timer::WaitTimeout(counter, key) => jobs::end_wait(world, cx, counter, key),
        Timer::AttemptTimeout(attempt) => attempts::handle_timeout(world, cx, attempt),
        Timer::ForwardTimeout(number) => routing::handle_timeout(world, cx, number),
        Timer::Heartbeat => {
            membership::broadcast_heartbeat(world, cx);
            cx.schedule_after(world, world.policy.heartbeat_interval, Timer::Heartbeat);
        }
        Timer::DispatchRetry => world.issuer.dispatch_retry_scheduled = false,
        Timer::IdleSlotCheck => world.issuer.idle_check_scheduled = false,
        Timer::DemandDue => world.issuer.demand_scheduled = false,
        Timer::DemandRefresh => {
            demand::refresh(world, cx);
            cx.schedule_after(
                world,
                world.policy.demand_refresh_interval,
                Timer::DemandRefresh,
            );
        }
        Timer::PlanDue => planner::run(world, cx),
        Timer::RetentionSweep => remove_expired_outcomes(world, cx),
        Timer::UsageWrite => {
            usage::write_if_changed(world, cx);
            cx.schedule_after(world, world.policy.usage_interval, Timer::UsageWrite);
        }
        Timer::StoreRetry(op) => store::retry(world, cx, op),
        Timer::StoreDeadline(op) => store::handle_deadline(world, cx, op),
        Timer::ExecutorReview => {
            let now = cx.now;
            world
                .executors
                .for_each_mut(|row| row.end_expired_ejection(now));
            world.issuer.changed = true;
        }
        Timer::HandoverTimeout => shutdown::handle_timeout(world),
    }
}

fn remove_expired_outcomes(world: &mut World, cx: &Cx<'_>) {
    let retention = world.policy.retention;
    world.jobs.remove_expired(cx.now, retention);
    world.archive.remove_expired(cx.now, retention);
    cx.schedule_after(
        world,
        retention / RETENTION_SWEEP_DIVISOR,
        Timer::RetentionSweep,
    );
}
