//! CPU time and memory of a process, from `/proc/PID/stat`.

use eyre::{Result, eyre};

/// Clock ticks per second in `/proc` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_SIZE: f64 = 4_096.0;
/// Bytes in a megabyte.
const MB: f64 = 1_048_576.0;
/// Index of the field `utime` among the fields after the program name.
const USER_FIELD: usize = 11;
/// Index of the field `stime` among the fields after the program name.
const SYSTEM_FIELD: usize = 12;
/// Index of the field `rss` among the fields after the program name.
const RSS_FIELD: usize = 21;

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcStat {
    /// User and system CPU time since the process started, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in units of 1,048,576 bytes.
    pub rss_mb: f64,
}

impl ProcStat {
    /// Reads `/proc/PID/stat` of the process `pid`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such process.
    pub fn read(pid: u32) -> Result<Self> {
        let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, fields) = text
            .rsplit_once(')')
            .ok_or_else(|| eyre!("no `)` in /proc/PID/stat"))?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let field = |i: usize| -> Result<f64> { Ok(fields[i].parse()?) };
        Ok(Self {
            cpu_s: (field(USER_FIELD)? + field(SYSTEM_FIELD)?) / TICKS_PER_S,
            rss_mb: field(RSS_FIELD)? * PAGE_SIZE / MB,
        })
    }
}
