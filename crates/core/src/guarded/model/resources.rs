//! Amounts of a worker's resources.

use std::ops::{AddAssign, SubAssign};

/// An amount of processor, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Tells whether `need` fits into this amount.
    #[must_use]
    pub const fn holds(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Returns what is left after `used`, never below zero.
    #[must_use]
    pub const fn without(&self, used: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(used.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        self.cpu_milli += rhs.cpu_milli;
        self.memory_mb += rhs.memory_mb;
        self.accelerators += rhs.accelerators;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, rhs: Self) {
        *self = self.without(&rhs);
    }
}
