//! Limits on the requests of callers.

use super::{require, settings_error};
use crate::error::Error;
use crate::http::{IngressLimits, NamedLimits};
use crate::machine::Machine;
use serde::Deserialize;
use std::ops::RangeInclusive;

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
/// Stack size of the daemon's threads, in bytes.
pub const THREAD_STACK_BYTES: usize = 256 * 1024;
/// The stacks of the threads for blocking calls may take the memory of the machine divided by this. Each
/// uses a small part of its stack.
const MEMORY_PER_STACKS: usize = 4;
/// Valid values of [`Limits::blocking_threads`].
const BLOCKING_THREADS: RangeInclusive<usize> = 16..=2_048;
/// Callers may hold at most the memory of the machine divided by this.
const MEMORY_PER_INGRESS: usize = 2;

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
    /// Limit on the incoming connections of peers whose handshake is not complete, at least 1; a
    /// sixteenth of `connections` by default.
    pub handshakes: Option<usize>,
    /// Limit on the threads for blocking calls, from 16 to 2048; by default as many as have their stacks
    /// in a quarter of the memory. Further calls wait.
    pub blocking_threads: Option<usize>,
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
            handshakes: None,
            blocking_threads: None,
            job_bytes: None,
            tasks_per_job: 1_500,
            ids_per_batch: 1_000,
            waiting_callers: 10_000,
            waiters_per_job: 64,
            wait_ms: 60_000,
        }
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

    /// Returns which limits on what callers may hold are named.
    #[must_use]
    pub const fn named(&self) -> NamedLimits {
        NamedLimits {
            bytes: self.ingress_bytes.is_some(),
            connections: self.connections.is_some(),
        }
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

    /// Returns the limit on the threads for blocking calls on a machine.
    #[must_use]
    pub fn blocking_threads_on(&self, machine: &Machine) -> usize {
        let by_memory = machine
            .memory_bytes()
            .map(|bytes| bytes / MEMORY_PER_STACKS / THREAD_STACK_BYTES);
        let default = by_memory
            .unwrap_or(*BLOCKING_THREADS.end())
            .clamp(*BLOCKING_THREADS.start(), *BLOCKING_THREADS.end());
        self.blocking_threads.unwrap_or(default)
    }

    pub(super) fn job_bytes_on(&self, machine: &Machine) -> usize {
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

    pub(super) fn validate(&self) -> Result<(), Error> {
        require(
            self.body_bytes >= 1_024,
            "limits.body_bytes: must be at least 1024",
        )?;
        require(
            self.ingress_bytes.is_none_or(|bytes| bytes >= 1024 * 1024),
            "limits.ingress_bytes: must be at least 1048576",
        )?;
        require(
            self.handshakes.is_none_or(|count| count >= 1),
            "limits.handshakes: must be at least 1",
        )?;
        require(
            self.blocking_threads
                .is_none_or(|count| BLOCKING_THREADS.contains(&count)),
            "limits.blocking_threads: must be from 16 to 2048",
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
