//! The two deployments that the benchmarks simulate.

use cardamomslip_core::model::ids::{DataCentreId, ExecutorId, VmId};
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList, VmState};
use std::time::Duration;

/// Number of executors of a deployment.
const EXECUTORS: usize = 50;
/// Number of slots of an executor.
const SLOTS: u16 = 8;
/// Speeds of the executors, in thousandths of the reference machine's. [`Deployment::vm_list`]
/// cycles through them.
const SPEEDS: [u32; 10] = [500, 600, 700, 800, 900, 1_000, 1_150, 1_300, 1_600, 2_000];
/// Relative sizes of the entry VMs.
const WEIGHTS: [u32; 7] = [1, 2, 1, 4, 2, 1, 2];
/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(200);

/// A deployment of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name in the CSV output.
    pub name: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub inter_dc_delay: Duration,
    /// One-way delay between callers and entry VMs.
    pub caller_delay: Duration,
}

/// Karoo Windcare's deployment.
pub const TOWER_DISPATCH: Deployment = Deployment {
    name: "tower-dispatch",
    data_centres: 4,
    inter_dc_delay: Duration::from_millis(1),
    caller_delay: Duration::from_millis(1),
};

/// Bantay Usok's deployment.
pub const VISIT_DESK: Deployment = Deployment {
    name: "visit-desk",
    data_centres: 3,
    inter_dc_delay: Duration::from_millis(1),
    caller_delay: Duration::from_millis(3),
};

impl Deployment {
    /// Returns the number of entry VMs.
    #[must_use]
    pub const fn entries(&self) -> usize {
        WEIGHTS.len()
    }

    /// Returns the data centre of the entry VM or executor at this position of the VM list.
    #[must_use]
    pub const fn data_centre(&self, position: usize) -> DataCentreId {
        DataCentreId((position % self.data_centres) as u64)
    }

    /// Returns the relative size of an entry VM.
    #[must_use]
    pub const fn weight(&self, entry: usize) -> u32 {
        WEIGHTS[entry]
    }

    /// Returns the one-way delay between two data centres.
    #[must_use]
    pub fn delay(&self, a: DataCentreId, b: DataCentreId) -> Duration {
        if a == b {
            LOCAL_DELAY
        } else {
            self.inter_dc_delay
        }
    }

    /// Returns the VM list.
    #[must_use]
    pub fn vm_list(&self) -> VmList {
        let entries = (0..self.entries()).map(|i| EntryVm {
            id: VmId(i as u64),
            data_centre: self.data_centre(i),
            peer_address: "".into(),
            state: VmState::Live,
        });
        let executors = (0..EXECUTORS).map(|i| ExecutorVm {
            id: ExecutorId(i as u64),
            data_centre: self.data_centre(i),
            address: "".into(),
            slots: SLOTS,
            speed_milli: SPEEDS[(i * 7) % SPEEDS.len()],
            state: VmState::Live,
        });
        VmList {
            revision: 1,
            entries: entries.collect(),
            executors: executors.collect(),
        }
    }

    /// Returns the response time of a request that is served without waiting: the round trips from
    /// the caller to an entry VM and from there to an executor in the same data centre.
    #[must_use]
    pub fn round_trip(&self) -> Duration {
        2 * (self.caller_delay + LOCAL_DELAY)
    }
}

/// Returns the sum of the speeds of all slots, relative to the reference machine.
#[must_use]
pub fn total_speed(list: &VmList) -> f64 {
    let speeds = list.executors.iter();
    speeds
        .map(|vm| f64::from(vm.speed_milli) / 1_000.0 * f64::from(vm.slots))
        .sum()
}

/// Returns the speed of the fastest executor, relative to the reference machine.
#[must_use]
pub fn top_speed(list: &VmList) -> f64 {
    let speeds = list
        .executors
        .iter()
        .map(|vm| f64::from(vm.speed_milli) / 1_000.0);
    speeds.fold(0.0, f64::max)
}
