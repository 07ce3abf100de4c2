//! Periodic checks: jobs that can't end in time, runs that hang, and workers that left the
//! registry.

use super::{
    cell_assignment, containment, dispatch, evacuations, registrations, room, runner,
    starts_in_flight, stops,
};
use crate::collections::FastMap;
use crate::guarded::model::answer::{Answer, LossCause, RefusalCause};
use crate::guarded::model::cell::HolderLoad;
use crate::guarded::model::ids::{ClientJobId, QueueId, RunId, WorkerId};
use crate::guarded::policy::PEER_CHECK_INTERVAL;
use crate::guarded::tables::room::Outlook;
use crate::guarded::tables::runner_job::{RunnerJob, TaskState};
use crate::guarded::tables::worker::{Run, RunState};
use crate::guarded::world::{Cx, World};
use std::time::Duration;

/// Interval between sweeps while this VM only has jobs of its own clients.
const ENTRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between sweeps otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Factor on the predicted run time from which a run counts as hanging.
const HANG_FACTOR: f64 = 4.0;
/// Constant allowance on top of the factor.
const HANG_SLACK: Duration = Duration::from_millis(250);

/// Load of the workers of a contained queue, during a check of its jobs.
#[derive(Clone, Copy, Debug)]
struct ContainedLoad {
    load: HolderLoad,
    /// CPU of its jobs that go first, in thousandths of a core.
    ahead_milli: u64,
}

/// Returns the time until the next sweep.
pub fn interval(world: &World) -> Duration {
    let is_runner = world.topology.is_relay || !world.workers.is_empty() || !world.jobs.is_empty();
    let mut entries = world.entries.values();
    let has_cancels = world.cancellations.len() > 0;
    if is_runner || has_cancels || entries.any(|row| row.runner.is_none()) {
        PEER_CHECK_INTERVAL
    } else if !world.entries.is_empty() {
        ENTRY_INTERVAL
    } else {
        IDLE_INTERVAL
    }
}

/// Runs all checks.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    world.suspects.evict(cx.now);
    starts_in_flight::run(world, cx);
    refuse_late_jobs(world, cx);
    stop_hanging_runs(world, cx);
    registrations::remove_missing(world, cx.now);
    stops::resend_unacked(world, cx.now);
    stops::report_overdue(world, cx.now);
    stops::end_expired_leases(world, cx);
}

/// Refuses unstarted jobs that would end too late, and ends overdue jobs. Jobs are checked in
/// scheduling order, and each one that stays adds to the wait of those behind it.
fn refuse_late_jobs(world: &mut World, cx: &mut Cx<'_>) {
    let load = cell_assignment::own_load(world, cx.now);
    room::update(world, cx.now);
    let mut ahead_milli = 0;
    let mut contained: FastMap<QueueId, ContainedLoad> = FastMap::default();
    for (_, id) in dispatch::jobs_by_rank(world, cx.now) {
        let Some(job) = world.jobs.get(&id) else {
            continue;
        };
        let queue = job.job.settings.queue;
        let due_milli = job.due_milli();
        if containment::is_contained(world, queue) {
            let row = contained.entry(queue).or_insert_with(|| ContainedLoad {
                load: containment::load(world, cx.now, queue),
                ahead_milli: 0,
            });
            let wait = row.load.wait_behind(row.ahead_milli);
            let wait = wait.min(runner::MAX_CONTAINED_WAIT);
            let outlook = Outlook {
                wait,
                end: wait + job.work_left(&world.estimator),
            };
            match decide_outcome(world, cx, job, outlook) {
                Some(answer) => runner::end_job(world, cx, id, answer),
                None => row.ahead_milli += due_milli,
            }
            continue;
        }
        let wait = runner::wait_behind(load, ahead_milli);
        let outlook = room::outlook(world, cx.now, job).unwrap_or_else(|| Outlook {
            wait,
            end: wait + job.work_left(&world.estimator),
        });
        match decide_outcome(world, cx, job, outlook) {
            Some(answer) => {
                room::log_refusal(world, job);
                runner::end_job(world, cx, id, answer);
            }
            None => ahead_milli += due_milli,
        }
    }
    end_overdue_jobs(world, cx);
}

/// Ends jobs whose client should have timed out long ago, including those whose tasks are all
/// running.
fn end_overdue_jobs(world: &mut World, cx: &mut Cx<'_>) {
    let overdue = |job: &&RunnerJob| cx.now > job.overdue_at;
    let jobs = world.jobs.values().filter(overdue);
    let overdue: Vec<ClientJobId> = jobs.map(RunnerJob::id).collect();
    for id in overdue {
        runner::end_job(world, cx, id, Answer::Lost(LossCause::DeadlinePassed));
    }
}

/// Returns the outcome of a job with waiting tasks that must be refused or dropped. `None` keeps the
/// job.
fn decide_outcome(world: &World, cx: &Cx<'_>, job: &RunnerJob, outlook: Outlook) -> Option<Answer> {
    let Outlook { wait, end } = outlook;
    if let Some(answer) = evacuations::check_waiting_job(world, cx.now, job) {
        return Some(answer);
    }
    if job.started {
        let is_contained = containment::is_contained(world, job.job.settings.queue);
        if is_contained && cx.now + end > job.deadline {
            return Some(Answer::Lost(LossCause::Suspected));
        }
        let has_no_workers =
            world.claimed_cells.is_empty() && world.is_serving() && !is_running(job);
        // Other VMs hold the workers now; the client's next attempt reaches them.
        return has_no_workers.then_some(Answer::Lost(LossCause::RunnerLost));
    }
    if !world.is_serving() {
        return Some(Answer::Refused {
            cause: RefusalCause::Stopping,
            retry_after: wait,
        });
    }
    // A sweep may come before the first dispatch of a job, which starts it if it fits. A job that has
    // begun isn't refused, so the outcome must not depend on which of the two comes first.
    if !job.is_offered {
        return None;
    }
    let too_late = cx.now + end > job.deadline;
    too_late.then_some(Answer::Refused {
        cause: runner::refusal_cause(containment::is_contained(world, job.job.settings.queue)),
        retry_after: wait.max(runner::MIN_RETRY_DELAY),
    })
}

/// Returns whether the job has a run on any worker.
fn is_running(job: &RunnerJob) -> bool {
    let mut tasks = job.tasks.iter();
    tasks.any(|task| matches!(task.state, TaskState::Active(_)))
}

/// Stops runs that take far longer than predicted, so that their tasks start elsewhere.
fn stop_hanging_runs(world: &mut World, cx: &Cx<'_>) {
    let hangs = |run: &Run| match run.state {
        RunState::Running(since) => {
            cx.now.since(since) > run.predicted.mul_f64(HANG_FACTOR) + HANG_SLACK
        }
        RunState::Starting | RunState::Stopping(_) => false,
    };
    let hanging: Vec<(WorkerId, RunId)> = world
        .workers
        .values()
        .flat_map(|row| {
            let runs = row.runs.values().filter(|run| hangs(run));
            runs.map(|run| (row.entry.id, run.id))
        })
        .collect();
    for (worker, run) in hanging {
        tracing::info!(%worker, %run, "stopping a run that takes much longer than predicted");
        if let Some(row) = world.workers.get_mut(&worker) {
            row.health.record_slowdown(cx.now, HANG_FACTOR);
            if row.health.record_failure(cx.now) {
                world.stats.ejections += 1;
            }
        }
        mark_avoided(world, worker, run);
        stops::request(world, cx, worker, run);
    }
}

fn mark_avoided(world: &mut World, worker: WorkerId, run: RunId) {
    let job = world.jobs.get_mut(&run.task.job);
    if let Some(task) = job.and_then(|job| job.task_mut(run.task))
        && task.state == TaskState::Active(worker)
    {
        task.avoid = Some(worker);
    }
}
