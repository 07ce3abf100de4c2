//! Replies to starts.

use super::{looks, stops};
use crate::guarded::model::ids::{RunId, WorkerId};
use crate::guarded::model::reply::StartReply;
use crate::guarded::order::{Order, Start};
use crate::guarded::tables::runner_job::TaskState;
use crate::guarded::tables::worker::{Hold, RunState};
use crate::guarded::world::{Cx, World};
use std::sync::Arc;
use std::time::Duration;

/// Orders to start one run at most; a worker that answers none of them is not well.
const MAX_TRIES: u32 = 3;
/// Time for which a worker that had no room is taken as full.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(20);
/// By how much a run's number rises after a worker knew a later one.
const RUN_SKIP: u64 = 16;

/// Takes in the reply to a start.
pub fn replied(world: &mut World, cx: &mut Cx<'_>, worker: WorkerId, id: RunId, reply: StartReply) {
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    let Some(run) = row.runs.get_mut(&id.task).filter(|run| run.id == id) else {
        return;
    };
    match reply {
        StartReply::Started { clock_ms } => {
            if run.state == RunState::Starting {
                run.state = RunState::Running(cx.now);
            }
            row.answered = cx.now;
            row.read_clock(cx.now, clock_ms);
        }
        StartReply::Silent => {
            world.stats.silent_orders += 1;
            silent(world, cx, worker, id);
        }
        StartReply::Fenced => looks::fenced(world, cx.now, worker),
        StartReply::OtherBoot => looks::replaced(world, cx.now, worker),
        StartReply::NoRoom
        | StartReply::Late
        | StartReply::OldRun
        | StartReply::Unwell
        | StartReply::Invalid => refused(world, cx, worker, id, reply),
    }
}

/// The run is not there for certain, unless an earlier order of it was carried out after all.
fn refused(world: &mut World, cx: &Cx<'_>, worker: WorkerId, id: RunId, reply: StartReply) {
    world.stats.starts_refused += 1;
    tracing::debug!(%worker, run = %id, ?reply, "start refused");
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    match reply {
        StartReply::NoRoom => row.full_until = cx.now + NO_ROOM_PAUSE,
        StartReply::Unwell if row.health.failed(cx.now) => world.stats.ejections += 1,
        _ => {}
    }
    if row.runs.get(&id.task).is_some_and(|run| run.tries > 1) {
        stops::request(world, cx, worker, id);
        return;
    }
    if reply == StartReply::OldRun {
        skip_runs(world, id);
    }
    world.end_run(worker, id.task, None);
}

fn skip_runs(world: &mut World, id: RunId) {
    let job = world.jobs.get_mut(&id.task.job);
    if let Some(task) = job.and_then(|job| job.task_mut(id.task)) {
        task.next_run += RUN_SKIP;
    }
}

/// Sends the same run again: the worker recognises it if the first order was carried out.
fn silent(world: &mut World, cx: &mut Cx<'_>, worker: WorkerId, id: RunId) {
    let lease = world.policy.lease;
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    let held = row.hold == Hold::Held;
    let lease_end_ms = row.extend_lease(cx.now, lease);
    let token = row.token;
    let Some(run) = row.runs.get_mut(&id.task) else {
        return;
    };
    if run.state != RunState::Starting {
        return;
    }
    let payload = world
        .jobs
        .get(&id.task.job)
        .filter(|job| {
            let mut tasks = job.tasks.iter();
            tasks.any(|task| task.id == id.task && task.state == TaskState::Active(worker))
        })
        .map(|job| Arc::clone(&job.job.payload));
    match (payload, lease_end_ms) {
        (Some(payload), Some(lease_end_ms)) if held && run.tries < MAX_TRIES => {
            run.tries += 1;
            cx.order(Order::Start(Start {
                worker,
                run: id,
                payload,
                token,
                lease_end_ms,
            }));
        }
        _ => stops::request(world, cx, worker, id),
    }
}
