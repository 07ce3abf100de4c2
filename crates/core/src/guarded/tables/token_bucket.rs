//! Limit on how often something is done.

use crate::model::time::Time;
use std::time::Duration;

/// A token bucket: each action takes a token, and tokens come back at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Time in which one token comes back.
    interval: Duration,
    /// Time in which an empty bucket becomes full.
    capacity: Duration,
    /// Time at which the bucket will be full, or was.
    full_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens, of which `per_second` come back in a second.
    #[must_use]
    pub const fn new(per_second: u32, burst: u32) -> Self {
        let interval = Duration::from_micros(1_000_000 / per_second as u64);
        Self {
            interval,
            capacity: Duration::from_micros(interval.as_micros() as u64 * burst as u64),
            full_at: Time::ZERO,
        }
    }

    /// Takes a token. Returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        let full_at = self.full_at.max(now) + self.interval;
        if full_at.since(now) > self.capacity {
            return false;
        }
        self.full_at = full_at;
        true
    }
}
