//! A snapshot for operators.

use cardamomslip_core::model::time::Time;
use cardamomslip_core::status::Phase;
use cardamomslip_core::{Executor, Health, Status};
use serde::{Deserialize, Serialize};

/// An executor as this VM sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExecutorStatus {
    /// Address.
    pub address: String,
    /// Slots.
    pub slots: u16,
    /// Learned speed relative to the reference machine.
    pub speed: f64,
    /// Health: `trusted`, `ejected`, `probation` or `leaving`.
    pub health: String,
    /// Slots held by this VM.
    pub held: u16,
    /// Slots used by this VM.
    pub in_use: u16,
}

/// A snapshot of an entry VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the VM.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// The incarnation.
    pub incarnation: String,
    /// Phase: `serving`, `draining`, `handing_over` or `closed`.
    pub phase: String,
    /// Whether new work is admitted.
    pub ready: bool,
    /// Version of the configuration, 0 for none.
    pub config_version: u64,
    /// Preset in force.
    pub preset: Option<String>,
    /// Connected peers.
    pub peers: Vec<String>,
    /// Slot owner.
    pub slot_owner: Option<String>,
    /// Open jobs.
    pub open_jobs: usize,
    /// Tasks that wait for a slot.
    pub waiting_tasks: usize,
    /// Attempts whose outcome is outstanding.
    pub running_attempts: usize,
    /// Outcomes that are kept.
    pub kept_outcomes: usize,
    /// Expected time until newly submitted work starts, in milliseconds.
    pub expected_wait_ms: u64,
    /// Starts sent to executors.
    pub starts: u64,
    /// Starts refused by executors.
    pub not_started: u64,
    /// Starts whose outcome was lost.
    pub lost: u64,
    /// Jobs that ended complete.
    pub jobs_complete: u64,
    /// Jobs that ended failed.
    pub jobs_failed: u64,
    /// Messages sent to peers.
    pub messages_sent: u64,
    /// Executors.
    pub executors: Vec<ExecutorStatus>,
}

/// Returns the text form of a phase.
pub const fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving => "serving",
        Phase::Draining => "draining",
        Phase::HandingOver => "handing_over",
        Phase::Closed => "closed",
    }
}

impl StatusReport {
    /// Converts a snapshot of the core.
    #[must_use]
    pub fn new(
        (name, data_centre): (&str, &str),
        status: &Status,
        preset: Option<&str>,
        executors: Vec<ExecutorStatus>,
    ) -> Self {
        let counters = &status.counters;
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            incarnation: status.me.to_string(),
            phase: phase_name(status.phase).to_owned(),
            ready: status.ready,
            config_version: status.config_version,
            preset: preset.map(str::to_owned),
            peers: status.peers.iter().map(ToString::to_string).collect(),
            slot_owner: status.slot_owner.map(|owner| owner.to_string()),
            open_jobs: status.open_jobs,
            waiting_tasks: status.waiting_tasks,
            running_attempts: status.running_attempts,
            kept_outcomes: status.kept_outcomes,
            expected_wait_ms: u64::try_from(status.expected_wait.as_millis()).unwrap_or(u64::MAX),
            starts: counters.starts,
            not_started: counters.not_started,
            lost: counters.lost,
            jobs_complete: counters.jobs_complete,
            jobs_failed: counters.jobs_failed,
            messages_sent: counters.messages_sent,
            executors,
        }
    }
}

impl ExecutorStatus {
    /// Converts a row of the core.
    #[must_use]
    pub fn new(row: &Executor, now: Time) -> Self {
        let health = match row.health {
            _ if !row.accepts_work(now) => "leaving",
            Health::Trusted => "trusted",
            Health::Ejected { .. } => "ejected",
            Health::Probation => "probation",
        };
        Self {
            address: row.vm.address.to_string(),
            slots: row.vm.slots,
            speed: row.speed(),
            health: health.to_owned(),
            held: row.held,
            in_use: row.in_use,
        }
    }
}
