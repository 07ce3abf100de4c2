//! Outcomes of closed incarnations, which this process answers for.

use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::{IdKey, JobId};
use crate::model::message::{ArchivedOutcome, Handover};
use crate::model::outcome::{FailureReason, Outcome, Ran};
use crate::model::time::Time;
use std::time::Duration;

/// What the archive knows of an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveLookup {
    /// The outcome is final.
    Outcome(Outcome),
    /// Too old; what became of it is forgotten.
    Expired,
    /// Not issued by that incarnation to this customer.
    NoSuchJob,
    /// The archive of that incarnation is not here, or not whole yet.
    NotHeld,
}

/// The archive of one closed incarnation.
#[derive(Debug)]
struct Volume {
    key: IdKey,
    floor: u64,
    next_counter: u64,
    parts: u32,
    stored: Vec<u32>,
    outcomes: FastMap<u64, ArchivedOutcome>,
    updated: Time,
}

/// Archives by incarnation, and who else holds them.
#[derive(Debug, Default)]
pub struct Archive {
    volumes: FastMap<Incarnation, Volume>,
    holders: FastMap<Incarnation, (Vec<Incarnation>, Time)>,
}

impl Archive {
    /// Stores one part and tells whether the archive of that incarnation is whole.
    pub fn store(&mut self, part: &Handover, now: Time) -> bool {
        let volume = self.volumes.entry(part.closed).or_insert_with(|| Volume {
            key: part.key,
            floor: part.floor,
            next_counter: part.next_counter,
            parts: part.parts,
            stored: Vec::new(),
            outcomes: FastMap::default(),
            updated: now,
        });
        if !volume.stored.contains(&part.part) {
            volume.stored.push(part.part);
        }
        for outcome in &part.outcomes {
            volume.outcomes.insert(outcome.counter, outcome.clone());
        }
        volume.is_whole()
    }

    /// Looks up an id.
    ///
    /// An id that was issued and is not among the outcomes was never submitted. Its issuer has
    /// closed for good, so it never starts.
    #[must_use]
    pub fn look_up(&self, id: JobId, customer: CustomerId) -> ArchiveLookup {
        let Some(volume) = self
            .volumes
            .get(&id.issuer)
            .filter(|volume| volume.is_whole())
        else {
            return ArchiveLookup::NotHeld;
        };
        if id.counter >= volume.next_counter || !volume.key.verifies(id, customer) {
            return ArchiveLookup::NoSuchJob;
        }
        if let Some(entry) = volume.outcomes.get(&id.counter) {
            return ArchiveLookup::Outcome(entry.outcome.clone());
        }
        if id.counter < volume.floor {
            return ArchiveLookup::Expired;
        }
        ArchiveLookup::Outcome(Outcome::failed(FailureReason::Stopping, Ran::NotRun))
    }

    /// Records who holds the archive of `closed`.
    pub fn record_holders(&mut self, closed: Incarnation, holders: &[Incarnation], now: Time) {
        let entry = self
            .holders
            .entry(closed)
            .or_insert_with(|| (Vec::new(), now));
        for &holder in holders {
            if !entry.0.contains(&holder) {
                entry.0.push(holder);
            }
        }
    }

    /// Returns who holds the archive of `closed`, if it is known to have closed.
    #[must_use]
    pub fn holders(&self, closed: Incarnation) -> Option<&[Incarnation]> {
        self.holders
            .get(&closed)
            .map(|(holders, _)| holders.as_slice())
    }

    /// Returns all closed incarnations with their holders.
    pub fn closures(&self) -> impl Iterator<Item = (Incarnation, &[Incarnation])> {
        self.holders
            .iter()
            .map(|(&closed, (holders, _))| (closed, holders.as_slice()))
    }

    /// Returns the incarnations whose whole archive is here.
    pub fn held(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.volumes
            .iter()
            .filter(|(_, volume)| volume.is_whole())
            .map(|(&closed, _)| closed)
    }

    /// Forgets archives that are older than `retention`.
    pub fn forget_old(&mut self, now: Time, retention: Duration) {
        self.volumes
            .retain(|_, volume| now.since(volume.updated) < retention);
        self.holders.retain(|_, (_, at)| now.since(*at) < retention);
    }

    /// Cuts the archive of `closed` into parts for a hand-over.
    #[must_use]
    pub fn parts(&self, closed: Incarnation, part_len: usize) -> Vec<Handover> {
        let Some(volume) = self.volumes.get(&closed) else {
            return Vec::new();
        };
        let outcomes: Vec<_> = volume.outcomes.values().cloned().collect();
        let bounds = (volume.floor, volume.next_counter);
        cut(closed, volume.key, bounds, &outcomes, part_len)
    }
}

impl Volume {
    fn is_whole(&self) -> bool {
        self.stored.len() == self.parts as usize
    }
}

/// Cuts outcomes into parts of `part_len`; there is at least one part.
#[must_use]
pub fn cut(
    closed: Incarnation,
    key: IdKey,
    (floor, next_counter): (u64, u64),
    outcomes: &[ArchivedOutcome],
    part_len: usize,
) -> Vec<Handover> {
    let chunks: Vec<&[ArchivedOutcome]> = if outcomes.is_empty() {
        vec![&[]]
    } else {
        outcomes.chunks(part_len).collect()
    };
    let parts = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    chunks
        .into_iter()
        .zip(0..)
        .map(|(chunk, part)| Handover {
            closed,
            key,
            floor,
            next_counter,
            part,
            parts,
            outcomes: chunk.to_vec(),
        })
        .collect()
}
