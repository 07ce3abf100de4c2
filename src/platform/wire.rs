//! What crosses the wire between this process and the platform.

use crate::error::{Error, ErrorKind};
use crate::names::{data_centre_id, executor_id, vm_id};
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::store::UsageReport;
use cardamomslip_core::model::vm_list::{EntryVm, ExecutorVm, VmList, VmState};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Factor from a speed to thousandths.
const MILLI: f64 = 1_000.0;
/// Highest speed that is taken as it is.
const MAX_SPEED: f64 = 1_000.0;

/// State of a listed VM.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmStateWire {
    /// Takes work.
    #[default]
    Live,
    /// Takes nothing new.
    Leaving,
}

/// An entry VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryVmWire {
    name: String,
    data_centre: String,
    peer_address: Arc<str>,
    #[serde(default)]
    state: VmStateWire,
}

/// An executor.
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

/// The VM list.
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
            let message = format!("executor `{}` has no valid speed or slots", wire.name);
            return Err(Error::new(ErrorKind::Platform, message));
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the speed was checked to be positive and small"
        )]
        let speed_milli = (wire.speed * MILLI).ceil() as u32;
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

/// Slot time of one customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLineWire {
    /// Name of the customer, or its identifier if it is no longer configured.
    pub customer: String,
    /// Slot time that executors reported, in microseconds.
    pub settled_us: u64,
    /// Upper bound of slot time that is not settled, in microseconds.
    pub unsettled_us: u64,
    /// Tasks that ran.
    pub tasks: u64,
}

/// Cumulative usage of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageWire {
    /// The incarnation.
    pub incarnation: String,
    /// Whether it stopped gracefully; if so, nothing is missing.
    pub closed: bool,
    /// One line a customer.
    pub lines: Vec<UsageLineWire>,
}

impl UsageWire {
    /// Converts a report; customers are named by `config`.
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
