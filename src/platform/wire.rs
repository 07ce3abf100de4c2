//! JSON values exchanged with the platform: the VM list and usage reports.

use crate::error::{Error, ErrorKind};
use crate::names::{data_centre_id, executor_id, vm_id};
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::store::UsageReport;
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList, VmState};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of thousandths in a unit of speed.
const MILLIS_PER_UNIT: f64 = 1_000.0;
/// Highest valid speed, relative to the reference machine.
const MAX_SPEED: f64 = 1_000.0;

/// State of a VM in the VM list, `live` or `leaving`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmStateWire {
    /// The VM takes work. Default if the list gives no state.
    #[default]
    Live,
    /// The VM finishes its current work and takes no new work.
    Leaving,
}

/// An entry VM in the VM list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryVmWire {
    name: String,
    data_centre: String,
    peer_address: Arc<str>,
    #[serde(default)]
    state: VmStateWire,
}

/// An executor in the VM list. `slots` must be at least 1; `speed` is relative to the reference
/// machine, above 0 and at most 1000.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExecutorVmWire {
    name: String,
    data_centre: String,
    address: Arc<str>,
    slots: u16,
    speed: f64,
    #[serde(default)]
    state: VmStateWire,
}

/// A revision of the VM list. A larger `revision` is newer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VmListWire {
    revision: u64,
    entries: Vec<EntryVmWire>,
    executors: Vec<ExecutorVmWire>,
}

impl From<VmStateWire> for VmState {
    fn from(wire: VmStateWire) -> Self {
        match wire {
            VmStateWire::Live => Self::Live,
            VmStateWire::Leaving => Self::Leaving,
        }
    }
}

impl TryFrom<VmListWire> for VmList {
    type Error = Error;

    fn try_from(wire: VmListWire) -> Result<Self, Error> {
        let executors: Result<Vec<_>, _> = wire
            .executors
            .into_iter()
            .map(ExecutorVm::try_from)
            .collect();
        let entries = wire.entries.into_iter().map(EntryVm::from).collect();
        Ok(Self {
            revision: wire.revision,
            entries,
            executors: executors?,
        })
    }
}

impl From<EntryVmWire> for EntryVm {
    fn from(wire: EntryVmWire) -> Self {
        Self {
            id: vm_id(&wire.name),
            data_centre: data_centre_id(&wire.data_centre),
            peer_address: wire.peer_address,
            state: wire.state.into(),
        }
    }
}

impl TryFrom<ExecutorVmWire> for ExecutorVm {
    type Error = Error;

    fn try_from(wire: ExecutorVmWire) -> Result<Self, Error> {
        if !(wire.speed > 0.0 && wire.speed <= MAX_SPEED) || wire.slots == 0 {
            let message = format!(
                "executor `{}`: speed must be above 0 and at most 1000, and slots at least 1",
                wire.name
            );
            return Err(Error::new(ErrorKind::Platform, message));
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the speed was checked to be positive and small"
        )]
        let speed_milli = (wire.speed * MILLIS_PER_UNIT).ceil() as u32;
        Ok(Self {
            id: executor_id(&wire.name),
            data_centre: data_centre_id(&wire.data_centre),
            address: wire.address,
            slots: wire.slots,
            speed_milli,
            state: wire.state.into(),
        })
    }
}

/// Slot time that one incarnation charged to one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLineWire {
    /// Name of the customer, or its identifier if the configuration no longer has the customer.
    pub customer: String,
    /// Total slot time that executors reported, in microseconds.
    pub settled_us: u64,
    /// Upper bound of the slot time of attempts whose outcome was lost or is not known yet, in
    /// microseconds.
    pub unsettled_us: u64,
    /// Number of task runs that executors reported.
    pub tasks: u64,
}

/// Cumulative usage of one incarnation since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWire {
    /// Incarnation in text form.
    pub incarnation: String,
    /// Whether the incarnation stopped gracefully. The usage is then complete.
    pub closed: bool,
    /// One line per customer.
    pub lines: Vec<UsageLineWire>,
}

impl UsageWire {
    /// Converts a report of the core. The customers' names are taken from `config`.
    #[must_use]
    pub fn new(report: &UsageReport, config: Option<&Configuration>) -> Self {
        let name = |id| {
            let entry = config.and_then(|config| config.customer(id));
            entry.map_or_else(|| id.to_string(), |entry| entry.name.to_string())
        };
        let micros =
            |span: std::time::Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let lines = report.lines.iter().map(|line| UsageLineWire {
            customer: name(line.customer),
            settled_us: micros(line.settled),
            unsettled_us: micros(line.unsettled),
            tasks: line.tasks,
        });
        Self {
            incarnation: report.incarnation.to_string(),
            closed: report.closed,
            lines: lines.collect(),
        }
    }
}
