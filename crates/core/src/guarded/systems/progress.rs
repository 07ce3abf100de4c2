//! Applies ended runs to their jobs and to the statistics of their workers.

use super::{containment, crashes, runner, suspect_reports};
use crate::guarded::model::answer::Answer;
use crate::guarded::model::reply::RunEnd;
use crate::guarded::tables::runner_job::TaskState;
use crate::guarded::tables::worker::RunState;
use crate::guarded::world::{Cx, FinishedRun, World};
use std::time::Duration;

/// Weight of a new observation of the mean run time.
const MEAN_RUN_TIME_WEIGHT: f64 = 0.02;

/// Applies the runs that ended since the last tick.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    while let Some(finished) = world.finished_runs.pop() {
        update_statistics(world, cx, &finished);
        apply_end(world, cx, &finished);
    }
}

fn update_statistics(world: &mut World, cx: &Cx<'_>, finished: &FinishedRun) {
    if finished.end == Some(RunEnd::Done) {
        containment::record_success(world, finished.run.queue);
    }
    let Some(row) = world.workers.get_mut(&finished.worker) else {
        return;
    };
    match (finished.end, finished.run.state) {
        (Some(RunEnd::Done), RunState::Running(since)) => {
            let actual = cx.now.since(since);
            let kind = row.entry.kind().cloned();
            let expected = world
                .estimator
                .predict(finished.run.estimate, kind.as_ref());
            if row.is_cold(since) {
                row.health.failures = 0;
                world.estimator.record_cold(expected, actual);
            } else {
                row.health.record_success(cx.now, expected, actual);
                let estimate = finished.run.estimate;
                world.estimator.record(kind.as_ref(), estimate, actual);
            }
            world.mean_run_ms +=
                MEAN_RUN_TIME_WEIGHT * (actual.as_secs_f64() * 1e3 - world.mean_run_ms);
        }
        (Some(RunEnd::Failed), _) if row.health.record_failure(cx.now) => {
            world.stats.ejections += 1;
            tracing::warn!(
                worker = %finished.worker,
                failures = row.health.failures,
                "worker ejected after failures"
            );
        }
        _ => {}
    }
}

fn apply_end(world: &mut World, cx: &mut Cx<'_>, finished: &FinishedRun) {
    let id = finished.run.id.task;
    match finished.end {
        Some(RunEnd::Done) => suspect_reports::clear(world, id),
        Some(RunEnd::Failed) => suspect_reports::end_trial(world, id, finished.worker),
        _ => {}
    }
    let Some(job) = world.jobs.get_mut(&id.job) else {
        return;
    };
    let max_attempts = job.job.settings.max_attempts.max(1);
    let Some(task) = job.task_mut(id) else {
        return;
    };
    let was_running = task.state == TaskState::Active(finished.worker);
    // The run may belong to an earlier submission of the same job.
    if !was_running || task.last_run != finished.run.id.number {
        return;
    }
    match finished.end {
        Some(RunEnd::Done) => {
            task.state = TaskState::Done;
            job.unfinished[id.step as usize] -= 1;
            if job.is_complete() {
                runner::end_job(world, cx, id.job, Answer::Completed);
            }
        }
        Some(RunEnd::Failed) => {
            task.failures += 1;
            task.avoid = Some(finished.worker);
            task.state = TaskState::Waiting;
            if task.failures >= max_attempts {
                tracing::info!(job = %id.job, run = %finished.run.id, worker = %finished.worker,
                    failures = max_attempts, "task failed; no attempts are left");
                runner::end_job(world, cx, id.job, Answer::Failed);
            } else if world.suspects.get(id).is_some_and(|row| !row.is_pending) {
                crashes::judge_task(world, cx, id);
            }
        }
        end => {
            if finished.run.requested_at + Duration::from_millis(1) < cx.now && end.is_some() {
                tracing::info!(run = %finished.run.id, worker = %finished.worker, ?end,
                    "run ended without a failure of its task; the task will be restarted");
            }
            task.state = TaskState::Waiting;
        }
    }
}
