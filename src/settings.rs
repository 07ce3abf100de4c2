//! Settings of the daemon, read from a YAML file.
//!
//! The whole file is validated before the daemon starts. Unknown fields are errors. An error names
//! the file, and the line and the field where there are any.

use crate::error::{Error, ErrorKind};
use crate::http::IngressLimits;
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
/// Number of bodies of the largest size for which callers have room, unless the machine is too small.
const BODIES_AT_ONCE: usize = 16;
/// Number of bodies of the largest size for which callers have room on the smallest machine.
const MIN_BODIES_AT_ONCE: usize = 2;
/// Largest default of [`Limits::ingress_bytes`].
const MAX_DEFAULT_INGRESS_BYTES: usize = 512 * 1024 * 1024;
/// Largest default of [`Limits::connections`].
const MAX_DEFAULT_CONNECTIONS: usize = 16 * 1024;
/// The default of [`Limits::job_bytes`] is the memory of the machine divided by this.
const MEMORY_PER_JOBS: usize = 8;
/// Largest default of [`Limits::job_bytes`].
const MAX_DEFAULT_JOB_BYTES: usize = 512 * 1024 * 1024;
/// Callers may hold at most the memory of the machine divided by this.
const MEMORY_PER_INGRESS: usize = 2;
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

/// Limits on requests. All values but `wait_ms` must be at least 1, and `body_bytes` at least 1024.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Limit on the body of a request, in bytes; 4194304 by default.
    pub body_bytes: usize,
    /// Limit on the bytes that the connections of all callers hold, at least 1048576 and at most half
    /// of the memory; by default a quarter of it, and at most 536870912. Raised to 16 times
    /// `body_bytes` as far as a quarter of the memory allows, and to twice `body_bytes` in any case.
    pub ingress_bytes: Option<usize>,
    /// Limit on the open connections of callers, at least 16 and at most the number of descriptors.
    /// By default half of the descriptors, and at most 16384 or as many as have receive buffers in a
    /// third of the memory.
    pub connections: Option<usize>,
    /// Limit on the bytes of all jobs that this VM has accepted and not ended, at least 1048576; an
    /// eighth of the memory by default, and at most 536870912. Raised to twice `body_bytes`. Beyond it
    /// jobs are refused as `overloaded`.
    pub job_bytes: Option<usize>,
    /// Limit on the tasks of a job; 1500 by default.
    pub tasks_per_job: usize,
    /// Limit on the ids that one request may ask for; 1000 by default.
    pub ids_per_batch: u32,
    /// Limit on the pending requests at this VM, beyond which callers' requests are refused; 10000
    /// by default.
    pub waiting_callers: usize,
    /// Limit on the requests that wait for one job; 64 by default.
    pub waiters_per_job: usize,
    /// Limit on the wait of a request, in milliseconds; 60000 by default. Longer waits are
    /// shortened to it. A request to `/v1/requests` that gives no wait waits for this time.
    pub wait_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            ingress_bytes: None,
            connections: None,
            job_bytes: None,
            tasks_per_job: 1_500,
            ids_per_batch: 1_000,
            waiting_callers: 10_000,
            waiters_per_job: 64,
            wait_ms: 60_000,
        }
    }
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

impl Limits {
    /// Returns the limits on what callers may hold on a machine.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Settings`] that names the field if the machine is too
    /// small for the limits.
    pub fn ingress(&self, machine: &Machine) -> Result<IngressLimits, Error> {
        let default = IngressLimits::for_machine(machine);
        let limits = IngressLimits {
            bytes: self.ingress_bytes_on(machine),
            connections: self
                .connections
                .unwrap_or_else(|| default.connections.min(MAX_DEFAULT_CONNECTIONS)),
            ..default
        };
        self.check_bytes(limits.bytes, machine)?;
        check_connections(limits.connections, machine)?;
        Ok(limits)
    }

    fn ingress_bytes_on(&self, machine: &Machine) -> usize {
        let part = machine
            .memory_bytes()
            .map_or(usize::MAX, |bytes| bytes / IngressLimits::MEMORY_PER_BUDGET);
        let bytes = self
            .ingress_bytes
            .unwrap_or_else(|| part.min(MAX_DEFAULT_INGRESS_BYTES));
        let bodies = BODIES_AT_ONCE.saturating_mul(self.body_bytes).min(part);
        let min = MIN_BODIES_AT_ONCE.saturating_mul(self.body_bytes);
        bytes.max(bodies).max(min)
    }

    fn job_bytes_on(&self, machine: &Machine) -> usize {
        let bytes = self.job_bytes.unwrap_or_else(|| {
            let memory = machine.memory_bytes().unwrap_or(usize::MAX);
            (memory / MEMORY_PER_JOBS).min(MAX_DEFAULT_JOB_BYTES)
        });
        bytes.max(MIN_BODIES_AT_ONCE.saturating_mul(self.body_bytes))
    }

    fn check_bytes(&self, bytes: usize, machine: &Machine) -> Result<(), Error> {
        let Some(memory) = machine.memory else {
            return Ok(());
        };
        if bytes <= memory.bytes / MEMORY_PER_INGRESS {
            return Ok(());
        }
        let field = match self.ingress_bytes {
            Some(set) if set == bytes => "ingress_bytes",
            _ => "body_bytes",
        };
        Err(settings_error(format!(
            "limits.{field}: callers could hold {bytes} bytes, more than half of the memory ({memory})"
        )))
    }

    fn check_waiting(&self) -> Result<(), Error> {
        require(
            self.waiting_callers >= 1,
            "limits.waiting_callers: must be at least 1",
        )?;
        require(
            self.waiters_per_job >= 1,
            "limits.waiters_per_job: must be at least 1",
        )
    }

    fn validate(&self) -> Result<(), Error> {
        require(
            self.body_bytes >= 1_024,
            "limits.body_bytes: must be at least 1024",
        )?;
        require(
            self.ingress_bytes.is_none_or(|bytes| bytes >= 1024 * 1024),
            "limits.ingress_bytes: must be at least 1048576",
        )?;
        require(
            self.job_bytes.is_none_or(|bytes| bytes >= 1024 * 1024),
            "limits.job_bytes: must be at least 1048576",
        )?;
        require(
            self.connections.is_none_or(|count| count >= 16),
            "limits.connections: must be at least 16",
        )?;
        require(
            self.tasks_per_job >= 1,
            "limits.tasks_per_job: must be at least 1",
        )?;
        require(
            self.ids_per_batch >= 1,
            "limits.ids_per_batch: must be at least 1",
        )?;
        self.check_waiting()
    }
}

fn check_connections(connections: usize, machine: &Machine) -> Result<(), Error> {
    match machine.descriptors {
        Some(descriptors) if connections > descriptors => Err(settings_error(format!(
            "limits.connections: {connections} are more than the {descriptors} descriptors that the \
             process may have open"
        ))),
        _ => Ok(()),
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
