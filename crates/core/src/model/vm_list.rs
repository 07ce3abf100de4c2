//! The platform's list of live and leaving VMs.

use super::ids::{DataCentreId, ExecutorId, VmId};
use std::sync::Arc;

/// State of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmState {
    /// Takes work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// An entry VM in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryVm {
    /// The VM.
    pub id: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for peers, `ip:port`.
    pub peer_address: Arc<str>,
    /// State.
    pub state: VmState,
}

/// An executor in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutorVm {
    /// The executor.
    pub id: ExecutorId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for starts, `ip:port`.
    pub address: Arc<str>,
    /// Slots.
    pub slots: u16,
    /// Speed that the platform declares, in thousandths of the reference machine.
    pub speed_milli: u32,
    /// State.
    pub state: VmState,
}

/// The list at one revision. It lags behind reality and steers routing only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmList {
    /// Revision; a larger one is newer.
    pub revision: u64,
    /// Entry VMs.
    pub entries: Vec<EntryVm>,
    /// Executors.
    pub executors: Vec<ExecutorVm>,
}
