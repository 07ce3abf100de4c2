//! What the machine of this process has: memory and descriptors.
//!
//! Limits that the settings don't name are derived from it.

mod memory_limit;

pub use memory_limit::{MemoryLimit, MemorySource};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::path::Path;

/// Resources that this process may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    /// Memory; `None` if it is not known.
    pub memory: Option<MemoryLimit>,
    /// Number of descriptors that may be open at the same time; `None` if it is not limited.
    pub descriptors: Option<usize>,
}

impl Machine {
    /// Reads what the system grants this process.
    #[must_use]
    pub fn detect() -> Self {
        let descriptors = getrlimit(Resource::Nofile).current;
        Self {
            memory: MemoryLimit::detect(Path::new("/")),
            descriptors: descriptors.and_then(|count| usize::try_from(count).ok()),
        }
    }

    /// Returns the memory in bytes if it is known.
    #[must_use]
    pub fn memory_bytes(&self) -> Option<usize> {
        self.memory.map(|memory| memory.bytes)
    }
}

/// Raises the limit on open descriptors to the highest that the system grants this process.
pub fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        ..limit
    };
    if let Err(e) = setrlimit(Resource::Nofile, raised) {
        tracing::warn!(error = %e, "the limit on descriptors can't be raised");
    }
}
