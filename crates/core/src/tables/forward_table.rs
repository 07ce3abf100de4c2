//! Requests that were forwarded to peers.

use crate::collections::FastMap;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::JobId;
use crate::model::request::Caller;

/// A forwarded request.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Who waits for the response.
    pub caller: Caller,
    /// The job.
    pub id: JobId,
    /// Peers that have not responded.
    pub asked: Vec<Incarnation>,
    /// The peers that were asked whether they hold the archive of the issuer; empty if the issuer
    /// itself was asked.
    pub searched: Vec<Incarnation>,
}

/// Forwarded requests by number.
#[derive(Debug, Default)]
pub struct ForwardTable {
    rows: FastMap<u64, Forward>,
    next: u64,
}

impl ForwardTable {
    /// Adds a forward and returns its number.
    pub fn insert(&mut self, forward: Forward) -> u64 {
        let number = self.next;
        self.next += 1;
        self.rows.insert(number, forward);
        number
    }

    /// Returns a forward.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut Forward> {
        self.rows.get_mut(&number)
    }

    /// Removes a forward.
    pub fn take(&mut self, number: u64) -> Option<Forward> {
        self.rows.remove(&number)
    }

    /// Returns the numbers of the forwards that `peer` has not responded to.
    #[must_use]
    pub fn asked_of(&self, peer: Incarnation) -> Vec<u64> {
        let rows = self
            .rows
            .iter()
            .filter(|(_, forward)| forward.asked.contains(&peer));
        let mut numbers: Vec<_> = rows.map(|(&number, _)| number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns the number of forwards.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether nothing is forwarded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
