//! Assignment of cells to VMs.
//!
//! The cells of a data centre go to its relays. Those of a data centre whose VMs are all gone go to
//! the relays of the others.

use super::{containment, evacuations, holds, topology};
use crate::collections::FastMap;
use crate::guarded::model::cell::{Cell, HolderLoad};
use crate::guarded::model::vm::mix;
use crate::guarded::model::worker::WorkerEntry;
use crate::guarded::tables::peer::Peer;
use crate::guarded::tables::runner_job::RunnerJob;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum uptime of a VM before it takes a cell of its data centre back from a VM elsewhere.
const MIN_UPTIME_TO_RECLAIM: Duration = Duration::from_secs(1);

/// Returns whether this VM claims the cell of a worker.
pub fn is_claimed(world: &World, entry: &WorkerEntry) -> bool {
    world.claimed_cells.iter().any(|cell| cell.contains(entry))
}

/// Returns the load of the workers of the claimed cells; `None` if this VM claims no cell. Workers
/// that are being acquired count towards the capacity, since they are usable shortly.
pub fn own_load(world: &World, now: Time) -> Option<HolderLoad> {
    if world.claimed_cells.is_empty() {
        return None;
    }
    let mut load = HolderLoad {
        capacity_milli: 0,
        free_milli: 0,
        waiting_milli: waiting_milli(world),
        mean_run: Duration::from_secs_f64(world.mean_run_ms / 1e3),
        room: world.room.summary(),
    };
    let stale_after = world.policy.worker_stale_after * 2;
    let rows = world.workers.values();
    for row in rows.filter(|row| is_claimed(world, &row.entry)) {
        if row.exclusive_to.is_some()
            || evacuations::is_evacuated(world, row.entry.data_centre)
            || world.drains.contains(row.entry.id, row.boot)
        {
            continue;
        }
        if row.is_usable(now, stale_after) {
            load.capacity_milli += row.entry.capacity.cpu_milli;
            if row.reserved_for.is_none() {
                load.free_milli += row.free().cpu_milli;
            }
        } else if row.is_usable_soon(now) {
            load.capacity_milli += row.entry.capacity.cpu_milli;
        }
    }
    Some(load)
}

/// Returns the CPU that waiting tasks need, in thousandths of a core. Contained queues wait for
/// workers of their own.
pub fn waiting_milli(world: &World) -> u64 {
    let jobs = world.jobs.values();
    let jobs = jobs.filter(|job| !containment::is_contained(world, job.job.settings.queue));
    jobs.map(RunnerJob::due_milli).sum()
}

/// Updates the set of cells that this VM claims, then acquires and releases workers to match it.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if !may_change_claims(world, cx.now) {
        return;
    }
    let mine = choose_own_cells(world, cx.now);
    if mine != world.claimed_cells {
        tracing::info!(
            cells = mine.len(),
            before = world.claimed_cells.len(),
            peers = world.peers.len(),
            relays = world.topology.relays.len(),
            leaving = !world.is_serving(),
            "the cells of this VM have changed"
        );
        world.contested_cells.retain(|cell| mine.contains(cell));
        world.claimed_cells = mine;
        world.heartbeat_due = true;
        world.topology.is_outdated = true;
        holds::add_rows(world);
    }
    update_contested_cells(world, cx);
    holds::run(world, cx);
}

/// Notes which claimed cells a peer claims as well. When the peer gives such a cell up, the workers
/// that it acquired meanwhile can be acquired again without the usual delay.
fn update_contested_cells(world: &mut World, cx: &Cx<'_>) {
    let is_contested = |cell: &&Cell| world.peers.values().any(|row| row.claims(cell));
    let contested = world.claimed_cells.iter().filter(is_contested);
    let contested: BTreeSet<Cell> = contested.copied().collect();
    for cell in world.contested_cells.difference(&contested) {
        tracing::info!(?cell, "a peer has given up a cell that both claimed");
        holds::end_delays(&mut world.workers, cx.now, cell);
    }
    world.contested_cells = contested;
}

/// Returns whether this VM has been up for long enough to know the present holders. The delay ends
/// early once every VM that this VM connects to has sent a heartbeat.
fn may_change_claims(world: &mut World, now: Time) -> bool {
    if now < world.claims_paused_until {
        return false;
    }
    if now >= world.claims_allowed_at {
        return true;
    }
    let all_known = world.may_claim_early && are_peers_known(world, now);
    let reduction = world
        .policy
        .claim_delay
        .saturating_sub(world.policy.claim_delay_peers_known);
    if !all_known || now + reduction < world.claims_allowed_at {
        return false;
    }
    world.claims_allowed_at = now;
    true
}

/// Returns whether every VM that this VM connects to has sent a heartbeat or is known to be gone.
/// Without any VM to connect to, the registry may be incomplete.
fn are_peers_known(world: &World, now: Time) -> bool {
    let wanted = &world.topology.wanted;
    let is_known = |row: &Peer| row.heartbeat.is_some();
    !wanted.is_empty()
        && world.directory.iter().all(|entry| {
            let row = world.peer_of_vm(entry.data_centre, entry.vm);
            !world.topology.wants(entry.vm)
                || row.is_some_and(is_known)
                || row.is_none() && !world.directory.is_expected(entry.vm, now)
        })
}

/// Returns whether some cell of this data centre, or of any if this VM is a relay, is claimed
/// neither by this VM nor by a peer that sent a message recently.
pub fn has_unheld_cell(world: &World, now: Time) -> bool {
    let policy = &world.policy;
    let is_held = |cell: Cell| {
        let mut peers = world.peers.values();
        world.claimed_cells.contains(&cell)
            || peers.any(|row| !row.is_suspect(now, policy) && row.claims(&cell))
    };
    let local = world.me.data_centre;
    let cell_count = topology::local_cell_count(world);
    let mut local_cells = (0..cell_count).map(|index| Cell {
        data_centre: local,
        cell_count,
        index,
    });
    let mut others = world
        .registry
        .data_centres()
        .filter(|&other| other != local);
    cell_count == 0
        || local_cells.any(|cell| !is_held(cell))
        || world.topology.is_relay
            && others.any(|other| world.registry.cells(other).any(|cell| !is_held(cell)))
}

/// A VM that may hold a cell.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: Incarnation,
    weight: u32,
    /// Time for which this VM has known it to be serving.
    uptime: Duration,
    is_relay: bool,
}

/// Returns the cells that this VM should claim.
///
/// A serving holder keeps its cell, unless it is in another data centre and a relay of the cell's
/// data centre has been up for a while, or it is far smaller than other VMs of the data centre. If
/// several VMs claim a cell, the highest rendezvous score wins. A cell that no VM claims goes to
/// the relay with the fewest cells for its size.
fn choose_own_cells(world: &World, now: Time) -> BTreeSet<Cell> {
    if !world.is_serving() || !world.topology.is_relay {
        return BTreeSet::new();
    }
    let mut candidates = candidates(world, now);
    exclude_small_vms(world, &mut candidates);
    let mut counts = count_claims(world, &candidates);
    let mut mine = BTreeSet::new();
    for data_centre in world.registry.data_centres().collect::<BTreeSet<_>>() {
        for cell in world.registry.cells(data_centre) {
            let holder = if data_centre == world.me.data_centre {
                choose_local_holder(world, &candidates, &mut counts, &cell)
            } else {
                choose_remote_holder(world, now, &candidates, &mut counts, &cell)
            };
            if holder == Some(world.me) {
                mine.insert(cell);
            }
        }
    }
    mine
}

/// Removes the VMs of this data centre that are far smaller than its largest one, if the others can
/// hold all of its cells.
fn exclude_small_vms(world: &World, candidates: &mut Vec<Candidate>) {
    let data_centre = world.me.data_centre;
    let is_local = |vm: &&Candidate| vm.id.data_centre == data_centre;
    let largest = candidates.iter().filter(is_local).map(|vm| vm.weight).max();
    let is_large = |vm: &Candidate| vm.weight * 2 >= largest.unwrap_or(0);
    let large = candidates.iter().filter(is_local).filter(|vm| is_large(vm));
    let room: u32 = large.map(|vm| topology::max_cells(vm.weight)).sum();
    if room >= u32::from(world.registry.cell_count(data_centre)) {
        candidates.retain(|vm| vm.id.data_centre != data_centre || is_large(vm));
    }
}

/// Returns the VM that should hold a cell of this data centre.
fn choose_local_holder(
    world: &World,
    candidates: &[Candidate],
    counts: &mut FastMap<Incarnation, u32>,
    cell: &Cell,
) -> Option<Incarnation> {
    let is_local = |vm: &&Candidate| vm.id.data_centre == cell.data_centre;
    let local = || candidates.iter().filter(is_local);
    let keeps = |vm: &&Candidate| claims_cell(world, vm.id, cell);
    let relays = || local().filter(|vm| vm.is_relay);
    let is_established = relays().any(|vm| vm.uptime >= MIN_UPTIME_TO_RECLAIM);
    highest_scored(cell, local().filter(keeps))
        .or_else(|| {
            let elsewhere = candidates.iter().filter(|vm| !is_local(vm));
            let elsewhere = elsewhere.filter(|vm| claims_cell(world, vm.id, cell));
            highest_scored(cell, elsewhere).filter(|_| !is_established)
        })
        .or_else(|| least_loaded(cell, relays(), counts))
}

/// Returns the VM that should hold a cell of another data centre; `None` if that is decided there.
fn choose_remote_holder(
    world: &World,
    now: Time,
    candidates: &[Candidate],
    counts: &mut FastMap<Incarnation, u32>,
    cell: &Cell,
) -> Option<Incarnation> {
    let claims = |vm: &&Candidate| claims_cell(world, vm.id, cell);
    let local = || {
        let vms = candidates.iter();
        vms.filter(|vm| vm.id.data_centre == cell.data_centre)
    };
    let is_decided_there =
        local().any(|vm| vm.uptime >= MIN_UPTIME_TO_RECLAIM) || local().any(|vm| claims(&vm));
    if is_decided_there {
        return None;
    }
    highest_scored(cell, candidates.iter().filter(claims)).or_else(|| {
        if topology::may_have_vms(world, now, cell.data_centre) {
            return None;
        }
        let relays = candidates.iter().filter(|vm| vm.is_relay);
        let with_room = relays.filter(|vm| {
            let count = counts.get(&vm.id).copied().unwrap_or_default();
            count < topology::max_cells(vm.weight)
        });
        let with_room: Vec<&Candidate> = with_room.collect();
        least_loaded(cell, with_room.into_iter(), counts)
    })
}

fn claims_cell(world: &World, vm: Incarnation, cell: &Cell) -> bool {
    if vm == world.me {
        world.claimed_cells.contains(cell)
    } else {
        world.peers.get(&vm).is_some_and(|row| row.claims(cell))
    }
}

/// Returns the VMs that accept work, this one included.
fn candidates(world: &World, now: Time) -> Vec<Candidate> {
    let me = Candidate {
        id: world.me,
        weight: world.weight,
        uptime: now.since(world.claims_allowed_at),
        is_relay: world.topology.relays.contains(&world.me.vm),
    };
    let peers = world.peers.iter();
    let peers = peers.filter(|(_, row)| row.is_serving() && !row.is_gone(now, &world.policy));
    let peers = peers.map(|(&id, row)| Candidate {
        id,
        weight: row.weight(),
        uptime: now.since(row.connected_at),
        is_relay: is_relay(world, id),
    });
    std::iter::once(me).chain(peers).collect()
}

/// Returns whether a peer is a relay: in this data centre by its rank, elsewhere as it says.
fn is_relay(world: &World, peer: Incarnation) -> bool {
    if peer.data_centre == world.me.data_centre {
        return world.topology.relays.contains(&peer.vm);
    }
    let heartbeat = world
        .peers
        .get(&peer)
        .and_then(|row| row.heartbeat.as_ref());
    heartbeat.is_some_and(|heartbeat| heartbeat.is_relay)
}

/// Counts the cells that each candidate claims.
fn count_claims(world: &World, candidates: &[Candidate]) -> FastMap<Incarnation, u32> {
    let counts = candidates.iter().map(|vm| {
        let heartbeat = world
            .peers
            .get(&vm.id)
            .and_then(|row| row.heartbeat.as_ref());
        let count = if vm.id == world.me {
            world.claimed_cells.len()
        } else {
            heartbeat.map_or(0, |heartbeat| heartbeat.cells.len())
        };
        (vm.id, u32::try_from(count).unwrap_or(u32::MAX))
    });
    counts.collect()
}

/// Returns the VM with the fewest cells for its size and counts the cell for it. Ties go to the
/// highest rendezvous score.
fn least_loaded<'a>(
    cell: &Cell,
    vms: impl Iterator<Item = &'a Candidate>,
    counts: &mut FastMap<Incarnation, u32>,
) -> Option<Incarnation> {
    let count = |vm: &Candidate| counts.get(&vm.id).copied().unwrap_or_default() + 1;
    let compare = |a: &&Candidate, b: &&Candidate| {
        let by_load = (count(a) * b.weight).cmp(&(count(b) * a.weight));
        by_load.then_with(|| compare_scores(cell, b, a))
    };
    let chosen = vms.min_by(compare)?.id;
    *counts.entry(chosen).or_default() += 1;
    Some(chosen)
}

fn highest_scored<'a>(
    cell: &Cell,
    vms: impl Iterator<Item = &'a Candidate>,
) -> Option<Incarnation> {
    vms.max_by(|a, b| compare_scores(cell, a, b))
        .map(|vm| vm.id)
}

fn compare_scores(cell: &Cell, a: &Candidate, b: &Candidate) -> Ordering {
    let score = |vm: &Candidate| rendezvous_score(cell, vm.id, vm.weight);
    score(a).total_cmp(&score(b))
}

/// Scores a VM for a cell by weighted rendezvous hashing.
fn rendezvous_score(cell: &Cell, vm: Incarnation, weight: u32) -> f64 {
    let cell_key = (u64::from(cell.cell_count) << 32 | u64::from(cell.index)) ^ cell.data_centre.0;
    weighted_score(
        mix(mix(cell_key) ^ mix(vm.vm.0) ^ mix(vm.nonce)),
        f64::from(weight),
    )
}

/// Returns the score of a candidate with this hash and weight in weighted rendezvous hashing: each
/// candidate has the highest score in proportion to its weight.
pub fn weighted_score(hash: u64, weight: f64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "a hash as a fraction")]
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / unit.ln()
}
