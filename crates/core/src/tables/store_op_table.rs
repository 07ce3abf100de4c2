//! Store operations that have not completed.

use crate::collections::FastMap;
use crate::model::configuration::Configuration;
use crate::model::ids::{CallId, CustomerId, StoreOpId};
use crate::model::job_id::JobId;
use crate::model::request::Caller;
use crate::model::spec::JobSpec;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// A submission under an idempotency key.
#[derive(Clone, Debug)]
pub struct KeyedSubmission {
    /// Recipient of the response.
    pub caller: Caller,
    /// Customer that submitted the job.
    pub customer: CustomerId,
    /// Idempotency key, unique per customer.
    pub key: Arc<str>,
    /// Job id that this process tries to bind the key to.
    pub id: JobId,
    /// Submitted job.
    pub spec: JobSpec,
    /// Time that the response may wait for the job to end.
    pub wait: Duration,
}

/// A configuration change that an operator requested.
#[derive(Clone, Debug)]
pub struct PendingChange {
    /// Call of the operator, which gets the response.
    pub call: CallId,
    /// Version that the change replaces.
    pub base: u64,
    /// New configuration.
    pub config: Arc<Configuration>,
    /// Random identifier of the change, by which it is found when the configuration is read back.
    pub change_id: u128,
}

/// Purpose of a store operation, and its current step.
#[derive(Clone, Debug)]
pub enum StoreOpPurpose {
    /// Bind an idempotency key: waits for the reply to the write.
    BindKey(KeyedSubmission),
    /// Read the job id that an idempotency key is bound to.
    ReadKey(KeyedSubmission),
    /// Replace the configuration: waits for the reply to the write.
    ReplaceConfiguration(PendingChange),
    /// Read the configuration back after a lost reply or a conflict.
    VerifyConfiguration(PendingChange),
    /// Write the usage report.
    WriteUsage {
        /// Whether it is the last report before a graceful stop.
        is_last: bool,
    },
}

/// A store operation that has not completed.
#[derive(Clone, Debug)]
pub struct PendingOp {
    /// Purpose and current step.
    pub purpose: StoreOpPurpose,
    /// Time after which the operation fails and is no longer repeated.
    pub deadline: Time,
}

/// Pending store operations by id.
#[derive(Debug, Default)]
pub struct StoreOpTable {
    rows: FastMap<StoreOpId, PendingOp>,
    next_id: u64,
}

impl StoreOpTable {
    /// Adds an operation and returns its new id.
    pub fn insert(&mut self, purpose: StoreOpPurpose, deadline: Time) -> StoreOpId {
        let id = StoreOpId(self.next_id);
        self.next_id += 1;
        self.rows.insert(id, PendingOp { purpose, deadline });
        id
    }

    /// Returns the operation with the given id, if it is pending.
    #[must_use]
    pub fn get(&self, id: StoreOpId) -> Option<&PendingOp> {
        self.rows.get(&id)
    }

    /// Removes and returns the operation with the given id.
    pub fn remove(&mut self, id: StoreOpId) -> Option<PendingOp> {
        self.rows.remove(&id)
    }

    /// Returns whether an operation for a caller or an operator is pending.
    #[must_use]
    pub fn has_client_ops(&self) -> bool {
        self.rows
            .values()
            .any(|row| !matches!(row.purpose, StoreOpPurpose::WriteUsage { .. }))
    }

    /// Returns whether a usage write is pending.
    #[must_use]
    pub fn has_usage_write(&self) -> bool {
        self.rows
            .values()
            .any(|row| matches!(row.purpose, StoreOpPurpose::WriteUsage { .. }))
    }
}
