//! The entry VMs that the store lists.

use crate::collections::FastMap;
use crate::guarded::model::vm::VmEntry;
use crate::model::ids::VmId;
use crate::model::time::Time;
use std::time::Duration;

/// Time within which a listed VM is expected to connect, counted from when a connection to it was
/// first wanted.
const CONNECT_GRACE: Duration = Duration::from_millis(900);

/// Whether a listed VM without a connection may be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// No connection has been wanted yet.
    Unknown,
    /// A connection has been wanted since this time, and the VM never connected.
    Connecting(Time),
    /// The VM stopped responding, or did not connect in time.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct ListedVm {
    entry: VmEntry,
    reachability: Reachability,
}

/// The other entry VMs that the store lists, with what is known of their reachability.
#[derive(Debug, Default)]
pub struct VmDirectory {
    rows: FastMap<VmId, ListedVm>,
    is_listed: bool,
}

impl VmDirectory {
    /// Returns whether the store has been read.
    pub const fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Replaces the list. A VM that has registered again may be reachable again.
    pub fn replace(&mut self, entries: impl Iterator<Item = VmEntry>) {
        let rows = entries.map(|entry| {
            let old = self.rows.get(&entry.vm);
            let old = old.filter(|old| old.entry.revision == entry.revision);
            let reachability = old.map_or(Reachability::Unknown, |old| old.reachability);
            let row = ListedVm {
                entry,
                reachability,
            };
            (entry.vm, row)
        });
        self.rows = rows.collect();
        self.is_listed = true;
    }

    /// Iterates over the entries.
    pub fn iter(&self) -> impl Iterator<Item = &VmEntry> {
        self.rows.values().map(|row| &row.entry)
    }

    /// Returns the entry of a VM.
    pub fn get(&self, vm: VmId) -> Option<&VmEntry> {
        self.rows.get(&vm).map(|row| &row.entry)
    }

    /// Records that a connection to a VM is wanted.
    pub fn mark_wanted(&mut self, vm: VmId, now: Time) {
        if let Some(row) = self.rows.get_mut(&vm)
            && row.reachability == Reachability::Unknown
        {
            row.reachability = Reachability::Connecting(now);
        }
    }

    /// Records that a VM is connected. If it is lost later, it is known not to be starting.
    pub fn mark_connected(&mut self, vm: VmId) {
        self.mark_unreachable(vm);
    }

    /// Records that a VM stopped responding.
    pub fn mark_unreachable(&mut self, vm: VmId) {
        if let Some(row) = self.rows.get_mut(&vm) {
            row.reachability = Reachability::Unreachable;
        }
    }

    /// Records that this VM closed the connection to a VM because neither of them needs it.
    pub fn mark_unused(&mut self, vm: VmId) {
        if let Some(row) = self.rows.get_mut(&vm) {
            row.reachability = Reachability::Unknown;
        }
    }

    /// Returns whether a VM without a connection is still expected to connect.
    pub fn is_expected(&self, vm: VmId, now: Time) -> bool {
        let row = self.rows.get(&vm);
        row.is_some_and(|row| match row.reachability {
            Reachability::Unknown => true,
            Reachability::Connecting(since) => now.since(since) < CONNECT_GRACE,
            Reachability::Unreachable => false,
        })
    }

    /// Forgets which VMs were unreachable, after a time in which this VM itself was not running.
    pub fn expect_all(&mut self) {
        for row in self.rows.values_mut() {
            row.reachability = Reachability::Unknown;
        }
    }
}
