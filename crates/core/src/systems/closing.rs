//! The graceful stop.
//!
//! The incarnation takes no new work, finishes what it has, hands its outcomes to peers, reports
//! its usage and tells everyone who answers for it. Closing is final: an id that was issued and
//! never submitted can't run any more, and the holders of the archive may say so.

use super::usage;
use crate::action::Action;
use crate::model::ids::{CallId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::message::{Handover, Message};
use crate::status::Phase;
use crate::tables::archive::cut;
use crate::timers::Timer;
use crate::world::{Cx, World};

/// Peers outside of the own data centre that hold the archive if no peer inside does.
const REMOTE_HOLDERS: usize = 2;

/// Begins the stop.
pub fn begin(world: &mut World, cx: &mut Cx<'_>) {
    if world.phase != Phase::Serving {
        return;
    }
    world.phase = Phase::Draining;
    world.issuer.changed = true;
    super::membership::beat(world, cx);
}

/// Begins the stop of this process or passes the request on to the VM's process.
pub fn drain(world: &mut World, cx: &mut Cx<'_>, call: CallId, vm: VmId) {
    let peers = world.members.connected();
    let peer = peers.into_iter().find(|peer| peer.vm == vm);
    let found = vm == world.me.vm || peer.is_some();
    cx.act(Action::RespondDrain { call, found });
    if vm == world.me.vm {
        begin(world, cx);
    } else if let Some(peer) = peer {
        cx.send(world, peer, Message::Drain);
    }
}

/// Takes the stop one step further if it can be.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.phase == Phase::Draining && is_drained(world) {
        hand_over(world, cx);
    }
    if world.phase == Phase::HandingOver {
        report_usage(world, cx);
    }
    if world.phase == Phase::HandingOver && is_handed_over(world) {
        close(world, cx);
    }
}

/// Writes the last usage report once no earlier one is on its way, which could replace it.
fn report_usage(world: &mut World, cx: &mut Cx<'_>) {
    if !world.closing.usage_begun && !world.store_ops.writes_usage() {
        world.closing.usage_begun = true;
        usage::write(world, cx, true);
    }
}

fn is_drained(world: &World) -> bool {
    let settled = world.attempts.is_empty() && !world.store_ops.has_requests();
    world.jobs.open_len() == 0 && world.forwards.is_empty() && settled
}

fn hand_over(world: &mut World, cx: &mut Cx<'_>) {
    world.phase = Phase::HandingOver;
    let asked = choose_holders(world, cx);
    let (key, bounds) = (world.jobs.key(), world.jobs.bounds());
    let part_len = world.policy.handover_part;
    let mut parts = cut(world.me, key, bounds, &world.jobs.outcomes(), part_len);
    let held: Vec<_> = world.archive.held().collect();
    for closed in held {
        parts.extend(world.archive.parts(closed, part_len));
    }
    for part in parts {
        world.closing.stored.entry(part.closed).or_default();
        for &peer in &asked {
            cx.send(world, peer, Message::Handover(part.clone()));
        }
    }
    world.closing.asked = asked;
    cx.subscribe(world, world.policy.handover_timeout, Timer::HandoverTimeout);
}

/// Chooses all peers of the own data centre, or a few others if there is none.
fn choose_holders(world: &World, cx: &Cx<'_>) -> Vec<Incarnation> {
    let live: Vec<_> = world
        .members
        .live(cx.now, world.policy.peer_silence)
        .collect();
    let mut near: Vec<_> = live
        .iter()
        .map(|(peer, _)| *peer)
        .filter(|peer| peer.data_centre == world.me.data_centre)
        .collect();
    if near.is_empty() {
        near = live.iter().map(|(peer, _)| *peer).collect();
        near.sort_unstable();
        near.truncate(REMOTE_HOLDERS);
    }
    near
}

fn is_handed_over(world: &World) -> bool {
    let closing = &world.closing;
    let connected = |peer: &&Incarnation| world.members.is_connected(**peer);
    let waiting_for: Vec<_> = closing.asked.iter().filter(connected).collect();
    let stored = closing
        .stored
        .values()
        .all(|holders| waiting_for.iter().all(|peer| holders.contains(peer)));
    closing.timed_out || (stored && closing.usage_written)
}

fn close(world: &mut World, cx: &mut Cx<'_>) {
    let stored = std::mem::take(&mut world.closing.stored);
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
    cx.act(Action::Closed);
}

/// Stores a part of the archive of a closing peer, and confirms the whole.
pub fn part_received(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, part: &Handover) {
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

/// Notes that a peer stored an archive.
pub fn stored_received(world: &mut World, from: Incarnation, closed: Incarnation) {
    if let Some(holders) = world.closing.stored.get_mut(&closed)
        && !holders.contains(&from)
    {
        holders.push(from);
    }
}

/// Notes the end of a usage write.
pub fn usage_replied(world: &mut World, closing: bool, written: bool) {
    if !written {
        world.usage.mark_changed();
    }
    if closing {
        world.closing.usage_written = true;
    }
}

/// Ends the time for the hand-over.
pub const fn timed_out(world: &mut World) {
    world.closing.timed_out = true;
}
