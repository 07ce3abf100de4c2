//! The workers that the store lists.

use crate::collections::{FastMap, FastSet};
use crate::guarded::model::cell::Cell;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::model::worker::WorkerEntry;
use crate::model::ids::DataCentreId;
use crate::model::time::Time;
use std::time::Duration;

/// A worker that the store lists, or listed until recently.
#[derive(Debug)]
pub struct RegisteredWorker {
    /// Entry of the worker.
    pub entry: WorkerEntry,
    /// Time until which it is slower than usual, because it has started a moment ago.
    pub cold_until: Time,
    /// Time since which the store does not list it; `None` while it does.
    pub missing_since: Option<Time>,
}

/// The workers that the store lists, and those that it listed until recently. Empty on VMs that do
/// not follow the registry of the workers.
#[derive(Debug, Default)]
pub struct WorkerRegistry {
    rows: FastMap<WorkerId, RegisteredWorker>,
    counts: FastMap<DataCentreId, usize>,
    missing: FastSet<WorkerId>,
    /// Entries that are not used, by the ids of known workers.
    aside: FastMap<WorkerId, WorkerEntry>,
}

impl WorkerRegistry {
    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns a worker.
    pub fn get(&self, id: WorkerId) -> Option<&RegisteredWorker> {
        self.rows.get(&id)
    }

    /// Iterates over all workers.
    pub fn iter(&self) -> impl Iterator<Item = &RegisteredWorker> {
        self.rows.values()
    }

    /// Iterates over the data centres that have workers.
    pub fn data_centres(&self) -> impl Iterator<Item = DataCentreId> {
        self.counts.keys().copied()
    }

    /// Returns the number of cells of a data centre; 0 if it has no workers.
    pub fn cell_count(&self, data_centre: DataCentreId) -> u16 {
        self.counts
            .get(&data_centre)
            .map_or(0, |&workers| Cell::count(workers))
    }

    /// Iterates over the cells of a data centre.
    pub fn cells(&self, data_centre: DataCentreId) -> impl Iterator<Item = Cell> {
        let cell_count = self.cell_count(data_centre);
        (0..cell_count).map(move |index| Cell {
            data_centre,
            cell_count,
            index,
        })
    }

    /// Adds a worker or updates its entry.
    pub fn insert(&mut self, now: Time, entry: WorkerEntry) {
        self.missing.remove(&entry.id);
        self.aside.remove(&entry.id);
        let (id, data_centre) = (entry.id, entry.data_centre);
        // A list repeats entries that were written some time ago.
        let known = self
            .rows
            .get(&id)
            .filter(|row| row.entry.boot == entry.boot);
        let cold_until = now + entry.cold_left;
        let cold_until = known.map_or(cold_until, |row| row.cold_until.min(cold_until));
        let row = RegisteredWorker {
            cold_until,
            entry,
            missing_since: None,
        };
        let old = self.rows.insert(id, row);
        *self.counts.entry(data_centre).or_default() += 1;
        if let Some(old) = old {
            self.uncount(old.entry.data_centre);
        }
    }

    /// Records that the store does not list a worker. The worker stays until it is removed.
    pub fn mark_missing(&mut self, id: WorkerId, now: Time) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.missing_since.get_or_insert(now);
            self.missing.insert(id);
        }
    }

    /// Sets an entry under the id of a known worker aside, until the worker is removed.
    pub fn set_aside(&mut self, entry: WorkerEntry) {
        self.aside.insert(entry.id, entry);
    }

    /// Removes and returns the entry that was set aside under an id.
    pub fn take_aside(&mut self, id: WorkerId) -> Option<WorkerEntry> {
        self.aside.remove(&id)
    }

    /// Removes and returns all entries that were set aside.
    pub fn take_all_aside(&mut self) -> Vec<WorkerEntry> {
        self.aside.drain().map(|(_, entry)| entry).collect()
    }

    /// Returns the workers that are not in a new full list of the store.
    pub fn absent_from(&self, listed: &FastSet<WorkerId>) -> Vec<WorkerId> {
        let ids = self.rows.keys().copied();
        ids.filter(|id| !listed.contains(id)).collect()
    }

    /// Returns the workers that have been missing for longer than `grace`.
    pub fn missing_for(&self, now: Time, grace: Duration) -> Vec<WorkerId> {
        let is_due = |id: &&WorkerId| {
            let since = self.rows.get(id).and_then(|row| row.missing_since);
            since.is_some_and(|since| now.since(since) > grace)
        };
        self.missing.iter().filter(is_due).copied().collect()
    }

    /// Removes a worker.
    pub fn remove(&mut self, id: WorkerId) {
        self.missing.remove(&id);
        self.aside.remove(&id);
        if let Some(row) = self.rows.remove(&id) {
            self.uncount(row.entry.data_centre);
        }
    }

    /// Removes all workers.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    fn uncount(&mut self, data_centre: DataCentreId) {
        if let Some(count) = self.counts.get_mut(&data_centre) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&data_centre);
            }
        }
    }
}
