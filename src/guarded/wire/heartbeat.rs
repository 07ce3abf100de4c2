//! Wire format of heartbeats.

use super::echo::EchoWire;
use super::evacuations::EvacuationsWire;
use super::micros;
use crate::peers::{IncarnationWire, WireError};
use cardamomslip_core::guarded::model::cell::{Cell, HolderLoad};
use cardamomslip_core::guarded::model::ids::{QueueId, WorkerId};
use cardamomslip_core::guarded::model::message::{Heartbeat, RemoteHolder};
use cardamomslip_core::guarded::model::queue_use::{MAX_QUEUE_USES, QueueUse};
use cardamomslip_core::guarded::model::room::{RoomSummary, SIZE_COUNT, SizeRoom};
use cardamomslip_core::model::ids::DataCentreId;
use cardamomslip_core::model::time::Time;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// `sent_at`, `echo`, `weight`, `leaving`, `queues_version`, `queues_age`, `evacuations`, `token`,
/// `cells`, `load`, `still_held`, `next_within`, `is_relay`, `wants_link`, `remote_holders`,
/// `queue_uses`.
#[derive(Debug, Serialize, Deserialize)]
pub struct HeartbeatWire(
    u64,
    Option<EchoWire>,
    u32,
    bool,
    u64,
    u64,
    EvacuationsWire,
    u64,
    Vec<CellWire>,
    HolderLoadWire,
    Vec<u64>,
    u64,
    bool,
    bool,
    Vec<RemoteHolderWire>,
    Vec<QueueUseWire>,
);

/// `holder`, `load`, `age`.
#[derive(Debug, Serialize, Deserialize)]
struct RemoteHolderWire(IncarnationWire, HolderLoadWire, u64);

/// `queue`, `priority`, `held_milli`, `usual_milli`, `waiting_milli`.
#[derive(Debug, Serialize, Deserialize)]
struct QueueUseWire(u64, u32, u64, u64, u64);

/// `data_centre`, `cell_count`, `index`.
#[derive(Debug, Serialize, Deserialize)]
struct CellWire(u64, u16, u16);

/// `capacity_milli`, `free_milli`, `waiting_milli`, `mean_run`, `room`.
#[derive(Debug, Serialize, Deserialize)]
struct HolderLoadWire(u64, u64, u64, u64, Option<RoomWire>);

/// `sizes`.
#[derive(Debug, Serialize, Deserialize)]
struct RoomWire([SizeRoomWire; SIZE_COUNT]);

/// `fits`, `slots`, `wait_ms`.
#[derive(Debug, Serialize, Deserialize)]
struct SizeRoomWire(u16, u16, u16);

impl From<&Heartbeat> for HeartbeatWire {
    fn from(heartbeat: &Heartbeat) -> Self {
        Self(
            heartbeat.sent_at.as_micros(),
            heartbeat.echo.map(Into::into),
            heartbeat.weight,
            heartbeat.leaving,
            heartbeat.queues_version,
            micros(heartbeat.queues_age),
            (&*heartbeat.evacuations).into(),
            heartbeat.token,
            heartbeat
                .cells
                .iter()
                .copied()
                .map(CellWire::from)
                .collect(),
            heartbeat.load.into(),
            heartbeat.still_held.iter().map(|worker| worker.0).collect(),
            micros(heartbeat.next_within),
            heartbeat.is_relay,
            heartbeat.wants_link,
            heartbeat.remote_holders.iter().map(Into::into).collect(),
            heartbeat.queue_uses.iter().map(Into::into).collect(),
        )
    }
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = WireError;

    fn try_from(wire: HeartbeatWire) -> Result<Self, WireError> {
        let HeartbeatWire(
            sent_at,
            echo,
            weight,
            leaving,
            queues_version,
            queues_age,
            evacuations,
            token,
            cells,
            load,
            still_held,
            next_within,
            is_relay,
            wants_link,
            remote_holders,
            queue_uses,
        ) = wire;
        let queue_uses = queue_uses.into_iter().take(MAX_QUEUE_USES);
        let cells = cells.into_iter().map(Cell::try_from);
        Ok(Self {
            sent_at: Time::from_micros(sent_at),
            echo: echo.map(Into::into),
            weight,
            leaving,
            queues_version,
            queues_age: Duration::from_micros(queues_age),
            evacuations: Arc::new(evacuations.into()),
            token,
            cells: cells.collect::<Result<_, _>>()?,
            load: load.into(),
            still_held: still_held.into_iter().map(WorkerId).collect(),
            next_within: Duration::from_micros(next_within),
            is_relay,
            wants_link,
            remote_holders: remote_holders.into_iter().map(Into::into).collect(),
            queue_uses: queue_uses.map(Into::into).collect(),
        })
    }
}

impl From<&RemoteHolder> for RemoteHolderWire {
    fn from(remote: &RemoteHolder) -> Self {
        Self(remote.holder.into(), remote.load.into(), micros(remote.age))
    }
}

impl From<RemoteHolderWire> for RemoteHolder {
    fn from(wire: RemoteHolderWire) -> Self {
        let RemoteHolderWire(holder, load, age) = wire;
        Self {
            holder: holder.into(),
            load: load.into(),
            age: Duration::from_micros(age),
        }
    }
}

impl From<&QueueUse> for QueueUseWire {
    fn from(row: &QueueUse) -> Self {
        Self(
            row.queue.0,
            row.priority,
            row.held_milli,
            row.usual_milli,
            row.waiting_milli,
        )
    }
}

impl From<QueueUseWire> for QueueUse {
    fn from(QueueUseWire(queue, priority, held, usual, waiting): QueueUseWire) -> Self {
        let row = Self {
            queue: QueueId(queue),
            priority,
            held_milli: held,
            usual_milli: usual,
            waiting_milli: waiting,
        };
        row.bounded()
    }
}

impl From<Cell> for CellWire {
    fn from(cell: Cell) -> Self {
        Self(cell.data_centre.0, cell.cell_count, cell.index)
    }
}

impl TryFrom<CellWire> for Cell {
    type Error = WireError;

    fn try_from(CellWire(data_centre, cell_count, index): CellWire) -> Result<Self, WireError> {
        if !cell_count.is_power_of_two() || index >= cell_count {
            return Err(WireError::new(
                &"invalid cell: count not a power of two, or index out of range",
            ));
        }
        Ok(Self {
            data_centre: DataCentreId(data_centre),
            cell_count,
            index,
        })
    }
}

impl From<HolderLoad> for HolderLoadWire {
    fn from(load: HolderLoad) -> Self {
        Self(
            load.capacity_milli,
            load.free_milli,
            load.waiting_milli,
            micros(load.mean_run),
            load.room.map(Into::into),
        )
    }
}

impl From<RoomSummary> for RoomWire {
    fn from(room: RoomSummary) -> Self {
        let row = |row: SizeRoom| SizeRoomWire(row.fits, row.slots, row.wait_ms);
        Self(room.sizes.map(row))
    }
}

impl From<RoomWire> for RoomSummary {
    fn from(RoomWire(sizes): RoomWire) -> Self {
        let row = |SizeRoomWire(fits, slots, wait_ms)| SizeRoom {
            fits,
            slots,
            wait_ms,
        };
        Self {
            sizes: sizes.map(row),
        }
    }
}

impl From<HolderLoadWire> for HolderLoad {
    fn from(HolderLoadWire(capacity, free, waiting, mean_run, room): HolderLoadWire) -> Self {
        let load = Self {
            capacity_milli: capacity,
            free_milli: free,
            waiting_milli: waiting,
            mean_run: Duration::from_micros(mean_run),
            room: room.map(Into::into),
        };
        load.bounded()
    }
}
