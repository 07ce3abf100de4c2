//! Wire format of identifiers.

use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::job_id::JobId;
use serde::{Deserialize, Serialize};

/// `data_centre`, `vm`, `nonce`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct IncarnationWire(u64, u64, u64);

impl From<Incarnation> for IncarnationWire {
    fn from(value: Incarnation) -> Self {
        Self(value.data_centre.0, value.vm.0, value.nonce)
    }
}

impl From<IncarnationWire> for Incarnation {
    fn from(IncarnationWire(data_centre, vm, nonce): IncarnationWire) -> Self {
        Self {
            data_centre: DataCentreId(data_centre),
            vm: VmId(vm),
            nonce,
        }
    }
}

/// `issuer`, `counter`, `tag`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct JobIdWire(IncarnationWire, u64, u64);

impl From<JobId> for JobIdWire {
    fn from(id: JobId) -> Self {
        Self(id.issuer.into(), id.counter, id.tag)
    }
}

impl From<JobIdWire> for JobId {
    fn from(JobIdWire(issuer, counter, tag): JobIdWire) -> Self {
        Self {
            issuer: issuer.into(),
            counter,
            tag,
        }
    }
}
