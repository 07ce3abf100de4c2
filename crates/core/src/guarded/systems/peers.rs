//! Peers: connections, silence, and what their heartbeats report.
//!
//! A lost connection ends the jobs that depend on it, but the peer counts as gone only once it has
//! been silent for its limit, or refuses connections.

use super::{
    cancel_marks, cancels, drain_reports, entry, evacuations, heartbeats, runner, start_reports,
    suspect_reports,
};
use crate::guarded::action::Action;
use crate::guarded::model::message::{Heartbeat, RemoteHolder};
use crate::guarded::tables::peer::Peer;
use crate::guarded::tables::remote_holder::RemoteHolderRow;
use crate::guarded::world::{Cx, World};
use crate::model::ids::VmId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::time::Duration;

/// Age from which the reported load of a holder in another data centre is not used.
const REMOTE_LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Adds a connected peer and sends it a heartbeat.
pub fn add_peer(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    remove_earlier_incarnations(world, cx, peer);
    let row = world.peers.entry(peer).or_insert_with(|| Peer::new(cx.now));
    row.linked = true;
    row.last_message_at = cx.now;
    row.last_used_at = cx.now;
    world.directory.mark_connected(peer.vm);
    world.topology.is_outdated = true;
    heartbeats::send(world, cx, &[peer]);
    suspect_reports::report_to(world, cx, peer);
    start_reports::report_to(world, cx, peer);
    cancel_marks::report_to(world, cx.now, peer);
    drain_reports::report_to(world, cx, peer);
}

/// Removes the peers that ran on the same VM before: a process that has started anew knows nothing
/// of their jobs.
fn remove_earlier_incarnations(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    let known = world.peers.keys().copied();
    let earlier = known.filter(|known| known.vm == peer.vm && *known != peer);
    let earlier: Vec<Incarnation> = earlier.collect();
    for known in earlier {
        handle_disconnect(world, cx, known);
        world.peers.remove(&known);
    }
}

/// Handles the end of a connection: messages may be lost, so the jobs that depend on the peer are
/// given up. The peer itself may be alive.
pub fn handle_disconnect(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    if let Some(row) = world.peers.get_mut(&peer) {
        row.linked = false;
        row.jobs_since = None;
        world.topology.is_outdated = true;
    }
    runner::handle_origin_loss(world, cx, peer);
    entry::handle_runner_loss(world, cx, peer);
    cancels::handle_peer_loss(world, cx, peer);
}

/// Handles a refused connection: the process on this VM has ended.
pub fn handle_refusal(world: &mut World, vm: VmId) {
    world.directory.mark_unreachable(vm);
    let rows = world.peers.iter();
    let ended = rows.filter(|(peer, row)| peer.vm == vm && !row.linked);
    let ended: Vec<Incarnation> = ended.map(|(&peer, _)| peer).collect();
    for peer in ended {
        tracing::info!(%peer, "the process of the peer has ended");
        world.peers.remove(&peer);
        world.topology.is_outdated = true;
    }
}

/// Closes the connections to silent peers that jobs depend on, and removes peers that have been
/// silent for their limit. Shortly after a stall of this process, when messages may be unread, silence
/// counts up to what has been read.
pub fn remove_silent(world: &mut World, cx: &mut Cx<'_>) {
    let until = if cx.now < world.catching_up_until {
        world.horizon.at()
    } else {
        cx.now
    };
    let policy = world.policy;
    let rows = world.peers.iter();
    let silent = rows.filter(|(_, row)| {
        row.is_gone(until, &policy) || row.linked && row.has_timed_out(until, &policy)
    });
    let silent: Vec<Incarnation> = silent.map(|(&peer, _)| peer).collect();
    for peer in silent {
        handle_silence(world, cx, peer, until);
    }
}

/// Handles a peer that was silent for too long at the time `until`.
fn handle_silence(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation, until: Time) {
    let Some(row) = world.peers.get(&peer) else {
        return;
    };
    let is_gone = row.is_gone(until, &world.policy);
    tracing::info!(
        %peer,
        is_gone,
        silent_ms = row.silence(until).as_millis(),
        unread_ms = cx.now.since(until).as_millis(),
        known_age_ms = row.alive_at.map(|at| cx.now.since(at).as_millis()),
        has_jobs = row.jobs_since.is_some(),
        linked = row.linked,
        "peer is silent"
    );
    if row.linked {
        handle_disconnect(world, cx, peer);
        cx.emit(Action::Disconnect(peer));
    }
    if is_gone {
        world.peers.remove(&peer);
        world.directory.mark_unreachable(peer.vm);
        world.topology.is_outdated = true;
    }
}

/// Records a peer's heartbeat.
pub fn handle_heartbeat(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    heartbeat: Heartbeat,
) {
    world.record_token(heartbeat.token);
    evacuations::adopt(world, cx, &heartbeat.evacuations, false);
    let horizon = world.horizon.at();
    let is_local = from.data_centre == world.me.data_centre;
    let Some(row) = world.peers.get_mut(&from) else {
        return;
    };
    let before = row.heartbeat.as_ref();
    let is_news = before.is_none_or(|before| {
        (before.leaving, before.weight, before.is_relay)
            != (heartbeat.leaving, heartbeat.weight, heartbeat.is_relay)
    });
    world.topology.is_outdated |= is_news;
    row.placed_cpu_milli = 0;
    row.heartbeat_at = cx.now;
    row.stamps.record(heartbeat.sent_at, cx.now, horizon);
    if let Some(echo) = heartbeat.echo {
        row.record_echo(cx.now, echo);
    }
    let remote_holders = if is_local {
        heartbeat.remote_holders.clone()
    } else {
        Vec::new()
    };
    row.heartbeat = Some(heartbeat);
    for remote in remote_holders {
        record_remote_holder(world, cx.now, remote);
    }
}

/// Records the load of a holder in another data centre, unless a newer one is known.
fn record_remote_holder(world: &mut World, now: Time, remote: RemoteHolder) {
    let known_at = now.minus(remote.age);
    let known = world.remote_holders.get(&remote.holder);
    if known.is_some_and(|known| known.known_at >= known_at) {
        return;
    }
    let vm = remote.holder.vm;
    let is_current = |known: &Incarnation| known.vm != vm || *known == remote.holder;
    world.remote_holders.retain(|known, _| is_current(known));
    let row = RemoteHolderRow {
        load: remote.load,
        known_at,
        placed_cpu_milli: 0,
    };
    world.remote_holders.insert(remote.holder, row);
}

/// Removes reported holders whose load is too old to be used.
pub fn remove_outdated_holders(world: &mut World, now: Time) {
    let rows = &mut world.remote_holders;
    rows.retain(|_, row| now.since(row.known_at) < REMOTE_LOAD_TIMEOUT);
}
