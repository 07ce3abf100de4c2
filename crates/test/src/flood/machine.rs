//! Resource limits of a daemon's process, in place of a small machine.

use std::ffi::OsStr;
use std::process::Command;

/// Bytes of a kibibyte, the unit of the shell's limits.
const KIB: u64 = 1024;

/// Resources of a machine. A process that asks for more memory fails to allocate it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Bytes of data that the process may have.
    pub memory_bytes: u64,
    /// Number of descriptors that the process may have open.
    pub descriptors: u64,
}

impl Machine {
    /// The smallest VM of the users' deployments.
    pub const SMALLEST: Self = Self {
        memory_bytes: 120_000_000,
        descriptors: 3_075,
    };

    /// Returns a command that runs a program within these limits.
    #[must_use]
    pub fn command(&self, program: impl AsRef<OsStr>) -> Command {
        let mut command = Command::new("sh");
        let limits = format!(
            "ulimit -d {} && ulimit -n {} && exec \"$0\" \"$@\"",
            self.memory_bytes / KIB,
            self.descriptors
        );
        command.arg("-c").arg(limits).arg(program.as_ref());
        command
    }
}
