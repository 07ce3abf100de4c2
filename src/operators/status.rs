//! JSON snapshot of a VM for operators.

use cardamomslip_core::model::time::Time;
use cardamomslip_core::status::Phase;
use cardamomslip_core::{Executor, Health, Status};
use serde::{Deserialize, Serialize};

/// State of an executor in the view of this VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExecutorStatus {
    /// Address as in the VM list, `ip:port`.
    pub address: String,
    /// Number of slots.
    pub slots: u16,
    /// Learned speed relative to the reference machine, whose speed is 1.
    pub speed: f64,
    /// Health: `trusted`, `ejected`, `probation`, or `leaving` if it takes no new work.
    pub health: String,
    /// Number of slots granted to this VM, in use or idle.
    pub held: u16,
    /// Number of slots in which tasks of this VM run.
    pub in_use: u16,
}

/// Snapshot of an entry VM, the response to `GET status`. Counters start at 0 with the process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// Name of the VM, from the settings.
    pub name: String,
    /// Name of the data centre, from the settings.
    pub data_centre: String,
    /// Incarnation of the process, in text form.
    pub incarnation: String,
    /// Lifecycle phase: `serving`, `draining`, `handing_over` or `closed`.
    pub phase: String,
    /// Whether new work is admitted at present, apart from load limits.
    pub ready: bool,
    /// Version of the configuration, 0 if there is none.
    pub config_version: u64,
    /// Name of the active preset; `None` if there is no configuration.
    pub preset: Option<String>,
    /// Incarnations of the connected peers, in text form.
    pub peers: Vec<String>,
    /// Incarnation of the slot owner in the view of this VM, if there is one.
    pub slot_owner: Option<String>,
    /// Number of open jobs.
    pub open_jobs: usize,
    /// Number of tasks that wait for a slot.
    pub waiting_tasks: usize,
    /// Number of attempts without a result yet.
    pub running_attempts: usize,
    /// Number of outcomes of ended jobs that are still kept.
    pub kept_outcomes: usize,
    /// Expected time until newly submitted work starts, in milliseconds.
    pub expected_wait_ms: u64,
    /// Number of starts sent to executors.
    pub starts: u64,
    /// Number of starts that executors refused or that reached no executor.
    pub not_started: u64,
    /// Number of starts whose outcome was lost.
    pub lost: u64,
    /// Number of jobs that completed.
    pub jobs_complete: u64,
    /// Number of jobs that failed, including those that were never accepted.
    pub jobs_failed: u64,
    /// Number of messages sent to peers.
    pub messages_sent: u64,
    /// All known executors.
    pub executors: Vec<ExecutorStatus>,
}

/// Returns the JSON value for a phase.
pub const fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Serving => "serving",
        Phase::Draining => "draining",
        Phase::HandingOver => "handing_over",
        Phase::Closed => "closed",
    }
}

impl StatusReport {
    /// Creates a report from a snapshot of the core and the name and data centre of the VM.
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
    /// Creates the status of an executor from its row in the core.
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
