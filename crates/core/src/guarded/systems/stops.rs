//! Stops of runs.

use super::looks;
use crate::guarded::model::ids::{RunId, WorkerId};
use crate::guarded::model::reply::{RunEnd, StopReply};
use crate::guarded::order::Order;
use crate::guarded::tables::worker::{Hold, RunState};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Time after which a stop that was not answered is repeated.
const SILENT_STOP_RETRY: Duration = Duration::from_millis(120);

/// Marks a run as one that is to end, and leaves the order to [`run`].
pub fn request(world: &mut World, cx: &Cx<'_>, worker: WorkerId, id: RunId) {
    let row = world.workers.get_mut(&worker);
    let Some(run) = row.and_then(|row| row.runs.get_mut(&id.task)) else {
        return;
    };
    if matches!(run.state, RunState::Stopping { .. }) {
        return;
    }
    run.state = RunState::Stopping {
        ordered: cx.now,
        acked: None,
    };
    world.stops.push((worker, id));
}

/// Orders the stops that the other systems left.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    let stops = std::mem::take(&mut world.stops);
    for (worker, run) in stops {
        let Some(row) = world.workers.get(&worker) else {
            continue;
        };
        if !matches!(row.hold, Hold::Held | Hold::Taking) {
            continue;
        }
        world.stats.stops += 1;
        cx.order(Order::Stop {
            worker,
            run,
            token: row.token,
        });
    }
}

/// Takes in the reply to a stop. The run counts as there until the worker no longer lists it.
pub fn replied(world: &mut World, cx: &mut Cx<'_>, worker: WorkerId, id: RunId, reply: StopReply) {
    match reply {
        StopReply::Stopped => {
            let row = world.workers.get_mut(&worker);
            let run = row.and_then(|row| row.runs.get_mut(&id.task));
            if let Some(run) = run.filter(|run| run.id == id)
                && let RunState::Stopping { acked, .. } = &mut run.state
            {
                acked.get_or_insert(cx.now);
            }
        }
        StopReply::Fenced => looks::fenced(world, cx.now, worker),
        StopReply::OtherBoot => looks::replaced(world, cx.now, worker),
        StopReply::Silent => world.stats.silent_orders += 1,
    }
}

/// Repeats the stops that were not answered, as long as the runs may be there.
pub fn repeat_silent(world: &mut World, now: Time) {
    let held = world.workers.values_mut();
    for row in held.filter(|row| matches!(row.hold, Hold::Held | Hold::Taking)) {
        let worker = row.entry.id;
        for run in row.runs.values_mut() {
            if let RunState::Stopping {
                ordered,
                acked: None,
            } = &mut run.state
                && now.since(*ordered) > SILENT_STOP_RETRY
            {
                *ordered = now;
                world.stops.push((worker, run.id));
            }
        }
    }
}

/// Ends the runs of workers whose lease has lapsed for certain. A worker that was held is taken
/// over with a new token, so that no order that is still under way can start anything.
pub fn end_lapsed(world: &mut World, cx: &mut Cx<'_>) {
    let (silence, grace) = (world.policy.worker_silence, world.policy.stop_grace * 2);
    let lapsed: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| !row.runs.is_empty() && row.lease_lapsed(cx.now, grace))
        .filter(|row| row.hold != Hold::Held || cx.now.since(row.answered) > silence)
        .map(|row| row.entry.id)
        .collect();
    for id in lapsed {
        world.stats.lapses += 1;
        tracing::warn!(worker = %id, "the lease of a worker has lapsed; its runs are over");
        world.end_all_runs(id, RunEnd::Lapsed);
        if let Some(row) = world.workers.get(&id)
            && row.hold == Hold::Held
        {
            super::holding::begin_taking(world, cx, id);
        }
    }
}
