//! Looks at workers: leases, ends of runs, and what is there.

use super::holding;
use crate::guarded::model::ids::{FencingToken, RunId, WorkerId};
use crate::guarded::model::reply::{Listing, LookReply, RunEnd};
use crate::guarded::model::resources::Resources;
use crate::guarded::order::{Look, Order};
use crate::guarded::tables::worker::{Hold, PendingLook, Run, RunState, Worker};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Time after which a look is replaced whose answer seems to be lost.
const REPLACE_AFTER: Duration = Duration::from_millis(80);
/// Factor on the predicted run time after which a run should have ended.
const OVERDUE_FACTOR: f64 = 1.5;
/// Time for which a look waits while the runs of another holder end.
const TAKING_WAIT: Duration = Duration::from_millis(20);
/// Time after which a worker that another VM took over is tried again.
const FENCED_PAUSE: Duration = Duration::from_millis(1_500);
/// Time after which a higher token is tried on a worker that saw one above the first.
const TOO_LOW_PAUSE: Duration = Duration::from_millis(20);
/// Tries of higher tokens after which these pauses begin to double.
const TOO_LOW_FREE: u32 = 4;
/// Steps by which the first of these tokens is higher; each further one by four times as many.
const TOO_LOW_STEPS: u64 = 50;
/// Steps by which a token is higher that takes back a worker that was lost.
const FENCED_STEPS: u64 = 10;
/// Time after which a hold counts as undisputed.
const UNDISPUTED: Duration = Duration::from_secs(4);
/// Doublings of these pauses at most.
const MAX_DOUBLINGS: u32 = 6;
/// Longest of these pauses.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);
/// Time after which a worker is tried again at whose address another one answered.
const REPLACED_PAUSE: Duration = Duration::from_millis(1_000);
/// Looks without an answer after which a worker that is taken over counts as out of reach.
const MAX_UNANSWERED: u32 = 2;
/// Pause before a worker that was out of reach is taken over. Where a network heals, the VMs that
/// use the worker are heard again within it.
const REACHED_PAUSE: Duration = Duration::from_millis(800);
/// Time after which a stop without an answer is repeated.
const STOP_RETRY: Duration = Duration::from_millis(60);

/// Orders the next look at each held worker that has none under way.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    let due: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| matches!(row.hold, Hold::Held | Hold::Taking | Hold::Unreached))
        .filter(|row| row.look.is_none_or(|look| is_overdue(row, look, cx.now)))
        .map(|row| row.entry.id)
        .collect();
    for id in due {
        order_look(world, cx, id);
    }
}

/// Tells whether the answer to a look seems to be lost: it has been under way for a while, and a run
/// should have ended. Another look then replaces it.
fn is_overdue(row: &Worker, look: PendingLook, now: Time) -> bool {
    let should_be_over = |run: &Run| match run.state {
        RunState::Running(since) => now.since(since) > run.predicted.mul_f64(OVERDUE_FACTOR),
        RunState::Starting | RunState::Stopping { .. } => false,
    };
    row.hold == Hold::Held
        && now.since(look.sent) > REPLACE_AFTER
        && row.runs.values().any(should_be_over)
}

fn order_look(world: &mut World, cx: &mut Cx<'_>, id: WorkerId) {
    let number = world.next_look();
    let policy = world.policy;
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.look = Some(PendingLook {
        number,
        sent: cx.now,
    });
    let fresh = cx.now.since(row.answered) < policy.worker_silence;
    let (lease_end_ms, wait) = match row.hold {
        Hold::Held if fresh => (row.extend_lease(cx.now, policy.lease), policy.look_wait),
        Hold::Held => (row.extend_lease(cx.now, policy.lease), Duration::ZERO),
        Hold::Taking if !row.runs.is_empty() => (None, TAKING_WAIT),
        _ => (None, Duration::ZERO),
    };
    // A worker does nothing for a probe, unless it has not seen any token yet.
    let (token, last_seen) = if row.hold == Hold::Unreached {
        (FencingToken(0), 0)
    } else {
        (row.token, row.last_seen)
    };
    world.stats.looks += 1;
    cx.order(Order::Look(Look {
        worker: id,
        look: number,
        token,
        lease_end_ms,
        last_seen,
        wait,
    }));
}

/// Takes in the reply to a look.
pub fn replied(world: &mut World, cx: &mut Cx<'_>, id: WorkerId, look: u64, reply: LookReply) {
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    let Some(pending) = row.look.filter(|pending| pending.number == look) else {
        return;
    };
    row.look = None;
    let probed = row.hold == Hold::Unreached;
    match reply {
        // It has seen no token, so no VM uses it.
        LookReply::Listed(_) if probed => row.hold = Hold::None,
        LookReply::Fenced if probed => reached(row, cx.now),
        LookReply::Listed(listing) => listed(world, cx, id, pending.sent, listing),
        LookReply::Fenced => fenced(world, cx.now, id),
        LookReply::OtherBoot => replaced(world, cx.now, id),
        LookReply::Silent => silent(world, id),
    }
}

/// A worker that was out of reach answered a probe.
fn reached(row: &mut Worker, now: Time) {
    tracing::info!(worker = %row.entry.id, "a worker that was out of reach answers");
    row.hold = Hold::Fenced(now + REACHED_PAUSE);
}

/// A look was not answered. A look that takes a worker over must not be under way when the network
/// heals, since it would take the worker from a VM that uses it; so it gives way to probes.
fn silent(world: &mut World, id: WorkerId) {
    world.stats.silent_orders += 1;
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    if row.hold != Hold::Taking {
        return;
    }
    row.unanswered += 1;
    if row.unanswered >= MAX_UNANSWERED {
        tracing::info!(worker = %id, token = row.token.0, "a worker is out of reach");
        row.hold = Hold::Unreached;
    }
}

/// Another VM has taken the worker over. It stops what runs there; what this VM started counts as
/// there until its lease has lapsed for certain.
pub fn fenced(world: &mut World, now: Time, id: WorkerId) {
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    let was_taking = row.hold == Hold::Taking;
    // A token that was too low from the start is raised soon; a worker that was lost is left to the
    // VM that took it. Rivals that can't hear each other leave ever longer pauses.
    let (pause, steps) = if was_taking {
        let doublings = row.fenced.saturating_sub(TOO_LOW_FREE);
        let quadruplings = 2 * row.fenced.min(MAX_DOUBLINGS);
        (
            TOO_LOW_PAUSE * (1 << doublings.min(MAX_DOUBLINGS)),
            TOO_LOW_STEPS << quadruplings,
        )
    } else {
        (
            FENCED_PAUSE * (1 << row.fenced.min(MAX_DOUBLINGS)),
            FENCED_STEPS,
        )
    };
    let token = row.token;
    row.fenced += 1;
    row.hold = Hold::Fenced(now + pause.min(LONGEST_PAUSE));
    row.look = None;
    tracing::info!(worker = %id, token = token.0, was_taking, "a worker saw a higher token");
    world.raise_tokens(token, steps);
}

/// Another worker answers at the address: the one that was meant is gone with all its runs, and
/// nothing that is under way to it can start.
pub fn replaced(world: &mut World, now: Time, id: WorkerId) {
    tracing::info!(worker = %id, "another worker answers at the address");
    world.end_all_runs(id, RunEnd::Broken);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.forget_clock(now);
    row.boot = None;
    row.last_seen = 0;
    row.look = None;
    row.hold = Hold::Fenced(now + REPLACED_PAUSE);
}

/// The worker has started anew. A start that was under way may have reached the new boot, so each
/// run counts as there until the worker was looked at under a new token.
fn rebooted(world: &mut World, cx: &Cx<'_>, id: WorkerId, boot: Option<u64>) {
    tracing::info!(worker = %id, boot, "a worker has started anew");
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.forget_clock(cx.now);
    row.boot = boot;
    row.last_seen = 0;
    row.mark_all_stopping();
    holding::begin_taking(world, cx, id);
}

fn listed(world: &mut World, cx: &mut Cx<'_>, id: WorkerId, sent: Time, listing: Listing) {
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    if row.boot.is_some() && listing.boot.is_some() && row.boot != listing.boot {
        rebooted(world, cx, id, listing.boot);
        return;
    }
    row.boot = listing.boot.or(row.boot);
    row.answered = cx.now;
    row.unanswered = 0;
    row.read_clock(cx.now, listing.clock_ms);
    take_ends(world, id, &listing);
    take_running(world, cx, id, &listing);
    end_missing(world, id, sent, &listing);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    if row.hold == Hold::Held && cx.now.since(row.held_since) > UNDISPUTED {
        row.fenced = 0;
    }
    if row.hold == Hold::Taking && row.runs.is_empty() {
        row.held_since = cx.now;
        row.hold = Hold::Held;
        tracing::info!(worker = %id, token = row.token.0, "worker held");
    }
}

/// Takes in the ends, which the next look acknowledges.
fn take_ends(world: &mut World, id: WorkerId, listing: &Listing) {
    for ended in &listing.ended {
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

/// Takes in what is there: confirms starts, and stops what this VM did not start.
fn take_running(world: &mut World, cx: &Cx<'_>, id: WorkerId, listing: &Listing) {
    for running in &listing.running {
        let ended = listing.ended.iter().any(|ended| ended.run == running.run);
        let Some(row) = world.workers.get_mut(&id) else {
            return;
        };
        match row.runs.get_mut(&running.run.task) {
            Some(run) if run.id == running.run => {
                confirm_or_stop(&mut world.stops, cx.now, id, run);
            }
            _ if ended => {}
            Some(_) => world.stops.push((id, running.run)),
            None => add_unknown(world, cx.now, id, running.run),
        }
    }
}

/// Confirms a start, or repeats a stop that seems to be lost.
fn confirm_or_stop(stops: &mut Vec<(WorkerId, RunId)>, now: Time, id: WorkerId, run: &mut Run) {
    match &mut run.state {
        RunState::Starting => run.state = RunState::Running(now),
        RunState::Stopping {
            ordered,
            acked: None,
        } if now.since(*ordered) > STOP_RETRY => {
            *ordered = now;
            stops.push((id, run.id));
        }
        RunState::Running(_) | RunState::Stopping { .. } => {}
    }
}

/// Keeps account of a run that this VM did not start, until it has been stopped.
fn add_unknown(world: &mut World, now: Time, worker: WorkerId, id: RunId) {
    tracing::info!(%worker, run = %id, "stopping a run that another holder started");
    let run = Run {
        id,
        need: Resources::default(),
        state: RunState::Stopping {
            ordered: now,
            acked: None,
        },
        ordered: now,
        estimate: Duration::ZERO,
        predicted: Duration::ZERO,
        tries: 0,
    };
    if let Some(row) = world.workers.get_mut(&worker) {
        row.assume_longest_lease(now);
    }
    world.add_run(worker, run);
    world.stops.push((worker, id));
}

/// Ends the runs that the worker does not list, if it would list them: their start was confirmed,
/// or their stop acknowledged, before the look was sent. While a worker is taken over no run has
/// the present token, and an order with an earlier one is refused from now on.
fn end_missing(world: &mut World, id: WorkerId, sent: Time, listing: &Listing) {
    let Some(row) = world.workers.get(&id) else {
        return;
    };
    let is_listed = |run: &Run| listing.running.iter().any(|row| row.run == run.id);
    let missing: Vec<_> = row
        .runs
        .values()
        .filter(|run| !is_listed(run))
        .filter(|run| match run.state {
            _ if row.hold == Hold::Taking => true,
            RunState::Starting => false,
            RunState::Running(since) => since < sent,
            RunState::Stopping { acked, .. } => acked.is_some_and(|acked| acked < sent),
        })
        .map(|run| run.id.task)
        .collect();
    for task in missing {
        world.end_run(id, task, None);
    }
}
