//! The clock that the dispatcher's times are read from.

use cardamomslip_core::model::time::Time;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant};

/// Source of the time for which the VM was suspended.
pub trait SuspensionSource {
    /// Returns the time by which the boot clock is ahead of the monotonic clock. The boot clock counts
    /// the time for which a VM is suspended, the monotonic clock does not.
    fn boot_lead(&self) -> Duration;
}

/// The clocks of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct SystemClocks;

impl SuspensionSource for SystemClocks {
    fn boot_lead(&self) -> Duration {
        // In this order, so that a stall between the two readings makes the lead too small, which the
        // next reading corrects, and not too large.
        let boot = clock_gettime(ClockId::Boottime);
        let monotonic = clock_gettime(ClockId::Monotonic);
        let boot: Duration = boot.try_into().unwrap_or_default();
        boot.saturating_sub(monotonic.try_into().unwrap_or_default())
    }
}

/// Clock of one dispatcher, which counts all time since its start, suspensions of any length included.
/// It never goes back.
#[derive(Debug)]
pub struct DispatcherClock<S> {
    source: S,
    epoch: Instant,
    lead_at_epoch: Duration,
    suspended: Duration,
    last: Time,
}

impl<S: SuspensionSource> DispatcherClock<S> {
    /// Creates a clock that starts at `epoch`, which is now.
    pub fn new(source: S, epoch: Instant) -> Self {
        Self {
            lead_at_epoch: source.boot_lead(),
            source,
            epoch,
            suspended: Duration::ZERO,
            last: Time::ZERO,
        }
    }

    /// Returns the dispatcher's time at `now`, which is the present time of the monotonic clock.
    pub fn time_at(&mut self, now: Instant) -> Time {
        let lead = self.source.boot_lead();
        let suspended = lead.saturating_sub(self.lead_at_epoch);
        self.suspended = self.suspended.max(suspended);
        let awake = now.saturating_duration_since(self.epoch);
        self.last = self.last.max(Time::ZERO + awake + self.suspended);
        self.last
    }
}
