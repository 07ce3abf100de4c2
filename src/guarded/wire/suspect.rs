//! Wire format of reports on tasks under which workers crashed.

use super::task::TaskWire;
use crate::peers::WireError;
use cardamomslip_core::guarded::model::crash::Evidence;
use cardamomslip_core::guarded::model::ids::WorkerId;
use cardamomslip_core::guarded::model::message::SuspectReport;
use serde::{Deserialize, Serialize};

/// `task`, kind of the report, worker, boot, evidence. The worker is 0, the boot `None` and the
/// evidence 0 where the kind has none.
#[derive(Debug, Serialize, Deserialize)]
pub struct SuspectReportWire(TaskWire, u8, u64, Option<u64>, u8);

/// Evidence by wire code.
const EVIDENCE: [Evidence; 5] = [
    Evidence::Decisive,
    Evidence::Likely,
    Evidence::Unclear,
    Evidence::Unproven,
    Evidence::Trial,
];

impl From<&SuspectReport> for SuspectReportWire {
    fn from(report: &SuspectReport) -> Self {
        match *report {
            SuspectReport::Crashed {
                task,
                worker,
                boot,
                evidence,
            } => Self(
                task.into(),
                0,
                worker.0,
                boot,
                super::code_of(&EVIDENCE, &evidence),
            ),
            SuspectReport::Withdrawn { task, worker } => Self(task.into(), 1, worker.0, None, 0),
            SuspectReport::Cleared { task } => Self(task.into(), 2, 0, None, 0),
            SuspectReport::GivenUp { task } => Self(task.into(), 3, 0, None, 0),
        }
    }
}

impl TryFrom<SuspectReportWire> for SuspectReport {
    type Error = WireError;

    fn try_from(
        SuspectReportWire(task, kind, worker, boot, evidence): SuspectReportWire,
    ) -> Result<Self, WireError> {
        let task = task.into();
        let worker = WorkerId(worker);
        let unknown = || WireError::new(&"unknown kind of report or evidence");
        Ok(match kind {
            0 => Self::Crashed {
                task,
                worker,
                boot,
                evidence: *EVIDENCE.get(usize::from(evidence)).ok_or_else(unknown)?,
            },
            1 => Self::Withdrawn { task, worker },
            2 => Self::Cleared { task },
            3 => Self::GivenUp { task },
            _ => return Err(unknown()),
        })
    }
}
