//! Priority index of jobs with waiting tasks.

use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use std::collections::BTreeSet;

/// Jobs with waiting tasks per customer, the smallest key first.
///
/// A job's key grows with its remaining work and its time of submission. Ageing therefore needs no
/// updates: a job that has waited longer has a smaller key than an equal job submitted later.
#[derive(Debug, Default)]
pub struct ReadyIndex {
    queues: FastMap<CustomerId, BTreeSet<(u64, u64)>>,
    keys: FastMap<u64, (CustomerId, u64)>,
}

impl ReadyIndex {
    /// Adds the job with `counter`, or changes its key to `key`.
    pub fn set(&mut self, counter: u64, customer: CustomerId, key: u64) {
        if self.keys.get(&counter) == Some(&(customer, key)) {
            return;
        }
        self.remove(counter);
        self.keys.insert(counter, (customer, key));
        self.queues
            .entry(customer)
            .or_default()
            .insert((key, counter));
    }

    /// Removes a job, if it is in the index.
    pub fn remove(&mut self, counter: u64) {
        let Some((customer, key)) = self.keys.remove(&counter) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&customer) {
            queue.remove(&(key, counter));
            if queue.is_empty() {
                self.queues.remove(&customer);
            }
        }
    }

    /// Returns the customers with waiting tasks in the order of their ids.
    #[must_use]
    pub fn customers(&self) -> Vec<CustomerId> {
        let mut customers: Vec<_> = self.queues.keys().copied().collect();
        customers.sort_unstable();
        customers
    }

    /// Iterates over the jobs of a customer as key and counter, the smallest key first.
    pub fn jobs(&self, customer: CustomerId) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.queues.get(&customer).into_iter().flatten().copied()
    }

    /// Returns all jobs as key, counter and customer, the smallest key first.
    #[must_use]
    pub fn ranked(&self) -> Vec<(u64, u64, CustomerId)> {
        let mut jobs: Vec<_> = self
            .keys
            .iter()
            .map(|(&counter, &(customer, key))| (key, counter, customer))
            .collect();
        jobs.sort_unstable();
        jobs
    }

    /// Returns whether no job has waiting tasks.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
