//! Entries of the registry of the workers: which of them are used.
//!
//! An entry may come from another writer. Over the entry of a known worker one is not used that names a
//! service of no queue, that lacks the boot, or that gives the known boot another address: a boot has one
//! service and one address. The worker then counts as missing, with its last entry, until an entry of its
//! own follows. If none does, the worker is removed, and the other entry is used.
//!
//! The address of a worker with runs does not change: what answers at another address proves nothing about
//! them. The new entry waits until they have ended there, or their lease has expired.

use super::{cell_assignment, drain_reports, holds, starts_in_flight};
use crate::collections::FastSet;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::model::worker::WorkerEntry;
use crate::guarded::tables::worker::{Hold, Worker};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;

/// Adds a worker or updates its entry.
pub fn handle_entry(world: &mut World, now: Time, entry: WorkerEntry) {
    // An entry that arrives after this VM has stopped following the registry is out of date.
    if !world.topology.follows_workers {
        return;
    }
    let id = entry.id;
    if let Some(reason) = contradiction(world, &entry) {
        tracing::warn!(worker = %id, address = %entry.address, reason, "entry of a worker is not used");
        mark_missing(world, now, id);
        world.registry.set_aside(entry);
        return;
    }
    drain_reports::note(world, now, &entry);
    world.registry.insert(now, entry.clone());
    let registered = world.registry.get(id);
    let cold_until = registered.map_or(now, |row| row.cold_until);
    if let Some(row) = world.workers.get_mut(&id) {
        update(row, cold_until, entry);
    } else if cell_assignment::is_claimed(world, &entry) {
        holds::add_row(world, id);
    }
}

/// Returns why an entry can't be of the worker that is known under its id; `None` if it can.
fn contradiction(world: &World, entry: &WorkerEntry) -> Option<&'static str> {
    let row = world.workers.get(&entry.id).map(|row| &row.entry);
    let registered = world.registry.get(entry.id).map(|row| &row.entry);
    let known = row.or(registered)?;
    if entry.upstream != known.upstream && !is_named(world, entry) {
        return Some("no queue names its service");
    }
    match (known.boot, entry.boot) {
        (Some(_), None) => Some("it lacks the boot"),
        (Some(known_boot), Some(boot)) if known_boot == boot && known.address != entry.address => {
            Some("the boot has another address")
        }
        _ => None,
    }
}

/// Returns whether a queue names the upstream of an entry, as far as the queues are known.
fn is_named(world: &World, entry: &WorkerEntry) -> bool {
    let queues = world.queues.as_ref();
    queues.is_none_or(|queues| {
        let mut queues = queues.iter();
        queues.any(|queue| queue.settings.upstream == entry.upstream)
    })
}

fn update(row: &mut Worker, cold_until: Time, entry: WorkerEntry) {
    row.missing_since = None;
    if entry.address != row.entry.address {
        tracing::info!(
            worker = %entry.id,
            from = %row.entry.address,
            to = %entry.address,
            runs = row.runs.len(),
            "worker has another address"
        );
        row.moving_to = Some(entry);
        return;
    }
    row.moving_to = None;
    if row.entry.draining != entry.draining {
        tracing::info!(worker = %entry.id, draining = entry.draining, "worker changed");
    }
    row.cold_until = cold_until;
    row.entry = entry;
}

/// Changes the addresses of the workers that have no runs at their former ones.
pub fn move_idle_workers(world: &mut World, cx: &Cx<'_>) {
    let rows = world.workers.values();
    let idle = rows.filter(|row| row.moving_to.is_some() && row.runs.is_empty());
    let idle: Vec<WorkerId> = idle.map(|row| row.entry.id).collect();
    for id in idle {
        // The boot there knows nothing of what the one at the former address ruled out.
        starts_in_flight::handle_loss(world, cx, id);
        let Some(row) = world.workers.get_mut(&id) else {
            continue;
        };
        let Some(entry) = row.moving_to.take() else {
            continue;
        };
        row.cold_until = cx.now + entry.cold_left;
        row.entry = entry;
        row.address_since = cx.now;
        row.poll = None;
        row.forget_boot(cx.now);
        if matches!(row.hold, Hold::Held | Hold::Acquiring) {
            holds::begin_acquisition(world, cx, id);
        }
    }
}

/// Records that the store does not list a worker, or no entry of it that is used.
fn mark_missing(world: &mut World, now: Time, id: WorkerId) {
    world.registry.mark_missing(id, now);
    if let Some(row) = world.workers.get_mut(&id) {
        row.missing_since.get_or_insert(now);
    }
}

/// Handles an entry that was removed, or that can't be decoded.
pub fn handle_removal(world: &mut World, now: Time, id: WorkerId) {
    world.registry.take_aside(id);
    mark_missing(world, now, id);
}

/// Handles a full list of the store.
pub fn handle_list(world: &mut World, now: Time, entries: Vec<WorkerEntry>) {
    let listed: FastSet<WorkerId> = entries.iter().map(|entry| entry.id).collect();
    for id in world.registry.absent_from(&listed) {
        handle_removal(world, now, id);
    }
    for entry in entries {
        handle_entry(world, now, entry);
    }
}

/// Removes workers that have been missing from the registry for a while. One that still has runs
/// gets no new ones and stays until they have ended.
pub fn remove_missing(world: &mut World, now: Time) {
    let gone = world.registry.missing_for(now, world.policy.missing_grace);
    for id in gone {
        if let Some(row) = world.workers.get_mut(&id)
            && !row.runs.is_empty()
        {
            row.entry.draining = true;
            continue;
        }
        tracing::info!(worker = %id, "removing worker that is no longer in the registry");
        world.workers.remove(&id);
        let aside = world.registry.take_aside(id);
        world.registry.remove(id);
        if let Some(entry) = aside {
            handle_entry(world, now, entry);
        }
    }
}

/// Uses the entries whose services a new configuration names.
pub fn handle_new_queues(world: &mut World, now: Time) {
    for entry in world.registry.take_all_aside() {
        handle_entry(world, now, entry);
    }
}
