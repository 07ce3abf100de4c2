//! Amounts of worker resources.

use std::ops::{AddAssign, SubAssign};

/// Maximum of each amount. Larger ones are cut to it, so that sums do not overflow.
const MAX_AMOUNT: u64 = 1 << 40;

/// An amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Cuts each amount to its maximum.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(MAX_AMOUNT),
            memory_mb: self.memory_mb.min(MAX_AMOUNT),
            accelerators: self.accelerators.min(MAX_AMOUNT),
        }
    }

    /// Returns whether `need` fits into this amount.
    #[must_use]
    pub const fn can_fit(&self, need: &Self) -> bool {
        self.cpu_milli >= need.cpu_milli
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Returns what is left after subtracting `used`, never below zero.
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
