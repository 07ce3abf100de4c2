//! Wire format of cancellations.

use super::{code_of, micros};
use crate::peers::WireError;
use cardamomslip_core::guarded::model::cancel::{
    CancelMark, CancelOutcome, CancelReply, CancelRequest, CancelScope,
};
use cardamomslip_core::guarded::model::ids::ClientJobId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Scopes by wire code.
const SCOPES: [CancelScope; 3] = [
    CancelScope::Receiver,
    CancelScope::DataCentre,
    CancelScope::System,
];
/// Outcomes by wire code.
const OUTCOMES: [CancelOutcome; 3] = [
    CancelOutcome::Cancelled,
    CancelOutcome::Unknown,
    CancelOutcome::Incomplete,
];

/// `job`, `scope`.
#[derive(Debug, Serialize, Deserialize)]
pub struct CancelRequestWire(u64, u8);

/// `job`, `scope`, `outcome`.
#[derive(Debug, Serialize, Deserialize)]
pub struct CancelReplyWire(u64, u8, u8);

/// `job`, `scope`, `age`.
#[derive(Debug, Serialize, Deserialize)]
pub struct CancelMarkWire(u64, u8, u64);

fn decode<T: Copy>(all: &[T], code: u8) -> Result<T, WireError> {
    let value = all.get(usize::from(code)).copied();
    value.ok_or_else(|| WireError::new(&"unknown code of a cancellation"))
}

impl From<&CancelRequest> for CancelRequestWire {
    fn from(row: &CancelRequest) -> Self {
        Self(row.job.0, code_of(&SCOPES, &row.scope))
    }
}

impl TryFrom<CancelRequestWire> for CancelRequest {
    type Error = WireError;

    fn try_from(CancelRequestWire(job, scope): CancelRequestWire) -> Result<Self, WireError> {
        Ok(Self {
            job: ClientJobId(job),
            scope: decode(&SCOPES, scope)?,
        })
    }
}

impl From<&CancelReply> for CancelReplyWire {
    fn from(row: &CancelReply) -> Self {
        let scope = code_of(&SCOPES, &row.scope);
        Self(row.job.0, scope, code_of(&OUTCOMES, &row.outcome))
    }
}

impl TryFrom<CancelReplyWire> for CancelReply {
    type Error = WireError;

    fn try_from(CancelReplyWire(job, scope, outcome): CancelReplyWire) -> Result<Self, WireError> {
        Ok(Self {
            job: ClientJobId(job),
            scope: decode(&SCOPES, scope)?,
            outcome: decode(&OUTCOMES, outcome)?,
        })
    }
}

impl From<&CancelMark> for CancelMarkWire {
    fn from(row: &CancelMark) -> Self {
        Self(row.job.0, code_of(&SCOPES, &row.scope), micros(row.age))
    }
}

impl TryFrom<CancelMarkWire> for CancelMark {
    type Error = WireError;

    fn try_from(CancelMarkWire(job, scope, age): CancelMarkWire) -> Result<Self, WireError> {
        Ok(Self {
            job: ClientJobId(job),
            scope: decode(&SCOPES, scope)?,
            age: Duration::from_micros(age),
        })
    }
}
