//! Connected peers.

use crate::guarded::model::cell::Cell;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::model::message::Heartbeat;
use crate::model::time::Time;

/// State of a connected peer.
#[derive(Debug)]
pub struct Peer {
    /// Time at which it connected.
    pub connected_at: Time,
    /// Its last heartbeat; `None` until the first one arrives.
    pub heartbeat: Option<Heartbeat>,
    /// Time of its last message.
    pub last_message_at: Time,
    /// CPU of the tasks that this VM placed there since the peer's last heartbeat, in thousandths
    /// of a core. The load in the heartbeat does not include them yet.
    pub placed_cpu_milli: u64,
}

impl Peer {
    /// Creates the state of a peer that has just connected.
    pub const fn new(now: Time) -> Self {
        Self {
            connected_at: now,
            heartbeat: None,
            last_message_at: now,
            placed_cpu_milli: 0,
        }
    }

    /// Returns whether the peer accepts new jobs.
    pub fn is_serving(&self) -> bool {
        self.heartbeat
            .as_ref()
            .is_some_and(|heartbeat| !heartbeat.leaving)
    }

    /// Returns its size relative to other VMs; 1 until its first heartbeat.
    pub fn weight(&self) -> u32 {
        self.heartbeat
            .as_ref()
            .map_or(1, |heartbeat| heartbeat.weight)
    }

    /// Returns whether the peer claims a cell.
    pub fn claims(&self, cell: &Cell) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| heartbeat.cells.iter().any(|load| load.cell == *cell))
    }

    /// Returns whether the peer still holds a worker of a cell that it no longer claims.
    pub fn still_holds(&self, worker: WorkerId) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| heartbeat.still_held.contains(&worker))
    }
}
