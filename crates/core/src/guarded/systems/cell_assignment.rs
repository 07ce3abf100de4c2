//! Assignment of cells to VMs, and the acquisition and release of their workers.

use crate::collections::FastMap;
use crate::guarded::model::cell::{Cell, CellLoad};
use crate::guarded::model::ids::WorkerId;
use crate::guarded::model::worker::WorkerEntry;
use crate::guarded::tables::runner_job::RunnerJob;
use crate::guarded::tables::worker::{Hold, Worker};
use crate::guarded::world::{Cx, Phase, World};
use crate::model::ids::DataCentreId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Minimum uptime of a VM before it takes a cell of its data centre back from a VM elsewhere.
const MIN_UPTIME_TO_RECLAIM: Duration = Duration::from_secs(1);

/// Returns whether this VM claims the cell of a worker.
pub fn is_claimed(world: &World, entry: &WorkerEntry) -> bool {
    world.claimed_cells.iter().any(|cell| cell.contains(entry))
}

/// Returns the load of the cells that this VM claims. Workers that are being acquired count towards
/// the capacity, since they are usable shortly.
pub fn cell_loads(world: &World, now: Time) -> Vec<CellLoad> {
    let waiting_milli = waiting_milli(world);
    let cells = world.claimed_cells.iter().map(|&cell| {
        let mut load = CellLoad {
            cell,
            capacity_milli: 0,
            free_milli: 0,
            waiting_milli,
            mean_run: Duration::from_secs_f64(world.mean_run_ms / 1e3),
        };
        let stale_after = world.policy.worker_stale_after * 2;
        let rows = world.workers.values();
        for row in rows.filter(|row| cell.contains(&row.entry)) {
            if row.is_usable(now, stale_after) {
                load.capacity_milli += row.entry.capacity.cpu_milli;
                load.free_milli += row.free().cpu_milli;
            } else if row.is_usable_soon(now) {
                load.capacity_milli += row.entry.capacity.cpu_milli;
            }
        }
        load
    });
    cells.collect()
}

/// Returns the CPU that waiting tasks need, in thousandths of a core.
pub fn waiting_milli(world: &World) -> u64 {
    let jobs = world.jobs.values();
    jobs.map(RunnerJob::due_milli).sum()
}

/// Updates the set of cells that this VM claims, then acquires and releases workers to match it.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if !may_change_claims(world, cx.now) {
        return;
    }
    let cells = all_cells(world);
    let mine: BTreeSet<Cell> = cells
        .into_iter()
        .filter(|cell| choose_holder(world, cx.now, cell) == Some(world.me))
        .collect();
    if mine != world.claimed_cells {
        tracing::info!(
            cells = mine.len(),
            before = world.claimed_cells.len(),
            peers = world.peers.len(),
            leaving = !world.is_serving(),
            "the cells of this VM have changed"
        );
        world.claimed_cells = mine;
        world.heartbeat_due = true;
    }
    release_idle_workers(world);
    stop_unneeded_probes(world);
    acquire_workers(world, cx);
}

/// Returns whether this VM has been up for long enough to know the present holders. The delay ends
/// early once every listed VM has sent a heartbeat.
fn may_change_claims(world: &mut World, now: Time) -> bool {
    if now < world.claims_paused_until {
        return false;
    }
    if now >= world.claims_allowed_at {
        return true;
    }
    let known = world.peers.values().filter(|row| row.heartbeat.is_some());
    let all_known = world
        .listed_vms
        .is_some_and(|listed| listed > 0 && known.count() >= listed);
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

/// Returns the cells of all workers in the registry.
fn all_cells(world: &World) -> BTreeSet<Cell> {
    let mut workers: FastMap<DataCentreId, usize> = FastMap::default();
    for row in world.workers.values() {
        *workers.entry(row.entry.data_centre).or_default() += 1;
    }
    let cells = workers.into_iter().flat_map(|(data_centre, count)| {
        let cell_count = Cell::count(count);
        (0..cell_count).map(move |index| Cell {
            data_centre,
            cell_count,
            index,
        })
    });
    cells.collect()
}

/// Returns whether some cell is claimed neither by this VM nor by a peer that sent a message
/// recently.
pub fn has_unheld_cell(world: &World, now: Time) -> bool {
    let suspect_after = world.policy.peer_suspect_after;
    let is_held = |cell: &Cell| {
        let mut peers = world.peers.values();
        world.claimed_cells.contains(cell)
            || peers.any(|row| now.since(row.last_message_at) < suspect_after && row.claims(cell))
    };
    all_cells(world).iter().any(|cell| !is_held(cell))
}

/// Returns the VM that should hold a cell.
///
/// A serving holder keeps its cell, unless it is in another data centre and a VM of the cell's data
/// centre has been up for a while. If several VMs claim the cell or none does, the highest
/// rendezvous score wins.
fn choose_holder(world: &World, now: Time, cell: &Cell) -> Option<Incarnation> {
    let serving: Vec<Candidate> = candidates(world, now).collect();
    let is_local = |vm: &&Candidate| vm.id.data_centre == cell.data_centre;
    let claims = |vm: &&Candidate| claims_cell(world, vm.id, cell);
    let local = || serving.iter().filter(is_local);
    let established = || local().filter(|vm| vm.uptime >= MIN_UPTIME_TO_RECLAIM);
    highest_scored(cell, local().filter(claims))
        .or_else(|| {
            let elsewhere = highest_scored(cell, serving.iter().filter(claims))?;
            highest_scored(cell, established()).or(Some(elsewhere))
        })
        .or_else(|| highest_scored(cell, local()))
        .or_else(|| highest_scored(cell, serving.iter()))
}

fn claims_cell(world: &World, vm: Incarnation, cell: &Cell) -> bool {
    if vm == world.me {
        world.claimed_cells.contains(cell)
    } else {
        world.peers.get(&vm).is_some_and(|row| row.claims(cell))
    }
}

/// A VM that may hold a cell.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: Incarnation,
    weight: u32,
    /// Time for which this VM has known it to be serving.
    uptime: Duration,
}

/// Iterates over the VMs that accept work, this one included.
fn candidates(world: &World, now: Time) -> impl Iterator<Item = Candidate> {
    let me = Candidate {
        id: world.me,
        weight: world.weight,
        uptime: now.since(world.claims_allowed_at),
    };
    let me = world.is_serving().then_some(me).into_iter();
    let timeout = world.policy.peer_timeout;
    let peers = world
        .peers
        .iter()
        .filter(move |(_, row)| now.since(row.last_message_at) < timeout && row.is_serving());
    me.chain(peers.map(move |(&id, row)| Candidate {
        id,
        weight: row.weight(),
        uptime: now.since(row.connected_at),
    }))
}

fn highest_scored<'a>(
    cell: &Cell,
    vms: impl Iterator<Item = &'a Candidate>,
) -> Option<Incarnation> {
    vms.map(|vm| (rendezvous_score(cell, vm.id, vm.weight), vm.id))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, vm)| vm)
}

/// Scores a VM for a cell by weighted rendezvous hashing.
fn rendezvous_score(cell: &Cell, vm: Incarnation, weight: u32) -> f64 {
    let cell_key = (u64::from(cell.cell_count) << 32 | u64::from(cell.index)) ^ cell.data_centre.0;
    let hash = mix(mix(cell_key) ^ mix(vm.vm.0) ^ mix(vm.nonce));
    #[allow(clippy::cast_precision_loss, reason = "a hash as a fraction")]
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight) / unit.ln()
}

/// Mixes the bits of a number (the finalizer of splitmix64).
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Releases idle workers of cells that this VM does not claim.
fn release_idle_workers(world: &mut World) {
    let waiting = world
        .jobs
        .values()
        .any(|job| job.due_tasks().next().is_some());
    let stopping = matches!(world.phase, Phase::Stopping(_));
    let idle: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| matches!(row.hold, Hold::Held | Hold::Acquiring))
        .filter(|row| row.runs.is_empty() && !is_claimed(world, &row.entry))
        .map(|row| row.entry.id)
        .collect();
    // A stopping VM without peers that could take its cells keeps the workers that its started jobs
    // may need.
    if waiting && stopping && world.claimed_cells.is_empty() {
        return;
    }
    for id in idle {
        release(world, id);
    }
}

/// Stops probing unreachable workers of cells that other VMs claim.
fn stop_unneeded_probes(world: &mut World) {
    let claimed = world.claimed_cells.clone();
    let is_claimed = |row: &Worker| claimed.iter().any(|cell| cell.contains(&row.entry));
    let rows = world.workers.values_mut();
    for row in rows.filter(|row| row.hold == Hold::Unreachable && !is_claimed(row)) {
        row.hold = Hold::None;
        row.poll = None;
    }
}

fn release(world: &mut World, id: WorkerId) {
    if let Some(row) = world.workers.get_mut(&id) {
        row.hold = Hold::None;
        row.poll = None;
        world.heartbeat_due = true;
        tracing::info!(worker = %id, token = row.token.0, "worker released");
    }
}

/// Starts to acquire the workers of the claimed cells that no other VM holds.
fn acquire_workers(world: &mut World, cx: &mut Cx<'_>) {
    let wanted: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| match row.hold {
            Hold::None => true,
            Hold::Fenced(until) => cx.now >= until,
            Hold::Acquiring | Hold::Held | Hold::Unreachable => false,
        })
        .filter(|row| row.missing_since.is_none() && is_claimed(world, &row.entry))
        .map(|row| row.entry.id)
        .filter(|&id| !world.peers.values().any(|peer| peer.still_holds(id)))
        .collect();
    for id in wanted {
        begin_acquisition(world, cx, id);
    }
}

/// Starts to acquire a worker under a new token. No run starts there under that token until every
/// run that was found there has ended.
pub fn begin_acquisition(world: &mut World, cx: &Cx<'_>, id: WorkerId) {
    let token = world.next_token(cx.unix_ms);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.hold = Hold::Acquiring;
    row.token = token;
    row.poll = None;
    row.unanswered_polls = 0;
    world.stats.acquisitions += 1;
    tracing::info!(worker = %id, token = token.0, "acquiring worker");
}
