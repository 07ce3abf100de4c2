//! Jobs whose clients called this VM: submission, outcomes and answers to the clients.

use super::placement::{choose_runner, place};
use super::runner;
use crate::guarded::action::Action;
use crate::guarded::model::answer::{Answer, LossCause, RefusalCause};
use crate::guarded::model::ids::ClientJobId;
use crate::guarded::model::job::Job;
use crate::guarded::model::message::Message;
use crate::guarded::tables::entry_job::EntryJob;
use crate::guarded::tables::runner_job::critical_path;
use crate::guarded::world::{Cx, Phase, World};
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of placements of a job: runners that are stopping hand jobs back.
const MAX_PLACEMENTS: u32 = 4;
/// Factor on the client's run-time estimate within which most jobs end.
const RUN_TIME_FACTOR: u32 = 3;
/// Constant allowance on top of the factor.
const RUN_TIME_SLACK: Duration = Duration::from_millis(300);
/// Retry delay sent to clients when no runner is known.
pub const NO_RUNNER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Handles a job that a client submits. A job that is already in progress here gets another waiting
/// call.
pub fn submit(world: &mut World, cx: &mut Cx<'_>, call: CallId, job: Arc<Job>) {
    world.stats.submitted += 1;
    world.calls.insert(call, job.id);
    if let Some(row) = world.entries.get_mut(&job.id) {
        tracing::info!(job = %job.id, "job is already in progress; the call waits for its answer");
        row.calls.push(call);
        return;
    }
    let id = job.id;
    let cancelled =
        world.recent.get(id) == Some(Answer::Cancelled) || world.cancel_marks.is_found(cx.now, id);
    let row = EntryJob {
        job,
        calls: vec![call],
        submitted_at: cx.now,
        unread: cx.now.since(world.horizon.at()),
        runner: None,
        placements: 0,
    };
    world.entries.insert(id, row);
    if cancelled {
        answer_clients(world, cx, id, Answer::Cancelled);
    } else if ends_before_stop(world, cx, id) {
        place(world, cx, id);
    } else {
        let answer = Answer::Refused {
            cause: RefusalCause::Stopping,
            retry_after: NO_RUNNER_RETRY_DELAY,
        };
        answer_clients(world, cx, id, answer);
    }
}

/// Returns whether a new job will most likely end before this VM stops.
fn ends_before_stop(world: &World, cx: &Cx<'_>, id: ClientJobId) -> bool {
    let since = match world.phase {
        Phase::Serving => return true,
        Phase::Stopping(since) => since,
        Phase::Closed => return false,
    };
    let row = world.entries.get(&id);
    let work = row.map(|row| critical_path(&row.job, |estimate| estimate));
    let needed = work.unwrap_or_default() * RUN_TIME_FACTOR + RUN_TIME_SLACK;
    cx.now.since(since) + needed < world.policy.stop_timeout
}

/// Answers all jobs as lost and withdraws them from their runners. Used when this VM closes or was
/// stalled: clients submit their jobs again, so the runners must not continue.
pub fn drop_all_jobs(world: &mut World, cx: &mut Cx<'_>, cause: LossCause) {
    let jobs: Vec<_> = world.entries.keys().copied().collect();
    for id in jobs {
        withdraw_from_runner(world, cx, id);
        answer_clients(world, cx, id, Answer::Lost(cause));
    }
}

/// Notifies the runner of a job that no client of this VM waits for it any more.
fn withdraw_from_runner(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) {
    match world.entries.get(&id).and_then(|row| row.runner) {
        Some(vm) if vm == world.me => runner::withdraw(world, cx, vm, id),
        Some(vm) => cx.emit(Action::Send {
            to: vm,
            message: Message::Withdraw { job: id },
        }),
        None => {}
    }
}

/// Handles a peer's outcome of a job that it ran for this VM.
pub fn handle_finished(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    id: ClientJobId,
    answer: Answer,
) {
    let row = world.entries.get(&id);
    if row.is_some_and(|row| row.runner == Some(from)) {
        handle_outcome(world, cx, id, answer);
    }
}

/// Answers the clients of jobs that ended on this VM's own workers.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    while let Some(finished) = world.finished_jobs.pop() {
        let row = world.entries.get(&finished.job);
        if row.is_some_and(|row| row.runner == Some(world.me)) {
            handle_outcome(world, cx, finished.job, finished.answer);
        }
    }
}

fn handle_outcome(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId, answer: Answer) {
    if should_place_again(world, cx, id, answer) {
        place(world, cx, id);
    } else {
        answer_clients(world, cx, id, answer);
    }
}

/// Returns whether a refused job should be placed on another runner.
fn should_place_again(world: &World, cx: &Cx<'_>, id: ClientJobId, answer: Answer) -> bool {
    let Answer::Refused { cause, retry_after } = answer else {
        return false;
    };
    let Some(row) = world.entries.get(&id) else {
        return false;
    };
    if row.placements >= MAX_PLACEMENTS {
        return false;
    }
    match cause {
        RefusalCause::Stopping | RefusalCause::Evacuated => true,
        RefusalCause::Overloaded => {
            let choice = choose_runner(world, cx.now, &row.job).linked;
            choice.is_some_and(|choice| {
                Some(choice.runner) != row.runner && choice.wait.saturating_mul(2) < retry_after
            })
        }
        RefusalCause::Impossible
        | RefusalCause::NoRunner
        | RefusalCause::Contained
        | RefusalCause::CancelledBefore => false,
    }
}

pub fn answer_clients(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId, answer: Answer) {
    let Some(row) = world.entries.remove(&id) else {
        return;
    };
    let stats = &mut world.stats;
    match answer {
        Answer::Completed => stats.completed += 1,
        Answer::Failed => stats.failed += 1,
        Answer::Cancelled => stats.cancelled += 1,
        Answer::Refused { .. } => stats.refused += 1,
        Answer::Lost(_) => stats.lost += 1,
    }
    if answer == Answer::Cancelled && world.recent.get(id).is_none() {
        world.recent.insert(cx.now, id, answer);
    }
    log_answer(cx.now, &row, answer);
    for call in row.calls {
        world.calls.remove(&call);
        cx.emit(Action::Answer { call, answer });
    }
}

/// Logs the answer to a job. Jobs that did not complete are logged as warnings, which are dropped
/// last when log output is limited.
fn log_answer(now: Time, row: &EntryJob, answer: Answer) {
    let runner = row.runner.map(|vm| vm.vm.0);
    let age_ms = now.since(row.submitted_at).as_millis();
    let (job, placements) = (row.job.id, row.placements);
    if answer == Answer::Completed {
        tracing::info!(%job, ?answer, runner, age_ms, placements, "job answered");
    } else {
        let (queue, patience_ms) = (row.job.settings.queue, row.job.client_timeout.as_millis());
        tracing::warn!(%job, %queue, ?answer, runner, age_ms, patience_ms, placements,
            "job answered");
    }
}

/// Handles a client that disconnected before its answer. A job that no other client waits for is
/// withdrawn from its runner.
pub fn handle_disconnect(world: &mut World, cx: &mut Cx<'_>, call: CallId) {
    let Some(id) = world.calls.remove(&call) else {
        return;
    };
    let Some(row) = world.entries.get_mut(&id) else {
        return;
    };
    row.calls.retain(|known| *known != call);
    if !row.calls.is_empty() {
        return;
    }
    world.stats.abandoned += 1;
    tracing::info!(job = %id, age_ms = cx.now.since(row.submitted_at).as_millis(),
        "client disconnected");
    withdraw_from_runner(world, cx, id);
    world.entries.remove(&id);
}

/// Answers the jobs whose runner disconnected as lost.
pub fn handle_runner_loss(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    let at_peer = world
        .entries
        .values()
        .filter(|row| row.runner == Some(peer));
    let lost: Vec<_> = at_peer.map(|row| row.job.id).collect();
    for id in lost {
        answer_clients(world, cx, id, Answer::Lost(LossCause::RunnerLost));
    }
}
