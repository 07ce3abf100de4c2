//! A snapshot of a node for operators and metrics.

use crate::model::incarnation::Incarnation;
use std::time::Duration;

/// Counts of what happened since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Jobs accepted.
    pub jobs_accepted: u64,
    /// Jobs that ended complete.
    pub jobs_complete: u64,
    /// Jobs that ended failed, refused ones included.
    pub jobs_failed: u64,
    /// Starts sent to executors.
    pub starts: u64,
    /// Starts that executors refused or that reached none.
    pub not_started: u64,
    /// Starts whose outcome was lost.
    pub lost: u64,
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Requests forwarded to peers.
    pub forwards: u64,
    /// Grants sent as slot owner.
    pub grants: u64,
    /// Times that this issuer gave back slots which it was granted and had not used.
    pub unused_returns: u64,
    /// Ejections of executors.
    pub ejections: u64,
}

/// Whether a node takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes work.
    Serving,
    /// It finishes what it has.
    Draining,
    /// It hands its outcomes over.
    HandingOver,
    /// It is finished.
    Closed,
}

/// A snapshot of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The incarnation.
    pub me: Incarnation,
    /// Whether it takes work.
    pub phase: Phase,
    /// Version of the configuration, 0 for none.
    pub config_version: u64,
    /// Whether it admits new work at present.
    pub ready: bool,
    /// Connected peers.
    pub peers: Vec<Incarnation>,
    /// Slot owner in this node's view.
    pub slot_owner: Option<Incarnation>,
    /// Open jobs.
    pub open_jobs: usize,
    /// Tasks that wait for a slot.
    pub waiting_tasks: usize,
    /// Attempts whose outcome is outstanding.
    pub running_attempts: usize,
    /// Outcomes that are kept.
    pub kept_outcomes: usize,
    /// Known executors.
    pub executors: usize,
    /// Executors that get work at present.
    pub usable_executors: usize,
    /// Slots held by this issuer.
    pub held_slots: u32,
    /// Expected time until newly submitted work starts.
    pub expected_wait: Duration,
    /// Counts.
    pub counters: Counters,
}
