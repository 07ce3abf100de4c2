//! Boots of workers that are about to leave, as the registry says or another VM reports.

use crate::collections::FastMap;
use crate::guarded::model::ids::WorkerId;
use crate::model::time::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Retention time of a row. A worker leaves some seconds after it began to drain, at times many.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of rows. Beyond it the oldest one is removed.
const MAX_ROWS: usize = 1_024;

/// The boots that are about to leave, newest last.
#[derive(Debug, Default)]
pub struct Drains {
    boots: FastMap<WorkerId, u64>,
    by_age: VecDeque<(Time, WorkerId, u64)>,
}

impl Drains {
    /// Returns whether this boot of a worker is about to leave.
    pub fn contains(&self, worker: WorkerId, boot: Option<u64>) -> bool {
        boot.is_some() && self.boots.get(&worker).copied() == boot
    }

    /// Iterates over the newest rows.
    pub fn newest(&self) -> impl Iterator<Item = (WorkerId, u64)> {
        let rows = self.by_age.iter().rev();
        rows.map(|&(_, worker, boot)| (worker, boot))
    }

    /// Adds a boot. Returns whether it is new.
    pub fn insert(&mut self, now: Time, worker: WorkerId, boot: u64) -> bool {
        self.evict(now);
        if self.boots.get(&worker).is_some_and(|&known| known > boot) {
            // A late report of an earlier boot.
            return false;
        }
        if self.boots.insert(worker, boot) == Some(boot) {
            return false;
        }
        self.by_age.push_back((now, worker, boot));
        true
    }

    /// Removes a boot, which no longer leaves.
    pub fn remove(&mut self, worker: WorkerId, boot: u64) {
        if self.boots.get(&worker) == Some(&boot) {
            self.boots.remove(&worker);
            self.by_age.retain(|&(_, id, _)| id != worker);
        }
    }

    fn evict(&mut self, now: Time) {
        while let Some(&(at, worker, boot)) = self.by_age.front() {
            if now.since(at) < RETENTION && self.by_age.len() < MAX_ROWS {
                break;
            }
            self.by_age.pop_front();
            if self.boots.get(&worker) == Some(&boot) {
                self.boots.remove(&worker);
            }
        }
    }
}
