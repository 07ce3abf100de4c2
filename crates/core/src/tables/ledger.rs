//! The slot owner's account of who holds which slots.

use crate::collections::FastMap;
use crate::model::ids::ExecutorId;
use crate::model::incarnation::Incarnation;
use crate::model::message::{Demand, Holding, Recall};
use crate::model::time::Time;
use std::time::Duration;

/// A grant that no demand confirmed yet.
#[derive(Clone, Debug)]
struct Outstanding {
    seq: u64,
    slots: Vec<Holding>,
    at: Time,
}

/// What the owner knows of an issuer.
#[derive(Clone, Debug)]
pub struct Issuer {
    /// Its latest demand.
    pub demand: Demand,
    /// When that was taken in.
    pub demanded: Time,
    /// Slots that it was last asked to give back.
    pub recall: Recall,
    /// When a grant was sent to it last.
    pub granted: Time,
    grant_seq: u64,
    outstanding: Vec<Outstanding>,
}

impl Issuer {
    /// Returns the slots that the issuer holds or is about to hold.
    pub fn holdings(&self) -> impl Iterator<Item = &Holding> {
        let granted = self.outstanding.iter().flat_map(|grant| grant.slots.iter());
        self.demand.holdings.iter().chain(granted)
    }

    /// Returns the number of slots that the issuer holds or is about to hold.
    #[must_use]
    pub fn held(&self) -> u32 {
        self.holdings()
            .map(|holding| u32::from(holding.slots))
            .sum()
    }

    /// Records a grant and returns its position in the sequence.
    pub fn record_grant(&mut self, slots: &[Holding], now: Time) -> u64 {
        self.grant_seq += 1;
        self.granted = now;
        if !slots.is_empty() {
            let seq = self.grant_seq;
            self.outstanding.push(Outstanding {
                seq,
                slots: slots.to_vec(),
                at: now,
            });
        }
        self.grant_seq
    }

    fn take_demand(&mut self, demand: Demand, now: Time) {
        if demand.seq <= self.demand.seq {
            return;
        }
        self.outstanding
            .retain(|grant| grant.seq > demand.grant_seq);
        self.demand = demand;
        self.demanded = now;
        self.recall = Recall::default();
    }
}

/// The owner's account. Empty while this process is not the owner.
#[derive(Debug, Default)]
pub struct Ledger {
    issuers: FastMap<Incarnation, Issuer>,
}

impl Ledger {
    /// Takes in a demand; an older one than the last is ignored.
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
            outstanding: Vec::new(),
        };
        self.issuers.insert(from, row);
    }

    /// Drops the account of an issuer that is no longer connected.
    pub fn remove(&mut self, issuer: Incarnation) {
        self.issuers.remove(&issuer);
    }

    /// Drops everything, when another process became the owner.
    pub fn clear(&mut self) {
        self.issuers.clear();
    }

    /// Drops grants that were not confirmed within `lifetime`.
    pub fn expire_grants(&mut self, now: Time, lifetime: Duration) {
        for issuer in self.issuers.values_mut() {
            issuer
                .outstanding
                .retain(|grant| now.since(grant.at) < lifetime);
        }
    }

    /// Returns the issuers in a fixed order.
    #[must_use]
    pub fn issuers(&self) -> Vec<(Incarnation, &Issuer)> {
        let mut rows: Vec<_> = self.issuers.iter().map(|(&id, row)| (id, row)).collect();
        rows.sort_unstable_by_key(|(id, _)| *id);
        rows
    }

    /// Returns an issuer.
    pub fn get_mut(&mut self, issuer: Incarnation) -> Option<&mut Issuer> {
        self.issuers.get_mut(&issuer)
    }

    /// Tells whether a demand of `issuer` was taken in.
    #[must_use]
    pub fn knows(&self, issuer: Incarnation) -> bool {
        self.issuers.contains_key(&issuer)
    }

    /// Returns the slots of each executor that are held or granted.
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
