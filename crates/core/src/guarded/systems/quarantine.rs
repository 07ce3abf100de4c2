//! Which workers a suspect may start on: one that it has for itself, or shares with the tasks of its
//! queue if that is contained.

use super::{containment, evacuations, runner};
use crate::guarded::model::answer::{Answer, LossCause};
use crate::guarded::model::ids::{TaskId, WorkerId};
use crate::guarded::tables::runner_job::RunnerJob;
use crate::guarded::tables::suspects::Suspect;
use crate::guarded::tables::worker::{Run, RunState, Worker};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Part of the workers, as a divisor, that may have been lost recently for tasks that probably crash
/// their workers to be tried again.
const TRIAL_PART: usize = 8;
/// Number of workers that may have been lost recently in any case.
const MIN_TRIAL_LOSSES: usize = 2;
/// Time for which a lost worker counts. Longer than a worker takes to restart.
const RECENT_LOSS: Duration = Duration::from_secs(5);
/// Part of the workers that may be reserved for suspects that wait, as a divisor.
const RESERVED_PART: usize = 4;

/// Returns whether a task may start on a worker beside the runs there. A suspect runs alone, and not
/// on the boot of a worker that crashed under it.
pub fn admits(world: &World, now: Time, row: &Worker, task: TaskId) -> bool {
    let is_reserved = row.reserved_for.is_some_and(|other| other != task);
    let Some(suspect) = world.suspects.get(task) else {
        return !is_reserved;
    };
    let may_start = !suspect.is_pending
        && !suspect.is_given_up
        && (!suspect.is_likely() || may_try(world, now));
    let is_fresh = !suspect.crashed_boot(row.entry.id, row.boot);
    let may_share = row.exclusive_to.is_some() && suspect.crashes.len() == 1;
    may_start && !is_reserved && is_fresh && (row.runs.is_empty() || may_share)
}

/// Returns whether tasks that probably crash their workers may be tried again: only while few workers
/// have been lost.
pub fn may_try(world: &World, now: Time) -> bool {
    let is_recent = |at: Time| now.since(at) <= RECENT_LOSS;
    let rows = world.workers.values();
    let lost = rows
        .filter(|row| row.loss.is_some_and(|loss| is_recent(loss.at)))
        .count();
    lost <= (world.workers.len() / TRIAL_PART).max(MIN_TRIAL_LOSSES)
}

/// Ends the jobs of suspects that are not tried again, and reserves workers for those that wait, so
/// that the runs there end and no others start.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.has_reservations {
        release_unneeded(world);
    }
    if world.suspects.open_count() == 0 {
        return;
    }
    set_likely_aside(world, cx);
    reserve_workers(world, cx.now);
}

/// Ends the jobs of the suspects that probably crash their workers, while no more workers are to be
/// risked for such.
fn set_likely_aside(world: &mut World, cx: &mut Cx<'_>) {
    if may_try(world, cx.now) {
        return;
    }
    for task in waiting_suspects(world) {
        if world.suspects.get(task).is_some_and(Suspect::is_likely) {
            tracing::warn!(
                job = %task.job,
                step = task.step,
                index = task.index,
                "ending a job: a task of it probably crashed its worker, and others are being tried"
            );
            world.stats.set_aside += 1;
            runner::end_job(world, cx, task.job, Answer::Lost(LossCause::Suspected));
        }
    }
}

fn reserve_workers(world: &mut World, now: Time) {
    for task in waiting_suspects(world) {
        let reserved = world
            .workers
            .values()
            .filter(|row| row.reserved_for.is_some());
        if reserved.count() >= (world.workers.len() / RESERVED_PART).max(1) {
            return;
        }
        if let Some(worker) = choose(world, now, task)
            && let Some(row) = world.workers.get_mut(&worker)
        {
            row.reserved_for = Some(task);
            world.has_reservations = true;
        }
    }
}

/// Ends the reservations for tasks that neither wait for a worker nor run.
fn release_unneeded(world: &mut World) {
    let reserved = world
        .workers
        .values()
        .filter(|row| row.reserved_for.is_some());
    let stale = reserved.filter(|row| {
        let task = row.reserved_for.expect("a reserved worker");
        !row.runs.contains_key(&task) && !is_waiting(world, task)
    });
    let stale: Vec<WorkerId> = stale.map(|row| row.entry.id).collect();
    for id in stale {
        if let Some(row) = world.workers.get_mut(&id) {
            row.reserved_for = None;
        }
    }
    let mut rows = world.workers.values();
    world.has_reservations = rows.any(|row| row.reserved_for.is_some());
}

fn is_waiting(world: &World, task: TaskId) -> bool {
    if world.starts_in_flight.is_open(task) {
        return false;
    }
    let job = world.jobs.get(&task.job);
    let mut tasks = job.into_iter().flat_map(RunnerJob::due_tasks);
    tasks.any(|row| row.id == task)
}

/// Returns the suspects that wait for a worker and have none reserved.
fn waiting_suspects(world: &World) -> Vec<TaskId> {
    let open = world.suspects.open();
    let judged = open.filter(|(_, row)| !row.is_pending);
    let waiting = judged.map(|(task, _)| task);
    let waiting = waiting.filter(|&task| is_waiting(world, task));
    let has_none = |task: &TaskId| {
        let mut rows = world.workers.values();
        !rows.any(|row| row.reserved_for == Some(*task))
    };
    waiting.filter(has_none).collect()
}

/// Returns the worker that will be idle first of those that the task may run on.
fn choose(world: &World, now: Time, task: TaskId) -> Option<WorkerId> {
    let job = world.jobs.get(&task.job)?;
    let step = job.job.steps.get(task.step as usize)?;
    let suspect = world.suspects.get(task)?;
    let rows = world.workers.values().filter(|row| {
        row.entry.upstream == job.job.settings.upstream
            && row.is_usable(now, world.policy.worker_stale_after)
            && !world.drains.contains(row.entry.id, row.boot)
            && evacuations::admits(world, now, &row.entry, job)
            && row.reserved_for.is_none()
            && row
                .exclusive_to
                .is_none_or(|queue| queue == job.job.settings.queue)
            && !containment::is_contained(world, job.job.settings.queue)
            && row.entry.capacity.can_fit(&step.need)
            && !suspect.crashed_boot(row.entry.id, row.boot)
            && step
                .label
                .as_ref()
                .is_none_or(|label| row.entry.has_label(label))
    });
    let first = rows.min_by_key(|row| row.runs.values().map(predicted_end).max());
    first.map(|row| row.entry.id)
}

fn predicted_end(run: &Run) -> Time {
    let since = match run.state {
        RunState::Running(since) => since,
        RunState::Starting | RunState::Stopping(_) => run.requested_at,
    };
    since + run.predicted
}
