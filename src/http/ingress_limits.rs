//! Limits on what the clients of a server may hold.

use super::ingress_budget::CONNECTION_BYTES;
use crate::machine::{Machine, MemorySource};
use std::time::Duration;

/// Bytes of a parsed head of the largest number of headers.
const HEADER_MAP_BYTES: usize = 16 * 1024;
/// The receive buffers of open connections may take the memory divided by this, and those of connections
/// that wait to be accepted half as much. The rest is for the process.
const MEMORY_PER_KERNEL: usize = 3;
/// Size of a full receive buffer in the kernel, in bytes.
const KERNEL_BYTES: usize = 64 * 1024;
/// The budget in connections is the number of descriptors divided by this.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// Number of open connections for each that may wait to be accepted.
const CONNECTIONS_PER_BACKLOG: usize = 2;
/// Smallest limit on the connections that wait to be accepted: a few may always come at once.
const MIN_BACKLOG: usize = 16;
/// Largest limit on the connections that wait to be accepted.
const MAX_BACKLOG: usize = 512;
/// Number of connections of clients for each connection of a peer in its handshake.
const CONNECTIONS_PER_HANDSHAKE: usize = 16;

/// Limits on what the clients of a server may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IngressLimits {
    /// Limit on the bytes that all connections hold: buffers, requests being read and requests that
    /// have not been answered.
    pub bytes: usize,
    /// Limit on the number of open connections.
    pub connections: usize,
    /// Limit on the head of a request, and on the empty lines before it, in bytes; at least
    /// [`IngressLimits::MIN_HEAD_BYTES`].
    pub head_bytes: usize,
    /// Time limit for receiving a head that has begun.
    pub head_timeout: Duration,
    /// Time limit between two requests on a connection.
    pub idle_timeout: Duration,
}

/// Limits that the settings name. The others follow from the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedLimits {
    /// Whether they name [`IngressLimits::bytes`].
    pub bytes: bool,
    /// Whether they name [`IngressLimits::connections`].
    pub connections: bool,
}

impl Default for IngressLimits {
    /// Limits for a machine of which nothing is known.
    fn default() -> Self {
        Self {
            bytes: 256 * 1024 * 1024,
            connections: 16 * 1024,
            head_bytes: 64 * 1024,
            head_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

impl IngressLimits {
    /// Smallest value of `head_bytes`; the HTTP library reads this many bytes at a time.
    pub const MIN_HEAD_BYTES: usize = 8 * 1024;
    /// By default, `bytes` is the memory divided by this.
    pub const MEMORY_PER_BUDGET: usize = 4;

    /// Returns limits with which the clients, the kernel's buffers included, leave the machine room for
    /// everything else. Memory that the settings don't name may be shared with other processes, so no
    /// more than the default is taken of it.
    #[must_use]
    pub fn for_machine(machine: &Machine) -> Self {
        let default = Self::default();
        let bytes = machine.memory.map(|memory| {
            let bytes = memory.bytes / Self::MEMORY_PER_BUDGET;
            match memory.source {
                MemorySource::Settings => bytes,
                _ => bytes.min(default.bytes),
            }
        });
        let memory = machine.memory_bytes();
        let by_kernel = memory.map(|bytes| bytes / MEMORY_PER_KERNEL / KERNEL_BYTES);
        let by_descriptors = machine
            .descriptors
            .map(|count| count / DESCRIPTORS_PER_CONNECTION);
        let connections = [by_kernel, by_descriptors].into_iter().flatten().min();
        Self {
            bytes: bytes.unwrap_or(default.bytes),
            connections: connections.unwrap_or(default.connections),
            ..default
        }
    }

    /// Logs the limits, what they follow from, and which of them the settings name.
    pub fn log(&self, machine: &Machine, named: NamedLimits) {
        let source = |is_named| if is_named { "settings" } else { "machine" };
        tracing::info!(
            memory = machine.memory.map(tracing::field::display),
            descriptors = machine.descriptors,
            ingress_bytes = self.bytes,
            ingress_bytes_from = source(named.bytes),
            connections = self.connections,
            connections_from = source(named.connections),
            "limits on clients"
        );
    }

    /// Splits off a part of the bytes and the connections for another server of the process. Returns the
    /// rest and the part, which is one of `parts` equal ones.
    #[must_use]
    pub const fn split(self, parts: usize) -> (Self, Self) {
        let part = Self {
            bytes: self.bytes / parts,
            connections: self.connections / parts,
            ..self
        };
        let rest = Self {
            bytes: self.bytes - part.bytes,
            connections: self.connections - part.connections,
            ..self
        };
        (rest, part)
    }

    /// Returns the limit on the connections that wait to be accepted. While the process stalls, they have
    /// full receive buffers, too.
    #[must_use]
    pub fn backlog(&self) -> u32 {
        let backlog = self.connections / CONNECTIONS_PER_BACKLOG;
        backlog.clamp(MIN_BACKLOG, MAX_BACKLOG) as u32
    }

    /// Returns the limit on the connections of peers whose handshake is not complete. They come in
    /// addition to those of clients, and few are needed, as a handshake takes milliseconds.
    #[must_use]
    pub const fn handshakes(&self) -> usize {
        self.connections / CONNECTIONS_PER_HANDSHAKE
    }

    /// Returns the bytes that a connection holds once it has received a large head or body: a full
    /// buffer, one that the last head or the next part of a body refers to, and the parsed head.
    #[must_use]
    pub const fn large_connection_bytes(&self) -> usize {
        CONNECTION_BYTES + 2 * self.head_bytes + HEADER_MAP_BYTES
    }
}
