//! Wire format of the VM list.

use cardamomslip_core::model::ids::{DataCentreId, ExecutorId, VmId};
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmState};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// `id`, `data_centre`, `peer_address`, and whether the VM is leaving.
#[derive(Debug, Serialize, Deserialize)]
pub struct EntryVmWire(u64, u64, Arc<str>, bool);

impl From<&EntryVm> for EntryVmWire {
    fn from(vm: &EntryVm) -> Self {
        let leaving = vm.state == VmState::Leaving;
        Self(
            vm.id.0,
            vm.data_centre.0,
            Arc::clone(&vm.peer_address),
            leaving,
        )
    }
}

impl From<EntryVmWire> for EntryVm {
    fn from(EntryVmWire(id, data_centre, peer_address, leaving): EntryVmWire) -> Self {
        let data_centre = DataCentreId(data_centre);
        Self {
            id: VmId(id),
            data_centre,
            peer_address,
            state: vm_state(leaving),
        }
    }
}

/// `id`, `data_centre`, `address`, `slots`, `speed_milli`, and whether the VM is leaving.
#[derive(Debug, Serialize, Deserialize)]
pub struct ExecutorVmWire(u64, u64, Arc<str>, u16, u32, bool);

impl From<&ExecutorVm> for ExecutorVmWire {
    fn from(vm: &ExecutorVm) -> Self {
        let leaving = vm.state == VmState::Leaving;
        let address = Arc::clone(&vm.address);
        Self(
            vm.id.0,
            vm.data_centre.0,
            address,
            vm.slots,
            vm.speed_milli,
            leaving,
        )
    }
}

impl From<ExecutorVmWire> for ExecutorVm {
    fn from(wire: ExecutorVmWire) -> Self {
        let ExecutorVmWire(id, data_centre, address, slots, speed_milli, leaving) = wire;
        let data_centre = DataCentreId(data_centre);
        Self {
            id: ExecutorId(id),
            data_centre,
            address,
            slots,
            speed_milli,
            state: vm_state(leaving),
        }
    }
}

pub const fn vm_state(leaving: bool) -> VmState {
    if leaving {
        VmState::Leaving
    } else {
        VmState::Live
    }
}
