//! Time stamps received from a peer, which are sent back to it.

use crate::guarded::model::echo::Echo;
use crate::model::time::Time;

/// A time stamp of a peer.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    /// Time on the clock of the peer.
    sent_at: Time,
    /// Time of its arrival on the clock of this VM.
    received_at: Time,
}

/// Maximum number of stamps kept. A peer sends one in 30 ms at most, and the horizon is seldom further back
/// than a stall.
const MAX_STAMPS: usize = 16;

/// The last time stamps received from a peer, in the order of their arrival.
#[derive(Clone, Debug)]
pub struct Stamps {
    rows: Vec<Stamp>,
}

impl Stamps {
    /// Creates the state before the first stamp.
    pub const fn new() -> Self {
        Self { rows: Vec::new() }
    }

    /// Records a stamp that has just arrived. Of several that arrive together, the last one is kept. Earlier
    /// ones are kept while none that had arrived at `horizon`, or later, can be sent back in their place.
    pub fn record(&mut self, sent_at: Time, now: Time, horizon: Time) {
        let known = self.rows.partition_point(|row| row.received_at <= horizon);
        self.rows.drain(..known.saturating_sub(1));
        let came_together = self.rows.last().is_some_and(|row| row.received_at == now);
        if came_together || self.rows.len() >= MAX_STAMPS {
            self.rows.pop();
        }
        self.rows.push(Stamp {
            sent_at,
            received_at: now,
        });
    }

    /// Returns the newest stamp that had arrived at a time, to be sent back for that time.
    pub fn echo_at(&self, at: Time) -> Option<Echo> {
        let mut arrived = self.rows.iter().rev().filter(|row| row.received_at <= at);
        arrived.next().map(|stamp| Echo {
            stamp: stamp.sent_at,
            held: at.since(stamp.received_at),
        })
    }
}
