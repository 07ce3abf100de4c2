//! Memory and descriptors of a process.

use std::path::PathBuf;
use std::time::Duration;

/// Interval between two readings of a process.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Number of equal readings in a row after which a process counts as settled.
const SETTLED_READS: u32 = 5;

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Highest resident memory so far, in KiB.
    pub peak_kib: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the usage of a running process.
    ///
    /// # Panics
    ///
    /// Panics if no process with this id runs.
    #[must_use]
    pub fn read(pid: u32) -> Self {
        let dir = PathBuf::from(format!("/proc/{pid}"));
        let status = std::fs::read_to_string(dir.join("status")).expect("a running process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = line.and_then(|line| line.split_whitespace().next());
        let descriptors = std::fs::read_dir(dir.join("fd")).expect("a running process");
        Self {
            peak_kib: peak.expect("a value").parse().expect("a number"),
            descriptors: descriptors.count(),
        }
    }

    /// Reads the usage once the process has read all that it is going to read.
    ///
    /// # Panics
    ///
    /// Panics if no process with this id runs.
    #[must_use]
    pub fn read_settled(pid: u32) -> Self {
        let mut last = Self::read(pid);
        let mut equal = 0;
        while equal < SETTLED_READS {
            std::thread::sleep(READ_INTERVAL);
            let usage = Self::read(pid);
            equal = if usage == last { equal + 1 } else { 0 };
            last = usage;
        }
        last
    }
}

/// Returns the memory that the kernel holds for all TCP sockets of the machine, in bytes.
///
/// # Panics
///
/// Panics if the kernel does not tell it.
#[must_use]
pub fn socket_memory_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/net/sockstat").expect("the kernel's counters");
    let line = text.lines().find(|line| line.starts_with("TCP:"));
    let pages = line.and_then(|line| line.split_whitespace().last());
    let pages: usize = pages.expect("a value").parse().expect("a number");
    pages * rustix::param::page_size()
}
