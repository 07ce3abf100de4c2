//! The platform's list of VMs that are live or leaving.

use super::ids::{DataCentreId, ExecutorId, VmId};
use std::sync::Arc;

/// State of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// The VM takes work.
    Live,
    /// The VM finishes its current work and takes no new work.
    Leaving,
}

/// An entry VM in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// Identifier of the VM.
    pub id: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address for connections from peers, as `ip:port`.
    pub peer_address: Arc<str>,
    /// State of the VM.
    pub state: VmState,
}

/// An executor in the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorVm {
    /// Identifier of the executor.
    pub id: ExecutorId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address for start requests, as `ip:port`.
    pub address: Arc<str>,
    /// Number of slots.
    pub slots: u16,
    /// Speed declared by the platform, in thousandths of the reference machine.
    pub speed_milli: u32,
    /// State of the VM.
    pub state: VmState,
}

/// A revision of the VM list. It lags behind the actual state of the VMs, and is used for routing
/// only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// Revision number; a larger one is newer.
    pub revision: u64,
    /// All entry VMs.
    pub entries: Vec<EntryVm>,
    /// All executors.
    pub executors: Vec<ExecutorVm>,
}
