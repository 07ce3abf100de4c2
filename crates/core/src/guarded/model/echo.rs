//! Time stamps that return to the VM that sent them.

use crate::guarded::policy::CLOCK_SLACK;
use crate::model::time::Time;
use std::time::Duration;

/// A time stamp of the receiver of a message, which the sender had received from it.
///
/// It tells the receiver how long ago the sender certainly ran, no matter for how long the message was
/// on its way or lay unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Echo {
    /// The stamp, on the clock of the receiver.
    pub stamp: Time,
    /// Time from the arrival of the stamp until the moment that the sender answers for, on the
    /// clock of the sender.
    pub held: Duration,
}

impl Echo {
    /// Returns the moment that the sender answers for, or a time before it, on the clock of the receiver:
    /// `now` is its present time. The two clocks may differ by `CLOCK_SLACK`.
    #[must_use]
    pub fn alive_at(self, now: Time) -> Time {
        (self.stamp + self.held.div_f64(CLOCK_SLACK)).min(now)
    }
}
