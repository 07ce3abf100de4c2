//! Cells: groups of workers with one holder.

use super::job::MAX_TIME;
use super::room::{RoomSummary, TasksNeed};
use super::worker::WorkerEntry;
use crate::model::ids::DataCentreId;
use std::time::Duration;

/// Maximum mean number of workers per cell.
pub const MAX_CELL_WORKERS: usize = 32;

/// A group of workers of one data centre. The workers of a data centre are split by a hash of their
/// ids into a number of cells that is a power of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cell {
    /// Data centre of the workers.
    pub data_centre: DataCentreId,
    /// Number of cells in the data centre, a power of two.
    pub cell_count: u16,
    /// Number of this cell, below `cell_count`.
    pub index: u16,
}

impl Cell {
    /// Returns the number of cells for a data centre with `workers` workers.
    #[must_use]
    pub fn count(workers: usize) -> u16 {
        let cells = workers.div_ceil(MAX_CELL_WORKERS).max(1);
        u16::try_from(cells.next_power_of_two()).unwrap_or(1 << 15)
    }

    /// Returns whether a worker belongs to the cell.
    #[must_use]
    pub fn contains(&self, worker: &WorkerEntry) -> bool {
        // The ids are hashes, so their high bits spread evenly.
        let bucket = (worker.id.0 >> 32) as u16 & (self.cell_count - 1);
        worker.data_centre == self.data_centre && bucket == self.index
    }
}

/// Load of all workers of one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HolderLoad {
    /// CPU of the usable workers, in thousandths of a core.
    pub capacity_milli: u64,
    /// CPU of the usable workers that no run occupies, in thousandths of a core.
    pub free_milli: u64,
    /// CPU that the holder's waiting tasks need, in thousandths of a core.
    pub waiting_milli: u64,
    /// Mean run time of the holder's runs.
    pub mean_run: Duration,
    /// Room by the size of tasks; `None` from a holder that makes no forecasts.
    pub room: Option<RoomSummary>,
}

/// Maximum of each amount of CPU of a holder, in thousandths of a core.
const MAX_MILLI: u64 = 1 << 50;

impl HolderLoad {
    /// Cuts the values to their maximums, so that sums do not overflow.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            capacity_milli: self.capacity_milli.min(MAX_MILLI),
            free_milli: self.free_milli.min(MAX_MILLI),
            waiting_milli: self.waiting_milli.min(MAX_MILLI),
            mean_run: self.mean_run.min(MAX_TIME),
            room: self.room,
        }
    }

    /// Returns the CPU that tasks needing `ahead_milli` on top of the waiting ones leave free, in
    /// thousandths of a core.
    #[must_use]
    pub const fn spare_milli(&self, ahead_milli: u64) -> u64 {
        self.free_milli
            .saturating_sub(self.waiting_milli.saturating_add(ahead_milli))
    }

    /// Estimates how long the last of some tasks waits for its start, behind other tasks that need
    /// `placed_milli` thousandths of a core on top of the waiting ones.
    #[must_use]
    pub fn wait_of(&self, need: &TasksNeed, placed_milli: u64) -> Duration {
        let room = self.room.filter(|_| self.capacity_milli > 0);
        let wait = room.and_then(|room| room.wait_of(need, placed_milli, self.mean_run));
        wait.unwrap_or_else(|| self.wait_behind(placed_milli + need.total_milli))
    }

    /// Estimates how long a task waits for its start, behind other tasks that need `ahead_milli`
    /// thousandths of a core on top of the waiting ones.
    #[must_use]
    pub fn wait_behind(&self, ahead_milli: u64) -> Duration {
        if self.capacity_milli == 0 {
            return Duration::MAX;
        }
        let ahead = self.waiting_milli.saturating_add(ahead_milli);
        let ahead = ahead.saturating_sub(self.free_milli);
        #[allow(clippy::cast_precision_loss, reason = "an estimate")]
        let share = ahead as f64 / self.capacity_milli as f64;
        let wait = self.mean_run.as_secs_f64() * share;
        Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)
    }
}
