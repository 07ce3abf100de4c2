//! The timer service.

use crate::model::ids::{AttemptId, StoreOpId};
use crate::model::request::Caller;
use crate::model::time::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What a subscriber is told when its time comes. A timer is never withdrawn: the subscriber
/// ignores one whose subject is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The deadline of the open job with this counter.
    JobDeadline(u64),
    /// The end of a caller's wait for the job with this counter.
    WaitEnds(u64, CallerKey),
    /// The timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// The timeout of a forwarded request.
    ForwardTimeout(u64),
    /// Time to send heartbeats.
    Heartbeat,
    /// Time to send a demand that was held back.
    DemandDue,
    /// Time to look again at tasks that wait for a faster slot.
    DispatchRetry,
    /// Time to give back slots that stayed idle.
    LingerCheck,
    /// Time to plan grants.
    PlanDue,
    /// Time to repeat the demand.
    DemandRefresh,
    /// Time to forget old outcomes.
    Retention,
    /// Time to write usage.
    UsageWrite,
    /// Time to repeat an operation on the store.
    StoreRetry(StoreOpId),
    /// The end of an operation on the store.
    StoreDeadline(StoreOpId),
    /// Time to look at executors that were left out.
    ExecutorReview,
    /// The end of the time for the hand-over.
    HandoverTimeout,
}

/// An ordered form of [`Caller`].
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

/// Timers in order of their time, ties in order of subscription.
#[derive(Debug)]
pub struct TimerService<T> {
    heap: BinaryHeap<Reverse<(Time, u64, T)>>,
    next: u64,
}

impl<T: Ord> Default for TimerService<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<T: Ord> TimerService<T> {
    /// Subscribes to `timer` at `at`.
    pub fn subscribe(&mut self, at: Time, timer: T) {
        self.heap.push(Reverse((at, self.next, timer)));
        self.next += 1;
    }

    /// Takes the next timer whose time is `now` or earlier.
    pub fn take_due(&mut self, now: Time) -> Option<T> {
        let Reverse((at, _, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }

    /// Returns the time of the next timer.
    #[must_use]
    pub fn next_at(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((at, _, _))| *at)
    }
}
