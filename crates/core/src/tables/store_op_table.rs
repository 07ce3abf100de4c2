//! Operations on the store that are not settled.

use crate::collections::FastMap;
use crate::model::configuration::Configuration;
use crate::model::ids::{CallId, CustomerId, StoreOpId};
use crate::model::job_id::JobId;
use crate::model::request::Caller;
use crate::model::spec::JobSpec;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// A keyed submission.
#[derive(Clone, Debug)]
pub struct KeyedSubmission {
    /// Who waits.
    pub caller: Caller,
    /// The customer.
    pub customer: CustomerId,
    /// The key.
    pub key: Arc<str>,
    /// The id that this process tries to bind.
    pub id: JobId,
    /// The job.
    pub spec: JobSpec,
    /// How long the response may wait for the answer.
    pub wait: Duration,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub struct PendingChange {
    /// The operator's call.
    pub call: CallId,
    /// Version that is replaced.
    pub base: u64,
    /// The new value.
    pub config: Arc<Configuration>,
    /// Identifier of the change.
    pub change_id: u128,
}

/// What an operation on the store is for, and its present step.
#[derive(Clone, Debug)]
pub enum StoreTask {
    /// Binding a key; the write is outstanding.
    BindKey(KeyedSubmission),
    /// Reading back who holds a key.
    ReadKey(KeyedSubmission),
    /// Replacing the configuration; the write is outstanding.
    Swap(PendingChange),
    /// Reading back the configuration after a lost reply or a conflict.
    ReadBack(PendingChange),
    /// Writing usage.
    Usage {
        /// Whether it is the last report of a graceful stop.
        closing: bool,
    },
}

/// An unsettled operation.
#[derive(Clone, Debug)]
pub struct PendingOp {
    /// What it is for.
    pub task: StoreTask,
    /// Time after which it is given up.
    pub deadline: Time,
}

/// Unsettled operations by number.
#[derive(Debug, Default)]
pub struct StoreOpTable {
    rows: FastMap<StoreOpId, PendingOp>,
    next: u64,
}

impl StoreOpTable {
    /// Adds an operation.
    pub fn insert(&mut self, task: StoreTask, deadline: Time) -> StoreOpId {
        let id = StoreOpId(self.next);
        self.next += 1;
        self.rows.insert(id, PendingOp { task, deadline });
        id
    }

    /// Returns an operation.
    #[must_use]
    pub fn get(&self, id: StoreOpId) -> Option<&PendingOp> {
        self.rows.get(&id)
    }

    /// Removes an operation.
    pub fn take(&mut self, id: StoreOpId) -> Option<PendingOp> {
        self.rows.remove(&id)
    }

    /// Tells whether an operation for a caller or an operator is unsettled.
    #[must_use]
    pub fn has_requests(&self) -> bool {
        self.rows
            .values()
            .any(|row| !matches!(row.task, StoreTask::Usage { .. }))
    }

    /// Tells whether a usage write is unsettled.
    #[must_use]
    pub fn writes_usage(&self) -> bool {
        self.rows
            .values()
            .any(|row| matches!(row.task, StoreTask::Usage { .. }))
    }
}
