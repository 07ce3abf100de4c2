//! Jobs that a client cancelled, perhaps at a VM that does not know them.
//!
//! The entry of a job and its runner know it. A VM that doesn't know a cancelled job asks the relays of
//! its data centre, and then all VMs through one of them. See `docs/design/cancellation.md`.

use super::cancel_marks::{tell, tell_all_holders};
use super::cancel_targets::{Targets, holders, targets};
use super::{entry, runner};
use crate::guarded::action::Action;
use crate::guarded::model::answer::{Answer, RefusalCause};
use crate::guarded::model::cancel::{
    CancelMark, CancelOutcome, CancelReply, CancelRequest, CancelScope,
};
use crate::guarded::model::ids::ClientJobId;
use crate::guarded::model::message::Message;
use crate::guarded::tables::cancel_marks::{Mark, RETENTION};
use crate::guarded::tables::cancellation::{Asker, Cancellation, Stage};
use crate::guarded::world::{Cx, World};
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of rows of a message.
const MAX_MESSAGE_ROWS: usize = 512;
/// Time after which a client is told that not all VMs could be asked. Clients allow 4 s, and a VM may
/// read the request up to 1 s late.
const CLIENT_LIMIT: Duration = Duration::from_millis(2_500);
/// Time to wait for the relays and standbys of this data centre before all VMs are asked.
const LOCALS_LIMIT: Duration = Duration::from_millis(60);
/// Time that the VMs of a data centre have to reply to the relay that asked them; as long as a VM may
/// stall without dropping its jobs.
const DATA_CENTRE_LIMIT: Duration = Duration::from_millis(400);
/// Same for the relay that asks the whole system: its peers wait for their data centres.
const SYSTEM_LIMIT: Duration = Duration::from_millis(600);
/// Same for the called VM.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(900);
/// Pause after the first incomplete attempt. Each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of times that the pause is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// What this VM did for a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Local {
    /// It knew the job and ended it.
    Ended,
    /// It was the entry of the job and answered the clients; this runner must end it.
    AtRunner(Incarnation),
    /// It does not know the job.
    Unknown,
}

/// Cancels a job for a client of this VM.
pub fn request(world: &mut World, cx: &mut Cx<'_>, call: CallId, id: ClientJobId) {
    world.stats.cancels += 1;
    for row in world.cancellations.of_job_mut(id) {
        if let Asker::Clients(calls) = &mut row.asker {
            calls.push(call);
            return;
        }
    }
    let local = cancel(world, cx, id);
    tracing::info!(job = %id, ?local, "a client cancels the job");
    let clients = Asker::Clients(vec![call]);
    match local {
        Local::Ended => finish(world, cx, id, &clients, CancelOutcome::Cancelled),
        Local::AtRunner(peer) => wait_for_runner(world, cx, id, clients, peer),
        Local::Unknown if world.cancel_marks.is_found(cx.now, id) => {
            acknowledge(world, cx, id, &[call], CancelOutcome::Cancelled);
        }
        Local::Unknown if has_ended(world, id) => {
            acknowledge(world, cx, id, &[call], CancelOutcome::Unknown);
        }
        Local::Unknown => ask_locals(world, cx, id, clients),
    }
}

/// Handles a peer's requests to cancel jobs.
pub fn handle_requests(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    requests: &[CancelRequest],
) {
    for &CancelRequest { job, scope } in requests {
        let outcome = match cancel(world, cx, job) {
            Local::Ended => CancelOutcome::Cancelled,
            Local::AtRunner(peer) if peer == from => CancelOutcome::Cancelled,
            Local::AtRunner(peer) => {
                wait_for_runner(world, cx, job, Asker::Peer(from, scope), peer);
                continue;
            }
            Local::Unknown if world.cancel_marks.is_found(cx.now, job) => CancelOutcome::Cancelled,
            Local::Unknown if scope == CancelScope::Receiver || has_ended(world, job) => {
                CancelOutcome::Unknown
            }
            Local::Unknown => {
                ask_for_peer(world, cx, job, from, scope);
                continue;
            }
        };
        reply(world, from, job, scope, outcome);
    }
}

/// Handles a peer's replies.
pub fn handle_replies(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    replies: &[CancelReply],
) {
    for reply in replies {
        let mut is_found = false;
        for row in world.cancellations.of_job_mut(reply.job) {
            if !row.waiting.remove(&(from, reply.scope)) {
                continue;
            }
            row.is_incomplete |= reply.outcome == CancelOutcome::Incomplete;
            is_found |= reply.outcome == CancelOutcome::Cancelled;
        }
        if is_found {
            finish_found(world, cx, reply.job);
        } else {
            settle(world, cx, reply.job);
        }
    }
}

/// Handles a peer's marks of jobs that were found and cancelled.
pub fn handle_marks(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, marks: &[CancelMark]) {
    for mark in marks.iter().filter(|mark| mark.age < RETENTION) {
        let at = cx.now.minus(mark.age);
        let row = Mark { at, is_found: true };
        let is_news = world.cancel_marks.insert(cx.now, mark.job, row);
        if let Local::AtRunner(peer) = end(world, cx, mark.job) {
            ask(world, mark.job, peer, CancelScope::Receiver);
        }
        if is_news {
            tell(world, cx.now, Some(from), mark.job, at, mark.scope);
        }
    }
}

/// Handles the loss of a connection: the peer's replies won't come. A runner is still waited for, since
/// its leases for the job end.
pub fn handle_peer_loss(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    for row in world.cancellations.iter_mut() {
        let waits = |row: &Cancellation| row.waiting.iter().any(|(vm, _)| *vm == peer);
        if row.stage != Stage::Runner && waits(row) {
            row.waiting.retain(|(vm, _)| *vm != peer);
            row.is_incomplete = true;
        }
    }
    settle_all(world, cx);
}

/// Ends the waits that have reached their limits, and begins the attempts that are due.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.cancellations.len() == 0 {
        return;
    }
    let max_orphan = world.policy.max_orphan_duration();
    for row in world.cancellations.iter_mut() {
        let limit = match (row.stage, &row.asker) {
            (Stage::Runner, _) => max_orphan,
            (Stage::Locals, _) => LOCALS_LIMIT,
            (Stage::All, Asker::Clients(_)) => ATTEMPT_LIMIT,
            (Stage::All, Asker::Peer(_, CancelScope::System)) => SYSTEM_LIMIT,
            (Stage::All, Asker::Peer(..)) => DATA_CENTRE_LIMIT,
            (Stage::Pause(_), _) => continue,
        };
        if !row.waiting.is_empty() && cx.now.since(row.stage_at) >= limit {
            row.is_incomplete = true;
            row.waiting.clear();
        }
    }
    settle_all(world, cx);
}

/// Sends what the tick has left for the peers.
pub fn send(world: &mut World, cx: &mut Cx<'_>) {
    let outbox = std::mem::take(&mut world.cancel_outbox);
    send_rows(cx, outbox.requests, Message::Cancel);
    send_rows(cx, outbox.replies, Message::CancelReplies);
    send_rows(cx, outbox.marks, Message::CancelMarks);
}

/// Answers all clients that wait for the outcome of a cancellation. Used when this VM closes.
pub fn close(world: &mut World, cx: &mut Cx<'_>) {
    for job in world.cancellations.jobs() {
        for row in world.cancellations.take(job) {
            finish(world, cx, job, &row.asker, CancelOutcome::Incomplete);
        }
    }
    send(world, cx);
}

/// Returns the answer to a submission of a cancelled job; `None` if it was not cancelled. Nothing of a
/// job that no VM knew has run.
pub fn check_submission(world: &World, now: Time, id: ClientJobId) -> Option<Answer> {
    let mark = world.cancel_marks.get(now, id)?;
    Some(if mark.is_found {
        Answer::Cancelled
    } else {
        Answer::Refused {
            cause: RefusalCause::CancelledBefore,
            retry_after: RETENTION.saturating_sub(now.since(mark.at)),
        }
    })
}

/// Ends a job if this VM is its entry or its runner, and marks it.
fn cancel(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) -> Local {
    if let Some(runner) = unconfirmed_runner(world, id) {
        return Local::AtRunner(runner);
    }
    let local = end(world, cx, id);
    if local != Local::Unknown || !has_ended(world, id) {
        let is_found = local != Local::Unknown;
        let mark = Mark {
            at: cx.now,
            is_found,
        };
        world.cancel_marks.insert(cx.now, id, mark);
    }
    local
}

/// Returns the runner that was asked to end a job and has not confirmed that.
fn unconfirmed_runner(world: &mut World, id: ClientJobId) -> Option<Incarnation> {
    let rows = world.cancellations.of_job_mut(id);
    let mut waiting = rows.iter().filter(|row| row.stage == Stage::Runner);
    let (runner, _) = waiting.find_map(|row| row.waiting.first().copied())?;
    Some(runner)
}

/// Ends a job if this VM is its entry or its runner: answers its clients and stops its runs.
fn end(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) -> Local {
    let entry = world.entries.get(&id).map(|row| row.runner);
    let is_known = entry.is_some() || world.jobs.contains_key(&id);
    if !is_known {
        return Local::Unknown;
    }
    runner::end_job(world, cx, id, Answer::Cancelled);
    entry::answer_clients(world, cx, id, Answer::Cancelled);
    match entry.flatten() {
        Some(peer) if peer != world.me => Local::AtRunner(peer),
        _ => Local::Ended,
    }
}

/// Returns whether a job is known to have ended by itself.
fn has_ended(world: &World, id: ClientJobId) -> bool {
    let recent = world.recent.get(id);
    matches!(recent, Some(Answer::Completed | Answer::Failed))
}

/// Asks the runner of a job to end it.
fn wait_for_runner(
    world: &mut World,
    cx: &mut Cx<'_>,
    job: ClientJobId,
    asker: Asker,
    peer: Incarnation,
) {
    remove_repeated(world, job, &asker);
    ask(world, job, peer, CancelScope::Receiver);
    let mut row = Cancellation::new(cx.now, asker, Stage::Runner);
    row.waiting.insert((peer, CancelScope::Receiver));
    add(world, cx, job, row);
}

/// Asks the relays and standbys of this data centre, for a client. They hold its workers.
fn ask_locals(world: &mut World, cx: &mut Cx<'_>, job: ClientJobId, clients: Asker) {
    let mut row = Cancellation::new(cx.now, clients, Stage::Locals);
    row.waiting = holders(world, world.me.data_centre)
        .map(|peer| (peer, CancelScope::Receiver))
        .collect();
    ask_waiting(world, job, &row);
    add(world, cx, job, row);
    settle(world, cx, job);
}

/// Removes the row of an earlier request, which a repeated one replaces.
fn remove_repeated(world: &mut World, job: ClientJobId, asker: &Asker) {
    for row in world.cancellations.take(job) {
        if row.asker != *asker {
            world.cancellations.insert(job, row);
        }
    }
}

/// Asks the VMs that a peer's request covers.
fn ask_for_peer(
    world: &mut World,
    cx: &mut Cx<'_>,
    job: ClientJobId,
    from: Incarnation,
    scope: CancelScope,
) {
    let asker = Asker::Peer(from, scope);
    remove_repeated(world, job, &asker);
    let targets = targets(world, cx.now, Some(from), scope);
    let mut row = Cancellation::new(cx.now, asker, Stage::All);
    row.waiting = targets.peers;
    row.is_incomplete = targets.is_incomplete;
    ask_waiting(world, job, &row);
    add(world, cx, job, row);
    settle(world, cx, job);
}

/// Asks all VMs for a client: through a relay, a different one at each attempt, or directly if this VM
/// is the relay.
fn ask_all(world: &mut World, cx: &Cx<'_>, job: ClientJobId, row: &mut Cancellation) {
    let own = world.topology.is_relay.then_some(world.me);
    let relays = world.peers.iter().filter(|(peer, row)| {
        row.linked && row.is_relay() && peer.data_centre == world.me.data_centre
    });
    let relays = own.into_iter().chain(relays.map(|(&peer, _)| peer));
    let relays: Vec<Incarnation> = relays.collect();
    let relay = relays.get(row.attempts as usize % relays.len().max(1));
    let targets = match relay {
        Some(&relay) if relay == world.me => targets(world, cx.now, None, CancelScope::System),
        Some(&relay) => Targets {
            peers: BTreeSet::from([(relay, CancelScope::System)]),
            is_incomplete: false,
        },
        None => Targets {
            is_incomplete: true,
            ..Targets::default()
        },
    };
    if row.attempts == 0 {
        world.stats.cancels_passed_on += 1;
    }
    row.attempts += 1;
    row.stage = Stage::All;
    row.stage_at = cx.now;
    row.waiting = targets.peers;
    row.is_incomplete = targets.is_incomplete;
    ask_waiting(world, job, row);
}

fn ask(world: &mut World, job: ClientJobId, to: Incarnation, scope: CancelScope) {
    let rows = world.cancel_outbox.requests.entry(to).or_default();
    rows.push(CancelRequest { job, scope });
}

fn ask_waiting(world: &mut World, job: ClientJobId, row: &Cancellation) {
    for &(peer, scope) in &row.waiting {
        ask(world, job, peer, scope);
    }
}

fn reply(
    world: &mut World,
    to: Incarnation,
    job: ClientJobId,
    scope: CancelScope,
    outcome: CancelOutcome,
) {
    let rows = world.cancel_outbox.replies.entry(to).or_default();
    rows.push(CancelReply {
        job,
        scope,
        outcome,
    });
}

/// Adds an open cancellation. Its outcome is not waited for if there are too many.
fn add(world: &mut World, cx: &mut Cx<'_>, job: ClientJobId, row: Cancellation) {
    if world.cancellations.is_full() {
        finish(world, cx, job, &row.asker, CancelOutcome::Incomplete);
    } else {
        world.cancellations.insert(job, row);
    }
}

fn settle_all(world: &mut World, cx: &mut Cx<'_>) {
    for job in world.cancellations.jobs() {
        settle(world, cx, job);
    }
}

/// Ends the cancellations of a job that have their outcome, and begins the next stage of others.
fn settle(world: &mut World, cx: &mut Cx<'_>, job: ClientJobId) {
    for mut row in world.cancellations.take(job) {
        match settle_row(world, cx, job, &mut row) {
            Some(outcome) => finish(world, cx, job, &row.asker, outcome),
            None => world.cancellations.insert(job, row),
        }
    }
}

/// Returns the outcome of a cancellation, or begins its next stage if one is due.
fn settle_row(
    world: &mut World,
    cx: &Cx<'_>,
    job: ClientJobId,
    row: &mut Cancellation,
) -> Option<CancelOutcome> {
    let is_for_clients = matches!(row.asker, Asker::Clients(_));
    let is_late = cx.now.since(row.begun_at) >= CLIENT_LIMIT;
    if is_for_clients && is_late && row.stage != Stage::Runner {
        return Some(CancelOutcome::Incomplete);
    }
    loop {
        match row.stage {
            Stage::Pause(until) if cx.now < until => return None,
            Stage::Runner | Stage::Locals | Stage::All if !row.waiting.is_empty() => return None,
            Stage::Runner => return Some(CancelOutcome::Cancelled),
            Stage::All if !row.is_incomplete => return Some(CancelOutcome::Unknown),
            Stage::All if !is_for_clients => return Some(CancelOutcome::Incomplete),
            Stage::All => {
                let doublings = row.attempts.saturating_sub(1).min(MAX_DOUBLINGS);
                row.stage = Stage::Pause(cx.now + FIRST_PAUSE * (1 << doublings));
            }
            Stage::Locals if !world.lookup_limit.take(cx.now) => {
                world.stats.cancels_over_limit += 1;
                return Some(CancelOutcome::Incomplete);
            }
            Stage::Locals | Stage::Pause(_) => ask_all(world, cx, job, row),
        }
    }
}

/// Ends all cancellations of a job that some VM has ended.
fn finish_found(world: &mut World, cx: &mut Cx<'_>, job: ClientJobId) {
    for row in world.cancellations.take(job) {
        finish(world, cx, job, &row.asker, CancelOutcome::Cancelled);
    }
}

fn finish(
    world: &mut World,
    cx: &mut Cx<'_>,
    job: ClientJobId,
    asker: &Asker,
    outcome: CancelOutcome,
) {
    let is_found = outcome == CancelOutcome::Cancelled;
    let mark = Mark {
        at: cx.now,
        is_found,
    };
    if is_found {
        world.cancel_marks.insert(cx.now, job, mark);
    }
    match asker {
        Asker::Clients(calls) => {
            if is_found {
                tell_all_holders(world, cx.now, job);
            }
            acknowledge(world, cx, job, calls, outcome);
        }
        Asker::Peer(peer, scope) => reply(world, *peer, job, *scope, outcome),
    }
}

fn acknowledge(
    world: &mut World,
    cx: &mut Cx<'_>,
    job: ClientJobId,
    calls: &[CallId],
    outcome: CancelOutcome,
) {
    let stats = &mut world.stats;
    let count = match outcome {
        CancelOutcome::Cancelled => &mut stats.cancels_found,
        CancelOutcome::Unknown => &mut stats.cancels_unknown,
        CancelOutcome::Incomplete => &mut stats.cancels_incomplete,
    };
    *count += calls.len() as u64;
    if outcome == CancelOutcome::Incomplete {
        tracing::warn!(%job, "not all VMs could be asked to cancel the job");
    } else {
        tracing::info!(%job, ?outcome, "cancellation acknowledged");
    }
    for &call in calls {
        cx.emit(Action::Acknowledge { call, outcome });
    }
}

fn send_rows<T: Clone>(
    cx: &mut Cx<'_>,
    rows: BTreeMap<Incarnation, Vec<T>>,
    message: impl Fn(Vec<T>) -> Message,
) {
    for (to, rows) in rows {
        for rows in rows.chunks(MAX_MESSAGE_ROWS) {
            let message = message(rows.to_vec());
            cx.emit(Action::Send { to, message });
        }
    }
}
