//! Peers and heartbeats.

use super::cell_assignment;
use crate::guarded::action::Action;
use crate::guarded::model::message::{Heartbeat, Message};
use crate::guarded::tables::peer::Peer;
use crate::guarded::tables::worker::Hold;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use std::sync::Arc;
use std::time::Duration;

/// Time that a VM's configuration must be outdated before it asks a peer for a newer one; also the
/// interval between such requests.
const CONFIGURATION_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Adds a connected peer and sends it a heartbeat.
pub fn add_peer(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    // An earlier incarnation of the same VM is gone.
    world.peers.retain(|known, _| known.vm != peer.vm);
    world.peers.insert(peer, Peer::new(cx.now));
    let heartbeat = Message::Heartbeat(build_heartbeat(world, cx));
    cx.emit(Action::Send {
        to: peer,
        message: heartbeat,
    });
}

/// Removes a disconnected peer. The runner and entry systems handle the jobs that depend on it.
pub fn remove_peer(world: &mut World, peer: Incarnation) {
    world.peers.remove(&peer);
}

/// Records a peer's heartbeat.
pub fn handle_heartbeat(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    heartbeat: Heartbeat,
) {
    world.record_token(heartbeat.token);
    let Some(row) = world.peers.get_mut(&from) else {
        return;
    };
    row.last_message_at = cx.now;
    row.placed_cpu_milli = 0;
    row.heartbeat = Some(heartbeat);
}

/// Asks one peer for its configuration if this VM's own has been outdated for a while. Most VMs get
/// the configuration from the store; only those that can't reach it have to ask.
pub fn request_configuration(world: &mut World, cx: &mut Cx<'_>) {
    let version = world.queues_version();
    let ahead = newest_configuration(world).filter(|&(_, newest)| newest > version);
    let Some((peer, newest)) = ahead else {
        world.outdated_since = None;
        return;
    };
    let since = *world.outdated_since.get_or_insert(cx.now);
    if cx.now.since(since) < CONFIGURATION_REQUEST_INTERVAL {
        return;
    }
    tracing::info!(version, newest, peer = %peer.vm, "asking a peer for the configuration");
    world.outdated_since = Some(cx.now);
    cx.emit(Action::Send {
        to: peer,
        message: Message::RequestQueues { version },
    });
}

/// Returns a peer with the newest configuration, preferring peers of the same data centre.
fn newest_configuration(world: &World) -> Option<(Incarnation, u64)> {
    let peers = world.peers.iter().filter_map(|(&peer, row)| {
        let heartbeat = row.heartbeat.as_ref()?;
        Some((peer, heartbeat.queues_version))
    });
    peers.max_by_key(|&(peer, version)| (version, peer.data_centre == world.me.data_centre))
}

/// Sends the configuration to a peer that has an older version.
pub fn handle_queues_request(world: &World, cx: &mut Cx<'_>, from: Incarnation, version: u64) {
    if let Some(table) = &world.queues
        && table.version > version
    {
        cx.emit(Action::Send {
            to: from,
            message: Message::Queues(Arc::clone(table)),
        });
    }
}

/// Sends a heartbeat to all peers.
pub fn send_heartbeats(world: &World, cx: &mut Cx<'_>) {
    let heartbeat = build_heartbeat(world, cx);
    for &peer in world.peers.keys() {
        cx.emit(Action::Send {
            to: peer,
            message: Message::Heartbeat(heartbeat.clone()),
        });
    }
}

fn build_heartbeat(world: &World, cx: &Cx<'_>) -> Heartbeat {
    let leaving = !world.is_serving();
    let held = world.workers.values();
    let still_held = held.filter(|row| {
        let holds = matches!(row.hold, Hold::Held | Hold::Acquiring);
        holds && (leaving || !cell_assignment::is_claimed(world, &row.entry))
    });
    let cells = if leaving {
        Vec::new()
    } else {
        cell_assignment::cell_loads(world, cx.now)
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
