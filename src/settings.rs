//! Settings of the daemon, written in YAML.
//!
//! A file is checked as a whole before anything starts. Unknown fields are refused, and an error
//! names the file, the line and the field.

use crate::error::{Error, ErrorKind};
use cardamomslip_core::{Policy, PolicyBuilder};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Shortest shared secret of the peers, in bytes.
const MIN_SECRET: usize = 16;
/// Length of a SHA-256 hash in hexadecimal digits.
const SHA256_DIGITS: usize = 64;
/// Bounds of a VM's weight.
const WEIGHT_RANGE: std::ops::RangeInclusive<u32> = 1..=1_000;

/// Settings of the daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry VM, as in the VM list.
    pub name: String,
    /// Data centre of the entry VM.
    pub data_centre: String,
    /// Size of the VM relative to the others.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's service, `ip:port`.
    pub platform: SocketAddr,
    /// Peers to connect to before the VM list is known.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Secret that peers show each other.
    pub peer_secret: Secret,
    /// Operators.
    pub operators: Vec<Operator>,
    /// Limits.
    #[serde(default)]
    pub limits: Limits,
    /// Timing.
    #[serde(default)]
    pub timing: Timing,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen on; port 0 takes a free one.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers, operators, metrics and health.
    pub callers: SocketAddr,
    /// Peers.
    pub peers: SocketAddr,
}

/// A text that never appears in a log.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a text.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the text, for use on the wire only.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// An operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name, which the audit trail records.
    pub name: String,
    /// SHA-256 of the bearer token in hexadecimal digits.
    pub token_sha256: String,
}

/// Limits beyond which a request is refused.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Tasks of a job.
    pub tasks_per_job: usize,
    /// Ids of a batch.
    pub ids_per_batch: u32,
    /// Callers that wait at this VM.
    pub waiting_callers: usize,
    /// Callers that wait for one job.
    pub waiters_per_job: usize,
    /// Longest wait of a request, in milliseconds.
    pub wait_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            tasks_per_job: 1_500,
            ids_per_batch: 1_000,
            waiting_callers: 10_000,
            waiters_per_job: 64,
            wait_ms: 60_000,
        }
    }
}

/// Timing, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of heartbeats between peers.
    pub heartbeat_ms: u64,
    /// Silence after which a peer counts as unreachable.
    pub peer_silence_ms: u64,
    /// Least time after which a started task without an outcome counts as lost.
    pub attempt_timeout_ms: u64,
    /// Time within which the store has to settle an operation.
    pub store_deadline_ms: u64,
    /// Interval at which usage is written.
    pub usage_interval_ms: u64,
    /// Interval at which the VM list is polled.
    pub vm_list_poll_ms: u64,
    /// Time for which outcomes are kept.
    pub retention_ms: u64,
    /// Idle time after which a connection to an executor is not used again.
    pub idle_connection_ms: u64,
    /// Time within which an executor or the platform has to accept a connection.
    pub connect_timeout_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            peer_silence_ms: 3_500,
            attempt_timeout_ms: 20_000,
            store_deadline_ms: 10_000,
            usage_interval_ms: 5_000,
            vm_list_poll_ms: 1_000,
            retention_ms: 600_000,
            idle_connection_ms: 5_000,
            connect_timeout_ms: 1_000,
        }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of log lines.
    pub format: LogFormat,
    /// Filter directives, such as `info` or `cardamomslip=debug`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

const fn default_weight() -> u32 {
    1
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Settings`] that names the file, and the line and the
    /// field where there are any.
    pub fn load(file: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(file)
            .map_err(|e| settings_error(format!("{}: {e}", file.display())))?;
        Self::parse(&text).map_err(|e| settings_error(format!("{}: {e}", file.display())))
    }

    /// Parses and checks a text.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Settings`].
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|e| settings_error(e.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        require(!self.name.is_empty(), "name: must not be empty")?;
        require(
            !self.data_centre.is_empty(),
            "data_centre: must not be empty",
        )?;
        require(
            WEIGHT_RANGE.contains(&self.weight),
            "weight: must be from 1 to 1000",
        )?;
        let long_enough = self.peer_secret.reveal().len() >= MIN_SECRET;
        require(long_enough, "peer_secret: must have at least 16 bytes")?;
        self.check_operators()?;
        self.limits.check()?;
        self.timing.check()
    }

    fn check_operators(&self) -> Result<(), Error> {
        require(
            !self.operators.is_empty(),
            "operators: at least one is needed",
        )?;
        let mut names = HashSet::new();
        for operator in &self.operators {
            require(
                names.insert(&operator.name),
                "operators: two have the same name",
            )?;
            let hash = &operator.token_sha256;
            let valid = hash.len() == SHA256_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
            require(
                valid,
                "operators: token_sha256 must have 64 hexadecimal digits",
            )?;
        }
        Ok(())
    }

    /// Builds the policy of the core from these settings.
    #[must_use]
    pub fn policy(&self) -> Policy {
        let timing = &self.timing;
        PolicyBuilder::new()
            .heartbeat_interval(Duration::from_millis(timing.heartbeat_ms))
            .peer_silence(Duration::from_millis(timing.peer_silence_ms))
            .min_attempt_timeout(Duration::from_millis(timing.attempt_timeout_ms))
            .store_timeout(Duration::from_millis(timing.store_deadline_ms))
            .usage_interval(Duration::from_millis(timing.usage_interval_ms))
            .retention(Duration::from_millis(timing.retention_ms))
            .max_id_batch(self.limits.ids_per_batch)
            .max_tasks(self.limits.tasks_per_job)
            .max_waiters(self.limits.waiters_per_job)
            .build()
    }
}

impl Limits {
    fn check(&self) -> Result<(), Error> {
        require(
            self.body_bytes >= 1_024,
            "limits.body_bytes: must be at least 1024",
        )?;
        require(
            self.tasks_per_job >= 1,
            "limits.tasks_per_job: must be at least 1",
        )?;
        require(
            self.ids_per_batch >= 1,
            "limits.ids_per_batch: must be at least 1",
        )?;
        require(
            self.waiting_callers >= 1,
            "limits.waiting_callers: must be at least 1",
        )?;
        require(
            self.waiters_per_job >= 1,
            "limits.waiters_per_job: must be at least 1",
        )
    }
}

impl Timing {
    fn check(&self) -> Result<(), Error> {
        let positive = [
            self.heartbeat_ms,
            self.attempt_timeout_ms,
            self.store_deadline_ms,
            self.usage_interval_ms,
            self.vm_list_poll_ms,
            self.retention_ms,
            self.connect_timeout_ms,
        ];
        require(
            positive.iter().all(|&ms| ms > 0),
            "timing: every value must be positive",
        )?;
        let patient = self.peer_silence_ms >= 2 * self.heartbeat_ms;
        require(
            patient,
            "timing.peer_silence_ms: must be at least twice heartbeat_ms",
        )
    }
}

fn require(holds: bool, message: &str) -> Result<(), Error> {
    if holds {
        Ok(())
    } else {
        Err(settings_error(message.to_owned()))
    }
}

fn settings_error(message: String) -> Error {
    Error::new(ErrorKind::Settings, message)
}
