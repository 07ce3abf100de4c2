//! Stopping of runs, by request or by the expiry of a worker's lease.

use super::crashes;
use super::polls;
use super::run_list::RunList;
use super::starts_in_flight;
use crate::guarded::action::{Action, Stop as StopRequest};
use crate::guarded::model::ids::{RunId, WorkerId};
use crate::guarded::model::reply::{RunEnd, StopReply};
use crate::guarded::tables::stop::Stop;
use crate::guarded::tables::worker::{Hold, RunState, Worker, WorkerEnd};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Delay before an unacknowledged stop is sent again.
const UNACKED_STOP_RETRY: Duration = Duration::from_millis(120);
/// Age of a stop without effect that is reported. Less is normal if one try was lost.
const OVERDUE_AFTER: Duration = Duration::from_millis(220);

/// Marks a run as stopping. [`run`] sends the stop.
pub fn request(world: &mut World, cx: &Cx<'_>, worker: WorkerId, id: RunId) {
    let row = world.workers.get_mut(&worker);
    let Some(run) = row.and_then(|row| row.runs.get_mut(&id.task)) else {
        return;
    };
    if matches!(run.state, RunState::Stopping(_)) {
        return;
    }
    run.state = RunState::Stopping(Stop::new(cx.now));
    world.stops.push((worker, id));
}

/// Sends the stops that the other systems requested.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    let stops = std::mem::take(&mut world.stops);
    for (worker, run) in stops {
        let Some(row) = world.workers.get_mut(&worker) else {
            continue;
        };
        if !matches!(row.hold, Hold::Held | Hold::Acquiring) {
            continue;
        }
        if let Some(stop) = row.stop_mut(run) {
            // It may have been requested more than once since the last tick.
            if stop.tried_at == Some(cx.now) {
                continue;
            }
            stop.record_try(cx.now);
        }
        world.stats.stops += 1;
        cx.emit(Action::Stop(StopRequest {
            worker,
            address: row.entry.address,
            run,
            token: row.token,
        }));
    }
}

/// Handles the reply to a stop. The run counts as present until the worker no longer lists it.
pub fn handle_reply(
    world: &mut World,
    cx: &mut Cx<'_>,
    worker: WorkerId,
    id: RunId,
    reply: StopReply,
) {
    let row = world.workers.get_mut(&worker);
    let stop = row.and_then(|row| row.stop_mut(id));
    let is_tracked = stop.is_some();
    if let Some(stop) = stop {
        stop.record_reply(cx.now, reply);
    }
    match reply {
        StopReply::Stopped => {}
        StopReply::Fenced => polls::handle_fenced(world, cx.now, worker),
        // The address may have changed since the run ended.
        StopReply::OtherBoot if !is_tracked => {}
        StopReply::OtherBoot => polls::handle_replaced(world, cx, worker),
        StopReply::Refused => handle_refusal(world, cx.now, worker),
        StopReply::Unanswered => world.stats.unanswered_requests += 1,
    }
}

/// Handles a refused stop: the worker is unhealthy. While it is ejected, the repeats of the stop say
/// nothing new.
fn handle_refusal(world: &mut World, now: Time, worker: WorkerId) {
    world.stats.stops_refused += 1;
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    if row.health.ejected_until <= now && row.health.record_failure(now) {
        world.stats.ejections += 1;
        tracing::warn!(
            %worker,
            failures = row.health.failures,
            "worker ejected after it refused stops"
        );
    }
}

/// Repeats unacknowledged stops of runs that may still be present.
pub fn resend_unacked(world: &mut World, now: Time) {
    let held = world.workers.values_mut();
    for row in held.filter(|row| matches!(row.hold, Hold::Held | Hold::Acquiring)) {
        let worker = row.entry.id;
        let stops = row.stops();
        let due = stops.filter(|(_, stop)| stop.is_due(now, UNACKED_STOP_RETRY));
        world.stops.extend(due.map(|(run, _)| (worker, run)));
    }
}

/// Reports stops that have had no effect for too long, once each, and the leases that are not
/// renewed for them.
pub fn report_overdue(world: &mut World, now: Time) {
    let stale_after = world.policy.worker_stale_after;
    let held = world.workers.values_mut();
    for row in held.filter(|row| matches!(row.hold, Hold::Held | Hold::Acquiring)) {
        world.stats.stops_overdue += report_stops(row, now);
        // The lease of a silent worker is left to expire in any case.
        let is_renewed = row.hold == Hold::Held && now.since(row.last_answer_at) < stale_after;
        world.stats.expired_leases += end_withholding(row, now);
        if is_renewed && row.withheld_since.is_none() && has_overdue_stop(row, now) {
            row.withheld_since = Some(now);
            world.stats.leases_withheld += 1;
            tracing::warn!(
                worker = %row.entry.id,
                token = row.token.0,
                lease_left_ms = row.lease_left(now).as_millis(),
                runs = %RunList { now, runs: &row.runs },
                "letting the lease of a worker expire: a stop there has no effect"
            );
        }
    }
}

/// Reports the overdue stops of a worker. Returns their number.
fn report_stops(row: &mut Worker, now: Time) -> u64 {
    let (worker, boot, hold) = (row.entry.id, row.boot, row.hold);
    let lease_left = row.lease_left(now);
    let silent = now.since(row.last_answer_at);
    let mut count = 0;
    for (run, stop) in row.stops_mut() {
        if stop.is_reported || stop.tries == 0 || !is_overdue(stop, now) {
            continue;
        }
        stop.is_reported = true;
        count += 1;
        tracing::warn!(
            %run,
            %worker,
            boot,
            ?hold,
            age_ms = now.since(stop.requested_at).as_millis(),
            tries = stop.tries,
            last_reply = ?stop.last_reply,
            outlived_ack = stop.has_outlived_ack,
            lease_left_ms = lease_left.as_millis(),
            silent_ms = silent.as_millis(),
            "a stop has no effect"
        );
    }
    count
}

fn has_overdue_stop(row: &Worker, now: Time) -> bool {
    row.stops().any(|(_, stop)| is_overdue(stop, now))
}

fn is_overdue(stop: &Stop, now: Time) -> bool {
    stop.forbids_lease() && now.since(stop.requested_at) > OVERDUE_AFTER
}

/// Lets a withheld lease be renewed again if every stop there has had its effect. Returns the number
/// of leases that lapsed meanwhile.
pub fn end_withholding(row: &mut Worker, now: Time) -> u64 {
    if !row.may_extend_lease() {
        return 0;
    }
    let Some(since) = row.withheld_since.take() else {
        return 0;
    };
    let lease_left = row.lease_left(now);
    let has_lapsed = lease_left.is_zero();
    tracing::info!(
        worker = %row.entry.id,
        withheld_ms = now.since(since).as_millis(),
        lease_left_ms = lease_left.as_millis(),
        has_lapsed,
        "renewing the lease of a worker again"
    );
    u64::from(has_lapsed)
}

/// Ends the runs of workers whose lease has certainly expired, because they were silent or a stop had
/// no effect. A worker that this VM held is acquired again with a new token, so that no start still in
/// flight can take effect.
pub fn end_expired_leases(world: &mut World, cx: &mut Cx<'_>) {
    let (stale_after, grace) = (world.policy.worker_stale_after, world.policy.stop_grace * 2);
    let is_silent = |row: &Worker| cx.now.since(row.last_answer_at) > stale_after;
    let expired: Vec<(WorkerId, bool)> = world
        .workers
        .values()
        .filter(|row| !row.runs.is_empty() && row.is_lease_expired(cx.now, grace))
        .filter(|row| row.hold != Hold::Held || is_silent(row) || !row.may_extend_lease())
        .map(|row| (row.entry.id, is_silent(row)))
        .collect();
    for (id, was_silent) in expired {
        world.stats.expired_leases += 1;
        tracing::warn!(worker = %id, was_silent, "worker lease expired; its runs have ended");
        let Some(row) = world.workers.get_mut(&id) else {
            continue;
        };
        row.withheld_since = None;
        let held = row.hold == Hold::Held;
        if held && was_silent {
            crashes::record_loss(world, cx, id, WorkerEnd::Silent, |_| false);
            starts_in_flight::handle_loss(world, cx, id);
        }
        world.end_all_runs(id, RunEnd::Lapsed);
        if held {
            super::holds::begin_acquisition(world, cx, id);
        }
    }
}
