//! Jobs whose clients called this VM: placement and answers.

use super::{holding, runner};
use crate::guarded::model::answer::{Answer, LossCause, RefusalCause};
use crate::guarded::model::cell::CellLoad;
use crate::guarded::model::ids::ClientJobId;
use crate::guarded::model::job::Job;
use crate::guarded::model::message::Message;
use crate::guarded::order::Order;
use crate::guarded::tables::entry_job::EntryJob;
use crate::guarded::tables::runner_job::longest_chain;
use crate::guarded::world::{Cx, Phase, World};
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// How much shorter the wait elsewhere must be for a job to leave its data centre.
const SPILL_MARGIN: Duration = Duration::from_millis(30);
/// Placements of a job at most, since runners that stop hand it back.
const MAX_PLACEMENTS: u32 = 4;
/// Factor on the run time that the client estimates within which most jobs end.
const END_FACTOR: u32 = 3;
/// Time on top of it.
const END_SLACK: Duration = Duration::from_millis(300);
/// Wait at a runner from which on a job rather waits for a cell that has no holder; about the time
/// for which a cell has none.
const LONG_WAIT: Duration = Duration::from_millis(300);
/// Time for which a job waits for a runner.
const UNPLACED_LIMIT: Duration = Duration::from_millis(700);
/// Time after which a client may try again when no runner is known.
const NO_RUNNER_RETRY: Duration = Duration::from_secs(1);

/// A client submits a job.
pub fn submit(world: &mut World, cx: &mut Cx<'_>, call: CallId, job: Arc<Job>) {
    world.stats.submitted += 1;
    world.calls.insert(call, job.id);
    if let Some(row) = world.entries.get_mut(&job.id) {
        tracing::info!(job = %job.id, "the job is under way here already");
        row.calls.push(call);
        return;
    }
    let id = job.id;
    let row = EntryJob {
        job,
        calls: vec![call],
        submitted: cx.now,
        runner: None,
        placements: 0,
    };
    world.entries.insert(id, row);
    if accepts(world, cx, id) {
        place(world, cx, id);
    } else {
        let answer = Answer::Refused {
            cause: RefusalCause::Stopping,
            retry_after: NO_RUNNER_RETRY,
        };
        finish(world, cx, id, answer);
    }
}

/// Tells whether a new job will most likely end before this VM stops.
fn accepts(world: &World, cx: &Cx<'_>, id: ClientJobId) -> bool {
    let since = match world.phase {
        Phase::Serving => return true,
        Phase::Stopping(since) => since,
        Phase::Closed => return false,
    };
    let row = world.entries.get(&id);
    let work = row.map(|row| longest_chain(&row.job, |estimate| estimate));
    let needed = work.unwrap_or_default() * END_FACTOR + END_SLACK;
    cx.now.since(since) + needed < world.policy.stop_timeout
}

/// Gives up the jobs that are left when this VM ends or stood still. Their clients send them again,
/// so their runners must not go on.
pub fn give_up_all(world: &mut World, cx: &mut Cx<'_>, cause: LossCause) {
    let jobs: Vec<_> = world.entries.keys().copied().collect();
    for id in jobs {
        withdraw_from_runner(world, cx, id);
        finish(world, cx, id, Answer::Lost(cause));
    }
}

/// Tells the runner of a job that nobody here waits for it any more.
fn withdraw_from_runner(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) {
    match world.entries.get(&id).and_then(|row| row.runner) {
        Some(vm) if vm == world.me => runner::withdraw(world, cx, vm, id),
        Some(vm) => cx.order(Order::Send {
            to: vm,
            message: Message::Withdraw { job: id },
        }),
        None => {}
    }
}

/// Chooses a runner for a job and hands the job to it.
fn place(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) {
    let Some(row) = world.entries.get(&id) else {
        return;
    };
    let job = Arc::clone(&row.job);
    let waited = cx.now.since(row.submitted);
    let may_wait = waited <= UNPLACED_LIMIT.min(job.patience / 2);
    let choice = choose(world, cx, &job);
    let choice = choice.filter(|choice| !(may_wait && is_better_later(world, cx.now, choice)));
    let Some(choice) = choice else {
        if !may_wait {
            let answer = Answer::Refused {
                cause: RefusalCause::NoRunner,
                retry_after: NO_RUNNER_RETRY,
            };
            finish(world, cx, id, answer);
        } else if let Some(row) = world.entries.get_mut(&id) {
            row.runner = None;
        }
        return;
    };
    let Some(row) = world.entries.get_mut(&id) else {
        return;
    };
    row.runner = Some(choice.runner);
    row.placements += 1;
    let age = cx.now.since(row.submitted);
    if choice.runner == world.me {
        runner::accept(world, cx, world.me, job, age);
        return;
    }
    world.stats.placed_remote += 1;
    tracing::info!(
        job = %id,
        runner = %choice.runner.vm,
        wait_ms = choice.wait.as_millis(),
        load_age_ms = choice.load_age.as_millis(),
        "job placed with a peer"
    );
    if let Some(member) = world.members.get_mut(&choice.runner) {
        member.placed_milli += milli(&job);
    }
    cx.order(Order::Send {
        to: choice.runner,
        message: Message::Place { job, age },
    });
}

/// Tells whether a job had better wait than join the queue of a runner: a cell is without a holder
/// only for moments, while it passes to another VM.
fn is_better_later(world: &World, now: Time, choice: &Choice) -> bool {
    choice.wait > LONG_WAIT && holding::is_any_unheld(world, now)
}

/// Tries again to place the jobs for which there was no runner.
pub fn place_waiting(world: &mut World, cx: &mut Cx<'_>) {
    let waiting = world.entries.values().filter(|row| row.runner.is_none());
    let waiting: Vec<_> = waiting.map(|row| row.job.id).collect();
    for id in waiting {
        place(world, cx, id);
    }
}

/// A VM that could run a job.
#[derive(Clone, Copy, Debug)]
struct Choice {
    runner: Incarnation,
    wait: Duration,
    load_age: Duration,
}

/// Returns the runner with the shortest expected wait; those elsewhere must be better by a margin.
fn choose(world: &World, cx: &Cx<'_>, job: &Job) -> Option<Choice> {
    let need = milli(job);
    let mut best: Option<(Duration, Choice)> = None;
    let mut offer = |runner: Incarnation, load: &CellLoad, placed: u64, load_age: Duration| {
        if load.capacity_milli == 0 {
            return;
        }
        let load = CellLoad {
            waiting_milli: load.waiting_milli + placed + need,
            ..*load
        };
        let wait = load.expected_wait();
        let near = load.cell.data_centre == world.me.data_centre;
        let cost = if near { wait } else { wait + SPILL_MARGIN };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            let choice = Choice {
                runner,
                wait,
                load_age,
            };
            best = Some((cost, choice));
        }
    };
    if world.is_serving() {
        for load in holding::loads(world, cx.now) {
            offer(world.me, &load, 0, Duration::ZERO);
        }
    }
    for (&peer, row) in &world.members {
        let age = cx.now.since(row.heard);
        if !row.is_serving() || age >= world.policy.peer_doubt {
            continue;
        }
        for load in row.heartbeat.iter().flat_map(|beat| &beat.cells) {
            offer(peer, load, row.placed_milli, age);
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the processor that the first tasks of a job need, in thousandths of a core.
fn milli(job: &Job) -> u64 {
    let first = job.steps.iter().filter(|step| step.after.is_empty());
    first
        .map(|step| u64::from(step.count) * step.need.cpu_milli)
        .sum()
}

/// A peer says what became of a job that it ran for this VM.
pub fn finished(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    id: ClientJobId,
    answer: Answer,
) {
    let row = world.entries.get(&id);
    if row.is_some_and(|row| row.runner == Some(from)) {
        job_over(world, cx, id, answer);
    }
}

/// Answers the clients of the jobs that ended here.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    while let Some(over) = world.jobs_over.pop() {
        let row = world.entries.get(&over.job);
        if row.is_some_and(|row| row.runner == Some(world.me)) {
            job_over(world, cx, over.job, over.answer);
        }
    }
}

fn job_over(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId, answer: Answer) {
    if may_run_elsewhere(world, cx, id, answer) {
        place(world, cx, id);
    } else {
        finish(world, cx, id, answer);
    }
}

/// Tells whether another runner may serve a job that was refused.
fn may_run_elsewhere(world: &World, cx: &Cx<'_>, id: ClientJobId, answer: Answer) -> bool {
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
        RefusalCause::Stopping => true,
        RefusalCause::Overloaded => {
            let choice = choose(world, cx, &row.job);
            choice.is_some_and(|choice| {
                Some(choice.runner) != row.runner && choice.wait * 2 < retry_after
            })
        }
        RefusalCause::Impossible | RefusalCause::NoRunner => false,
    }
}

fn finish(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId, answer: Answer) {
    let Some(row) = world.entries.remove(&id) else {
        return;
    };
    let stats = &mut world.stats;
    match answer {
        Answer::Completed => stats.completed += 1,
        Answer::Failed => stats.failed += 1,
        Answer::Refused { .. } => stats.refused += 1,
        Answer::Lost(_) => stats.lost += 1,
    }
    log_answer(cx.now, &row, answer);
    for call in row.calls {
        world.calls.remove(&call);
        cx.order(Order::Answer { call, answer });
    }
}

/// Logs the answer to a job; those that did not complete count as warnings, which go last when logs
/// are cut short.
fn log_answer(now: Time, row: &EntryJob, answer: Answer) {
    let runner = row.runner.map(|vm| vm.vm.0);
    let age_ms = now.since(row.submitted).as_millis();
    let (job, placements) = (row.job.id, row.placements);
    if answer == Answer::Completed {
        tracing::info!(%job, ?answer, runner, age_ms, placements, "job answered");
    } else {
        let (queue, patience_ms) = (row.job.terms.queue, row.job.patience.as_millis());
        tracing::warn!(%job, %queue, ?answer, runner, age_ms, patience_ms, placements, "job answered");
    }
}

/// A client left. Without others that wait for it, the job is withdrawn from its runner.
pub fn abandon(world: &mut World, cx: &mut Cx<'_>, call: CallId) {
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
    tracing::info!(job = %id, age_ms = cx.now.since(row.submitted).as_millis(), "the client left");
    withdraw_from_runner(world, cx, id);
    world.entries.remove(&id);
}

/// Answers the clients of all jobs that ran at a peer that is gone.
pub fn runner_lost(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    let at_peer = world
        .entries
        .values()
        .filter(|row| row.runner == Some(peer));
    let lost: Vec<_> = at_peer.map(|row| row.job.id).collect();
    for id in lost {
        finish(world, cx, id, Answer::Lost(LossCause::RunnerLost));
    }
}
