//! Polls of workers, which renew leases and report ended and current runs.

use super::{crashes, holds, leases, starts_in_flight, stops, suspect_reports, watches};
use crate::guarded::action::{Action, Poll};
use crate::guarded::model::ids::{FencingToken, RunId, TaskId, WorkerId};
use crate::guarded::model::reply::{PollReply, RunEnd, WorkerStatus};
use crate::guarded::model::resources::Resources;
use crate::guarded::tables::stop::Stop;
use crate::guarded::tables::worker::{Hold, PendingPoll, Run, RunState, Worker, WorkerEnd};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Age from which a poll is replaced if its answer seems to be lost.
const REPLACE_POLL_AFTER: Duration = Duration::from_millis(80);
/// Factor on the predicted run time after which a run should have ended.
const OVERDUE_FACTOR: f64 = 1.5;
/// Wait time of a poll while runs that must end keep the worker from being held or renewed.
const ENDING_POLL_WAIT: Duration = Duration::from_millis(20);
/// Delay before the next attempt to acquire a worker that another VM acquired.
const REACQUIRE_DELAY: Duration = Duration::from_millis(1_500);
/// Delay before the next attempt with a higher token, when the first token of an acquisition was
/// too low.
const TOKEN_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Attempts with higher tokens before the delay begins to double.
const TOKEN_RETRIES_BEFORE_BACKOFF: u32 = 4;
/// Number of token steps by which the first such attempt raises the token. Each further attempt
/// raises it by four times as many.
const TOKEN_RETRY_STEPS: u64 = 50;
/// Number of token steps by which the token is raised before a worker that was lost to another VM
/// is acquired again.
const REACQUIRE_TOKEN_STEPS: u64 = 10;
/// Time after which a held worker counts as undisputed and its fencing count is reset.
const UNDISPUTED_AFTER: Duration = Duration::from_secs(4);
/// Maximum number of doublings of the delays after fencing.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Upper limit of the delays after fencing.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Delay before the next attempt at a worker when another worker answered at its address.
const REPLACED_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Consecutive unanswered polls after which a worker that is being acquired counts as unreachable.
const MAX_UNANSWERED_POLLS: u32 = 2;
/// Interval between probes of an unreachable worker. After a partition of data centres there may be
/// hundreds of them.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between probes of an unreachable worker that may carry out a start of this VM.
const FENCING_PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before an unreachable worker that answers again is acquired. After a network partition
/// heals, heartbeats of the VMs that use the worker arrive within this time.
const REACHABLE_ACQUIRE_DELAY: Duration = Duration::from_millis(800);
/// Delay before an unacknowledged stop is sent again for a run that the worker still lists.
const LISTED_STOP_RETRY: Duration = Duration::from_millis(60);

/// Polls every held, acquired or probed worker that has no poll in flight.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    let due: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| match row.hold {
            Hold::Held | Hold::Acquiring => true,
            Hold::Unreachable => cx.now >= row.next_probe_at,
            Hold::None | Hold::Fenced(_) => false,
        })
        .filter(|row| {
            row.poll
                .is_none_or(|poll| is_presumed_lost(row, poll, cx.now))
        })
        .map(|row| row.entry.id)
        .collect();
    for id in due {
        send_poll(world, cx, id);
    }
}

/// Returns whether the answer to a poll seems to be lost: it has been in flight for a while, and a
/// run should have ended. Another poll then replaces it.
fn is_presumed_lost(row: &Worker, poll: PendingPoll, now: Time) -> bool {
    let should_have_ended = |run: &Run| match run.state {
        RunState::Running(since) => now.since(since) > run.predicted.mul_f64(OVERDUE_FACTOR),
        RunState::Starting | RunState::Stopping(_) => false,
    };
    row.hold == Hold::Held
        && now.since(poll.sent_at) > REPLACE_POLL_AFTER
        && row.runs.values().any(should_have_ended)
}

fn send_poll(world: &mut World, cx: &mut Cx<'_>, id: WorkerId) {
    let number = world.next_poll_number();
    let policy = world.policy;
    let fences = starts_in_flight::must_fence(world, id);
    let is_watch = watches::is_watched(world, id);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.poll = Some(PendingPoll {
        number,
        sent_at: cx.now,
        fences: fences && row.hold == Hold::Unreachable,
        is_watch,
    });
    let is_responsive = cx.now.since(row.last_answer_at) < policy.worker_stale_after;
    let hold = row.hold;
    let lease_end_ms = if hold == Hold::Held && is_responsive {
        leases::prolong(world, cx.now, id)
    } else {
        None
    };
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    let wait = match hold {
        Hold::Held if is_responsive && !row.may_extend_lease() => ENDING_POLL_WAIT,
        Hold::Held if is_responsive && is_watch => watches::WATCH_WAIT,
        Hold::Held if is_responsive => policy.poll_wait,
        // The lease of a silent worker is left to expire, so that its tasks can start elsewhere.
        Hold::Held => Duration::ZERO,
        Hold::Acquiring if !row.runs.is_empty() => ENDING_POLL_WAIT,
        _ => Duration::ZERO,
    };
    // A worker refuses token 0 once it has seen any token, so a probe has no effect on it.
    // A worker that may carry out a start of this VM is fenced by the token chosen at its loss: a VM that
    // has acquired it since has a higher one.
    let address = row.entry.address;
    let (token, last_seen) = if row.hold == Hold::Unreachable && !fences {
        (FencingToken(0), 0)
    } else {
        (row.token, row.last_seen)
    };
    world.stats.polls += 1;
    cx.emit(Action::Poll(Poll {
        worker: id,
        address,
        id: number,
        token,
        lease_end_ms,
        last_seen,
        wait,
    }));
}

/// Handles the reply to a poll. Replies to polls that were replaced are ignored.
pub fn handle_reply(world: &mut World, cx: &mut Cx<'_>, id: WorkerId, poll: u64, reply: PollReply) {
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    if matches!(&reply, PollReply::Listed(status) if row.boot.is_some() && status.boot == row.boot)
    {
        // Also of a poll that was replaced: the answer was only late.
        row.overdue_polls = 0;
    }
    let Some(pending) = row.poll.filter(|pending| pending.number == poll) else {
        return;
    };
    row.poll = None;
    let is_unreachable = row.hold == Hold::Unreachable;
    let is_probe = is_unreachable && !pending.fences;
    match reply {
        // The worker has seen no token, so no VM uses it.
        PollReply::Listed(_) if is_probe => row.hold = Hold::None,
        PollReply::Fenced if is_probe => handle_reachable(row, cx.now),
        PollReply::Listed(status) => {
            if is_unreachable {
                row.hold = Hold::Acquiring;
            }
            handle_status(world, cx, id, pending.sent_at, status);
        }
        PollReply::Fenced => {
            let token = row.token;
            if is_unreachable {
                handle_reachable(row, cx.now);
            } else {
                handle_fenced(world, cx.now, id);
            }
            starts_in_flight::rule_out_fenced(world, cx.now, id, token);
        }
        PollReply::OtherBoot => handle_replaced(world, cx, id),
        PollReply::Ended => handle_ended(world, cx, id),
        PollReply::Silent => {
            row.overdue_polls += u32::from(pending.is_watch);
            handle_unanswered(world, cx.now, id);
        }
    }
}

/// Handles the end of the worker's process. Nothing runs there any more, so the tasks of confirmed
/// runs may start elsewhere. A start that was not answered may still be carried out by the next boot
/// of the worker; it counts as present until its lease would have expired.
fn handle_ended(world: &mut World, cx: &Cx<'_>, id: WorkerId) {
    if world.workers.get(&id).is_some_and(|row| row.loss.is_some()) {
        starts_in_flight::handle_loss(world, cx, id);
        handle_unanswered(world, cx.now, id);
        return;
    }
    crashes::record_loss(world, cx, id, WorkerEnd::Ended, |_| false);
    starts_in_flight::handle_loss(world, cx, id);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    let is_confirmed = |run: &&Run| run.is_confirmed;
    let confirmed = row.runs.values().filter(is_confirmed);
    let confirmed: Vec<TaskId> = confirmed.map(|run| run.id.task).collect();
    row.forget_boot(cx.now);
    row.mark_all_stopping(cx.now);
    for task in confirmed {
        world.end_run(id, task, Some(RunEnd::Crashed));
    }
    holds::begin_acquisition(world, cx, id);
    // It is not usable soon.
    handle_unanswered(world, cx.now, id);
}

/// Handles the answer of an unreachable worker to a probe.
fn handle_reachable(row: &mut Worker, now: Time) {
    tracing::info!(worker = %row.entry.id, "unreachable worker answers again");
    row.hold = Hold::Fenced(now + REACHABLE_ACQUIRE_DELAY);
}

/// Handles a poll that was not answered. A poll with an acquiring token must not be in flight when
/// a network partition heals, since it would take the worker from a VM that uses it; so after some
/// unanswered polls the worker is only probed.
fn handle_unanswered(world: &mut World, now: Time, id: WorkerId) {
    world.stats.unanswered_requests += 1;
    let interval = if starts_in_flight::must_fence(world, id) {
        FENCING_PROBE_INTERVAL
    } else {
        PROBE_INTERVAL
    };
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.next_probe_at = now + interval;
    if row.hold != Hold::Acquiring {
        return;
    }
    row.unanswered_polls += 1;
    if row.unanswered_polls >= MAX_UNANSWERED_POLLS {
        tracing::info!(
            worker = %id,
            token = row.token.0,
            "worker does not answer; probing it until it does"
        );
        row.hold = Hold::Unreachable;
    }
}

/// Handles a worker that saw a higher token: another VM acquired it and stops the runs there. Runs
/// that this VM started count as present until their lease has certainly expired.
pub fn handle_fenced(world: &mut World, now: Time, id: WorkerId) {
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    let was_acquiring = row.hold == Hold::Acquiring;
    // A token that was too low from the start is raised after a short delay. A worker that was lost
    // is left to the VM that acquired it. The delays grow exponentially in case two VMs that can't
    // reach each other compete for the worker.
    let (delay, steps) = if was_acquiring {
        let doublings = row
            .times_fenced
            .saturating_sub(TOKEN_RETRIES_BEFORE_BACKOFF);
        let quadruplings = 2 * row.times_fenced.min(MAX_BACKOFF_DOUBLINGS);
        (
            TOKEN_RETRY_DELAY * (1 << doublings.min(MAX_BACKOFF_DOUBLINGS)),
            TOKEN_RETRY_STEPS << quadruplings,
        )
    } else {
        (
            REACQUIRE_DELAY * (1 << row.times_fenced.min(MAX_BACKOFF_DOUBLINGS)),
            REACQUIRE_TOKEN_STEPS,
        )
    };
    let token = row.token;
    row.times_fenced += 1;
    row.hold = Hold::Fenced(now + delay.min(MAX_RETRY_DELAY));
    row.poll = None;
    tracing::info!(
        worker = %id,
        token = token.0,
        was_taking = was_acquiring,
        "worker reported a higher fencing token"
    );
    world.raise_token(token, steps);
}

/// Handles an answer of another worker at the address. The intended worker is gone with all its
/// runs, and no request in flight to it can start a run.
pub fn handle_replaced(world: &mut World, cx: &Cx<'_>, id: WorkerId) {
    let now = cx.now;
    if is_fenced_on_return(world, id) {
        starts_in_flight::rule_out_replaced(world, now, id);
        if let Some(row) = world.workers.get_mut(&id) {
            row.next_probe_at = now + FENCING_PROBE_INTERVAL;
        }
        return;
    }
    tracing::info!(
        worker = %id,
        "another worker answers at the address of this one; its runs have ended"
    );
    crashes::record_loss(world, cx, id, WorkerEnd::Replaced, |_| false);
    starts_in_flight::rule_out_replaced(world, now, id);
    world.end_all_runs(id, RunEnd::Broken);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.forget_boot(now);
    row.lost_to = None;
    row.poll = None;
    row.hold = Hold::Fenced(now + REPLACED_RETRY_DELAY);
    fence_on_return(world, cx, id);
}

/// Probes a worker at whose address another one answers, if it could carry out a late start when it is
/// back there: it is fenced as soon as it answers.
fn fence_on_return(world: &mut World, cx: &Cx<'_>, id: WorkerId) {
    if !starts_in_flight::must_fence(world, id) {
        return;
    }
    holds::begin_acquisition(world, cx, id);
    if let Some(row) = world.workers.get_mut(&id) {
        row.hold = Hold::Unreachable;
        row.next_probe_at = cx.now + FENCING_PROBE_INTERVAL;
    }
}

/// Returns whether another worker was found at the address of this one, which is probed for that.
fn is_fenced_on_return(world: &World, id: WorkerId) -> bool {
    let row = world.workers.get(&id);
    let row = row.filter(|row| row.hold == Hold::Unreachable);
    let loss = row.and_then(|row| row.loss);
    loss.is_some_and(|loss| loss.end == WorkerEnd::Replaced)
        && starts_in_flight::must_fence(world, id)
}

/// Handles a reboot of the worker. A start in flight may have reached the new boot, so each run
/// counts as present until the worker has answered a poll under a new token.
fn handle_reboot(world: &mut World, cx: &Cx<'_>, id: WorkerId, status: &WorkerStatus) {
    let boot = status.boot;
    tracing::info!(worker = %id, boot, "worker has rebooted; acquiring it again");
    let is_alive = |run: &Run| {
        let mut running = status.running.iter();
        let mut ended = status.ended.iter();
        running.any(|row| row.run == run.id) || ended.any(|row| row.run == run.id)
    };
    crashes::record_loss(world, cx, id, WorkerEnd::Replaced, is_alive);
    starts_in_flight::handle_loss(world, cx, id);
    if let Some(loss) = world.workers.get_mut(&id).and_then(|row| row.loss.as_mut()) {
        loss.end = WorkerEnd::Replaced;
    }
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.forget_boot(cx.now);
    row.boot = boot;
    row.mark_all_stopping(cx.now);
    holds::begin_acquisition(world, cx, id);
}

fn handle_status(
    world: &mut World,
    cx: &mut Cx<'_>,
    id: WorkerId,
    sent_at: Time,
    status: WorkerStatus,
) {
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    if row.boot.is_some() && status.boot.is_some() && row.boot != status.boot {
        handle_reboot(world, cx, id, &status);
        return;
    }
    let was_silent = row.loss.is_some_and(|loss| loss.end == WorkerEnd::Silent);
    if was_silent && row.boot.is_some() {
        row.loss = None;
        suspect_reports::withdraw_silence(world, id);
    }
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    let is_same_boot = row.boot.is_some() && row.boot == status.boot;
    row.boot = status.boot.or(row.boot);
    row.last_answer_at = cx.now;
    row.unanswered_polls = 0;
    row.record_clock(cx.now, status.clock_ms);
    if is_same_boot {
        starts_in_flight::rule_out_suspected(world, cx.now, id);
    }
    starts_in_flight::rule_out_answered(world, cx.now, id, &status.running);
    apply_ended_runs(world, cx.now, id, &status);
    // First, so that a listed run of a task whose later run has ended counts as present.
    end_unlisted_runs(world, cx.now, id, sent_at, &status);
    apply_running_runs(world, cx, id, &status);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    // Before the next poll renews the lease, so that it is known whether the lease has lapsed.
    world.stats.expired_leases += stops::end_withholding(row, cx.now);
    if row.hold == Hold::Held && cx.now.since(row.held_since) > UNDISPUTED_AFTER {
        row.times_fenced = 0;
    }
    if row.hold == Hold::Acquiring && row.runs.is_empty() {
        row.held_since = cx.now;
        row.loss = None;
        row.lost_to = None;
        row.hold = Hold::Held;
        tracing::info!(worker = %id, token = row.token.0, "worker acquired");
    }
}

/// Ends the runs that the worker reports as ended. The next poll acknowledges them.
fn apply_ended_runs(world: &mut World, now: Time, id: WorkerId, status: &WorkerStatus) {
    for ended in &status.ended {
        starts_in_flight::rule_out_run(world, now, id, ended.run);
        let Some(row) = world.workers.get_mut(&id) else {
            return;
        };
        row.last_seen = row.last_seen.max(ended.number);
        let task = ended.run.task;
        if row.runs.get(&task).is_some_and(|run| run.id == ended.run) {
            world.end_run(id, task, Some(ended.end));
        }
    }
}

/// Confirms the starts of listed runs, and stops listed runs that this VM did not start.
fn apply_running_runs(world: &mut World, cx: &Cx<'_>, id: WorkerId, status: &WorkerStatus) {
    let grace = world.policy.stop_grace * 2;
    if let Some(row) = world.workers.get_mut(&id) {
        let is_listed = |run: RunId| status.running.iter().any(|row| row.run == run);
        row.untracked.retain(|&run, _| is_listed(run));
    }
    for running in &status.running {
        let ended = status.ended.iter().any(|ended| ended.run == running.run);
        let Some(row) = world.workers.get_mut(&id) else {
            return;
        };
        match row.runs.get_mut(&running.run.task) {
            Some(run) if run.id == running.run => {
                run.is_confirmed = true;
                if run.state == RunState::Starting {
                    run.state = RunState::Running(cx.now);
                }
            }
            _ if ended => {}
            Some(_) => {
                let stop = Stop::new(cx.now);
                row.untracked.entry(running.run).or_insert(stop);
            }
            None => add_unknown_run(world, cx.now, id, running.run),
        }
        repeat_stop(world, cx.now, id, running.run, grace);
    }
}

/// Repeats the stop of a listed run, if it has one that seems to be lost or to have had no effect.
fn repeat_stop(world: &mut World, now: Time, worker: WorkerId, id: RunId, grace: Duration) {
    let row = world.workers.get_mut(&worker);
    let Some(stop) = row.and_then(|row| row.stop_mut(id)) else {
        return;
    };
    stop.record_listed(now, grace);
    if stop.is_due(now, LISTED_STOP_RETRY) {
        world.stops.push((worker, id));
    }
}

/// Records a run that this VM did not start until it has been stopped.
fn add_unknown_run(world: &mut World, now: Time, worker: WorkerId, id: RunId) {
    tracing::info!(%worker, run = %id, "stopping a run that another holder started");
    let run = Run {
        id,
        need: Resources::default(),
        state: RunState::Stopping(Stop::new(now)),
        requested_at: now,
        estimate: Duration::ZERO,
        predicted: Duration::ZERO,
        token: FencingToken(0),
        start_requests: 0,
        is_confirmed: true,
        queue: None,
    };
    if let Some(row) = world.workers.get_mut(&worker) {
        row.assume_max_lease(now);
    }
    world.add_run(worker, run);
}

/// Ends the runs that the worker does not list although it should: their start was confirmed or
/// their stop was acknowledged before the poll was sent. While a worker is being acquired, no run
/// has the new token and the worker refuses requests with earlier ones, so every run that is not
/// listed has ended.
fn end_unlisted_runs(
    world: &mut World,
    now: Time,
    id: WorkerId,
    sent_at: Time,
    status: &WorkerStatus,
) {
    let Some(row) = world.workers.get(&id) else {
        return;
    };
    let is_listed = |run: &Run| status.running.iter().any(|row| row.run == run.id);
    let missing: Vec<_> = row
        .runs
        .values()
        .filter(|run| !is_listed(run))
        .filter(|run| match run.state {
            _ if row.hold == Hold::Acquiring => true,
            RunState::Starting => false,
            RunState::Running(since) => since < sent_at,
            RunState::Stopping(stop) => stop.acked_at.is_some_and(|acked_at| acked_at < sent_at),
        })
        .map(|run| run.id)
        .collect();
    let is_held = row.hold == Hold::Held;
    for run in missing {
        if is_held {
            // Its start was carried out, or its stop was.
            starts_in_flight::rule_out_run(world, now, id, run);
        }
        world.end_run(id, run.task, None);
    }
}
