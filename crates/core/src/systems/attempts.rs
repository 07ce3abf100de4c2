//! Handling of the results of attempts.

use super::{jobs, usage};
use crate::model::ids::{AttemptId, ExecutorId};
use crate::model::outcome::FailureReason;
use crate::model::request::{NotStarted, StartReply};
use crate::model::time::Time;
use crate::tables::attempt_table::Attempt;
use crate::tables::executor_table::Health;
use crate::world::{Cx, World};
use std::sync::Arc;
use std::time::Duration;

/// A failure within the expected run time divided by this counts as a fast failure.
const FAST_FAILURE_DIVISOR: u32 = 10;

/// Handles the end of an attempt. Ignores a late reply to an attempt that already counts as lost.
pub fn handle_reply(world: &mut World, cx: &mut Cx<'_>, id: AttemptId, reply: StartReply) {
    let Some(attempt) = world.attempts.remove(id) else {
        return;
    };
    free_slots(world, cx.now, &attempt);
    match reply {
        StartReply::Done { result, slot_time } => {
            handle_done(world, cx, id, &attempt, result, slot_time);
        }
        StartReply::Failed { slot_time, aborted } => {
            handle_failed(world, cx, id, &attempt, slot_time, aborted);
        }
        StartReply::NotStarted(reason) => handle_not_started(world, cx, id, &attempt, reason),
        StartReply::Lost => handle_lost(world, cx, id, &attempt),
    }
    jobs::update_ready_index(world, attempt.job);
}

/// Treats an attempt that exceeded its timeout as lost.
pub fn handle_timeout(world: &mut World, cx: &mut Cx<'_>, id: AttemptId) {
    handle_reply(world, cx, id, StartReply::Lost);
}

fn free_slots(world: &mut World, now: Time, attempt: &Attempt) {
    if let Some(row) = world.executors.get_mut(attempt.executor) {
        row.free_slots(attempt.slots, now);
    }
    if let Some(running) = world.running_slots.get_mut(&attempt.customer) {
        *running = running.saturating_sub(u32::from(attempt.slots));
    }
}

fn handle_done(
    world: &mut World,
    cx: &mut Cx<'_>,
    id: AttemptId,
    attempt: &Attempt,
    result: Arc<str>,
    slot_time: Duration,
) {
    world.usage.add_settled(attempt.customer, slot_time);
    update_estimates(world, attempt, slot_time);
    let Some(job) = world.jobs.get_mut(attempt.job) else {
        return;
    };
    if job.is_running_as(attempt.index, id) {
        job.finish_task(attempt.index, result);
        jobs::complete_if_done(world, cx, attempt.job);
    }
}

fn update_estimates(world: &mut World, attempt: &Attempt, slot_time: Duration) {
    let observed = slot_time / u32::from(attempt.slots.max(1));
    let weight = world.policy.speed_update_weight;
    let Some(row) = world.executors.get_mut(attempt.executor) else {
        return;
    };
    row.record_success();
    let speed = row.speed();
    if world.estimator.has_enough_observations(&attempt.kind) {
        row.update_speed(attempt.estimate.div_f64(speed), observed, weight);
    }
    let scaled = observed.mul_f64(speed);
    world
        .estimator
        .learn(&attempt.kind, attempt.declared, attempt.bias, scaled);
}

fn handle_failed(
    world: &mut World,
    cx: &mut Cx<'_>,
    id: AttemptId,
    attempt: &Attempt,
    slot_time: Duration,
    aborted: bool,
) {
    world.usage.add_settled(attempt.customer, slot_time);
    if aborted {
        return;
    }
    let policy = &world.policy;
    if let Some(row) = world.executors.get_mut(attempt.executor) {
        let was_eligible = !matches!(row.health, Health::Ejected { .. });
        let expected = attempt.estimate.div_f64(row.speed());
        let is_fast = slot_time < expected / FAST_FAILURE_DIVISOR;
        row.record_failure(cx.now, is_fast, policy);
        if was_eligible && matches!(row.health, Health::Ejected { .. }) {
            world.counters.ejections += 1;
        }
    }
    schedule_review(world, cx.now, attempt.executor);
    requeue_or_fail(world, cx, id, attempt, FailureReason::TaskFailed);
}

fn handle_lost(world: &mut World, cx: &mut Cx<'_>, id: AttemptId, attempt: &Attempt) {
    world.counters.lost += 1;
    usage::record_lost(world, cx.now, attempt);
    let policy = &world.policy;
    if let Some(row) = world.executors.get_mut(attempt.executor) {
        if !matches!(row.health, Health::Ejected { .. }) {
            row.eject(cx.now, policy);
            world.counters.ejections += 1;
        }
        row.held = row.held.min(row.in_use);
    }
    schedule_review(world, cx.now, attempt.executor);
    requeue_or_fail(world, cx, id, attempt, FailureReason::OutcomeLost);
}

fn requeue_or_fail(
    world: &mut World,
    cx: &mut Cx<'_>,
    id: AttemptId,
    attempt: &Attempt,
    reason: FailureReason,
) {
    let max_attempts = world.policy.max_attempts;
    let Some(job) = world.jobs.get_mut(attempt.job) else {
        return;
    };
    if !job.is_running_as(attempt.index, id) {
        return;
    }
    if job.can_retry(attempt.index, max_attempts) {
        job.requeue_task(attempt.index, true);
        return;
    }
    jobs::fail(world, cx, attempt.job, reason);
}

fn handle_not_started(
    world: &mut World,
    cx: &mut Cx<'_>,
    id: AttemptId,
    attempt: &Attempt,
    reason: NotStarted,
) {
    world.counters.not_started += 1;
    record_refusal(world, cx.now, attempt, reason);
    schedule_review(world, cx.now, attempt.executor);
    let Some(job) = world.jobs.get_mut(attempt.job) else {
        return;
    };
    if job.is_running_as(attempt.index, id) {
        job.requeue_task(attempt.index, false);
    }
}

fn record_refusal(world: &mut World, now: Time, attempt: &Attempt, reason: NotStarted) {
    let policy = &world.policy;
    let Some(row) = world.executors.get_mut(attempt.executor) else {
        return;
    };
    match reason {
        NotStarted::Busy => row.backoff_until = now + policy.busy_backoff,
        NotStarted::Leaving => row.leaving_until = now + policy.leaving_report_ttl,
        NotStarted::Unreachable => {
            if !matches!(row.health, Health::Ejected { .. }) {
                row.eject(now, policy);
                world.counters.ejections += 1;
            }
        }
    }
    row.held = row.held.saturating_sub(attempt.slots).max(row.in_use);
    world.issuer.needs_slots = true;
    world.issuer.changed = true;
}

/// Schedules a review of an executor that gets no work, at the time when it may get work again.
fn schedule_review(world: &mut World, now: Time, executor: ExecutorId) {
    let Some(row) = world.executors.get(executor) else {
        return;
    };
    let excluded_until = row.backoff_until.max(row.leaving_until);
    let until = match row.health {
        Health::Ejected { until } => until.max(excluded_until),
        Health::Trusted | Health::Probation => excluded_until,
    };
    if until > now {
        world
            .timers
            .schedule(until, crate::timers::Timer::ExecutorReview);
    }
}
