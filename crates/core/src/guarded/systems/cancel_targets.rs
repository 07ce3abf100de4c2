//! Which peers are asked to cancel a job, or told that it was cancelled.

use super::topology;
use crate::guarded::model::cancel::CancelScope;
use crate::guarded::tables::peer::Peer;
use crate::guarded::world::World;
use crate::model::ids::DataCentreId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Peers to ask, and whether that leaves out a VM that may know the job.
#[derive(Debug, Default)]
pub struct Targets {
    /// Peers, and the scopes that they are asked with.
    pub peers: BTreeSet<(Incarnation, CancelScope)>,
    /// Whether a VM that may know the job can't be asked.
    pub is_incomplete: bool,
}

/// Returns the peers that a request with this scope is passed on to.
pub fn targets(world: &World, now: Time, from: Option<Incarnation>, scope: CancelScope) -> Targets {
    let mut targets = Targets {
        peers: BTreeSet::new(),
        is_incomplete: !world.directory.is_listed(),
    };
    let is_local = |data_centre: DataCentreId| data_centre == world.me.data_centre;
    for (&peer, row) in &world.peers {
        if row.linked && is_local(peer.data_centre) && Some(peer) != from {
            targets.peers.insert((peer, CancelScope::Receiver));
        }
    }
    targets.is_incomplete |= world.directory.iter().any(|entry| {
        let row = world.peer_of_vm(entry.data_centre, entry.vm);
        is_local(entry.data_centre)
            && !row.is_some_and(|row| row.linked)
            && topology::may_be_alive(world, now, entry)
    });
    if scope != CancelScope::System {
        return targets;
    }
    let position = relay_position(world);
    for (data_centre, relays) in remote_relays(world) {
        if is_local(data_centre) {
            continue;
        }
        targets.is_incomplete |= relays.is_empty();
        for (i, &relay) in relays.iter().enumerate() {
            // The relays of a data centre ask through different ones.
            let scope = if i == position % relays.len() {
                CancelScope::DataCentre
            } else {
                CancelScope::Receiver
            };
            targets.peers.insert((relay, scope));
        }
    }
    targets
}

/// Returns the position of this VM among the relays of its data centre.
pub fn relay_position(world: &World) -> usize {
    let mut relays = world.topology.relays.iter();
    relays.position(|&vm| vm == world.me.vm).unwrap_or_default()
}

/// Returns the connected relays of the other data centres, also of those without any.
pub fn remote_relays(world: &World) -> BTreeMap<DataCentreId, Vec<Incarnation>> {
    let mut by_data_centre: BTreeMap<DataCentreId, Vec<Incarnation>> = BTreeMap::new();
    for entry in world.directory.iter() {
        by_data_centre.entry(entry.data_centre).or_default();
    }
    for (&peer, row) in &world.peers {
        if row.linked && row.is_relay() {
            by_data_centre
                .entry(peer.data_centre)
                .or_default()
                .push(peer);
        }
    }
    by_data_centre.remove(&world.me.data_centre);
    by_data_centre
}

/// Iterates over the connected VMs of a data centre that hold its workers or may do so next.
pub fn holders(world: &World, data_centre: DataCentreId) -> impl Iterator<Item = Incarnation> {
    let is_holder = move |peer: &Incarnation, row: &Peer| {
        let follows = world.topology.followers.contains(&peer.vm);
        row.linked && peer.data_centre == data_centre && (follows || row.is_relay())
    };
    let peers = world.peers.iter();
    peers.filter_map(move |(peer, row)| is_holder(peer, row).then_some(*peer))
}
