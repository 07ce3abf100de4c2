//! Timers of a node.

use crate::model::ids::{AttemptId, StoreOpId};
use crate::model::request::Caller;
use crate::model::time::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What to do when a timer expires. Timers are never cancelled; the handler ignores a timer whose
/// subject no longer exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Deadline of the open job with this counter.
    JobDeadline(u64),
    /// End of a caller's wait for the job with this counter.
    WaitTimeout(u64, CallerKey),
    /// Timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// Timeout of the forwarded request with this number.
    ForwardTimeout(u64),
    /// Send heartbeats.
    Heartbeat,
    /// Send a demand that was delayed by the minimum interval.
    DemandDue,
    /// Retry the dispatch of tasks that wait for a faster slot.
    DispatchRetry,
    /// Release slots that stayed idle.
    IdleSlotCheck,
    /// Compute a plan as the slot owner.
    PlanDue,
    /// Repeat the demand.
    DemandRefresh,
    /// Remove outcomes older than the retention time.
    RetentionSweep,
    /// Write the usage report if it changed.
    UsageWrite,
    /// Retry an operation on the store.
    StoreRetry(StoreOpId),
    /// Deadline of an operation on the store.
    StoreDeadline(StoreOpId),
    /// Review executors that got no work for a time because they were ejected, busy or leaving.
    ExecutorReview,
    /// Timeout of the handover.
    HandoverTimeout,
}

/// Key of a [`Caller`] that implements `Ord`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerKey(pub u8, pub u64, pub u64);

impl From<Caller> for CallerKey {
    fn from(caller: Caller) -> Self {
        match caller {
            Caller::Local(call) => Self(0, call.0, 0),
            Caller::Peer(peer, number) => Self(1, number, peer.nonce),
        }
    }
}

/// Queue of timers, ordered by time and then by the order in which they were scheduled.
#[derive(Debug)]
pub struct TimerQueue<T> {
    heap: BinaryHeap<Reverse<(Time, u64, T)>>,
    next: u64,
}

impl<T: Ord> Default for TimerQueue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T: Ord> TimerQueue<T> {
    /// Schedules `timer` to expire at `at`.
    pub fn schedule(&mut self, at: Time, timer: T) {
        self.heap.push(Reverse((at, self.next, timer)));
        self.next += 1;
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        let Reverse((at, _, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }

    /// Returns the expiry time of the next timer.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }
}
