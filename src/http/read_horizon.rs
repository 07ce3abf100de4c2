//! How old what is read from sockets may be.

use rustix::time::{ClockId, clock_gettime};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Time of the last pass of an event loop by which the sockets had been read. What is read now
/// arrived after it, perhaps long before now if this process has stalled. Clones share the time.
///
/// Before the first pass, or if there is no such loop, what is read counts as new.
#[derive(Clone, Debug, Default)]
pub struct ReadHorizon(Arc<AtomicU64>);

impl ReadHorizon {
    /// Records that all that the sockets held a moment ago has been read.
    pub fn advance(&self) {
        self.0.store(boot_micros(), Ordering::Relaxed);
    }

    /// Returns the earliest time, on the boot clock, at which what is read now may have arrived.
    pub(super) fn earliest_arrival(&self) -> BootTime {
        match self.0.load(Ordering::Relaxed) {
            0 => BootTime::now(),
            micros => BootTime(micros),
        }
    }

    /// Returns the time since which what is read now may have lain unread.
    #[must_use]
    pub fn max_age(&self) -> Duration {
        self.earliest_arrival().elapsed()
    }
}

/// A point on the boot clock, which counts the time for which the VM is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct BootTime(u64);

impl BootTime {
    fn now() -> Self {
        Self(boot_micros())
    }

    /// Returns the time that has passed since.
    pub(super) fn elapsed(self) -> Duration {
        Duration::from_micros(boot_micros().saturating_sub(self.0))
    }
}

fn boot_micros() -> u64 {
    let now: Duration = clock_gettime(ClockId::Boottime)
        .try_into()
        .unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}
