//! Settings of the daemon, read from a YAML file.
//!
//! The whole file is validated before the daemon starts. Unknown fields are errors. An error names
//! the file, and the line and the field where there are any.

mod limits;

pub use limits::{Limits, THREAD_STACK_BYTES};

use crate::error::{Error, ErrorKind};
use crate::machine::Machine;
use cardamomslip_core::{Policy, PolicyBuilder};
use serde::Deserialize;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Minimum length of the peer secret, in bytes.
const MIN_SECRET_LEN: usize = 16;
/// Number of hexadecimal digits of a SHA-256 hash.
const SHA256_DIGITS: usize = 64;
/// Valid values of [`Settings::weight`].
const WEIGHT_RANGE: std::ops::RangeInclusive<u32> = 1..=1_000;

/// Settings of the daemon. Fields without a default are required.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry VM, as in the VM list. Must not be empty.
    pub name: String,
    /// Name of the VM's data centre, as in the VM list. Must not be empty.
    pub data_centre: String,
    /// Size of the VM relative to the other entry VMs, from 1 to 1000; 1 by default. Used in the
    /// election of the slot owner.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the platform's service, `ip:port`.
    pub platform: SocketAddr,
    /// Addresses of peers, `ip:port`, to connect to before the VM list is known; none by default.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Shared secret with which peers authenticate to each other, at least 16 bytes.
    pub peer_secret: Secret,
    /// Operators who may use the operators' API. At least one, with unique names.
    pub operators: Vec<Operator>,
    /// Limits on requests.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Format and level of the log.
    #[serde(default)]
    pub log: Log,
}

/// Addresses to listen on, `ip:port`. Port 0 selects a free port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers, operators, metrics and health checks.
    pub callers: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// A secret string. Its `Debug` output does not contain it, so that it is not logged.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the secret. For use on the wire only.
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

/// An operator who may use the operators' API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Unique name, which the audit trail records.
    pub name: String,
    /// SHA-256 of the bearer token, 64 hexadecimal digits in either case.
    pub token_sha256: String,
}

/// Intervals and timeouts, all in milliseconds and at least 1. Only `idle_connection_ms` may be 0.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of heartbeats between peers; 1000 by default.
    pub heartbeat_ms: u64,
    /// A peer from which nothing was received for this time counts as unreachable; 3500 by default.
    /// At least twice `heartbeat_ms`.
    pub peer_silence_ms: u64,
    /// Lower bound of the time after which a started task without an outcome counts as lost; 20000
    /// by default.
    pub attempt_timeout_ms: u64,
    /// Timeout of an operation on the store, retries included; 10000 by default.
    pub store_deadline_ms: u64,
    /// Interval at which usage is written to the store; 5000 by default.
    pub usage_interval_ms: u64,
    /// Interval at which the VM list is polled; 1000 by default.
    pub vm_list_poll_ms: u64,
    /// Time for which an id may be submitted after it was issued, and for which an outcome is kept
    /// after the job ended; 600000 by default.
    pub retention_ms: u64,
    /// Idle time after which a connection to an executor is not reused; 5000 by default.
    pub idle_connection_ms: u64,
    /// Timeout of a connection attempt to an executor or the platform; 1000 by default.
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

/// Format of log lines, `text` or `json`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Format and level of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of log lines; `text` by default.
    pub format: LogFormat,
    /// Filter directives, such as `info` or `cardamomslip=debug`; `info` by default.
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
    /// Reads and validates a file.
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

    /// Parses and validates YAML text.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Settings`] that names the line or the field.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|e| settings_error(e.to_string()))?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), Error> {
        require(!self.name.is_empty(), "name: must not be empty")?;
        require(
            !self.data_centre.is_empty(),
            "data_centre: must not be empty",
        )?;
        require(
            WEIGHT_RANGE.contains(&self.weight),
            "weight: must be from 1 to 1000",
        )?;
        let peer_secret_ok = self.peer_secret.reveal().len() >= MIN_SECRET_LEN;
        require(peer_secret_ok, "peer_secret: must have at least 16 bytes")?;
        self.validate_operators()?;
        self.limits.validate()?;
        self.timing.validate()
    }

    fn validate_operators(&self) -> Result<(), Error> {
        require(
            !self.operators.is_empty(),
            "operators: at least one operator is required",
        )?;
        let mut names = HashSet::new();
        for operator in &self.operators {
            require(
                names.insert(&operator.name),
                "operators: names must be unique",
            )?;
            let hash = &operator.token_sha256;
            let hash_ok =
                hash.len() == SHA256_DIGITS && hash.bytes().all(|b| b.is_ascii_hexdigit());
            require(
                hash_ok,
                "operators: token_sha256 must have 64 hexadecimal digits",
            )?;
        }
        Ok(())
    }

    /// Returns the policy of the core with these settings on a machine; all other parameters have
    /// their defaults.
    #[must_use]
    pub fn policy(&self, machine: &Machine) -> Policy {
        let timing = &self.timing;
        PolicyBuilder::new()
            .heartbeat_interval(Duration::from_millis(timing.heartbeat_ms))
            .peer_timeout(Duration::from_millis(timing.peer_silence_ms))
            .min_attempt_timeout(Duration::from_millis(timing.attempt_timeout_ms))
            .store_timeout(Duration::from_millis(timing.store_deadline_ms))
            .usage_interval(Duration::from_millis(timing.usage_interval_ms))
            .retention(Duration::from_millis(timing.retention_ms))
            .max_id_batch(self.limits.ids_per_batch)
            .max_open_bytes(self.limits.job_bytes_on(machine))
            .max_tasks(self.limits.tasks_per_job)
            .max_waiters(self.limits.waiters_per_job)
            .build()
    }
}

impl Timing {
    fn validate(&self) -> Result<(), Error> {
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
            "timing: values must be at least 1; only idle_connection_ms may be 0",
        )?;
        let peer_silence_ok = self.peer_silence_ms >= 2 * self.heartbeat_ms;
        require(
            peer_silence_ok,
            "timing.peer_silence_ms: must be at least twice heartbeat_ms",
        )
    }
}

fn require(condition: bool, message: &str) -> Result<(), Error> {
    if condition {
        Ok(())
    } else {
        Err(settings_error(message.to_owned()))
    }
}

fn settings_error(message: String) -> Error {
    Error::new(ErrorKind::Settings, message)
}
