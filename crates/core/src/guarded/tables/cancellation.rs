//! Cancellations that wait for other VMs.

use crate::collections::FastMap;
use crate::guarded::model::cancel::{CancelMark, CancelReply, CancelRequest, CancelScope};
use crate::guarded::model::ids::ClientJobId;
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of open cancellations.
const MAX_CANCELLATIONS: usize = 4_096;

/// Who waits for the outcome of a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asker {
    /// Clients of this VM.
    Clients(Vec<CallId>),
    /// A peer, which asked with this scope.
    Peer(Incarnation, CancelScope),
}

/// What a cancellation waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The runner of the job, whose entry this VM is, confirms that no more tasks start.
    Runner,
    /// The relays and standbys of this data centre reply.
    Locals,
    /// All VMs that the scope covers reply.
    All,
    /// The next attempt to ask all VMs is due at this time.
    Pause(Time),
}

/// A cancellation that waits for other VMs.
#[derive(Debug)]
pub struct Cancellation {
    /// Who waits for the outcome.
    pub asker: Asker,
    /// What it waits for.
    pub stage: Stage,
    /// Peers that have not replied, and the scope that they were asked with.
    pub waiting: BTreeSet<(Incarnation, CancelScope)>,
    /// Whether some VM can't be asked, or has not replied.
    pub is_incomplete: bool,
    /// Time at which it began.
    pub begun_at: Time,
    /// Time at which its stage began.
    pub stage_at: Time,
    /// Number of times that all VMs were asked.
    pub attempts: u32,
}

impl Cancellation {
    /// Creates a cancellation that has asked nobody.
    pub const fn new(now: Time, asker: Asker, stage: Stage) -> Self {
        Self {
            asker,
            stage,
            waiting: BTreeSet::new(),
            is_incomplete: false,
            begun_at: now,
            stage_at: now,
            attempts: 0,
        }
    }
}

/// Open cancellations by job.
#[derive(Debug, Default)]
pub struct Cancellations {
    rows: FastMap<ClientJobId, Vec<Cancellation>>,
    count: usize,
}

impl Cancellations {
    /// Returns whether no more cancellation can be added.
    pub const fn is_full(&self) -> bool {
        self.count >= MAX_CANCELLATIONS
    }

    /// Returns the number of open cancellations.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Adds a cancellation.
    pub fn insert(&mut self, job: ClientJobId, row: Cancellation) {
        self.count += 1;
        self.rows.entry(job).or_default().push(row);
    }

    /// Removes all cancellations of a job.
    pub fn take(&mut self, job: ClientJobId) -> Vec<Cancellation> {
        let rows = self.rows.remove(&job).unwrap_or_default();
        self.count -= rows.len();
        rows
    }

    /// Returns the cancellations of a job.
    pub fn of_job_mut(&mut self, job: ClientJobId) -> &mut [Cancellation] {
        self.rows.get_mut(&job).map_or(&mut [], Vec::as_mut_slice)
    }

    /// Iterates over all cancellations.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Cancellation> {
        self.rows.values_mut().flatten()
    }

    /// Returns the jobs that are being cancelled.
    pub fn jobs(&self) -> Vec<ClientJobId> {
        self.rows.keys().copied().collect()
    }
}

/// What is sent to the peers about cancellations at the end of the tick.
#[derive(Debug, Default)]
pub struct CancelOutbox {
    /// Requests by receiver.
    pub requests: BTreeMap<Incarnation, Vec<CancelRequest>>,
    /// Replies by receiver.
    pub replies: BTreeMap<Incarnation, Vec<CancelReply>>,
    /// Marks by receiver.
    pub marks: BTreeMap<Incarnation, Vec<CancelMark>>,
}
