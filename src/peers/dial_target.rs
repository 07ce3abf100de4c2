//! Peers to connect to.

use cardamomslip_core::model::ids::VmId;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Delay before the second attempt to connect; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(90);
/// Maximum delay between two attempts. With the time limit of an attempt it is below the time for
/// which unreachable workers are left alone once a partition has healed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(180);
/// Maximum number of doublings of the delay.
const MAX_DOUBLINGS: u32 = 6;

/// A peer to connect to. Seeds have no VM.
#[derive(Clone, Debug)]
pub struct DialTarget {
    /// VM of the peer; `None` for a seed.
    pub vm: Option<VmId>,
    /// Address of the peer.
    pub address: SocketAddr,
    /// Time since which it has not been connected although it is wanted.
    missing_since: Option<Instant>,
    /// Number of failed attempts since then.
    failures: u32,
    /// Time of the last failed attempt.
    failed_at: Option<Instant>,
}

impl DialTarget {
    /// Creates a target to which no connection has been attempted.
    pub const fn new(vm: Option<VmId>, address: SocketAddr) -> Self {
        Self {
            vm,
            address,
            missing_since: None,
            failures: 0,
            failed_at: None,
        }
    }

    /// Returns the target with another VM at the address. The delays start anew if the VM differs.
    pub fn with_vm(&self, vm: VmId) -> Self {
        if self.vm == Some(vm) {
            self.clone()
        } else {
            Self::new(Some(vm), self.address)
        }
    }

    /// Records that the peer is connected or not wanted.
    pub const fn reset(&mut self) {
        self.missing_since = None;
        self.failures = 0;
        self.failed_at = None;
    }

    /// Returns whether an attempt is due for a wanted peer that is not connected, `delay` after it
    /// was found missing.
    pub fn is_due(&mut self, now: Instant, delay: Duration) -> bool {
        let missing_since = *self.missing_since.get_or_insert(now);
        let doublings = self.failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let retry_delay = (FIRST_RETRY_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY);
        let may_retry = self
            .failed_at
            .is_none_or(|failed_at| now.duration_since(failed_at) >= retry_delay);
        now.duration_since(missing_since) >= delay && may_retry
    }

    /// Records the end of an attempt.
    pub const fn record_attempt(&mut self, now: Instant, connected: bool) {
        if connected {
            self.reset();
        } else {
            self.failures = self.failures.saturating_add(1);
            self.failed_at = Some(now);
        }
    }
}
