//! Other entry VMs.

use crate::guarded::model::cell::Cell;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::model::message::Heartbeat;
use crate::model::time::Time;

/// A connected peer.
#[derive(Debug)]
pub struct MemberRow {
    /// Time of the connection.
    pub since: Time,
    /// Its last heartbeat.
    pub heartbeat: Option<Heartbeat>,
    /// Time of its last message.
    pub heard: Time,
    /// Processor of tasks placed there since its last heartbeat, in thousandths of a core.
    pub placed_milli: u64,
}

impl MemberRow {
    /// Builds the row of a peer that has just connected.
    pub const fn new(now: Time) -> Self {
        Self {
            since: now,
            heartbeat: None,
            heard: now,
            placed_milli: 0,
        }
    }

    /// Tells whether it takes new work.
    pub fn is_serving(&self) -> bool {
        self.heartbeat.as_ref().is_some_and(|beat| !beat.leaving)
    }

    /// Returns its weight.
    pub fn weight(&self) -> u32 {
        self.heartbeat.as_ref().map_or(1, |beat| beat.weight)
    }

    /// Tells whether it holds a cell and does not give it up.
    pub fn holds(&self, cell: &Cell) -> bool {
        let beat = self.heartbeat.as_ref();
        beat.is_some_and(|beat| beat.cells.iter().any(|load| load.cell == *cell))
    }

    /// Tells whether it still holds a worker of a cell that it gives up.
    pub fn still_holds(&self, worker: WorkerId) -> bool {
        let beat = self.heartbeat.as_ref();
        beat.is_some_and(|beat| beat.still_held.contains(&worker))
    }
}
