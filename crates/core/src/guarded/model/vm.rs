//! Registry entries of entry VMs.

use crate::model::ids::{DataCentreId, VmId};
use std::cmp::Reverse;

/// Registry entry of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Identifier of the VM.
    pub vm: VmId,
    /// Data centre that it is in.
    pub data_centre: DataCentreId,
    /// Size relative to other VMs.
    pub weight: u32,
    /// Number that changes whenever the VM registers again.
    pub revision: u64,
}

/// Rank of a VM among the VMs of its data centre; the lowest rank is first. Larger VMs come before
/// smaller ones, and VMs of equal size in an order that is the same on every VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VmRank {
    weight: Reverse<u32>,
    hash: u64,
    vm: VmId,
}

impl VmRank {
    /// Returns the rank of a VM of this size.
    #[must_use]
    pub fn new(vm: VmId, weight: u32) -> Self {
        Self {
            weight: Reverse(weight),
            hash: mix(vm.0),
            vm,
        }
    }

    /// Returns the ranked VM.
    #[must_use]
    pub const fn vm(&self) -> VmId {
        self.vm
    }

    /// Returns the size of the VM.
    #[must_use]
    pub const fn weight(&self) -> u32 {
        self.weight.0
    }
}

/// Mixes the bits of a number (the finalizer of splitmix64).
#[must_use]
pub const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
