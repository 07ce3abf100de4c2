//! The identity of one run of the entry daemon.

use super::ids::{DataCentreId, VmId};
use std::fmt;

/// One run of the entry daemon on one entry VM.
///
/// The nonce is drawn afresh at each start, so two runs on one VM never share an identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// The VM.
    pub vm: VmId,
    /// Random number of this run.
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
