//! Wire format of reports on starts that may still be carried out.

use super::task::TaskWire;
use crate::peers::WireError;
use cardamomslip_core::guarded::model::ids::{FencingToken, WorkerId};
use cardamomslip_core::guarded::model::message::StartReport;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `task`, kind of the report, worker, number of the run, token, age. The number and the age are 0
/// where the kind has none.
#[derive(Debug, Serialize, Deserialize)]
pub struct StartReportWire(TaskWire, u8, u64, u64, u64, u64);

impl From<&StartReport> for StartReportWire {
    fn from(report: &StartReport) -> Self {
        match *report {
            StartReport::Open {
                task,
                worker,
                number,
                token,
                age,
            } => Self(
                task.into(),
                0,
                worker.0,
                number,
                token.0,
                super::micros(age),
            ),
            StartReport::Known {
                task,
                worker,
                number,
                token,
                age,
            } => Self(
                task.into(),
                2,
                worker.0,
                number,
                token.0,
                super::micros(age),
            ),
            StartReport::RuledOut {
                task,
                worker,
                token,
            } => Self(task.into(), 1, worker.0, 0, token.0, 0),
        }
    }
}

impl TryFrom<StartReportWire> for StartReport {
    type Error = WireError;

    fn try_from(
        StartReportWire(task, kind, worker, number, token, age): StartReportWire,
    ) -> Result<Self, WireError> {
        let task = task.into();
        let worker = WorkerId(worker);
        Ok(match kind {
            0 => Self::Open {
                task,
                worker,
                number,
                token: FencingToken(token),
                age: Duration::from_micros(age),
            },
            1 => Self::RuledOut {
                task,
                worker,
                token: FencingToken(token),
            },
            2 => Self::Known {
                task,
                worker,
                number,
                token: FencingToken(token),
                age: Duration::from_micros(age),
            },
            _ => return Err(WireError::new(&"unknown kind of report")),
        })
    }
}
