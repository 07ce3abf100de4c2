//! Snapshot of a node's state for operators and metrics.

use crate::model::incarnation::Incarnation;
use std::time::Duration;

/// Event counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Accepted jobs.
    pub jobs_accepted: u64,
    /// Jobs that completed.
    pub jobs_complete: u64,
    /// Jobs that failed, including those that were never accepted.
    pub jobs_failed: u64,
    /// Starts sent to executors.
    pub starts: u64,
    /// Starts that executors refused or that reached no executor.
    pub not_started: u64,
    /// Starts whose outcome was lost.
    pub lost: u64,
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Requests forwarded to peers.
    pub forwards: u64,
    /// Grants sent as the slot owner, also those without slots.
    pub grants: u64,
    /// Number of times that this issuer returned granted slots without having used them.
    pub unused_returns: u64,
    /// Ejections of executors.
    pub ejections: u64,
}

/// Phase in the life cycle of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts new jobs, if the configuration admits them.
    Serving,
    /// Finishes open jobs and takes no new ones.
    Draining,
    /// Hands its outcomes over to peers.
    HandingOver,
    /// Graceful stop complete; events are ignored.
    Closed,
}

/// Snapshot of a node's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Incarnation of this process.
    pub me: Incarnation,
    /// Phase of the life cycle.
    pub phase: Phase,
    /// Version of the configuration, 0 if there is none.
    pub config_version: u64,
    /// Whether new work is admitted at present, apart from load limits.
    pub ready: bool,
    /// Connected peers.
    pub peers: Vec<Incarnation>,
    /// Slot owner in this node's view.
    pub slot_owner: Option<Incarnation>,
    /// Number of open jobs.
    pub open_jobs: usize,
    /// Bytes of the open jobs.
    pub open_bytes: usize,
    /// Number of tasks that wait for a slot.
    pub waiting_tasks: usize,
    /// Number of attempts without a result yet.
    pub running_attempts: usize,
    /// Number of outcomes of ended jobs that are still kept.
    pub kept_outcomes: usize,
    /// Number of known executors.
    pub executors: usize,
    /// Number of executors that get work at present.
    pub usable_executors: usize,
    /// Number of slots held by this issuer, in use or idle.
    pub held_slots: u32,
    /// Expected time until newly submitted work starts.
    pub expected_wait: Duration,
    /// Event counters.
    pub counters: Counters,
}
