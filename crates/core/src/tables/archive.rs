//! Job outcomes of closed incarnations, for which this process answers requests.

use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::{IdKey, JobId};
use crate::model::message::{ArchivedOutcome, Handover};
use crate::model::outcome::{FailureReason, Outcome, Ran};
use crate::model::time::Time;
use std::time::Duration;

/// Result of looking up a job id in the archive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveLookup {
    /// The outcome is final.
    Outcome(Outcome),
    /// The id is older than the retention period and its outcome has been removed.
    Expired,
    /// The id was not issued by that incarnation to this customer.
    NoSuchJob,
    /// This process does not have the archive of that incarnation, or not all parts of it yet.
    NotHeld,
}

/// The archive of one closed incarnation, assembled from its handover parts.
#[derive(Debug)]
struct ArchivedIncarnation {
    key: IdKey,
    floor: u64,
    next_counter: u64,
    parts: u32,
    stored_parts: Vec<u32>,
    outcomes: FastMap<u64, ArchivedOutcome>,
    updated_at: Time,
}

/// Archives of closed incarnations, and the peers that hold each of them.
#[derive(Debug, Default)]
pub struct Archive {
    archives: FastMap<Incarnation, ArchivedIncarnation>,
    holders: FastMap<Incarnation, (Vec<Incarnation>, Time)>,
}

impl Archive {
    /// Stores one part and returns whether the archive of that incarnation is now complete.
    pub fn store(&mut self, part: &Handover, now: Time) -> bool {
        let archive = self
            .archives
            .entry(part.closed)
            .or_insert_with(|| ArchivedIncarnation {
                key: part.key,
                floor: part.floor,
                next_counter: part.next_counter,
                parts: part.parts,
                stored_parts: Vec::new(),
                outcomes: FastMap::default(),
                updated_at: now,
            });
        if !archive.stored_parts.contains(&part.part) {
            archive.stored_parts.push(part.part);
        }
        for outcome in &part.outcomes {
            archive.outcomes.insert(outcome.counter, outcome.clone());
        }
        archive.is_complete()
    }

    /// Looks up the outcome of a job id.
    ///
    /// An id that was issued but has no outcome was never submitted. Its issuer has closed, so no
    /// task of it can start any more.
    #[must_use]
    pub fn look_up(&self, id: JobId, customer: CustomerId) -> ArchiveLookup {
        let Some(archive) = self
            .archives
            .get(&id.issuer)
            .filter(|archive| archive.is_complete())
        else {
            return ArchiveLookup::NotHeld;
        };
        if id.counter >= archive.next_counter || !archive.key.verifies(id, customer) {
            return ArchiveLookup::NoSuchJob;
        }
        if let Some(entry) = archive.outcomes.get(&id.counter) {
            return ArchiveLookup::Outcome(entry.outcome.clone());
        }
        if id.counter < archive.floor {
            return ArchiveLookup::Expired;
        }
        ArchiveLookup::Outcome(Outcome::failed(FailureReason::Stopping, Ran::NotRun))
    }

    /// Records the peers that hold the archive of `closed`.
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

    /// Returns the holders of the archive of `closed`, or `None` if it is not known to have closed.
    #[must_use]
    pub fn holders(&self, closed: Incarnation) -> Option<&[Incarnation]> {
        self.holders
            .get(&closed)
            .map(|(holders, _)| holders.as_slice())
    }

    /// Returns all known closed incarnations with the holders of their archives.
    pub fn closed_incarnations(&self) -> impl Iterator<Item = (Incarnation, &[Incarnation])> {
        self.holders
            .iter()
            .map(|(&closed, (holders, _))| (closed, holders.as_slice()))
    }

    /// Returns the incarnations whose complete archive this process has.
    pub fn complete_archives(&self) -> impl Iterator<Item = Incarnation> + '_ {
        self.archives
            .iter()
            .filter(|(_, archive)| archive.is_complete())
            .map(|(&closed, _)| closed)
    }

    /// Removes archives and holder records that are older than `retention`.
    pub fn remove_expired(&mut self, now: Time, retention: Duration) {
        self.archives
            .retain(|_, archive| now.since(archive.updated_at) < retention);
        self.holders.retain(|_, (_, at)| now.since(*at) < retention);
    }

    /// Splits the archive of `closed` into parts of at most `part_len` outcomes for a handover.
    /// Returns no part if this process has no archive of it.
    #[must_use]
    pub fn parts(&self, closed: Incarnation, part_len: usize) -> Vec<Handover> {
        let Some(archive) = self.archives.get(&closed) else {
            return Vec::new();
        };
        let outcomes: Vec<_> = archive.outcomes.values().cloned().collect();
        let bounds = (archive.floor, archive.next_counter);
        split_outcomes(closed, archive.key, bounds, &outcomes, part_len)
    }
}

impl ArchivedIncarnation {
    fn is_complete(&self) -> bool {
        self.stored_parts.len() == self.parts as usize
    }
}

/// Splits outcomes into handover parts of at most `part_len`. There is always at least one part,
/// so an incarnation without outcomes can be handed over too.
#[must_use]
pub fn split_outcomes(
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
