//! Counts of operations, outcomes and faults over all cases.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Counts by name.
#[derive(Debug, Default)]
pub struct Coverage(Mutex<BTreeMap<String, u64>>);

/// Operations, outcomes and faults that must occur at least once in a test with enough cases.
pub const REQUIRED: &[&str] = &[
    "op issue_ids",
    "op submit",
    "op submit_keyed",
    "op fetch",
    "op fetch_foreign",
    "op cancel",
    "op kill",
    "op replace",
    "op freeze",
    "op resume",
    "op stop",
    "op cut",
    "op cut_platform",
    "op heal",
    "op change",
    "op executor_behaviour",
    "op executor_leaves",
    "op message_faults",
    "op advance",
    "outcome complete",
    "outcome TaskFailed",
    "outcome OutcomeLost",
    "outcome DeadlineExceeded",
    "outcome Cancelled",
    "outcome IssuerLost",
    "outcome Impossible",
    "outcome Overloaded",
    "outcome Stopping",
    "outcome NotServing",
    "refused NoSuchJob",
    "refused NotSubmitted",
    "refused IssuerUnreachable",
    "refused Stopping",
    "refused StoreUnavailable",
    "change applied",
    "change conflict",
    "change refused",
    "closed gracefully",
    "store reply lost",
    "message dropped",
    "message duplicated",
    "start not_started",
    "start lost",
];

impl Coverage {
    pub const fn new() -> Self {
        Self(Mutex::new(BTreeMap::new()))
    }

    /// Adds the counts of one case.
    pub fn add(&self, counts: &BTreeMap<String, u64>) {
        let mut total = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, count) in counts {
            *total.entry(name.clone()).or_insert(0) += count;
        }
    }

    /// Prints all counts and returns the names in `REQUIRED` that did not occur.
    pub fn report(&self) -> Vec<&'static str> {
        let total = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, count) in &*total {
            println!("{count:>12} {name}");
        }
        REQUIRED
            .iter()
            .copied()
            .filter(|name| !total.contains_key(*name))
            .collect()
    }
}
