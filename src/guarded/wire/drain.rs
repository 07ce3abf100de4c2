//! Wire format of reports on draining workers.

use cardamomslip_core::guarded::model::ids::WorkerId;
use cardamomslip_core::guarded::model::message::DrainReport;
use serde::{Deserialize, Serialize};

/// Worker, boot.
#[derive(Debug, Serialize, Deserialize)]
pub struct DrainReportWire(u64, u64);

impl From<&DrainReport> for DrainReportWire {
    fn from(report: &DrainReport) -> Self {
        Self(report.worker.0, report.boot)
    }
}

impl From<DrainReportWire> for DrainReport {
    fn from(DrainReportWire(worker, boot): DrainReportWire) -> Self {
        Self {
            worker: WorkerId(worker),
            boot,
        }
    }
}
