//! Up to when this VM has read what had arrived.

use crate::model::time::Time;
use std::time::Duration;

/// Time within which a process that does not stall has read what arrives, and has noticed which clients
/// have disconnected: these are looked for at this interval.
pub const READ_DELAY: Duration = Duration::from_millis(25);

/// Time up to which all that had arrived at this VM has been read.
///
/// A process that resumes after a stall acts before it has read everything that arrived meanwhile. The
/// horizon is then still that of before the stall.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadHorizon {
    at: Time,
    next: Time,
}

impl ReadHorizon {
    /// Returns the time up to which everything has been read.
    pub const fn at(&self) -> Time {
        self.at
    }

    /// Advances the horizon when the process is active. What had arrived when it was active before, by
    /// the delay at least, has been read since.
    pub fn advance(&mut self, now: Time) {
        if now.since(self.next) >= READ_DELAY {
            self.at = self.next;
            self.next = now;
        }
    }
}
