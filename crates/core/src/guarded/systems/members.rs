//! Peers and heartbeats.

use super::holding;
use crate::guarded::model::message::{Heartbeat, Message};
use crate::guarded::order::Order;
use crate::guarded::tables::member::MemberRow;
use crate::guarded::tables::worker::Hold;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a VM must be behind before it asks a peer for the configuration, and between two
/// questions.
const ASK_AFTER: Duration = Duration::from_millis(400);

/// A peer connected.
pub fn peer_up(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    // An earlier incarnation of the VM is gone.
    world.members.retain(|known, _| known.vm != peer.vm);
    world.members.insert(peer, MemberRow::new(cx.now));
    let heartbeat = Message::Heartbeat(heartbeat(world, cx));
    cx.order(Order::Send {
        to: peer,
        message: heartbeat,
    });
}

/// A connection was lost. Jobs that depend on it are given up by the systems that follow.
pub fn peer_down(world: &mut World, peer: Incarnation) {
    world.members.remove(&peer);
}

/// A heartbeat came.
pub fn heartbeat_received(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, beat: Heartbeat) {
    world.saw_token(beat.token);
    let Some(row) = world.members.get_mut(&from) else {
        return;
    };
    row.heard = cx.now;
    row.placed_milli = 0;
    row.heartbeat = Some(beat);
}

/// Asks one peer for its configuration, if this VM has been behind for a while: the store brings it
/// to most VMs itself, so that only those that can't reach the store ask.
pub fn ask_for_queues(world: &mut World, cx: &mut Cx<'_>) {
    let version = world.queues_version();
    let ahead = newest(world).filter(|&(_, newest)| newest > version);
    let Some((peer, newest)) = ahead else {
        world.behind_since = None;
        return;
    };
    let since = *world.behind_since.get_or_insert(cx.now);
    if cx.now.since(since) < ASK_AFTER {
        return;
    }
    tracing::info!(version, newest, peer = %peer.vm, "asking a peer for the configuration");
    world.behind_since = Some(cx.now);
    cx.order(Order::Send {
        to: peer,
        message: Message::WantQueues { version },
    });
}

/// Returns a peer with the newest configuration, one of the same data centre first.
fn newest(world: &World) -> Option<(Incarnation, u64)> {
    let peers = world.members.iter().filter_map(|(&peer, row)| {
        let beat = row.heartbeat.as_ref()?;
        Some((peer, beat.queues_version))
    });
    peers.max_by_key(|&(peer, version)| (version, peer.data_centre == world.me.data_centre))
}

/// A peer asks for the configuration.
pub fn queues_wanted(world: &World, cx: &mut Cx<'_>, from: Incarnation, version: u64) {
    if let Some(table) = &world.queues
        && table.version > version
    {
        cx.order(Order::Send {
            to: from,
            message: Message::Queues(Arc::clone(table)),
        });
    }
}

/// Sends a heartbeat to all peers.
pub fn send_heartbeats(world: &World, cx: &mut Cx<'_>) {
    let beat = heartbeat(world, cx);
    for &peer in world.members.keys() {
        cx.order(Order::Send {
            to: peer,
            message: Message::Heartbeat(beat.clone()),
        });
    }
}

fn heartbeat(world: &World, cx: &Cx<'_>) -> Heartbeat {
    let leaving = !world.is_serving();
    let held = world.workers.values();
    let still_held = held.filter(|row| {
        let holds = matches!(row.hold, Hold::Held | Hold::Taking);
        holds && (leaving || !holding::is_claimed(world, &row.entry))
    });
    let cells = if leaving {
        Vec::new()
    } else {
        holding::loads(world, cx.now)
    };
    Heartbeat {
        weight: world.weight,
        leaving,
        queues_version: world.queues_version(),
        token: world.token.0,
        cells,
        still_held: still_held.map(|row| row.entry.id).collect(),
    }
}
