//! Stopping of runs, by request or by the expiry of a worker's lease.

use super::crashes;
use super::polls;
use super::starts_in_flight;
use crate::guarded::action::Action;
use crate::guarded::model::ids::{RunId, WorkerId};
use crate::guarded::model::reply::{RunEnd, StopReply};
use crate::guarded::tables::worker::{Hold, RunState, WorkerEnd};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Delay before an unacknowledged stop is sent again.
const UNACKED_STOP_RETRY: Duration = Duration::from_millis(120);

/// Marks a run as stopping. [`run`] sends the stop.
pub fn request(world: &mut World, cx: &Cx<'_>, worker: WorkerId, id: RunId) {
    let row = world.workers.get_mut(&worker);
    let Some(run) = row.and_then(|row| row.runs.get_mut(&id.task)) else {
        return;
    };
    if matches!(run.state, RunState::Stopping { .. }) {
        return;
    }
    run.state = RunState::Stopping {
        requested_at: cx.now,
        acked_at: None,
    };
    world.stops.push((worker, id));
}

/// Sends the stops that the other systems requested.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    let stops = std::mem::take(&mut world.stops);
    for (worker, run) in stops {
        let Some(row) = world.workers.get(&worker) else {
            continue;
        };
        if !matches!(row.hold, Hold::Held | Hold::Acquiring) {
            continue;
        }
        world.stats.stops += 1;
        cx.emit(Action::Stop {
            worker,
            run,
            token: row.token,
        });
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
    match reply {
        StopReply::Stopped => {
            let row = world.workers.get_mut(&worker);
            let run = row.and_then(|row| row.runs.get_mut(&id.task));
            if let Some(run) = run.filter(|run| run.id == id)
                && let RunState::Stopping { acked_at, .. } = &mut run.state
            {
                acked_at.get_or_insert(cx.now);
            }
        }
        StopReply::Fenced => polls::handle_fenced(world, cx.now, worker),
        StopReply::OtherBoot => polls::handle_replaced(world, cx, worker),
        StopReply::Silent => world.stats.unanswered_requests += 1,
    }
}

/// Repeats unacknowledged stops of runs that may still be present.
pub fn resend_unacked(world: &mut World, now: Time) {
    let held = world.workers.values_mut();
    for row in held.filter(|row| matches!(row.hold, Hold::Held | Hold::Acquiring)) {
        let worker = row.entry.id;
        for run in row.runs.values_mut() {
            if let RunState::Stopping {
                requested_at,
                acked_at: None,
            } = &mut run.state
                && now.since(*requested_at) > UNACKED_STOP_RETRY
            {
                *requested_at = now;
                world.stops.push((worker, run.id));
            }
        }
    }
}

/// Ends the runs of workers whose lease has certainly expired. A worker that this VM held is
/// acquired again with a new token, so that no start still in flight can take effect.
pub fn end_expired_leases(world: &mut World, cx: &mut Cx<'_>) {
    let (stale_after, grace) = (world.policy.worker_stale_after, world.policy.stop_grace * 2);
    let expired: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| !row.runs.is_empty() && row.is_lease_expired(cx.now, grace))
        .filter(|row| row.hold != Hold::Held || cx.now.since(row.last_answer_at) > stale_after)
        .map(|row| row.entry.id)
        .collect();
    for id in expired {
        world.stats.expired_leases += 1;
        tracing::warn!(worker = %id, "worker lease expired; its runs have ended");
        let held = world
            .workers
            .get(&id)
            .is_some_and(|row| row.hold == Hold::Held);
        if held {
            crashes::record_loss(world, cx, id, WorkerEnd::Silent, |_| false);
            starts_in_flight::handle_loss(world, cx.now, id);
        }
        world.end_all_runs(id, RunEnd::Lapsed);
        if held {
            super::holds::begin_acquisition(world, cx, id);
        }
    }
}
