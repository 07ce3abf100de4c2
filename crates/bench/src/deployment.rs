//! The brief's two deployments.

use cardamomslip_core::model::ids::{DataCentreId, ExecutorId, VmId};
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList, VmState};
use std::time::Duration;

/// Executors of a deployment.
const EXECUTORS: usize = 50;
/// Slots of an executor.
const SLOTS: u16 = 8;
/// Speeds of executors in thousandths, in turn.
const SPEEDS: [u32; 10] = [500, 600, 700, 800, 900, 1_000, 1_150, 1_300, 1_600, 2_000];
/// Sizes of the entry VMs relative to each other.
const WEIGHTS: [u32; 7] = [1, 2, 1, 4, 2, 1, 2];
/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(200);

/// Where the dispatcher runs.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way delay between data centres.
    pub between: Duration,
    /// One-way delay to callers.
    pub to_callers: Duration,
}

/// Karoo Windcare's deployment.
pub const TOWER_DISPATCH: Deployment = Deployment {
    name: "tower-dispatch",
    data_centres: 4,
    between: Duration::from_millis(1),
    to_callers: Duration::from_millis(1),
};

/// Bantay Usok's deployment.
pub const VISIT_DESK: Deployment = Deployment {
    name: "visit-desk",
    data_centres: 3,
    between: Duration::from_millis(1),
    to_callers: Duration::from_millis(3),
};

impl Deployment {
    /// Returns the number of entry VMs.
    #[must_use]
    pub const fn entries(&self) -> usize {
        WEIGHTS.len()
    }

    /// Returns the data centre of the entry VM or executor with this position.
    #[must_use]
    pub const fn data_centre(&self, position: usize) -> DataCentreId {
        DataCentreId((position % self.data_centres) as u64)
    }

    /// Returns the size of an entry VM.
    #[must_use]
    pub const fn weight(&self, entry: usize) -> u32 {
        WEIGHTS[entry]
    }

    /// Returns the one-way delay between two data centres.
    #[must_use]
    pub fn delay(&self, a: DataCentreId, b: DataCentreId) -> Duration {
        if a == b { LOCAL_DELAY } else { self.between }
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

    /// Returns the time of a round trip of a request that waits for nothing.
    #[must_use]
    pub fn round_trip(&self) -> Duration {
        2 * (self.to_callers + LOCAL_DELAY)
    }
}

/// Returns the sum of the speeds of all slots.
#[must_use]
pub fn total_speed(list: &VmList) -> f64 {
    let speeds = list.executors.iter();
    speeds
        .map(|vm| f64::from(vm.speed_milli) / 1_000.0 * f64::from(vm.slots))
        .sum()
}

/// Returns the highest speed.
#[must_use]
pub fn top_speed(list: &VmList) -> f64 {
    let speeds = list
        .executors
        .iter()
        .map(|vm| f64::from(vm.speed_milli) / 1_000.0);
    speeds.fold(0.0, f64::max)
}
