//! Handling of replies to starts.

use super::{leases, polls, starts_in_flight, stops};
use crate::guarded::action::{Action, Start};
use crate::guarded::model::ids::{RunId, WorkerId};
use crate::guarded::model::reply::StartReply;
use crate::guarded::tables::runner_job::TaskState;
use crate::guarded::tables::worker::{Hold, RunState};
use crate::guarded::world::{Cx, World};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of start requests for one run. A worker that answers none of them is probably
/// unhealthy, so the run is then stopped and its task starts elsewhere.
const MAX_START_REQUESTS: u32 = 3;
/// Time for which a worker that refused a start for lack of room counts as full.
const NO_ROOM_BACKOFF: Duration = Duration::from_millis(20);
/// Amount by which a task's next run number is raised after a worker knew a later run of the task.
const RUN_NUMBER_SKIP: u64 = 16;

/// Handles the reply to a start.
pub fn handle_reply(
    world: &mut World,
    cx: &mut Cx<'_>,
    worker: WorkerId,
    id: RunId,
    reply: StartReply,
) {
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    let Some(run) = row.runs.get_mut(&id.task).filter(|run| run.id == id) else {
        return;
    };
    if reply != StartReply::Silent && run.start_requests == 1 {
        let began = matches!(reply, StartReply::Started { .. });
        starts_in_flight::handle_answer(world, cx.now, worker, id, began);
    }
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    let Some(run) = row.runs.get_mut(&id.task) else {
        return;
    };
    match reply {
        StartReply::Started { clock_ms } => {
            run.is_confirmed = true;
            if run.state == RunState::Starting {
                run.state = RunState::Running(cx.now);
            }
            row.last_answer_at = cx.now;
            row.record_clock(cx.now, clock_ms);
        }
        StartReply::Silent => {
            world.stats.unanswered_requests += 1;
            world.stats.starts_unanswered += 1;
            starts_in_flight::record_unanswered(world, cx.now, worker, id);
            handle_unanswered(world, cx, worker, id);
        }
        StartReply::Fenced => {
            let token = run.token;
            polls::handle_fenced(world, cx.now, worker);
            starts_in_flight::rule_out_fenced(world, cx.now, worker, token);
        }
        StartReply::OtherBoot => polls::handle_replaced(world, cx, worker),
        StartReply::NoRoom
        | StartReply::Late
        | StartReply::OldRun
        | StartReply::Unwell
        | StartReply::Invalid => handle_refusal(world, cx, worker, id, reply),
    }
}

/// Handles a refused start. The run does not exist, unless an earlier request for it was carried
/// out after all; then it is stopped.
fn handle_refusal(world: &mut World, cx: &Cx<'_>, worker: WorkerId, id: RunId, reply: StartReply) {
    world.stats.starts_refused += 1;
    tracing::debug!(%worker, run = %id, ?reply, "worker refused a start");
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    match reply {
        StartReply::NoRoom => row.full_until = cx.now + NO_ROOM_BACKOFF,
        StartReply::Unwell if row.health.record_failure(cx.now) => world.stats.ejections += 1,
        _ => {}
    }
    if row
        .runs
        .get(&id.task)
        .is_some_and(|run| run.start_requests > 1)
    {
        stops::request(world, cx, worker, id);
        return;
    }
    if reply == StartReply::OldRun {
        skip_run_numbers(world, id);
    }
    world.end_run(worker, id.task, None);
}

fn skip_run_numbers(world: &mut World, id: RunId) {
    let job = world.jobs.get_mut(&id.task.job);
    if let Some(task) = job.and_then(|job| job.task_mut(id.task)) {
        task.next_run += RUN_NUMBER_SKIP;
    }
}

/// Handles an unanswered start by sending it again. The worker recognises the run if the first
/// request was carried out.
fn handle_unanswered(world: &mut World, cx: &mut Cx<'_>, worker: WorkerId, id: RunId) {
    let policy = world.policy;
    let Some(row) = world.workers.get(&worker) else {
        return;
    };
    let held = row.hold == Hold::Held;
    let is_responsive = cx.now.since(row.last_answer_at) < policy.worker_stale_after;
    let lease_end_ms = if is_responsive {
        leases::renew(world, cx.now, worker)
    } else {
        None
    };
    let Some(row) = world.workers.get_mut(&worker) else {
        return;
    };
    let (token, address) = (row.token, row.entry.address);
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
        (Some(payload), Some(lease_end_ms)) if held && run.start_requests < MAX_START_REQUESTS => {
            run.start_requests += 1;
            cx.emit(Action::Start(Start {
                worker,
                address,
                run: id,
                payload,
                token,
                lease_end_ms,
            }));
        }
        _ => stops::request(world, cx, worker, id),
    }
}
