//! The configuration: adoption, and requests for it among peers.

use super::registrations;
use crate::guarded::action::Action;
use crate::guarded::model::message::Message;
use crate::guarded::model::queue::QueueTable;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Time that a VM's configuration must be outdated before it asks a peer for a newer one; also the
/// interval between such requests.
const CONFIGURATION_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Adopts a configuration, unless it is not newer than the current one.
pub fn adopt(world: &mut World, cx: &mut Cx<'_>, table: Arc<QueueTable>) {
    if table.version <= world.queues_version() {
        return;
    }
    tracing::info!(
        version = table.version,
        before = world.queues_version(),
        queues = table.iter().count(),
        "configuration adopted"
    );
    world.queues = Some(Arc::clone(&table));
    world.queues_known_at = world.outdated_since.unwrap_or(cx.now);
    // Peers that can't reach the store learn of the version by the next heartbeat.
    world.heartbeat_due = true;
    cx.emit(Action::AdoptQueues(table));
    registrations::handle_new_queues(world, cx.now);
}

/// Asks one peer for its configuration if this VM's own has been outdated for a while. Most VMs get
/// the configuration from the store; only those that can't reach it have to ask. The time counts
/// from when the first VM had the configuration, so that it does not add up along relays.
pub fn request(world: &mut World, cx: &mut Cx<'_>) {
    let version = world.queues_version();
    let Some(newest) = newest_configuration(world).filter(|newest| newest.version > version) else {
        world.outdated_since = None;
        world.queues_requested_at = None;
        return;
    };
    let since = *world.outdated_since.get_or_insert(newest.known_at);
    let requested_at = world.queues_requested_at.unwrap_or(since);
    if cx.now.since(since.max(requested_at)) < CONFIGURATION_REQUEST_INTERVAL {
        return;
    }
    tracing::info!(
        version,
        newest = newest.version,
        peer = %newest.peer.vm,
        known_for_ms = cx.now.since(newest.known_at).as_millis(),
        "asking a peer for the configuration"
    );
    world.queues_requested_at = Some(cx.now);
    cx.emit(Action::Send {
        to: newest.peer,
        message: Message::RequestQueues { version },
    });
}

/// The configuration of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerConfiguration {
    peer: Incarnation,
    version: u64,
    /// Time at which the first VM had it.
    known_at: Time,
}

/// Returns the newest configuration of a connected peer, preferring peers of the same data centre.
fn newest_configuration(world: &World) -> Option<PeerConfiguration> {
    let linked = world.peers.iter().filter(|(_, row)| row.linked);
    let peers = linked.filter_map(|(&peer, row)| {
        let heartbeat = row.heartbeat.as_ref()?;
        Some(PeerConfiguration {
            peer,
            version: heartbeat.queues_version,
            known_at: row.heartbeat_at.minus(heartbeat.queues_age),
        })
    });
    peers.max_by_key(|configuration| {
        let is_local = configuration.peer.data_centre == world.me.data_centre;
        (configuration.version, is_local)
    })
}

/// Sends the configuration to a peer that has an older version.
pub fn handle_request(world: &World, cx: &mut Cx<'_>, from: Incarnation, version: u64) {
    if let Some(table) = &world.queues
        && table.version > version
    {
        cx.emit(Action::Send {
            to: from,
            message: Message::Queues(Arc::clone(table)),
        });
    }
}
