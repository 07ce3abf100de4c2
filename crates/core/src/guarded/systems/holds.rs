//! Acquisition and release of the workers of claimed cells.

use super::cell_assignment::is_claimed;
use crate::guarded::model::cell::Cell;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::tables::worker::{Hold, Worker};
use crate::guarded::world::{Cx, Phase, World};
use crate::model::time::Time;
use std::collections::BTreeMap;

/// Releases the workers of cells that this VM no longer claims, and acquires those of the cells
/// that it claims.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    release_idle_workers(world);
    stop_unneeded_probes(world);
    remove_unneeded_rows(world);
    acquire_workers(world, cx);
}

/// Adds rows for the workers of the claimed cells.
pub fn add_rows(world: &mut World) {
    let registered = world.registry.iter();
    let claimed = registered.filter(|row| is_claimed(world, &row.entry));
    let new = claimed.filter(|row| !world.workers.contains_key(&row.entry.id));
    let new: Vec<WorkerId> = new.map(|row| row.entry.id).collect();
    for id in new {
        add_row(world, id);
    }
}

/// Ends the delays before the workers of a cell that another VM acquired are acquired again.
pub fn end_delays(workers: &mut BTreeMap<WorkerId, Worker>, now: Time, cell: &Cell) {
    for row in workers.values_mut().filter(|row| cell.contains(&row.entry)) {
        if matches!(row.hold, Hold::Fenced(_)) {
            row.hold = Hold::Fenced(now);
            row.times_fenced = 0;
        }
    }
}

/// Adds the row of a registered worker.
pub fn add_row(world: &mut World, id: WorkerId) {
    if let Some(registered) = world.registry.get(id) {
        let mut row = Worker::new(registered.entry.clone());
        row.missing_since = registered.missing_since;
        row.cold_until = registered.cold_until;
        world.workers.insert(id, row);
    }
}

/// Removes the rows of workers that this VM neither claims nor holds and that have no runs.
fn remove_unneeded_rows(world: &mut World) {
    let claimed = &world.claimed_cells;
    world.workers.retain(|_, row| {
        matches!(row.hold, Hold::Held | Hold::Acquiring)
            || !row.runs.is_empty()
            || claimed.iter().any(|cell| cell.contains(&row.entry))
    });
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
