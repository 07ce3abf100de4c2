//! What the ends of runs mean for their jobs.

use super::runner;
use crate::guarded::model::answer::Answer;
use crate::guarded::model::reply::RunEnd;
use crate::guarded::tables::runner_job::TaskState;
use crate::guarded::tables::worker::RunState;
use crate::guarded::world::{Cx, RunOver, World};
use std::time::Duration;

/// Weight of a new observation of the mean run time.
const MEAN_GAIN: f64 = 0.02;

/// Takes the runs that are over into the state of their jobs.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    while let Some(over) = world.runs_over.pop() {
        learn(world, cx, &over);
        take_end(world, cx, &over);
    }
}

fn learn(world: &mut World, cx: &Cx<'_>, over: &RunOver) {
    let Some(row) = world.workers.get_mut(&over.worker) else {
        return;
    };
    match (over.end, over.run.state) {
        (Some(RunEnd::Done), RunState::Running(since)) => {
            let actual = cx.now.since(since);
            let kind = row.entry.kind().cloned();
            let expected = world.estimator.predict(over.run.estimate, kind.as_ref());
            row.health.succeeded(cx.now, expected, actual);
            world
                .estimator
                .learn(kind.as_ref(), over.run.estimate, actual);
            world.mean_run_ms += MEAN_GAIN * (actual.as_secs_f64() * 1e3 - world.mean_run_ms);
        }
        (Some(RunEnd::Failed), _) if row.health.failed(cx.now) => {
            world.stats.ejections += 1;
            tracing::warn!(
                worker = %over.worker,
                failures = row.health.failures,
                "worker set aside after failures"
            );
        }
        _ => {}
    }
}

fn take_end(world: &mut World, cx: &mut Cx<'_>, over: &RunOver) {
    let id = over.run.id.task;
    let Some(job) = world.jobs.get_mut(&id.job) else {
        return;
    };
    let max_attempts = job.job.terms.max_attempts.max(1);
    let Some(task) = job.task_mut(id) else {
        return;
    };
    let was_running = task.state == TaskState::Active(over.worker);
    // The run may belong to an earlier submission of the same job.
    if !was_running || task.last_run != over.run.id.number {
        return;
    }
    match over.end {
        Some(RunEnd::Done) => {
            task.state = TaskState::Done;
            job.open[id.step as usize] -= 1;
            if job.is_complete() {
                runner::finish(world, cx, id.job, Answer::Completed);
            }
        }
        Some(RunEnd::Failed) => {
            task.failures += 1;
            task.avoid = Some(over.worker);
            task.state = TaskState::Waiting;
            if task.failures >= max_attempts {
                tracing::info!(job = %id.job, run = %over.run.id, worker = %over.worker,
                    failures = max_attempts, "a task has failed for good");
                runner::finish(world, cx, id.job, Answer::Failed);
            }
        }
        end => {
            if over.run.ordered + Duration::from_millis(1) < cx.now && end.is_some() {
                tracing::info!(run = %over.run.id, worker = %over.worker, ?end,
                    "a run ended without its task's fault; the task starts again");
            }
            task.state = TaskState::Waiting;
        }
    }
}
