//! The part of this VM in its data centre, and the connections that it needs.

use crate::collections::FastMap;
use crate::model::ids::VmId;
use crate::model::time::Time;

/// The part of this VM in its data centre, and the connections that it needs. Recomputed when the
/// membership changes; it may differ between VMs for a short time.
#[derive(Debug, Default)]
pub struct Topology {
    /// The relays of this data centre in rank order.
    pub relays: Vec<VmId>,
    /// The relays, and the VMs that replace them next, in rank order.
    pub followers: Vec<VmId>,
    /// Whether this VM is a relay or holds a cell.
    pub is_relay: bool,
    /// Whether this VM follows the registry of the workers.
    pub follows_workers: bool,
    /// VMs to connect to, in ascending order.
    pub wanted: Vec<VmId>,
    /// VMs in other data centres that jobs are to be placed on, and the time of the last such job.
    pub requested: FastMap<VmId, Time>,
    /// Whether something that the topology depends on has changed.
    pub is_outdated: bool,
    /// Time of the next periodic update.
    pub next_update_at: Time,
}

impl Topology {
    /// Returns whether this VM needs the connection to a VM.
    pub fn wants(&self, vm: VmId) -> bool {
        self.wanted.binary_search(&vm).is_ok()
    }

    /// Requests a connection to a VM in another data centre.
    pub fn request(&mut self, vm: VmId, now: Time) {
        if self.requested.insert(vm, now).is_none() {
            self.is_outdated = true;
        }
    }
}
