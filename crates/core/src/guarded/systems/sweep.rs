//! What is looked at from time to time: jobs that can't be served in time any more, runs that hang,
//! workers that left the registry.

use super::{dispatch, holding, runner, stops};
use crate::guarded::model::answer::{Answer, LossCause, RefusalCause};
use crate::guarded::model::ids::{ClientJobId, RunId, WorkerId};
use crate::guarded::tables::runner_job::{RunnerJob, TaskState};
use crate::guarded::tables::worker::{Hold, Run, RunState};
use crate::guarded::world::{Cx, World};
use std::time::Duration;

/// Interval of the sweeps.
pub const INTERVAL: Duration = Duration::from_millis(25);
/// Factor on the predicted run time after which a run counts as hanging.
const HANG_FACTOR: f64 = 4.0;
/// Time on top of it.
const HANG_SLACK: Duration = Duration::from_millis(250);
/// Time after the end of the client's patience at which a job is given up here too, if the client
/// did not leave by itself.
const PATIENCE_SLACK: Duration = Duration::from_millis(100);

/// Sweeps over everything.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    give_up_hopeless(world, cx);
    stop_hanging(world, cx);
    drop_missing(world, cx);
    stops::repeat_silent(world, cx.now);
    stops::end_lapsed(world, cx);
}

/// Refuses jobs of which nothing was started and that would end too late, and gives up those
/// whose client waits no longer. The jobs are looked at in the order of their turns, and each one
/// that stays lets those behind it wait longer.
fn give_up_hopeless(world: &mut World, cx: &mut Cx<'_>) {
    let loads = holding::loads(world, cx.now);
    let mut ahead_milli = 0;
    for (_, id) in dispatch::ranked(world, cx.now) {
        let Some(job) = world.jobs.get(&id) else {
            continue;
        };
        let wait = runner::wait_behind(world, &loads, ahead_milli);
        match verdict(world, cx, job, wait) {
            Some(answer) => runner::finish(world, cx, id, answer),
            None => ahead_milli += job.due_milli(),
        }
    }
    give_up_overdue(world, cx);
}

/// Gives up jobs whose client should have left long ago, also those of which every task runs.
fn give_up_overdue(world: &mut World, cx: &mut Cx<'_>) {
    let overdue = |job: &&RunnerJob| cx.now > job.deadline + PATIENCE_SLACK;
    let jobs = world.jobs.values().filter(overdue);
    let overdue: Vec<ClientJobId> = jobs.map(RunnerJob::id).collect();
    for id in overdue {
        runner::finish(world, cx, id, Answer::Lost(LossCause::DeadlinePassed));
    }
}

/// Decides about a job that has tasks which wait, and that gets its turn after `wait`.
fn verdict(world: &World, cx: &Cx<'_>, job: &RunnerJob, wait: Duration) -> Option<Answer> {
    if job.started {
        let left_alone = world.claimed.is_empty() && world.is_serving() && !is_running(job);
        // Others hold the workers now; the client's next attempt finds them.
        return left_alone.then_some(Answer::Lost(LossCause::RunnerLost));
    }
    if !world.is_serving() {
        return Some(Answer::Refused {
            cause: RefusalCause::Stopping,
            retry_after: wait,
        });
    }
    let left = job.work_left(&world.estimator);
    let too_late = cx.now + wait + left > job.deadline;
    too_late.then_some(Answer::Refused {
        cause: RefusalCause::Overloaded,
        retry_after: wait.max(runner::MIN_RETRY),
    })
}

/// Tells whether a run of the job is on any worker.
fn is_running(job: &RunnerJob) -> bool {
    let mut tasks = job.tasks.iter();
    tasks.any(|task| matches!(task.state, TaskState::Active(_)))
}

/// Stops runs that take far longer than predicted, so that their tasks start elsewhere.
fn stop_hanging(world: &mut World, cx: &Cx<'_>) {
    let hangs = |run: &Run| match run.state {
        RunState::Running(since) => {
            cx.now.since(since) > run.predicted.mul_f64(HANG_FACTOR) + HANG_SLACK
        }
        RunState::Starting | RunState::Stopping { .. } => false,
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
        tracing::info!(%worker, %run, "stopping a run that takes far too long");
        if let Some(row) = world.workers.get_mut(&worker) {
            row.health.observe(cx.now, HANG_FACTOR);
            if row.health.failed(cx.now) {
                world.stats.ejections += 1;
            }
        }
        avoid(world, worker, run);
        stops::request(world, cx, worker, run);
    }
}

fn avoid(world: &mut World, worker: WorkerId, run: RunId) {
    let job = world.jobs.get_mut(&run.task.job);
    if let Some(task) = job.and_then(|job| job.task_mut(run.task))
        && task.state == TaskState::Active(worker)
    {
        task.avoid = Some(worker);
    }
}

/// Forgets workers that the registry has lacked for a while and on which nothing runs.
fn drop_missing(world: &mut World, cx: &Cx<'_>) {
    let grace = world.policy.missing_grace;
    let gone: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| {
            let missing = row.missing_since;
            missing.is_some_and(|since| cx.now.since(since) > grace) && row.runs.is_empty()
        })
        .map(|row| row.entry.id)
        .collect();
    for id in gone {
        tracing::info!(worker = %id, "the registry no longer lists the worker");
        world.workers.remove(&id);
    }
    for row in world.workers.values_mut() {
        // One that is missing for long gets nothing new while its last runs end.
        let missing = row.missing_since;
        if missing.is_some_and(|since| cx.now.since(since) > grace) && row.hold == Hold::Held {
            row.entry.draining = true;
        }
    }
}
