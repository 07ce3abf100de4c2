//! Forecast of the waits of jobs from the room on the workers held here, once per sweep.

use super::cell_assignment::is_claimed;
use super::{containment, dispatch, evacuations};
use crate::guarded::forecast::{self, Demand, MAX_JOBS, Release, WorkerRoom};
use crate::guarded::model::ids::ClientJobId;
use crate::guarded::model::resources::Resources;
use crate::guarded::policy::ForecastMode;
use crate::guarded::tables::room::{Outlook, WaitObservation};
use crate::guarded::tables::runner_job::RunnerJob;
use crate::guarded::tables::worker::{Run, RunState, Worker};
use crate::guarded::world::World;
use crate::model::time::Time;
use std::time::Duration;

/// Time until a worker that is being acquired is usable.
const ACQUISITION_TIME: Duration = Duration::from_millis(50);
/// Minimum remaining run time as a share of the predicted one, for runs that take longer.
const MIN_LEFT_SHARE: f64 = 0.15;
/// Run time from which the factors of workers are derived.
const UNIT_RUN: Duration = Duration::from_secs(1);

/// Returns whether this VM makes forecasts.
pub fn is_on(world: &World) -> bool {
    world.policy.forecast == ForecastMode::Room
}

/// Makes a forecast for the jobs that wait here.
pub fn update(world: &mut World, now: Time) {
    if !is_on(world) || world.claimed_cells.is_empty() {
        return;
    }
    let (workers, releases) = collect_room(world, now);
    let ranked = dispatch::jobs_by_rank(world, now).into_iter();
    let jobs = ranked.filter_map(|(_, id)| world.jobs.get(&id));
    let jobs = jobs.filter(|job| !containment::is_contained(world, job.job.settings.queue));
    let jobs: Vec<&RunnerJob> = jobs.take(MAX_JOBS).collect();
    let demands: Vec<Demand<'_>> = jobs.iter().map(|job| demand(world, job)).collect();
    let made = forecast::forecast(&workers, &releases, &demands);
    let expected = jobs.iter().zip(made.jobs).map(|(job, expected)| {
        let correction = world.room.correction(job.job.settings.queue);
        (job.id(), expected.delayed_by(correction))
    });
    let expected = expected.collect();
    world.room.replace(now, expected, made.summary);
    note_first_forecasts(world, now);
}

/// Returns the room on the usable workers of the claimed cells, and its predicted releases.
fn collect_room(world: &World, now: Time) -> (Vec<WorkerRoom<'_>>, Vec<Release>) {
    let stale_after = world.policy.worker_stale_after * 2;
    let mut workers = Vec::new();
    let mut releases = Vec::new();
    for row in world.workers.values() {
        let is_usable =
            row.is_usable(now, stale_after) && !world.drains.contains(row.entry.id, row.boot);
        if !is_usable && !row.is_usable_soon(now) || !is_shared(world, row) {
            continue;
        }
        let worker = workers.len();
        let ends = row.runs.values().map(|run| Release {
            worker,
            after: time_left(world, now, run),
            amount: run.need,
        });
        releases.extend(ends);
        if !is_usable {
            releases.push(Release {
                worker,
                after: ACQUISITION_TIME,
                amount: row.free(),
            });
        }
        let unit = dispatch::predict_worker_time(world, now, row, UNIT_RUN, 1.0);
        workers.push(WorkerRoom {
            entry: &row.entry,
            free: if is_usable {
                row.free()
            } else {
                Resources::default()
            },
            run_time_factor: unit.as_secs_f64(),
        });
    }
    (workers, releases)
}

/// Returns whether a worker runs the tasks of all queues.
fn is_shared(world: &World, row: &Worker) -> bool {
    is_claimed(world, &row.entry)
        && row.exclusive_to.is_none()
        && row.reserved_for.is_none()
        && !evacuations::is_evacuated(world, row.entry.data_centre)
}

fn time_left(world: &World, now: Time, run: &Run) -> Duration {
    let since = match run.state {
        RunState::Starting => run.requested_at,
        RunState::Running(since) => since,
        RunState::Stopping(_) => return world.policy.stop_grace,
    };
    let left = run.predicted.saturating_sub(now.since(since));
    left.max(run.predicted.mul_f64(MIN_LEFT_SHARE))
}

/// Returns the demand of a job with waiting tasks. Of several steps that are due, the one of the
/// first waiting task counts for all.
fn demand<'a>(world: &World, job: &'a RunnerJob) -> Demand<'a> {
    let step = job.due_tasks().next().map_or(0, |task| task.id.step);
    let step = &job.job.steps[step as usize];
    let run_time = world.estimator.predict(step.estimate, None);
    let fastest = world.estimator.predict_fastest(step.estimate);
    Demand {
        upstream: job.job.settings.upstream,
        label: step.label.as_deref(),
        tasks: u32::try_from(job.due_tasks().count()).unwrap_or(u32::MAX),
        need: step.need,
        run_time,
        rest: job.work_left(&world.estimator).saturating_sub(fastest),
    }
}

/// Keeps the first forecast of each job, to compare it with the actual wait.
fn note_first_forecasts(world: &mut World, now: Time) {
    let World { room, jobs, .. } = world;
    for (id, expected) in &room.expected {
        if let Some(job) = jobs.get_mut(id)
            && job.first_forecast.is_none()
        {
            job.first_forecast = Some((now, expected.last_start));
        }
    }
}

/// Returns the outlook of a job; `None` if the forecast does not include it.
pub fn outlook(world: &World, now: Time, job: &RunnerJob) -> Option<Outlook> {
    let expected = world.room.expected.get(&job.id())?;
    (is_on(world) && world.room.made_at == now).then_some(Outlook {
        wait: expected.last_start,
        end: expected.earliest_end(),
    })
}

/// Logs the forecast for a job that is refused.
pub fn log_refusal(world: &World, job: &RunnerJob) {
    let Some(expected) = world.room.expected.get(&job.id()).filter(|_| is_on(world)) else {
        return;
    };
    tracing::info!(
        job = %job.id(),
        queue = %job.job.settings.queue,
        start_ms = expected.start.as_millis(),
        last_start_ms = expected.last_start.as_millis(),
        end_ms = expected.end.as_millis(),
        spread_ms = expected.spread.as_millis(),
        waiting = job.due_tasks().count(),
        "forecast for the refused job"
    );
}

/// Records the actual wait of a job whose tasks have all started.
pub fn observe_start(world: &mut World, now: Time, id: ClientJobId) {
    let Some(job) = world.jobs.get_mut(&id) else {
        return;
    };
    if job.due_tasks().next().is_some() {
        return;
    }
    let Some((made_at, forecast)) = job.first_forecast.take() else {
        return;
    };
    let observation = WaitObservation {
        queue: job.job.settings.queue,
        forecast,
        actual: now.since(made_at),
    };
    world.room.observe(observation);
}
