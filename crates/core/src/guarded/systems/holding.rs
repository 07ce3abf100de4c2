//! Which VM holds which worker.

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

/// Time for which a VM must have been up before a cell of its data centre comes back to it.
const HOME_AFTER: Duration = Duration::from_secs(1);

/// Tells whether this VM claims the cell of a worker.
pub fn is_claimed(world: &World, entry: &WorkerEntry) -> bool {
    world.claimed.iter().any(|cell| cell.contains(entry))
}

/// Returns the load of the cells that this VM holds. A worker that is being taken over counts, since
/// it will be used in a moment.
pub fn loads(world: &World, now: Time) -> Vec<CellLoad> {
    let waiting_milli = waiting_milli(world);
    let cells = world.claimed.iter().map(|&cell| {
        let mut load = CellLoad {
            cell,
            capacity_milli: 0,
            free_milli: 0,
            waiting_milli,
            mean_run: Duration::from_secs_f64(world.mean_run_ms / 1e3),
        };
        let silence = world.policy.worker_silence * 2;
        let rows = world.workers.values();
        for row in rows.filter(|row| cell.contains(&row.entry)) {
            if row.is_usable(now, silence) {
                load.capacity_milli += row.entry.capacity.cpu_milli;
                load.free_milli += row.free().cpu_milli;
            } else if row.is_coming(now) {
                load.capacity_milli += row.entry.capacity.cpu_milli;
            }
        }
        load
    });
    cells.collect()
}

/// Returns the processor that waiting tasks need, in thousandths of a core.
pub fn waiting_milli(world: &World) -> u64 {
    let jobs = world.jobs.values();
    jobs.map(RunnerJob::due_milli).sum()
}

/// Decides the cells of this VM, then takes over and releases workers accordingly.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if !is_settled(world, cx.now) {
        return;
    }
    let cells = cells(world);
    let mine: BTreeSet<Cell> = cells
        .into_iter()
        .filter(|cell| holder(world, cx.now, cell) == Some(world.me))
        .collect();
    if mine != world.claimed {
        tracing::info!(
            cells = mine.len(),
            before = world.claimed.len(),
            peers = world.members.len(),
            leaving = !world.is_serving(),
            "the cells of this VM have changed"
        );
        world.claimed = mine;
        world.heartbeat_due = true;
    }
    release_idle(world);
    forget_unreached(world);
    take_over(world, cx);
}

/// Tells whether this VM has been up for long enough to know who holds what.
fn is_settled(world: &mut World, now: Time) -> bool {
    if now < world.caught_up_at {
        return false;
    }
    if now >= world.settled_at {
        return true;
    }
    let heard = world.members.values().filter(|row| row.heartbeat.is_some());
    let all_heard = world
        .listed_vms
        .is_some_and(|listed| listed > 0 && heard.count() >= listed);
    let spared = world
        .policy
        .settle
        .saturating_sub(world.policy.settle_heard);
    if !all_heard || now + spared < world.settled_at {
        return false;
    }
    world.settled_at = now;
    true
}

/// Returns all cells that the registry's workers form.
fn cells(world: &World) -> BTreeSet<Cell> {
    let mut workers: FastMap<DataCentreId, usize> = FastMap::default();
    for row in world.workers.values() {
        *workers.entry(row.entry.data_centre).or_default() += 1;
    }
    let cells = workers.into_iter().flat_map(|(data_centre, count)| {
        let of = Cell::count(count);
        (0..of).map(move |index| Cell {
            data_centre,
            of,
            index,
        })
    });
    cells.collect()
}

/// Tells whether no VM holds one of the cells.
pub fn is_any_unheld(world: &World, now: Time) -> bool {
    let doubt = world.policy.peer_doubt;
    let is_held = |cell: &Cell| {
        let mut peers = world.members.values();
        world.claimed.contains(cell)
            || peers.any(|row| now.since(row.heard) < doubt && row.holds(cell))
    };
    cells(world).iter().any(|cell| !is_held(cell))
}

/// Returns the VM that should hold a cell: a live holder keeps it, unless it is elsewhere and a VM
/// of the cell's data centre has been up for a while; of several claims, and without one, the first
/// in rendezvous order wins.
fn holder(world: &World, now: Time, cell: &Cell) -> Option<Incarnation> {
    let live: Vec<Candidate> = candidates(world, now).collect();
    let at_home = |vm: &&Candidate| vm.id.data_centre == cell.data_centre;
    let claims = |vm: &&Candidate| claims(world, vm.id, cell);
    let home = || live.iter().filter(at_home);
    let seasoned = || home().filter(|vm| vm.up_for >= HOME_AFTER);
    first_in_order(cell, home().filter(claims))
        .or_else(|| {
            let elsewhere = first_in_order(cell, live.iter().filter(claims))?;
            first_in_order(cell, seasoned()).or(Some(elsewhere))
        })
        .or_else(|| first_in_order(cell, home()))
        .or_else(|| first_in_order(cell, live.iter()))
}

fn claims(world: &World, vm: Incarnation, cell: &Cell) -> bool {
    if vm == world.me {
        world.claimed.contains(cell)
    } else {
        world.members.get(&vm).is_some_and(|row| row.holds(cell))
    }
}

/// A VM that could hold a cell.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: Incarnation,
    weight: u32,
    /// Time for which it has been known to serve.
    up_for: Duration,
}

/// Iterates over the VMs that serve.
fn candidates(world: &World, now: Time) -> impl Iterator<Item = Candidate> {
    let me = Candidate {
        id: world.me,
        weight: world.weight,
        up_for: now.since(world.settled_at),
    };
    let me = world.is_serving().then_some(me).into_iter();
    let silence = world.policy.peer_silence;
    let peers = world
        .members
        .iter()
        .filter(move |(_, row)| now.since(row.heard) < silence && row.is_serving());
    me.chain(peers.map(move |(&id, row)| Candidate {
        id,
        weight: row.weight(),
        up_for: now.since(row.since),
    }))
}

fn first_in_order<'a>(
    cell: &Cell,
    vms: impl Iterator<Item = &'a Candidate>,
) -> Option<Incarnation> {
    vms.map(|vm| (rendezvous_score(cell, vm.id, vm.weight), vm.id))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, vm)| vm)
}

/// Scores a VM for a cell by weighted rendezvous hashing.
fn rendezvous_score(cell: &Cell, vm: Incarnation, weight: u32) -> f64 {
    let cell_key = (u64::from(cell.of) << 32 | u64::from(cell.index)) ^ cell.data_centre.0;
    let hash = mix(mix(cell_key) ^ mix(vm.vm.0) ^ mix(vm.nonce));
    #[allow(clippy::cast_precision_loss, reason = "a hash as a fraction")]
    let unit = ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -f64::from(weight) / unit.ln()
}

/// Spreads the bits of a number (the finalizer of splitmix64).
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Lets go of workers of cells that this VM does not claim, as soon as nothing of it runs there.
fn release_idle(world: &mut World) {
    let waiting = world
        .jobs
        .values()
        .any(|job| job.due_tasks().next().is_some());
    let stopping = matches!(world.phase, Phase::Stopping(_));
    let idle: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| matches!(row.hold, Hold::Held | Hold::Taking))
        .filter(|row| row.runs.is_empty() && !is_claimed(world, &row.entry))
        .map(|row| row.entry.id)
        .collect();
    // Jobs that have begun keep the workers that they may need, unless others serve as well.
    if waiting && stopping && world.claimed.is_empty() {
        return;
    }
    for id in idle {
        release(world, id);
    }
}

/// Stops the probes of workers that others use.
fn forget_unreached(world: &mut World) {
    let claimed = world.claimed.clone();
    let is_claimed = |row: &Worker| claimed.iter().any(|cell| cell.contains(&row.entry));
    let rows = world.workers.values_mut();
    for row in rows.filter(|row| row.hold == Hold::Unreached && !is_claimed(row)) {
        row.hold = Hold::None;
        row.look = None;
    }
}

fn release(world: &mut World, id: WorkerId) {
    if let Some(row) = world.workers.get_mut(&id) {
        row.hold = Hold::None;
        row.look = None;
        world.heartbeat_due = true;
        tracing::info!(worker = %id, token = row.token.0, "worker released");
    }
}

/// Begins to take over the workers of the claimed cells that no other VM holds.
fn take_over(world: &mut World, cx: &mut Cx<'_>) {
    let wanted: Vec<WorkerId> = world
        .workers
        .values()
        .filter(|row| match row.hold {
            Hold::None => true,
            Hold::Fenced(until) => cx.now >= until,
            Hold::Taking | Hold::Held | Hold::Unreached => false,
        })
        .filter(|row| row.missing_since.is_none() && is_claimed(world, &row.entry))
        .map(|row| row.entry.id)
        .filter(|&id| !world.members.values().any(|peer| peer.still_holds(id)))
        .collect();
    for id in wanted {
        begin_taking(world, cx, id);
    }
}

/// Begins to take over a worker with a new token. Nothing runs there under that token until each
/// run that was found there has ended.
pub fn begin_taking(world: &mut World, cx: &Cx<'_>, id: WorkerId) {
    let token = world.next_token(cx.unix_ms);
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    row.hold = Hold::Taking;
    row.token = token;
    row.look = None;
    row.unanswered = 0;
    world.stats.takeovers += 1;
    tracing::info!(worker = %id, token = token.0, "taking a worker over");
}
