//! Processor time and memory of a process, as the kernel counts them.

use eyre::{Result, eyre};

/// Clock ticks a second in the kernel's accounts.
const TICKS_PER_S: f64 = 100.0;
/// Size of a page, in bytes.
const PAGE: f64 = 4_096.0;
/// Bytes in a megabyte.
const MB: f64 = 1_048_576.0;
/// Position of the user time behind the name of the program.
const USER_FIELD: usize = 11;
/// Position of the system time behind the name of the program.
const SYSTEM_FIELD: usize = 12;
/// Position of the resident pages behind the name of the program.
const RSS_FIELD: usize = 21;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcStat {
    /// Processor time so far, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in megabytes.
    pub rss_mb: f64,
}

impl ProcStat {
    /// Reads the figures of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is gone.
    pub fn read(pid: u32) -> Result<Self> {
        let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, fields) = text
            .rsplit_once(')')
            .ok_or_else(|| eyre!("unknown format"))?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let field = |i: usize| -> Result<f64> { Ok(fields[i].parse()?) };
        Ok(Self {
            cpu_s: (field(USER_FIELD)? + field(SYSTEM_FIELD)?) / TICKS_PER_S,
            rss_mb: field(RSS_FIELD)? * PAGE / MB,
        })
    }
}
