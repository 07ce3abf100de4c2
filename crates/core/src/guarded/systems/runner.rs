//! Jobs that run on workers held by this VM: admission, outcomes and cancellation.

use super::{
    cancels, cell_assignment, containment, crashes, evacuations, quarantine, room, shares,
    start_reports, starts_in_flight, stops, suspect_reports,
};
use crate::guarded::action::Action;
use crate::guarded::model::answer::{Answer, LossCause, RefusalCause};
use crate::guarded::model::cell::HolderLoad;
use crate::guarded::model::ids::{ClientJobId, QueueId, WorkerId};
use crate::guarded::model::job::Job;
use crate::guarded::model::message::Message;
use crate::guarded::model::room::TasksNeed;
use crate::guarded::policy::MAX_LAG;
use crate::guarded::tables::runner_job::{RunnerJob, TaskState};
use crate::guarded::tables::suspects::Suspect;
use crate::guarded::world::{Cx, FinishedJob, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay sent for a job that no worker can run.
const IMPOSSIBLE_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Retry delay sent for a job that arrives while this VM is stopping.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum retry delay sent with a refusal for overload.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Expected wait, and retry delay, of a contained queue that has no worker left. About the time that
/// a worker takes to restart.
pub const MAX_CONTAINED_WAIT: Duration = Duration::from_secs(3);
/// Maximum retry delay sent with a refusal for overload.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Accepts a job from `origin`, or refuses it. A job that is already in progress gets another
/// origin, and one that ended recently is answered with its stored outcome. `age` leaves out how
/// long submission and placement were late, which is `late` at most.
pub fn accept(
    world: &mut World,
    cx: &mut Cx<'_>,
    origin: Incarnation,
    job: Arc<Job>,
    age: Duration,
    late: Duration,
) {
    let id = job.id;
    if let Some(peer) = world.peers.get_mut(&origin) {
        peer.record_job(cx.now);
    }
    let cancelled = cancels::check_submission(world, cx.now, id);
    if let Some(answer) = cancelled.or_else(|| world.recent.get(id)) {
        answer_origin(world, cx, origin, id, answer);
        return;
    }
    if let Some(row) = world.jobs.get_mut(&id) {
        if !row.origins.contains(&origin) {
            row.origins.push(origin);
        }
        return;
    }
    suspect_reports::close_trials(world, cx, &job);
    if let Some(answer) = check_suspects(world, cx.now, &job) {
        tracing::info!(job = %id, ?answer, "a task of the job crashed workers before");
        answer_origin(world, cx, origin, id, answer);
        return;
    }
    shares::record_arrival(world, cx.now, &job);
    if let Some(answer) = check_admission(world, cx, &job, age) {
        shares::record_outcome(world, cx.now, &job, false);
        tracing::info!(job = %id, ?answer, tasks = job.task_count(), "job refused");
        answer_origin(world, cx, origin, id, answer);
        return;
    }
    let mut row = RunnerJob::new(cx.now, job, origin, age, &world.estimator);
    row.overdue_at = row.overdue_at.minus(late.saturating_sub(MAX_LAG));
    if starts_in_flight::is_hopeless(world, cx.now, &row) {
        tracing::info!(job = %id, "a start of the job may still be carried out, too late for its client");
        answer_origin(
            world,
            cx,
            origin,
            id,
            Answer::Lost(LossCause::StartInFlight),
        );
        return;
    }
    world.jobs.insert(id, row);
}

/// Returns the answer to a job that is not started, because a task of it crashed workers before.
fn check_suspects(world: &World, now: Time, job: &Job) -> Option<Answer> {
    let suspects = &world.suspects;
    if let Some(task) = suspects.find_in(job, |row| row.is_given_up) {
        return Some(crashes::given_up_answer(world, task));
    }
    let suspected = Some(Answer::Lost(LossCause::Suspected));
    if suspects.find_in(job, Suspect::is_on_trial).is_some() {
        return suspected;
    }
    suspects.find_in(job, Suspect::is_likely)?;
    suspected.filter(|_| !quarantine::may_try(world, now))
}

/// Returns the refusal of a job that this VM can't accept, or `None` if it can.
fn check_admission(world: &World, cx: &Cx<'_>, job: &Job, age: Duration) -> Option<Answer> {
    if !world.is_serving() {
        return Some(Answer::Refused {
            cause: RefusalCause::Stopping,
            retry_after: STOPPING_RETRY_DELAY,
        });
    }
    if let Some(answer) = evacuations::check_new_job(world, cx.now) {
        return Some(answer);
    }
    if !is_possible(world, job) {
        return Some(Answer::Refused {
            cause: RefusalCause::Impossible,
            retry_after: IMPOSSIBLE_RETRY_DELAY,
        });
    }
    let queue = job.settings.queue;
    let is_contained = containment::is_contained(world, queue);
    // The next sweep knows the place of the job among those that wait.
    if room::is_on(world) && !is_contained {
        return None;
    }
    let wait = if is_contained {
        contained_wait(world, cx, queue, initial_milli(job))
    } else {
        expected_wait(world, cx)
    };
    let cause = refusal_cause(is_contained);
    let work = job.steps.iter().map(|step| step.estimate).max();
    let needed = age + wait + work.unwrap_or_default();
    (needed > job.client_timeout && wait > MIN_RETRY_DELAY).then_some(Answer::Refused {
        cause,
        retry_after: wait,
    })
}

/// Returns the cause of a refusal for lack of workers.
pub const fn refusal_cause(is_contained: bool) -> RefusalCause {
    if is_contained {
        RefusalCause::Contained
    } else {
        RefusalCause::Overloaded
    }
}

/// Returns the expected wait of tasks of a contained queue that need `need_milli` thousandths of a
/// core, behind those that wait.
fn contained_wait(world: &World, cx: &Cx<'_>, queue: QueueId, need_milli: u64) -> Duration {
    let jobs = world.jobs.values();
    let jobs = jobs.filter(|job| job.job.settings.queue == queue);
    let ahead: u64 = jobs.map(RunnerJob::due_milli).sum();
    let load = containment::load(world, cx.now, queue);
    load.wait_behind(ahead + need_milli).min(MAX_CONTAINED_WAIT)
}

/// Returns the CPU that the steps without dependencies need, in thousandths of a core.
pub fn initial_milli(job: &Job) -> u64 {
    initial_need(job).total_milli
}

/// Returns what the steps without dependencies need.
pub fn initial_need(job: &Job) -> TasksNeed {
    let first = job.steps.iter().filter(|step| step.after.is_empty());
    let mut need = TasksNeed::default();
    for step in first {
        let count = u64::from(step.count);
        need.tasks += count;
        need.total_milli += count * step.need.cpu_milli;
        need.largest_milli = need.largest_milli.max(step.need.cpu_milli);
    }
    need
}

/// Returns whether each task would fit on some worker if that worker were idle.
fn is_possible(world: &World, job: &Job) -> bool {
    job.steps.iter().all(|step| {
        world.registry.iter().any(|row| {
            let entry = &row.entry;
            let label = step.label.as_ref();
            entry.upstream == job.settings.upstream
                && entry.capacity.can_fit(&step.need)
                && label.is_none_or(|label| entry.has_label(label))
        })
    })
}

/// Returns the expected wait of a new task on the workers held here.
pub fn expected_wait(world: &World, cx: &Cx<'_>) -> Duration {
    cell_assignment::own_load(world, cx.now)
        .map_or(MIN_RETRY_DELAY, |load| load.wait_behind(0))
        .min(MAX_RETRY_DELAY)
}

/// Returns the expected wait of a task on workers with this load, behind other tasks that need
/// `ahead_milli` thousandths of a core. The waiting tasks that the load counts are left out.
pub fn wait_behind(load: Option<HolderLoad>, ahead_milli: u64) -> Duration {
    let load = load.filter(|load| load.capacity_milli > 0);
    load.map_or(Duration::ZERO, |load| {
        let idle = HolderLoad {
            waiting_milli: 0,
            ..load
        };
        idle.wait_behind(ahead_milli)
    })
}

/// Ends a job: sends its outcome to all its origins and stops its runs.
pub fn end_job(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId, answer: Answer) {
    let Some(row) = remove_job(world, cx, id) else {
        return;
    };
    let is_served = answer == Answer::Completed;
    if is_served || matches!(answer, Answer::Refused { .. } | Answer::Lost(_)) {
        shares::record_outcome(world, cx.now, &row.job, is_served);
    }
    if matches!(
        answer,
        Answer::Completed | Answer::Failed | Answer::Cancelled
    ) {
        world.recent.insert(cx.now, id, answer);
    }
    tracing::info!(
        job = %id,
        ?answer,
        tasks = row.tasks.len(),
        age_ms = cx.now.since(row.submitted_at).as_millis(),
        objective_ms = row.objective_at.since(row.submitted_at).as_millis(),
        runs = row.tasks.iter().map(|task| task.next_run - 1).sum::<u64>(),
        "job ended"
    );
    for origin in row.origins {
        answer_origin(world, cx, origin, id, answer);
    }
}

/// Removes a job without sending an outcome, and stops its runs.
fn remove_job(world: &mut World, cx: &Cx<'_>, id: ClientJobId) -> Option<RunnerJob> {
    let row = world.jobs.remove(&id)?;
    for task in &row.tasks {
        if let TaskState::Active(worker) = task.state {
            stop_task(world, cx, worker, task.id);
        }
    }
    starts_in_flight::handle_job_end(world, cx.now, &row);
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

/// Removes `origin` from the VMs that wait for a job. The job is cancelled when none is left.
pub fn withdraw(world: &mut World, cx: &mut Cx<'_>, origin: Incarnation, id: ClientJobId) {
    let Some(row) = world.jobs.get_mut(&id) else {
        return;
    };
    row.origins.retain(|known| *known != origin);
    if row.origins.is_empty() {
        tracing::info!(job = %id, "no client waits for the job any more; stopping its runs");
        if let Some(row) = remove_job(world, cx, id)
            && cx.now >= row.deadline
        {
            shares::record_outcome(world, cx.now, &row.job, false);
        }
        start_reports::add_origin(world, origin);
    }
}

/// Handles the loss of a peer: its clients no longer wait for the jobs that it placed here.
pub fn handle_origin_loss(world: &mut World, cx: &mut Cx<'_>, origin: Incarnation) {
    let jobs: Vec<_> = world.jobs.keys().copied().collect();
    for id in jobs {
        let waits = |row: &RunnerJob| row.origins.contains(&origin);
        if world.jobs.get(&id).is_some_and(waits) {
            withdraw(world, cx, origin, id);
        }
    }
}

/// Ends all jobs as lost. Used when this VM closes or was stalled: after a stall other VMs may have
/// acquired its workers.
pub fn drop_all_jobs(world: &mut World, cx: &mut Cx<'_>, cause: LossCause) {
    let jobs: Vec<_> = world.jobs.keys().copied().collect();
    for id in jobs {
        end_job(world, cx, id, Answer::Lost(cause));
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
        world.finished_jobs.push(FinishedJob { job, answer });
        return;
    }
    cx.emit(Action::Send {
        to: origin,
        message: Message::Finished { job, answer },
    });
}
