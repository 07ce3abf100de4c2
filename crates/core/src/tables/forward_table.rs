//! Requests forwarded to peers that have not been answered.

use crate::collections::FastMap;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::JobId;
use crate::model::request::Caller;

/// A request that was forwarded to one or more peers.
#[derive(Clone, Debug)]
pub struct Forward {
    /// Recipient of the response.
    pub caller: Caller,
    /// Job that the request names.
    pub id: JobId,
    /// Peers that have not responded yet.
    pub pending_peers: Vec<Incarnation>,
    /// Peers that were queried for the archive of the issuer. Empty if the request went to the
    /// issuer itself.
    pub queried_peers: Vec<Incarnation>,
}

/// Unanswered forwarded requests by number, which correlates a response with its request.
#[derive(Debug, Default)]
pub struct ForwardTable {
    rows: FastMap<u64, Forward>,
    next_number: u64,
}

impl ForwardTable {
    /// Adds a forward and returns its number.
    pub fn insert(&mut self, forward: Forward) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.rows.insert(number, forward);
        number
    }

    /// Returns the forward with the given number for changes, if it is unanswered.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut Forward> {
        self.rows.get_mut(&number)
    }

    /// Removes and returns the forward with the given number.
    pub fn remove(&mut self, number: u64) -> Option<Forward> {
        self.rows.remove(&number)
    }

    /// Returns the numbers of the forwards that `peer` has not responded to, in ascending order.
    #[must_use]
    pub fn pending_at(&self, peer: Incarnation) -> Vec<u64> {
        let rows = self
            .rows
            .iter()
            .filter(|(_, forward)| forward.pending_peers.contains(&peer));
        let mut numbers: Vec<_> = rows.map(|(&number, _)| number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns the number of unanswered forwards.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no forward is unanswered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
