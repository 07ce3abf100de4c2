//! Peers, heartbeats and the election of the slot owner.

use super::routing;
use crate::model::incarnation::Incarnation;
use crate::model::message::{Heartbeat, Message};
use crate::model::time::Time;
use crate::status::Phase;
use crate::tables::member_table::choose_owner;
use crate::world::{Cx, World};
use std::sync::Arc;

/// Handles a new connection: sends the peer a heartbeat and the known closed incarnations with the
/// holders of their archives.
pub fn handle_peer_up(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    world.members.insert(peer, cx.now);
    let heartbeat = build_heartbeat(world);
    cx.send(world, peer, Message::Heartbeat(heartbeat));
    let announcements: Vec<_> = world
        .archive
        .closed_incarnations()
        .map(|(closed, holders)| Message::Closed {
            closed,
            holders: holders.to_vec(),
        })
        .collect();
    for message in announcements {
        cx.send(world, peer, message);
    }
}

/// Handles the loss of a connection.
pub fn handle_peer_down(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    world.members.remove(peer);
    world.allocations.remove(peer);
    routing::handle_peer_down(world, cx, peer);
    super::planner::schedule_plan(world, cx);
}

/// Records that something was received from a peer.
pub fn record_contact(world: &mut World, cx: &Cx<'_>, peer: Incarnation) {
    world.members.record_contact(peer, cx.now);
}

/// Handles a heartbeat: sends the peer the configuration and the VM list if its versions are older.
pub fn handle_heartbeat(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    heartbeat: Heartbeat,
) {
    world.members.record_heartbeat(from, heartbeat);
    if let Some(config) = &world.config
        && config.version > heartbeat.config_version
    {
        let message = Message::Configuration(Arc::clone(config));
        cx.send(world, from, message);
    }
    if let Some(list) = &world.vm_list
        && list.revision > heartbeat.vm_list_revision
    {
        let message = Message::VmList(Arc::clone(list));
        cx.send(world, from, message);
    }
}

/// Sends a heartbeat to every connected peer.
pub fn broadcast_heartbeat(world: &mut World, cx: &mut Cx<'_>) {
    let heartbeat = build_heartbeat(world);
    for peer in world.members.connected() {
        cx.send(world, peer, Message::Heartbeat(heartbeat));
    }
}

fn build_heartbeat(world: &World) -> Heartbeat {
    Heartbeat {
        config_version: world.config_version(),
        vm_list_revision: world.vm_list_revision(),
        weight: world.weight,
        serving: world.phase == Phase::Serving,
    }
}

/// Returns the slot owner in this process's view. A process that is stopping is eligible only if
/// all processes are stopping, because their remaining work still needs slots.
pub fn slot_owner(world: &World, now: Time) -> Option<Incarnation> {
    let timeout = world.policy.peer_timeout;
    let me = (world.me, world.weight);
    let serving = (world.phase == Phase::Serving).then_some(me);
    let owner = choose_owner(
        serving
            .into_iter()
            .chain(world.members.serving(now, timeout)),
    );
    owner.or_else(|| {
        let stopping = world.members.reachable(now, timeout);
        let stopping = stopping.map(|(peer, heartbeat)| (peer, heartbeat.weight));
        choose_owner(std::iter::once(me).chain(stopping))
    })
}
