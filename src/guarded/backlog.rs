//! Reading of what the sockets hold, before the timers of a late pass of the event loop run.
//!
//! A tick judges peers, workers and clients by what was read. After a stall, what they sent may lie
//! in the sockets still, and a due timer alone would run first.

use super::clock::{DispatcherClock, SystemClocks};
use crate::http::ReadHorizon;
use cardamomslip_core::model::time::Time;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// Lateness of a pass from which on unread bytes are expected.
const MIN_LATENESS: Duration = Duration::from_millis(50);
/// Maximum number of times that the backlog is read before a tick, in case the process stalls while it
/// is read.
const MAX_READS: u32 = 3;
/// Maximum number of times that the tasks and the I/O driver run in one reading of the backlog.
const MAX_YIELDS: u32 = 16;
/// Number of these in a row without an input after which the backlog counts as read. A request on a
/// new connection needs three: one each to accept it, to register it and to read.
const QUIET_YIELDS: u32 = 4;
/// Time after which a reading of the backlog ends, so that a busy socket doesn't hold back the tick.
const MAX_READ_TIME: Duration = Duration::from_millis(10);

/// Reads the backlog before late passes of the event loop.
#[derive(Debug)]
pub struct BacklogReader {
    clock: DispatcherClock<SystemClocks>,
    last_pass: Time,
    horizon: ReadHorizon,
}

impl BacklogReader {
    /// Creates a reader whose first pass begins now. It advances the horizon with each pass.
    pub fn new(horizon: ReadHorizon) -> Self {
        Self {
            clock: DispatcherClock::new(SystemClocks, Instant::now()),
            last_pass: Time::ZERO,
            horizon,
        }
    }

    /// Begins a pass that was to begin `wait` after the last one, and adds what the sockets hold to
    /// the inputs if it is late, or if the I/O driver may not have run since because inputs were `left`.
    /// Returns whether it is late.
    pub async fn begin_pass<T>(
        &mut self,
        wait: Duration,
        left: bool,
        rx: &UnboundedReceiver<T>,
    ) -> bool {
        let is_late = self.is_late(wait);
        let mut reads = 0;
        let mut is_unread = is_late || left;
        let mut is_complete = true;
        while is_unread && reads < MAX_READS {
            is_complete = read(rx).await;
            reads += 1;
            is_unread = self.is_late(Duration::ZERO);
        }
        if is_complete && !is_unread {
            self.horizon.advance();
        }
        is_late
    }

    fn is_late(&mut self, wait: Duration) -> bool {
        let now = self.clock.time_at(Instant::now());
        let gap = now.since(std::mem::replace(&mut self.last_pass, now));
        gap.saturating_sub(wait) >= MIN_LATENESS
    }
}

/// Runs the tasks that read from sockets until no more inputs result, within bounds. Returns whether no
/// more did.
async fn read<T>(rx: &UnboundedReceiver<T>) -> bool {
    let end_at = Instant::now() + MAX_READ_TIME;
    let mut quiet = 0;
    for _ in 0..MAX_YIELDS {
        let before = rx.len();
        tokio::task::yield_now().await;
        quiet = if rx.len() == before { quiet + 1 } else { 0 };
        if quiet == QUIET_YIELDS {
            return true;
        }
        if Instant::now() >= end_at {
            break;
        }
    }
    false
}
