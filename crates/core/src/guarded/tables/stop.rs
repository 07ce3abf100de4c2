//! A stop that was requested of a run.

use crate::guarded::model::reply::StopReply;
use crate::model::time::Time;
use std::time::Duration;

/// The stop of a run, from the first request until the run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time of the first request.
    pub requested_at: Time,
    /// Time at which it was last sent; `None` if it was not sent yet.
    pub tried_at: Option<Time>,
    /// Number of times that it was sent.
    pub tries: u32,
    /// Time of the acknowledgement; `None` until it arrives.
    pub acked_at: Option<Time>,
    /// Last reply.
    pub last_reply: Option<StopReply>,
    /// Whether the run went on after an acknowledgement.
    pub has_outlived_ack: bool,
    /// Whether it was reported as overdue.
    pub is_reported: bool,
}

impl Stop {
    /// Creates a stop that is to be sent at the next opportunity.
    pub const fn new(now: Time) -> Self {
        Self {
            requested_at: now,
            tried_at: None,
            tries: 0,
            acked_at: None,
            last_reply: None,
            has_outlived_ack: false,
            is_reported: false,
        }
    }

    /// Returns the stop with its acknowledgement and tries forgotten, as for a new holder.
    pub const fn again(self) -> Self {
        Self {
            is_reported: self.is_reported,
            ..Self::new(self.requested_at)
        }
    }

    /// Records that it is sent.
    pub const fn record_try(&mut self, now: Time) {
        self.tried_at = Some(now);
        self.tries += 1;
    }

    /// Records a reply.
    pub fn record_reply(&mut self, now: Time, reply: StopReply) {
        self.last_reply = Some(reply);
        if reply == StopReply::Stopped {
            self.acked_at.get_or_insert(now);
        }
    }

    /// Records that the worker lists the run. If it was to end `grace` after the acknowledgement, the
    /// stop counts as unacknowledged again.
    pub fn record_listed(&mut self, now: Time, grace: Duration) {
        if self.acked_at.is_some_and(|at| now.since(at) > grace) {
            self.acked_at = None;
            self.has_outlived_ack = true;
        }
    }

    /// Returns whether it is to be sent, if a try without acknowledgement counts as lost after
    /// `retry_after`.
    pub fn is_due(&self, now: Time, retry_after: Duration) -> bool {
        let is_lost = self.tried_at.is_none_or(|at| now.since(at) > retry_after);
        self.acked_at.is_none() && is_lost
    }

    /// Returns whether the run may go on although it should end, so that its lease must not be
    /// extended.
    pub const fn forbids_lease(&self) -> bool {
        self.acked_at.is_none() || self.has_outlived_ack
    }
}
