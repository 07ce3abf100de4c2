//! Slot time charged to customers.

use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::model::store::UsageLine;
use std::time::Duration;

/// Cumulative totals of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Totals {
    settled: Duration,
    lost: Duration,
    tasks: u64,
}

/// Cumulative slot time per customer since the start of this process.
#[derive(Debug, Default)]
pub struct UsageTable {
    rows: FastMap<CustomerId, Totals>,
    changed: bool,
}

impl UsageTable {
    /// Adds slot time that an executor reported for one ended task.
    pub fn add_settled(&mut self, customer: CustomerId, slot_time: Duration) {
        let row = self.rows.entry(customer).or_default();
        row.settled += slot_time;
        row.tasks += 1;
        self.changed = true;
    }

    /// Adds `bound`, the most slot time that a lost attempt can have used.
    pub fn add_lost(&mut self, customer: CustomerId, bound: Duration) {
        let row = self.rows.entry(customer).or_default();
        row.lost += bound;
        self.changed = true;
    }

    /// Returns one line per customer in the order of their ids. The slot time of running attempts,
    /// `outstanding`, counts as unsettled.
    #[must_use]
    pub fn lines(&self, outstanding: &FastMap<CustomerId, Duration>) -> Vec<UsageLine> {
        let mut customers: Vec<CustomerId> = self.rows.keys().copied().collect();
        customers.extend(outstanding.keys().filter(|id| !self.rows.contains_key(id)));
        customers.sort_unstable();
        customers
            .into_iter()
            .map(|customer| {
                let totals = self.rows.get(&customer).copied().unwrap_or_default();
                let running = outstanding.get(&customer).copied().unwrap_or_default();
                UsageLine {
                    customer,
                    settled: totals.settled,
                    unsettled: totals.lost + running,
                    tasks: totals.tasks,
                }
            })
            .collect()
    }

    /// Returns whether the totals changed since the last call, and resets the flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Marks the totals as changed, because the last write may not have taken effect.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }
}
