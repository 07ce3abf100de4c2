//! Graceful stop of this process.
//!
//! The incarnation takes no new work, finishes its open jobs, hands its outcomes over to peers,
//! writes its last usage report and announces which peers hold its archive. Closing is final: no
//! task of an id that was issued and never submitted can run any more, so the holders of the
//! archive answer that it did not run.

use super::usage;
use crate::action::Action;
use crate::model::ids::{CallId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::message::{Handover, Message};
use crate::status::Phase;
use crate::tables::archive::split_outcomes;
use crate::timers::Timer;
use crate::world::{Cx, World};

/// Number of peers in other data centres that get the archive if there is no peer in this one.
const REMOTE_HOLDER_COUNT: usize = 2;

/// Begins the graceful stop.
pub fn begin(world: &mut World, cx: &mut Cx<'_>) {
    if world.phase != Phase::Serving {
        return;
    }
    world.phase = Phase::Draining;
    world.issuer.changed = true;
    super::membership::broadcast_heartbeat(world, cx);
}

/// Begins the graceful stop if `vm` is this VM, or forwards the request to the process of that VM.
pub fn handle_drain(world: &mut World, cx: &mut Cx<'_>, call: CallId, vm: VmId) {
    let peers = world.members.connected();
    let peer = peers.into_iter().find(|peer| peer.vm == vm);
    let found = vm == world.me.vm || peer.is_some();
    cx.emit(Action::RespondDrain { call, found });
    if vm == world.me.vm {
        begin(world, cx);
    } else if let Some(peer) = peer {
        cx.send(world, peer, Message::Drain);
    }
}

/// Advances the graceful stop to its next phase if the conditions for that are met.
pub fn advance(world: &mut World, cx: &mut Cx<'_>) {
    if world.phase == Phase::Draining && is_drained(world) {
        start_handover(world, cx);
    }
    if world.phase == Phase::HandingOver {
        write_final_usage(world, cx);
    }
    if world.phase == Phase::HandingOver && is_handed_over(world) {
        close(world, cx);
    }
}

/// Writes the last usage report once no earlier write is outstanding, which could overwrite it.
fn write_final_usage(world: &mut World, cx: &mut Cx<'_>) {
    if !world.shutdown.usage_write_submitted && !world.store_ops.has_usage_write() {
        world.shutdown.usage_write_submitted = true;
        usage::write(world, cx, true);
    }
}

fn is_drained(world: &World) -> bool {
    let settled = world.attempts.is_empty() && !world.store_ops.has_client_ops();
    world.jobs.open_len() == 0 && world.forwards.is_empty() && settled
}

fn start_handover(world: &mut World, cx: &mut Cx<'_>) {
    world.phase = Phase::HandingOver;
    let archive_recipients = choose_archive_holders(world, cx);
    let (key, bounds) = (world.jobs.key(), world.jobs.counter_bounds());
    let part_len = world.policy.handover_part_len;
    let mut parts = split_outcomes(world.me, key, bounds, &world.jobs.outcomes(), part_len);
    let held: Vec<_> = world.archive.complete_archives().collect();
    for closed in held {
        parts.extend(world.archive.parts(closed, part_len));
    }
    for part in parts {
        world.shutdown.stored_by.entry(part.closed).or_default();
        for &peer in &archive_recipients {
            cx.send(world, peer, Message::Handover(part.clone()));
        }
    }
    world.shutdown.archive_recipients = archive_recipients;
    cx.schedule_after(world, world.policy.handover_timeout, Timer::HandoverTimeout);
}

/// Returns all serving peers in this data centre, or a few others if there is none.
fn choose_archive_holders(world: &World, cx: &Cx<'_>) -> Vec<Incarnation> {
    let serving: Vec<_> = world
        .members
        .serving(cx.now, world.policy.peer_timeout)
        .collect();
    let mut holders: Vec<_> = serving
        .iter()
        .map(|(peer, _)| *peer)
        .filter(|peer| peer.data_centre == world.me.data_centre)
        .collect();
    if holders.is_empty() {
        holders = serving.iter().map(|(peer, _)| *peer).collect();
        holders.sort_unstable();
        holders.truncate(REMOTE_HOLDER_COUNT);
    }
    holders
}

fn is_handed_over(world: &World) -> bool {
    let shutdown = &world.shutdown;
    let connected = |peer: &&Incarnation| world.members.is_connected(**peer);
    let waiting_for: Vec<_> = shutdown
        .archive_recipients
        .iter()
        .filter(connected)
        .collect();
    let stored = shutdown
        .stored_by
        .values()
        .all(|holders| waiting_for.iter().all(|peer| holders.contains(peer)));
    shutdown.timed_out || (stored && shutdown.usage_write_ended)
}

fn close(world: &mut World, cx: &mut Cx<'_>) {
    let stored = std::mem::take(&mut world.shutdown.stored_by);
    for (closed, holders) in stored {
        if holders.is_empty() {
            continue;
        }
        for peer in world.members.connected() {
            cx.send(
                world,
                peer,
                Message::Closed {
                    closed,
                    holders: holders.clone(),
                },
            );
        }
    }
    world.phase = Phase::Closed;
    cx.emit(Action::Closed);
}

/// Stores a part of the archive of a closing peer, and confirms once all parts are stored.
pub fn handle_handover(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, part: &Handover) {
    if world.phase != Phase::Serving {
        return;
    }
    if world.archive.store(part, cx.now) {
        world
            .archive
            .record_holders(part.closed, &[world.me], cx.now);
        cx.send(
            world,
            from,
            Message::HandoverStored {
                closed: part.closed,
            },
        );
    }
}

/// Records that a peer stored an archive.
pub fn handle_handover_stored(world: &mut World, from: Incarnation, closed: Incarnation) {
    if let Some(holders) = world.shutdown.stored_by.get_mut(&closed)
        && !holders.contains(&from)
    {
        holders.push(from);
    }
}

/// Handles the end of a usage write.
pub fn handle_usage_reply(world: &mut World, is_last: bool, written: bool) {
    if !written {
        world.usage.mark_changed();
    }
    if is_last {
        world.shutdown.usage_write_ended = true;
    }
}

/// Handles the timeout of the handover.
pub const fn handle_timeout(world: &mut World) {
    world.shutdown.timed_out = true;
}
