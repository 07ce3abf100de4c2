//! Timers that are due.

use super::{closing, demand, jobs, membership, planner, routing, starts, store, usage};
use crate::model::outcome::FailureReason;
use crate::timers::Timer;
use crate::world::{Cx, World};

/// Divisor of the retention time that gives the interval at which old outcomes are forgotten.
const RETENTION_STEPS: u32 = 20;

/// Tells the subscriber of a timer that its time has come.
pub fn fire(world: &mut World, cx: &mut Cx<'_>, timer: Timer) {
    match timer {
        Timer::JobDeadline(counter) => {
            jobs::fail(world, cx, counter, FailureReason::DeadlineExceeded);
        }
        Timer::WaitEnds(counter, key) => jobs::end_wait(world, cx, counter, key),
        Timer::AttemptTimeout(attempt) => starts::timed_out(world, cx, attempt),
        Timer::ForwardTimeout(number) => routing::timed_out(world, cx, number),
        Timer::Heartbeat => {
            membership::beat(world, cx);
            cx.subscribe(world, world.policy.heartbeat_interval, Timer::Heartbeat);
        }
        Timer::DispatchRetry => world.issuer.retrying = false,
        Timer::LingerCheck => world.issuer.lingering = false,
        Timer::DemandDue => world.issuer.scheduled = false,
        Timer::DemandRefresh => {
            demand::refresh(world, cx);
            cx.subscribe(world, world.policy.demand_refresh, Timer::DemandRefresh);
        }
        Timer::PlanDue => planner::run(world, cx),
        Timer::Retention => forget_old(world, cx),
        Timer::UsageWrite => {
            usage::write_if_changed(world, cx);
            cx.subscribe(world, world.policy.usage_interval, Timer::UsageWrite);
        }
        Timer::StoreRetry(op) => store::retry(world, cx, op),
        Timer::StoreDeadline(op) => store::give_up(world, cx, op),
        Timer::ExecutorReview => {
            let now = cx.now;
            world.executors.for_each_mut(|row| row.review(now));
            world.issuer.changed = true;
        }
        Timer::HandoverTimeout => closing::timed_out(world),
    }
}

fn forget_old(world: &mut World, cx: &Cx<'_>) {
    let retention = world.policy.retention;
    world.jobs.forget_old(cx.now, retention);
    world.archive.forget_old(cx.now, retention);
    cx.subscribe(world, retention / RETENTION_STEPS, Timer::Retention);
}
