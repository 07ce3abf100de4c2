//! The slot owner's record of which issuers hold which slots.

use crate::collections::FastMap;
use crate::model::ids::ExecutorId;
use crate::model::incarnation::Incarnation;
use crate::model::message::{Demand, Holding, Recall};
use crate::model::time::Time;
use std::time::Duration;

/// A grant that the issuer's demands have not confirmed yet.
#[derive(Clone, Debug)]
struct UnconfirmedGrant {
    seq: u64,
    slots: Vec<Holding>,
    granted_at: Time,
}

/// Latest demand and grants of one issuer.
#[derive(Clone, Debug)]
pub struct IssuerAllocation {
    /// Latest demand of the issuer.
    pub demand: Demand,
    /// Time at which the latest demand arrived.
    pub demand_received_at: Time,
    /// Slots that the issuer was asked to return since its latest demand.
    pub recall: Recall,
    /// Time at which a grant was last sent to the issuer.
    pub last_grant_at: Time,
    grant_seq: u64,
    unconfirmed_grants: Vec<UnconfirmedGrant>,
}

impl IssuerAllocation {
    /// Iterates over the slots that the issuer holds, followed by those in unconfirmed grants.
    pub fn holdings(&self) -> impl Iterator<Item = &Holding> {
        let granted = self
            .unconfirmed_grants
            .iter()
            .flat_map(|grant| grant.slots.iter());
        self.demand.holdings.iter().chain(granted)
    }

    /// Returns the number of slots that the issuer holds, unconfirmed grants included.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.holdings()
            .map(|holding| u32::from(holding.slots))
            .sum()
    }

    /// Records a grant and returns its sequence number.
    pub fn record_grant(&mut self, slots: &[Holding], now: Time) -> u64 {
        self.grant_seq += 1;
        self.last_grant_at = now;
        if !slots.is_empty() {
            let seq = self.grant_seq;
            self.unconfirmed_grants.push(UnconfirmedGrant {
                seq,
                slots: slots.to_vec(),
                granted_at: now,
            });
        }
        self.grant_seq
    }

    fn apply_demand(&mut self, demand: Demand, now: Time) {
        if demand.seq <= self.demand.seq {
            return;
        }
        self.unconfirmed_grants
            .retain(|grant| grant.seq > demand.grant_seq);
        self.demand = demand;
        self.demand_received_at = now;
        self.recall = Recall::default();
    }
}

/// Slots allocated to issuers. Empty while this process is not the slot owner.
#[derive(Debug, Default)]
pub struct AllocationTable {
    issuers: FastMap<Incarnation, IssuerAllocation>,
}

impl AllocationTable {
    /// Applies a demand, unless a newer one of the issuer has been applied.
    pub fn apply_demand(&mut self, from: Incarnation, demand: Demand, now: Time) {
        if let Some(issuer) = self.issuers.get_mut(&from) {
            issuer.apply_demand(demand, now);
            return;
        }
        let grant_seq = demand.grant_seq;
        let row = IssuerAllocation {
            demand,
            demand_received_at: now,
            recall: Recall::default(),
            last_grant_at: Time::ZERO,
            grant_seq,
            unconfirmed_grants: Vec::new(),
        };
        self.issuers.insert(from, row);
    }

    /// Removes an issuer that is no longer connected.
    pub fn remove(&mut self, issuer: Incarnation) {
        self.issuers.remove(&issuer);
    }

    /// Removes all issuers. Called when this process stops being the slot owner.
    pub fn clear(&mut self) {
        self.issuers.clear();
    }

    /// Removes grants that were not confirmed within `lifetime`.
    pub fn expire_grants(&mut self, now: Time, lifetime: Duration) {
        for issuer in self.issuers.values_mut() {
            issuer
                .unconfirmed_grants
                .retain(|grant| now.since(grant.granted_at) < lifetime);
        }
    }

    /// Returns the issuers in the order of their incarnations.
    #[must_use]
    pub fn issuers(&self) -> Vec<(Incarnation, &IssuerAllocation)> {
        let mut rows: Vec<_> = self.issuers.iter().map(|(&id, row)| (id, row)).collect();
        rows.sort_unstable_by_key(|(id, _)| *id);
        rows
    }

    /// Returns the record of an issuer for changes, if it has sent a demand.
    pub fn get_mut(&mut self, issuer: Incarnation) -> Option<&mut IssuerAllocation> {
        self.issuers.get_mut(&issuer)
    }

    /// Returns whether `issuer` has sent a demand.
    #[must_use]
    pub fn has_demand_from(&self, issuer: Incarnation) -> bool {
        self.issuers.contains_key(&issuer)
    }

    /// Returns the number of slots held or granted on each executor.
    #[must_use]
    pub fn allocated_slots(&self) -> FastMap<ExecutorId, u32> {
        let mut allocated = FastMap::default();
        for issuer in self.issuers.values() {
            for holding in issuer.holdings() {
                *allocated.entry(holding.executor).or_insert(0) += u32::from(holding.slots);
            }
        }
        allocated
    }
}
