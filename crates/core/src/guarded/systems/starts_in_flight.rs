//! Starts that a worker did not answer and may carry out seconds later, also on its next boot.
//!
//! While such a start is not ruled out its task starts nowhere. The present boot of the worker rules it
//! out once it has ended or stopped this run or a higher one, or has seen a higher fencing token; so does
//! another worker at the address. A new boot knows nothing of that, so the start counts again when the
//! worker is lost, until [`Policy::max_request_delay`] has passed.
//!
//! [`Policy::max_request_delay`]: crate::guarded::policy::Policy::max_request_delay

use super::{runner, start_reports, stops};
use crate::guarded::model::answer::{Answer, LossCause};
use crate::guarded::model::ids::{ClientJobId, FencingToken, RunId, TaskId, WorkerId};
use crate::guarded::model::reply::RunInProgress;
use crate::guarded::tables::runner_job::{RunnerJob, TaskState};
use crate::guarded::tables::starts_in_flight::{OpenCause, StartInFlight};
use crate::guarded::tables::worker::{Run, RunState, WorkerEnd};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time that a worker whose process has ended usually takes to restart.
const USUAL_RESTART: Duration = Duration::from_secs(3);

/// Records that a start was not answered.
pub fn record_unanswered(world: &mut World, now: Time, worker: WorkerId, id: RunId) {
    let row = world.workers.get(&worker);
    let Some(run) = row.and_then(|row| row.runs.get(&id.task)) else {
        return;
    };
    // The only request was carried out: the worker lists the run.
    if run.is_confirmed && run.start_requests == 1 {
        return;
    }
    let mut row = in_flight(world, now, worker, run, OpenCause::Unanswered);
    if is_stopped(run) {
        row.open = None;
    }
    world.starts_in_flight.record(worker, id.task, row);
    start_reports::report(world, now, worker, id.task);
}

fn in_flight(
    world: &World,
    now: Time,
    worker: WorkerId,
    run: &Run,
    cause: OpenCause,
) -> StartInFlight {
    StartInFlight {
        number: run.id.number,
        token: run.token,
        sent_at: now,
        boot: world.workers.get(&worker).and_then(|row| row.boot),
        open: Some(cause),
        is_shared: false,
        has_earlier: false,
    }
}

/// Returns whether the present boot of the worker has acknowledged the stop of a run.
const fn is_stopped(run: &Run) -> bool {
    matches!(&run.state, RunState::Stopping(stop) if stop.acked_at.is_some())
}

/// Records a start that has not been answered yet, if the run has one.
fn record_pending(world: &mut World, now: Time, worker: WorkerId, task: TaskId) {
    let row = world.workers.get(&worker);
    let Some(run) = row.and_then(|row| row.runs.get(&task)) else {
        return;
    };
    if run.start_requests > 0 && !run.is_confirmed && !is_stopped(run) {
        let row = in_flight(world, now, worker, run, OpenCause::Pending);
        world.starts_in_flight.record(worker, task, row);
    }
}

/// Handles the answer to a start that was recorded before the answer was due: nothing is in flight, but
/// the run may have begun.
pub fn handle_answer(world: &mut World, now: Time, worker: WorkerId, id: RunId, began: bool) {
    let row = world.starts_in_flight.get(worker, id.task);
    let is_pending =
        row.is_some_and(|row| row.open == Some(OpenCause::Pending) && row.number == id.number);
    if !is_pending {
        return;
    }
    world
        .starts_in_flight
        .update(worker, id.task, |row| row.open = Some(OpenCause::Started));
    if !began {
        rule_out(world, now, worker, id.task, "refused");
    }
}

/// Handles the loss of a worker or of its boot: what that boot ruled out, the next one may carry out.
/// A task that runs elsewhere because of that is stopped there.
pub fn handle_loss(world: &mut World, cx: &Cx<'_>, worker: WorkerId) {
    let now = cx.now;
    let runs = world.workers.get(&worker).map(|row| row.runs.keys());
    let runs: Vec<TaskId> = runs.into_iter().flatten().copied().collect();
    for task in runs {
        record_pending(world, now, worker, task);
    }
    let rows = world.starts_in_flight.of_worker(worker);
    let rows: Vec<TaskId> = rows.map(|(task, _)| task).collect();
    for task in rows {
        let row = world.starts_in_flight.get(worker, task);
        if row.is_some_and(|row| row.open == Some(OpenCause::Started) && !row.has_earlier) {
            rule_out(world, now, worker, task, "lost with its worker");
            continue;
        }
        world.starts_in_flight.update(worker, task, |row| {
            let known = row.open.filter(|&cause| cause != OpenCause::Suspected);
            row.open = known.or(Some(OpenCause::WorkerLost));
        });
        stop_elsewhere(world, cx, worker, task);
        start_reports::report(world, now, worker, task);
    }
}

/// Handles the suspicion that the boot of a worker has ended: what it ruled out, the next one may carry out.
pub fn handle_suspicion(world: &mut World, cx: &Cx<'_>, worker: WorkerId) {
    let rows = world.starts_in_flight.of_worker(worker);
    let rows = rows.filter(|(_, row)| row.open.is_none());
    let rows: Vec<TaskId> = rows.map(|(task, _)| task).collect();
    for task in rows {
        world
            .starts_in_flight
            .update(worker, task, |row| row.open = Some(OpenCause::Suspected));
        stop_elsewhere(world, cx, worker, task);
        start_reports::report(world, cx.now, worker, task);
    }
}

/// Rules out the starts that were open on suspicion: the boot that ruled them out answers.
pub fn rule_out_suspected(world: &mut World, now: Time, worker: WorkerId) {
    rule_out_where(world, now, worker, "alive", |_, row| {
        row.open == Some(OpenCause::Suspected)
    });
}

/// Stops the runs of a task on other workers if its start on a worker is open: they were started when it
/// was ruled out.
pub fn stop_elsewhere(world: &mut World, cx: &Cx<'_>, worker: WorkerId, task: TaskId) {
    let row = world.starts_in_flight.get(worker, task);
    if row.is_none_or(|row| row.open.is_none()) || !world.present_runs.contains_key(&task) {
        return;
    }
    let others = world.workers.iter().filter(|(id, _)| **id != worker);
    let runs = others.filter_map(|(&id, row)| Some((id, row.runs.get(&task)?.id)));
    let runs: Vec<(WorkerId, RunId)> = runs.collect();
    for (other, run) in runs {
        tracing::warn!(
            job = %task.job,
            %run,
            worker = %other,
            lost = %worker,
            "stopping a run: a start of its task may be carried out by the next boot of a lost worker"
        );
        stops::request(world, cx, other, run);
    }
}

/// Handles the removal of a job: its client may submit it again at any VM.
pub fn handle_job_end(world: &mut World, now: Time, job: &RunnerJob) {
    for task in &job.tasks {
        if let TaskState::Active(worker) = task.state {
            record_pending(world, now, worker, task.id);
        }
        for worker in world.starts_in_flight.open_workers(task.id).to_vec() {
            start_reports::report(world, now, worker, task.id);
        }
    }
    for &origin in &job.origins {
        start_reports::add_origin(world, origin);
    }
}

/// Rules out the starts of a run and of earlier ones: the run has ended on the worker.
pub fn rule_out_run(world: &mut World, now: Time, worker: WorkerId, run: RunId) {
    let row = world.starts_in_flight.get(worker, run.task);
    if row.is_some_and(|row| row.number <= run.number) {
        rule_out(world, now, worker, run.task, "ended");
    }
}

/// Rules out the starts with tokens below the one under which the worker has just answered, unless it
/// has carried them out and they run.
pub fn rule_out_answered(
    world: &mut World,
    now: Time,
    worker: WorkerId,
    running: &[RunInProgress],
) {
    let Some(row) = world.workers.get(&worker) else {
        return;
    };
    let (token, since) = (row.token, row.address_since);
    rule_out_where(world, now, worker, "fenced", |task, row| {
        // What was sent to an earlier address may be carried out there.
        let is_here = row.sent_at >= since;
        is_here && row.token < token && !running.iter().any(|running| running.run.task == task)
    });
}

/// Rules out the starts with a token and with lower ones: the worker has seen a higher one. Its holder is
/// told of those that may be running.
pub fn rule_out_fenced(world: &mut World, now: Time, worker: WorkerId, token: FencingToken) {
    let row = world.workers.get(&worker);
    let present: Vec<TaskId> = row.map_or_else(Vec::new, |row| row.runs.keys().copied().collect());
    rule_out_where(world, now, worker, "fenced", |task, row| {
        row.token <= token && !present.contains(&task)
    });
    for task in present {
        start_reports::report(world, now, worker, task);
    }
}

/// Rules out the starts that were sent to the present address of a worker, where another one answers.
pub fn rule_out_replaced(world: &mut World, now: Time, worker: WorkerId) {
    let since = world.workers.get(&worker).map(|row| row.address_since);
    let since = since.unwrap_or(now);
    rule_out_where(world, now, worker, "replaced", |_, row| {
        row.sent_at >= since
    });
}

fn rule_out_where(
    world: &mut World,
    now: Time,
    worker: WorkerId,
    how: &'static str,
    is_ruled_out: impl Fn(TaskId, &StartInFlight) -> bool,
) {
    if world.starts_in_flight.is_empty() {
        return;
    }
    let rows = world.starts_in_flight.of_worker(worker);
    let rows = rows.filter(|(task, row)| row.open.is_some() && is_ruled_out(*task, row));
    let rows: Vec<TaskId> = rows.map(|(task, _)| task).collect();
    for task in rows {
        rule_out(world, now, worker, task, how);
    }
}

fn rule_out(world: &mut World, now: Time, worker: WorkerId, task: TaskId, how: &'static str) {
    let Some(&row) = world.starts_in_flight.get(worker, task) else {
        return;
    };
    if row.open.is_none() {
        return;
    }
    world.starts_in_flight.update(worker, task, |row| {
        row.open = None;
        row.is_shared = false;
    });
    log_ruled_out(world, now, worker, task, &row, how);
    if row.is_shared {
        start_reports::report_ruled_out(world, worker, task, row.token);
    }
    if row.open == Some(OpenCause::Started) && !row.has_earlier {
        world.starts_in_flight.remove(worker, task);
    }
}

fn log_ruled_out(
    world: &World,
    now: Time,
    worker: WorkerId,
    task: TaskId,
    row: &StartInFlight,
    how: &'static str,
) {
    let waiting_since = world.starts_in_flight.waiting.get(&task);
    if waiting_since.is_none() && !row.is_shared {
        return;
    }
    let run = RunId {
        task,
        number: row.number,
    };
    tracing::info!(
        job = %task.job,
        %run,
        %worker,
        how,
        age_ms = now.since(row.sent_at).as_millis(),
        waited_ms = waiting_since.map(|&since| now.since(since).as_millis()),
        "a start in flight is ruled out"
    );
}

/// Returns whether an unreachable worker is to be fenced as soon as it answers: this VM held it, and its
/// process has ended, so that a start which this VM may not know of could be carried out by the next boot,
/// or a start sent there was not answered, though ruled out meanwhile. Not where another VM may hold it.
pub fn must_fence(world: &World, worker: WorkerId) -> bool {
    let Some(row) = world.workers.get(&worker) else {
        return false;
    };
    let mut contested = world.contested_cells.iter();
    let mut rows = world.starts_in_flight.of_worker(worker);
    row.loss
        .is_some_and(|loss| loss.end == WorkerEnd::Ended || rows.next().is_some())
        && !contested.any(|cell| cell.contains(&row.entry))
}

/// Removes old rows, notes which tasks wait, and ends the jobs for which the wait is too long.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.starts_in_flight.is_empty() {
        return;
    }
    let aged = world
        .starts_in_flight
        .aged(cx.now, world.policy.max_request_delay);
    for (worker, task) in aged {
        if let Some(row) = world.starts_in_flight.remove(worker, task)
            && row.open.is_some()
        {
            log_ruled_out(world, cx.now, worker, task, &row, "too old");
        }
    }
    forget_started(world);
    record_waiting(world, cx.now);
    let waiting = world.starts_in_flight.waiting.keys().map(|task| task.job);
    let waiting: BTreeSet<ClientJobId> = waiting.collect();
    for id in waiting {
        let job = world.jobs.get(&id);
        if job.is_some_and(|job| is_hopeless(world, cx.now, job)) {
            runner::end_job(world, cx, id, Answer::Lost(LossCause::StartInFlight));
        }
    }
}

/// Forgets the tasks that no longer wait.
fn forget_started(world: &mut World) {
    let mut waiting = std::mem::take(&mut world.starts_in_flight.waiting);
    waiting.retain(|&task, _| is_waiting(world, task));
    world.starts_in_flight.waiting = waiting;
}

/// Notes the due tasks that begin to wait.
fn record_waiting(world: &mut World, now: Time) {
    let tasks = world.starts_in_flight.open_tasks();
    let new = tasks.filter(|task| !world.starts_in_flight.waiting.contains_key(task));
    let new: Vec<TaskId> = new.filter(|&task| is_held_back(world, task)).collect();
    for task in new {
        world.starts_in_flight.waiting.insert(task, now);
        world.stats.jobs_held_by_start += 1;
        for &worker in world.starts_in_flight.open_workers(task) {
            let Some(row) = world.starts_in_flight.get(worker, task) else {
                continue;
            };
            let run = RunId {
                task,
                number: row.number,
            };
            tracing::info!(
                job = %task.job,
                %run,
                %worker,
                boot = row.boot,
                why = row.open.map(OpenCause::name),
                age_ms = now.since(row.sent_at).as_millis(),
                "a task waits: a start of it was not answered and may still be carried out"
            );
        }
    }
}

/// Returns whether a task would start if no start of it were in flight.
fn is_held_back(world: &World, task: TaskId) -> bool {
    is_waiting(world, task) && !world.present_runs.contains_key(&task)
}

/// Returns whether a due task has a start in flight.
fn is_waiting(world: &World, task: TaskId) -> bool {
    let job = world.jobs.get(&task.job);
    let mut due = job.into_iter().flat_map(RunnerJob::due_tasks);
    world.starts_in_flight.is_open(task) && due.any(|row| row.id == task)
}

/// Returns whether the client of a job times out before a due task of it may start and end.
pub fn is_hopeless(world: &World, now: Time, job: &RunnerJob) -> bool {
    if world.starts_in_flight.open_count() == 0 {
        return false;
    }
    let due = job.due_tasks().map(|task| task.id);
    let open = due.filter(|&task| world.starts_in_flight.is_open(task));
    let wait = open.map(|task| expected_wait(world, now, task)).max();
    wait.is_some_and(|wait| now + wait + job.work_left(&world.estimator) > job.deadline)
}

/// Returns the time after which the starts of a task are probably ruled out.
fn expected_wait(world: &World, now: Time, task: TaskId) -> Duration {
    let workers = world.starts_in_flight.open_workers(task).iter();
    let waits = workers.map(|worker| {
        let loss = world.workers.get(worker).and_then(|row| row.loss);
        let ended = loss.filter(|loss| loss.end == WorkerEnd::Ended);
        ended.map_or(Duration::ZERO, |loss| {
            USUAL_RESTART.saturating_sub(now.since(loss.at))
        })
    });
    waits.max().unwrap_or_default()
}
