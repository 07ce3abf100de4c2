//! Heartbeats: when they are sent and what they report.
//!
//! The interval of the heartbeats to a peer follows what depends on it: it is shortest while a job
//! connects the two VMs, and among the VMs that replace each other as holders.

use super::{cell_assignment, shares};
use crate::collections::FastSet;
use crate::guarded::action::Action;
use crate::guarded::model::message::{Heartbeat, Message, RemoteHolder};
use crate::guarded::tables::peer::Peer;
use crate::guarded::tables::worker::Hold;
use crate::guarded::world::{Cx, World};
use crate::model::ids::DataCentreId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

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
    send(world, cx, &due);
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
    send(world, cx, &linked);
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

/// Sends heartbeats to some peers.
pub fn send(world: &mut World, cx: &mut Cx<'_>, to: &[Incarnation]) {
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
        let mut heartbeat = Heartbeat {
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
            heartbeat.echo = row.stamps.echo_at(world.horizon.at());
            row.next_heartbeat_round = world.heartbeat_round + rounds;
        }
        cx.emit(Action::Send {
            to: peer,
            message: Message::Heartbeat(Box::new(heartbeat)),
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
        sent_at: cx.now,
        echo: None,
        weight: world.weight,
        leaving,
        queues_version: world.queues_version(),
        queues_age: cx.now.since(world.queues_known_at),
        evacuations: Arc::clone(world.evacuations.state()),
        token: world.token.0,
        cells: cells.copied().collect(),
        load: cell_assignment::own_load(world, cx.now).unwrap_or_default(),
        still_held: still_held.map(|row| row.entry.id).collect(),
        next_within: Duration::ZERO,
        is_relay: world.topology.is_relay,
        wants_link: true,
        remote_holders: Vec::new(),
        queue_uses: shares::report(world, cx.now),
    }
}
