//! Jobs that run on workers held here: admission, answers, and giving up.

use super::{holding, stops};
use crate::guarded::model::answer::{Answer, LossCause, RefusalCause};
use crate::guarded::model::cell::CellLoad;
use crate::guarded::model::ids::{ClientJobId, WorkerId};
use crate::guarded::model::job::Job;
use crate::guarded::model::message::Message;
use crate::guarded::order::Order;
use crate::guarded::tables::runner_job::{RunnerJob, TaskState};
use crate::guarded::world::{Cx, JobOver, World};
use crate::model::incarnation::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// Time after which a job that no worker can run may be tried again.
const IMPOSSIBLE_RETRY: Duration = Duration::from_secs(30);
/// Time after which a job is tried again that met a stopping VM.
const STOPPING_RETRY: Duration = Duration::from_millis(500);
/// Shortest advice to come back.
pub const MIN_RETRY: Duration = Duration::from_millis(200);

/// Takes in a job for `origin`, or joins it to the one under way.
pub fn accept(
    world: &mut World,
    cx: &mut Cx<'_>,
    origin: Incarnation,
    job: Arc<Job>,
    age: Duration,
) {
    let id = job.id;
    if let Some(answer) = world.recent.get(id) {
        answer_origin(world, cx, origin, id, answer);
        return;
    }
    if let Some(row) = world.jobs.get_mut(&id) {
        if !row.origins.contains(&origin) {
            row.origins.push(origin);
        }
        return;
    }
    if let Some(answer) = refusal(world, cx, &job, age) {
        tracing::info!(job = %id, ?answer, tasks = job.tasks(), "job refused");
        answer_origin(world, cx, origin, id, answer);
        return;
    }
    let row = RunnerJob::new(cx.now, job, origin, age, &world.estimator);
    world.jobs.insert(id, row);
}

fn refusal(world: &World, cx: &Cx<'_>, job: &Job, age: Duration) -> Option<Answer> {
    if !world.is_serving() {
        return Some(Answer::Refused {
            cause: RefusalCause::Stopping,
            retry_after: STOPPING_RETRY,
        });
    }
    if !is_possible(world, job) {
        return Some(Answer::Refused {
            cause: RefusalCause::Impossible,
            retry_after: IMPOSSIBLE_RETRY,
        });
    }
    let wait = expected_wait(world, cx);
    let work = job.steps.iter().map(|step| step.estimate).max();
    let needed = age + wait + work.unwrap_or_default();
    (needed > job.patience && wait > MIN_RETRY).then_some(Answer::Refused {
        cause: RefusalCause::Overloaded,
        retry_after: wait,
    })
}

/// Tells whether some worker could run each task, if it were idle.
fn is_possible(world: &World, job: &Job) -> bool {
    job.steps.iter().all(|step| {
        world.workers.values().any(|row| {
            let entry = &row.entry;
            let label = step.label.as_ref();
            entry.upstream == job.terms.upstream
                && entry.capacity.holds(&step.need)
                && label.is_none_or(|label| entry.has_label(label))
        })
    })
}

/// Returns the time that a new task waits in the cells held here.
pub fn expected_wait(world: &World, cx: &Cx<'_>) -> Duration {
    let loads = holding::loads(world, cx.now);
    let waits = loads.iter().map(|load| load.expected_wait());
    waits
        .min()
        .unwrap_or(MIN_RETRY)
        .min(Duration::from_secs(30))
}

/// Returns the time that a task waits in cells with these loads behind others that need
/// `ahead_milli` thousandths of a core.
pub fn wait_behind(world: &World, loads: &[CellLoad], ahead_milli: u64) -> Duration {
    let capacity: u64 = loads.iter().map(|load| load.capacity_milli).sum();
    let free: u64 = loads.iter().map(|load| load.free_milli).sum();
    let ahead = ahead_milli.saturating_sub(free);
    if ahead == 0 || capacity == 0 {
        return Duration::ZERO;
    }
    #[allow(clippy::cast_precision_loss, reason = "an estimate")]
    let rounds = ahead as f64 / capacity as f64;
    Duration::from_secs_f64(world.mean_run_ms / 1e3).mul_f64(rounds)
}

/// Answers all who wait for a job, and stops what is left of it.
pub fn finish(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId, answer: Answer) {
    let Some(row) = give_up(world, cx, id) else {
        return;
    };
    if matches!(answer, Answer::Completed | Answer::Failed) {
        world.recent.insert(cx.now, id, answer);
    }
    tracing::info!(
        job = %id,
        ?answer,
        tasks = row.tasks.len(),
        age_ms = cx.now.since(row.submitted).as_millis(),
        objective_ms = row.objective_at.since(row.submitted).as_millis(),
        runs = row.tasks.iter().map(|task| task.next_run - 1).sum::<u64>(),
        "job ended"
    );
    for origin in row.origins {
        answer_origin(world, cx, origin, id, answer);
    }
}

/// Removes a job without an answer and stops its runs.
fn give_up(world: &mut World, cx: &Cx<'_>, id: ClientJobId) -> Option<RunnerJob> {
    let row = world.jobs.remove(&id)?;
    for task in &row.tasks {
        if let TaskState::Active(worker) = task.state {
            stop_task(world, cx, worker, task.id);
        }
    }
    Some(row)
}

fn stop_task(
    world: &mut World,
    cx: &Cx<'_>,
    worker: WorkerId,
    task: crate::guarded::model::ids::TaskId,
) {
    let row = world.workers.get(&worker);
    if let Some(run) = row.and_then(|row| row.runs.get(&task)) {
        let id = run.id;
        stops::request(world, cx, worker, id);
    }
}

/// The clients at `origin` no longer wait for a job.
pub fn withdraw(world: &mut World, cx: &mut Cx<'_>, origin: Incarnation, id: ClientJobId) {
    let Some(row) = world.jobs.get_mut(&id) else {
        return;
    };
    row.origins.retain(|known| *known != origin);
    if row.origins.is_empty() {
        tracing::info!(job = %id, "nobody waits for the job; its runs are stopped");
        give_up(world, cx, id);
    }
}

/// A peer is gone: nobody waits for the jobs that it placed here.
pub fn origin_lost(world: &mut World, cx: &mut Cx<'_>, origin: Incarnation) {
    let jobs: Vec<_> = world.jobs.keys().copied().collect();
    for id in jobs {
        let waits = |row: &RunnerJob| row.origins.contains(&origin);
        if world.jobs.get(&id).is_some_and(waits) {
            withdraw(world, cx, origin, id);
        }
    }
}

/// Gives up all jobs after a pause of this process: what runs may have been taken over by others.
pub fn give_up_all(world: &mut World, cx: &mut Cx<'_>, cause: LossCause) {
    let jobs: Vec<_> = world.jobs.keys().copied().collect();
    for id in jobs {
        finish(world, cx, id, Answer::Lost(cause));
    }
}

fn answer_origin(
    world: &mut World,
    cx: &mut Cx<'_>,
    origin: Incarnation,
    job: ClientJobId,
    answer: Answer,
) {
    if origin == world.me {
        world.jobs_over.push(JobOver { job, answer });
        return;
    }
    cx.order(Order::Send {
        to: origin,
        message: Message::Finished { job, answer },
    });
}
