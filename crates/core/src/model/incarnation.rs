//! Identity of an entry daemon process.

use super::ids::{DataCentreId, VmId};
use std::fmt;

/// Identity of one process of the entry daemon on one entry VM.
///
/// The nonce is chosen at random at each start, so a restarted daemon has a new identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// VM that the process runs on.
    pub vm: VmId,
    /// Random number chosen at the start of the process.
    pub nonce: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:016x}-{:016x}-{:016x}",
            self.data_centre.0, self.vm.0, self.nonce
        )
    }
}
