//! Peers: connections, heartbeats and silence.
//!
//! The interval of the heartbeats to a peer follows what depends on it: it is shortest while a job
//! connects the two VMs, and among the VMs that replace each other as holders. A lost connection
//! ends the jobs that depend on it, but the peer counts as gone only once it has been silent for
//! its limit, or refuses connections.

use super::{cell_assignment, entry, runner};
use crate::collections::FastSet;
use crate::guarded::action::Action;
use crate::guarded::model::message::{Heartbeat, Message, RemoteHolder};
use crate::guarded::tables::peer::Peer;
use crate::guarded::tables::remote_holder::RemoteHolderRow;
use crate::guarded::tables::worker::Hold;
use crate::guarded::world::{Cx, World};
use crate::model::ids::{DataCentreId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time that a VM's configuration must be outdated before it asks a peer for a newer one; also the
/// interval between such requests.
const CONFIGURATION_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between heartbeats to all peers that do not wait for their rounds.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(30);
/// Number of peers to which a relay reports its load within one round. With more peers it reports
/// less often.
const REPORTS_PER_ROUND: usize = 12;
/// Number of rounds between heartbeats to peers that nothing depends on.
const IDLE_ROUNDS: u64 = 8;
/// The free capacity of a data centre counts as scarce below one part in this many. Its VMs then
/// need to know the holders elsewhere.
const SCARCE_PART: u64 = 4;
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
    send_heartbeat(world, cx, peer);
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
/// silent for their limit. Does nothing shortly after a stall of this process, while their messages
/// may be unread.
pub fn remove_silent(world: &mut World, cx: &mut Cx<'_>) {
    if cx.now < world.claims_paused_until {
        return;
    }
    let policy = world.policy;
    let rows = world.peers.iter();
    let silent = rows.filter(|(_, row)| {
        row.is_gone(cx.now, &policy) || row.linked && row.has_timed_out(cx.now, &policy)
    });
    let silent: Vec<Incarnation> = silent.map(|(&peer, _)| peer).collect();
    for peer in silent {
        handle_silence(world, cx, peer);
    }
}

fn handle_silence(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    let Some(row) = world.peers.get(&peer) else {
        return;
    };
    let is_gone = row.is_gone(cx.now, &world.policy);
    tracing::info!(
        %peer,
        is_gone,
        silent_ms = row.silence(cx.now).as_millis(),
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

/// Asks one peer for its configuration if this VM's own has been outdated for a while. Most VMs get
/// the configuration from the store; only those that can't reach it have to ask. The time counts
/// from when the first VM had the configuration, so that it does not add up along relays.
pub fn request_configuration(world: &mut World, cx: &mut Cx<'_>) {
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

/// Begins a heartbeat round if its time has come: notes which peers have jobs with this VM, and
/// sends the heartbeats that are due.
pub fn begin_round_if_due(world: &mut World, cx: &mut Cx<'_>) {
    if !std::mem::take(&mut world.round_due) {
        return;
    }
    world.heartbeat_round += 1;
    update_job_links(world, cx.now);
    let round = world.heartbeat_round;
    let due =
        |row: &Peer| row.linked && (row.jobs_since.is_some() || row.next_heartbeat_round <= round);
    let due = world.peers.iter().filter(|(_, row)| due(row));
    let due: Vec<Incarnation> = due.map(|(&peer, _)| peer).collect();
    send_heartbeats(world, cx, &due);
}

/// Sends heartbeats to all peers if something has changed that they must know soon.
pub fn broadcast_if_due(world: &mut World, cx: &mut Cx<'_>) {
    let since_last = cx.now.since(world.last_broadcast_at);
    if !world.heartbeat_due || since_last < MIN_BROADCAST_INTERVAL {
        return;
    }
    world.heartbeat_due = false;
    world.last_broadcast_at = cx.now;
    let linked = world.peers.iter().filter(|(_, row)| row.linked);
    let linked: Vec<Incarnation> = linked.map(|(&peer, _)| peer).collect();
    send_heartbeats(world, cx, &linked);
}

/// Updates for each peer whether a job connects it with this VM.
fn update_job_links(world: &mut World, now: Time) {
    let runners = world.entries.values().filter_map(|row| row.runner);
    let origins = world.jobs.values().flat_map(|job| &job.origins);
    let used: FastSet<Incarnation> = runners.chain(origins.copied()).collect();
    for (peer, row) in &mut world.peers {
        if used.contains(peer) {
            row.record_job(now);
        } else {
            row.jobs_since = None;
        }
    }
}

fn send_heartbeat(world: &mut World, cx: &mut Cx<'_>, to: Incarnation) {
    send_heartbeats(world, cx, &[to]);
}

fn send_heartbeats(world: &mut World, cx: &mut Cx<'_>, to: &[Incarnation]) {
    if to.is_empty() {
        return;
    }
    let base = build_heartbeat(world, cx);
    let remote_holders = reported_holders(world, cx.now);
    let report_rounds = report_rounds(world);
    for &peer in to {
        let rounds = rounds_until_next(world, peer, report_rounds);
        let is_local = peer.data_centre == world.me.data_centre;
        let needs_report = is_local && !world.topology.relays.contains(&peer.vm);
        let heartbeat = Heartbeat {
            next_within: world.policy.heartbeat_interval * u32::try_from(rounds).unwrap_or(1),
            wants_link: world.topology.wants(peer.vm),
            remote_holders: if needs_report {
                remote_holders.clone()
            } else {
                Vec::new()
            },
            ..base.clone()
        };
        if let Some(row) = world.peers.get_mut(&peer) {
            row.next_heartbeat_round = world.heartbeat_round + rounds;
        }
        cx.emit(Action::Send {
            to: peer,
            message: Message::Heartbeat(heartbeat),
        });
    }
}

/// Returns the number of rounds between the reports of a relay to its peers.
fn report_rounds(world: &World) -> u64 {
    let linked = world.peers.values().filter(|row| row.linked).count();
    let rounds = linked.div_ceil(REPORTS_PER_ROUND);
    u64::try_from(rounds)
        .unwrap_or(IDLE_ROUNDS)
        .clamp(1, IDLE_ROUNDS)
}

/// Returns the number of rounds until the next heartbeat to a peer.
fn rounds_until_next(world: &World, peer: Incarnation, report_rounds: u64) -> u64 {
    let topology = &world.topology;
    let is_follower = topology.followers.contains(&world.me.vm);
    let row = world.peers.get(&peer);
    let has_jobs = row.is_some_and(|row| row.jobs_since.is_some());
    if has_jobs || is_follower && topology.followers.contains(&peer.vm) {
        1
    } else if is_follower || topology.is_relay {
        report_rounds
    } else {
        IDLE_ROUNDS
    }
}

/// Returns the holders in other data centres that this VM reports to its data centre. The relays
/// divide the data centres among themselves.
fn reported_holders(world: &World, now: Time) -> Vec<RemoteHolder> {
    let relays = &world.topology.relays;
    let Some(position) = relays.iter().position(|&vm| vm == world.me.vm) else {
        return Vec::new();
    };
    if !is_local_capacity_scarce(world, now) {
        return Vec::new();
    }
    let holders = world.peers.iter().filter(|(peer, row)| {
        peer.data_centre != world.me.data_centre
            && row.linked
            && row.is_serving()
            && !row.is_suspect(now, &world.policy)
    });
    let holders = holders.filter_map(|(&holder, row)| {
        let load = row.load()?;
        let age = now.since(row.heartbeat_at);
        Some(RemoteHolder { holder, load, age })
    });
    let holders: Vec<RemoteHolder> = holders.collect();
    let data_centres = holders.iter().map(|remote| remote.holder.data_centre);
    let data_centres: BTreeSet<DataCentreId> = data_centres.collect();
    let mine = data_centres.into_iter().skip(position);
    let mine: BTreeSet<DataCentreId> = mine.step_by(relays.len()).collect();
    let is_mine = |remote: &RemoteHolder| mine.contains(&remote.holder.data_centre);
    holders.into_iter().filter(is_mine).collect()
}

/// Returns whether the holders of this data centre have little free capacity, or there are none.
fn is_local_capacity_scarce(world: &World, now: Time) -> bool {
    let peers = world.peers.iter();
    let local = peers.filter(|(peer, row)| {
        let is_local = peer.data_centre == world.me.data_centre;
        is_local && row.linked && !row.is_suspect(now, &world.policy)
    });
    let loads = local.filter_map(|(_, row)| row.load());
    let loads = loads.chain(cell_assignment::own_load(world, now));
    let (spare, capacity) = loads.fold((0, 0), |(spare, capacity), load| {
        (spare + load.spare_milli(0), capacity + load.capacity_milli)
    });
    spare * SCARCE_PART <= capacity
}

fn build_heartbeat(world: &World, cx: &Cx<'_>) -> Heartbeat {
    let leaving = !world.is_serving();
    let held = world.workers.values();
    let still_held = held.filter(|row| {
        let holds = matches!(row.hold, Hold::Held | Hold::Acquiring);
        holds && (leaving || !cell_assignment::is_claimed(world, &row.entry))
    });
    let cells = world.claimed_cells.iter().filter(|_| !leaving);
    Heartbeat {
        weight: world.weight,
        leaving,
        queues_version: world.queues_version(),
        queues_age: cx.now.since(world.queues_known_at),
        token: world.token.0,
        cells: cells.copied().collect(),
        load: cell_assignment::own_load(world, cx.now).unwrap_or_default(),
        still_held: still_held.map(|row| row.entry.id).collect(),
        next_within: Duration::ZERO,
        is_relay: world.topology.is_relay,
        wants_link: true,
        remote_holders: Vec::new(),
    }
}
