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
pub struct Issuer {
    /// Latest demand of the issuer.
    pub demand: Demand,
    /// Time at which the latest demand arrived.
    pub demanded: Time,
    /// Slots that the issuer was asked to return since its latest demand.
    pub recall: Recall,
    /// Time at which a grant was last sent to the issuer.
    pub granted: Time,
    grant_seq: u64,
    unconfirmed_grants: Vec<UnconfirmedGrant>,
}

impl Issuer {
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
        self.granted = now;
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

    fn take_demand(&mut self, demand: Demand, now: Time) {
        if demand.seq <= self.demand.seq {
            return;
        }
        self.unconfirmed_grants
            .retain(|grant| grant.seq > demand.grant_seq);
        self.demand = demand;
        self.demanded = now;
        self.recall = Recall::default();
    }
}

/// Slots allocated to issuers. Empty while this process is not the slot owner.
#[derive(Debug, Default)]
pub struct Ledger {
    issuers: FastMap<Incarnation, Issuer>,
}

impl Ledger {
    /// Applies a demand, unless a newer one of the issuer has been applied.
    pub fn take_demand(&mut self, from: Incarnation, demand: Demand, now: Time) {
        if let Some(issuer) = self.issuers.get_mut(&from) {
            issuer.take_demand(demand, now);
            return;
        }
        let grant_seq = demand.grant_seq;
        let row = Issuer {
            demand,
            demanded: now,
            recall: Recall::default(),
            granted: Time::ZERO,
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
    pub fn issuers(&self) -> Vec<(Incarnation, &Issuer)> {
        let mut rows: Vec<_> = self.issuers.iter().map(|(&id, row)| (id, row)).collect();
        rows.sort_unstable_by_key(|(id, _)| *id);
        rows
    }

    /// Returns the record of an issuer for changes, if it has sent a demand.
    pub fn get_mut(&mut self, issuer: Incarnation) -> Option<&mut Issuer> {
        self.issuers.get_mut(&issuer)
    }

    /// Returns whether `issuer` has sent a demand.
    #[must_use]
    pub fn knows(&self, issuer: Incarnation) -> bool {
        self.issuers.contains_key(&issuer)
    }

    /// Returns the number of slots held or granted on each executor.
    #[must_use]
    pub fn taken(&self) -> FastMap<ExecutorId, u32> {
        let mut taken = FastMap::default();
        for issuer in self.issuers.values() {
            for holding in issuer.holdings() {
                *taken.entry(holding.executor).or_insert(0) += u32::from(holding.slots);
            }
        }
        taken
    }
}
