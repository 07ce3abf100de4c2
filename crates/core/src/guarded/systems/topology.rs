//! Two levels of membership: which VMs are the relays of a data centre, and which connections and
//! registries a VM needs.
//!
//! The VMs of a data centre are ranked by size. The first ones are its *relays*: they hold its
//! cells, follow the registry of the workers and connect to the relays of the other data centres.
//! The next ones follow the registry as well, to replace a relay at once. All other VMs connect
//! only to these, and learn of holders elsewhere from the relays.
//!
//! Each VM computes the ranks by itself, so two VMs may disagree for a while. Nothing but the
//! distribution of the work depends on them.

use crate::guarded::action::Action;
use crate::guarded::model::vm::{VmEntry, VmRank};
use crate::guarded::tables::peer::Peer;
use crate::guarded::world::{Cx, World};
use crate::model::ids::{DataCentreId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum number of relays of a data centre.
const MIN_RELAYS: usize = 3;
/// Number of further VMs that follow the registry of the workers.
const STANDBYS: usize = 3;
/// VM size, in hundredths of a CPU, that one cell takes at most. A larger VM holds more cells.
const WEIGHT_PER_CELL: u32 = 6;
/// Interval between updates when nothing has changed.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a connection that was opened for a job is kept after the last one.
const REQUESTED_LINK_TIME: Duration = Duration::from_secs(10);
/// Time without a job after which a connection that neither side needs is closed.
const UNUSED_LINK_TIME: Duration = Duration::from_secs(5);

/// Returns the number of cells that a VM of this size should hold at most.
pub fn max_cells(weight: u32) -> u32 {
    (weight / WEIGHT_PER_CELL).max(1)
}

/// Updates the topology if something has changed or the last update is long ago.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if !world.topology.is_outdated && cx.now < world.topology.next_update_at {
        return;
    }
    world.topology.is_outdated = false;
    world.topology.next_update_at = cx.now + UPDATE_INTERVAL;
    update_roles(world, cx);
    update_connections(world, cx);
    close_unused_links(world, cx);
}

/// Updates the ranks of this data centre and the part of this VM.
fn update_roles(world: &mut World, cx: &mut Cx<'_>) {
    let ranked = ranked_locals(world, cx.now);
    let relays = relay_count(&ranked, u32::from(local_cell_count(world)));
    let vms: Vec<VmId> = ranked.iter().map(VmRank::vm).collect();
    let me = world.me.vm;
    let holds = !world.claimed_cells.is_empty();
    let is_known = world.directory.is_listed();
    let relays = &vms[..relays.min(vms.len())];
    let followers = &vms[..(relays.len() + STANDBYS).min(vms.len())];
    let follows = is_known && (holds || followers.contains(&me) || !world.workers.is_empty());
    let is_relay = is_known && (holds || relays.contains(&me));
    let topology = &mut world.topology;
    if topology.is_relay != is_relay || topology.relays != relays {
        tracing::info!(is_relay, relays = ?relays, vms = vms.len(), "the relays have changed");
    }
    topology.relays = relays.to_vec();
    topology.followers = followers.to_vec();
    topology.is_relay = is_relay;
    if topology.follows_workers == follows {
        return;
    }
    topology.follows_workers = follows;
    if !follows {
        world.registry.clear();
    }
    tracing::info!(follows, "following the registry of the workers");
    cx.emit(Action::FollowWorkers(follows));
}

/// Returns the number of relays: at least [`MIN_RELAYS`], and as many as hold all cells.
fn relay_count(ranked: &[VmRank], cells: u32) -> usize {
    let mut held = 0;
    let enough = ranked.iter().position(|rank| {
        held += max_cells(rank.weight());
        held >= cells
    });
    enough.map_or(ranked.len(), |last| last + 1).max(MIN_RELAYS)
}

/// Returns the number of cells of this data centre, as far as this VM knows.
pub fn local_cell_count(world: &World) -> u16 {
    let data_centre = world.me.data_centre;
    let reported = world
        .peers
        .values()
        .filter_map(|row| row.heartbeat.as_ref());
    let reported = reported.flat_map(|heartbeat| &heartbeat.cells);
    let reported = reported.filter(|cell| cell.data_centre == data_centre);
    let reported = reported.map(|cell| cell.cell_count).max();
    match world.registry.cell_count(data_centre) {
        0 => reported.unwrap_or(0),
        count => count,
    }
}

/// Returns the VMs of this data centre that are alive or expected to connect, in rank order.
fn ranked_locals(world: &World, now: Time) -> Vec<VmRank> {
    let data_centre = world.me.data_centre;
    let mut ranks = BTreeSet::new();
    if world.is_serving() {
        ranks.insert(VmRank::new(world.me.vm, world.weight));
    }
    let mut connected = BTreeSet::new();
    for (peer, row) in local_peers(world) {
        connected.insert(peer.vm);
        let weight = row.heartbeat.as_ref().map(|heartbeat| heartbeat.weight);
        let weight = weight.or_else(|| world.directory.get(peer.vm).map(|entry| entry.weight));
        let is_leaving = row.heartbeat.is_some() && !row.is_serving();
        if let Some(weight) = weight.filter(|_| !is_leaving && !row.is_gone(now, &world.policy)) {
            ranks.insert(VmRank::new(peer.vm, weight));
        }
    }
    let listed = world.directory.iter().filter(|entry| {
        entry.data_centre == data_centre
            && !connected.contains(&entry.vm)
            && world.directory.is_expected(entry.vm, now)
    });
    ranks.extend(listed.map(|entry| VmRank::new(entry.vm, entry.weight)));
    ranks.into_iter().collect()
}

fn local_peers(world: &World) -> impl Iterator<Item = (&Incarnation, &Peer)> {
    let data_centre = world.me.data_centre;
    let peers = world.peers.iter();
    peers.filter(move |(peer, _)| peer.data_centre == data_centre)
}

/// Updates the VMs that this VM connects to.
fn update_connections(world: &mut World, cx: &mut Cx<'_>) {
    if !world.directory.is_listed() {
        return;
    }
    let now = cx.now;
    let requested = &mut world.topology.requested;
    requested.retain(|_, used_at| now.since(*used_at) < REQUESTED_LINK_TIME);
    let mut wanted: Vec<VmId> = requested.keys().copied().collect();
    wanted.extend(wanted_relays(world, now));
    wanted.retain(|&vm| vm != world.me.vm);
    wanted.sort_unstable();
    wanted.dedup();
    for &vm in &wanted {
        world.directory.mark_wanted(vm, now);
    }
    if wanted != world.topology.wanted {
        world.topology.wanted.clone_from(&wanted);
        cx.emit(Action::Connect(wanted));
    }
}

/// Returns the VMs that this VM connects to because of their rank: all of its data centre and the
/// relays of the others if it is a relay itself, otherwise only the followers of its data centre.
fn wanted_relays(world: &World, now: Time) -> Vec<VmId> {
    let mut by_data_centre: BTreeMap<DataCentreId, Vec<&VmEntry>> = BTreeMap::new();
    for entry in world.directory.iter() {
        let is_local = entry.data_centre == world.me.data_centre;
        if is_local || world.topology.is_relay {
            let entries = by_data_centre.entry(entry.data_centre).or_default();
            entries.push(entry);
        }
    }
    let mut wanted = Vec::new();
    for (data_centre, mut entries) in by_data_centre {
        let is_local = data_centre == world.me.data_centre;
        entries.sort_unstable_by_key(|entry| VmRank::new(entry.vm, entry.weight));
        let needed = match (is_local, world.topology.is_relay) {
            (true, true) => usize::MAX,
            (true, false) => MIN_RELAYS + STANDBYS,
            (false, _) => MIN_RELAYS,
        };
        wanted.extend(first_responsive(world, now, &entries, needed));
    }
    wanted
}

/// Returns the first of the ranked VMs up to the one with which `needed` of them are alive or
/// expected to connect. VMs that do not respond are included, since they may be back any time.
fn first_responsive(world: &World, now: Time, ranked: &[&VmEntry], needed: usize) -> Vec<VmId> {
    let mut responsive = 0;
    let first = ranked.iter().take_while(|entry| {
        let is_included = responsive < needed;
        responsive += usize::from(entry.vm == world.me.vm || may_be_alive(world, now, entry));
        is_included
    });
    first.map(|entry| entry.vm).collect()
}

/// Returns whether a VM is alive or expected to connect.
pub fn may_be_alive(world: &World, now: Time, entry: &VmEntry) -> bool {
    world.peer_of_vm(entry.data_centre, entry.vm).map_or_else(
        || world.directory.is_expected(entry.vm, now),
        |row| !row.is_gone(now, &world.policy),
    )
}

/// Returns whether a data centre has a VM that is alive or expected to connect.
pub fn may_have_vms(world: &World, now: Time, data_centre: DataCentreId) -> bool {
    let mut listed = world.directory.iter();
    has_live_vm(world, now, data_centre)
        || listed.any(|entry| {
            entry.data_centre == data_centre && world.directory.is_expected(entry.vm, now)
        })
}

/// Returns whether a data centre has a VM that is alive.
fn has_live_vm(world: &World, now: Time, data_centre: DataCentreId) -> bool {
    let mut peers = world.peers.iter();
    peers.any(|(peer, row)| {
        peer.data_centre == data_centre && row.is_serving() && !row.is_gone(now, &world.policy)
    })
}

/// Closes connections that neither side needs.
fn close_unused_links(world: &mut World, cx: &mut Cx<'_>) {
    let is_unused = |(peer, row): &(&Incarnation, &Peer)| {
        let heartbeat = row.heartbeat.as_ref();
        row.linked
            && row.jobs_since.is_none()
            && cx.now.since(row.last_used_at) > UNUSED_LINK_TIME
            && heartbeat.is_some_and(|heartbeat| !heartbeat.wants_link)
            && !world.topology.wants(peer.vm)
    };
    let unused = world.peers.iter().filter(is_unused);
    let unused: Vec<Incarnation> = unused.map(|(&peer, _)| peer).collect();
    for peer in unused {
        tracing::info!(%peer, "closing a connection that is not needed");
        world.peers.remove(&peer);
        world.directory.mark_unused(peer.vm);
        cx.emit(Action::Disconnect(peer));
    }
}
