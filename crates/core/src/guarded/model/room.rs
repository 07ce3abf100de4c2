//! Summary of the room on the workers of a holder, by the size of tasks.

use super::job::MAX_TIME;
use std::time::Duration;

/// Number of sizes in a summary.
pub const SIZE_COUNT: usize = 5;
/// Smallest size, in thousandths of a core. Each further one is twice as large.
const SMALLEST_MILLI: u64 = 4_000;

/// Returns the CPU of a task of the size with this number, in thousandths of a core.
#[must_use]
pub const fn size_milli(size: usize) -> u64 {
    SMALLEST_MILLI << size
}

/// What the first tasks of a job need.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TasksNeed {
    /// Number of tasks.
    pub tasks: u64,
    /// CPU of all of them, in thousandths of a core.
    pub total_milli: u64,
    /// CPU of the largest one, in thousandths of a core.
    pub largest_milli: u64,
}

/// Room for tasks of one size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SizeRoom {
    /// Number of tasks that fit now, besides the waiting ones.
    pub fits: u16,
    /// Number of tasks that fit on the workers while these are idle.
    pub slots: u16,
    /// Time until the first task beyond those that fit now starts, in milliseconds.
    pub wait_ms: u16,
}

/// Room on the workers of a holder for tasks behind those that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomSummary {
    /// Room by size, the smallest first.
    pub sizes: [SizeRoom; SIZE_COUNT],
}

impl RoomSummary {
    /// Estimates how long the last of some tasks waits for its start, after tasks that need
    /// `placed_milli` thousandths of a core and are not in the summary. `mean_run` is the mean run time of the holder's runs. Returns `None` if no worker has room for
    /// a task of this size in the summary.
    #[must_use]
    pub fn wait_of(
        &self,
        need: &TasksNeed,
        placed_milli: u64,
        mean_run: Duration,
    ) -> Option<Duration> {
        let (size, row) = self.size_of(need.largest_milli);
        if row.slots == 0 {
            return None;
        }
        let ahead = placed_milli.div_ceil(size).saturating_add(need.tasks);
        let beyond = ahead.saturating_sub(u64::from(row.fits));
        if beyond == 0 {
            return Some(Duration::ZERO);
        }
        #[allow(clippy::cast_precision_loss, reason = "an estimate")]
        let rounds = (beyond - 1) as f64 / f64::from(row.slots);
        let further = mean_run.as_secs_f64() * rounds;
        let further = Duration::try_from_secs_f64(further).unwrap_or(MAX_TIME);
        Some(Duration::from_millis(u64::from(row.wait_ms)).saturating_add(further))
    }

    /// Returns the smallest size that holds a task, or the largest one, and its room.
    fn size_of(&self, need_milli: u64) -> (u64, &SizeRoom) {
        let sizes = self.sizes.iter().enumerate();
        let mut sizes = sizes.map(|(size, row)| (size_milli(size), row));
        let holding = sizes.find(|(size, _)| *size >= need_milli);
        holding.unwrap_or((size_milli(SIZE_COUNT - 1), &self.sizes[SIZE_COUNT - 1]))
    }
}
