//! Stalls of VMs, alone and in series, and how a VM takes up what arrived during one.

use super::*;

/// Bounds of a time that is drawn, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub min_ms: u64,
    pub max_ms: u64,
}

impl Span {
    /// Returns the bounds of a time that is given.
    pub const fn exactly(ms: u64) -> Self {
        Self {
            min_ms: ms,
            max_ms: ms,
        }
    }

    const fn range(self) -> RangeInclusive<u64> {
        self.min_ms..=self.max_ms
    }
}

/// Stalls of a VM, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Series {
    /// Length of each stall.
    pub stall: Span,
    /// Time between the end of a stall and the next one.
    pub pause: Span,
    /// Time in which stalls begin.
    pub total_ms: u64,
    /// Whether the monotonic clock of the VM stops during the stalls.
    pub stops_clock: bool,
}

/// A series in progress.
#[derive(Clone, Copy, Debug)]
pub struct CurrentSeries {
    series: Series,
    vm: usize,
    /// Number of the series on its VM. A later one ends it.
    number: u64,
    until: u64,
}

/// How a VM takes up what arrived during a stall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUp {
    /// One event after the other, with a tick after each.
    OneByOne,
    /// All events before the first tick.
    BeforeTick,
    /// All events after the first tick.
    AfterTick,
    /// Some events before the first tick, the others after it.
    Partly,
}

impl CatchUp {
    /// All ways.
    pub const ALL: [Self; 4] = [
        Self::OneByOne,
        Self::BeforeTick,
        Self::AfterTick,
        Self::Partly,
    ];
}

impl Sim {
    /// Freezes a VM and stops its monotonic clock.
    pub fn suspend(&mut self, vm: usize, ms: u64) {
        self.freeze(vm, ms);
        self.vms[vm].is_suspended = true;
    }

    /// Freezes a VM while its monotonic clock runs on.
    pub fn freeze(&mut self, vm: usize, ms: u64) {
        if !self.is_up(vm) || self.vms[vm].frozen_since.is_some() {
            return;
        }
        self.vms[vm].frozen_since = Some(self.now);
        self.vms[vm].is_suspended = false;
        let boot = self.vms[vm].boot;
        self.push(self.now + ms * MS, SimEvent::Thaw(vm, boot));
        if ms * MS > LINK_IDLE_TIMEOUT {
            let me = self.vms[vm].me;
            for peer in 0..self.vms.len() {
                if let Some(&link) = self.links.get(&(vm, peer)) {
                    let boot = self.vms[peer].boot;
                    self.push(
                        self.now + LINK_IDLE_TIMEOUT,
                        SimEvent::LinkDown(peer, boot, me, link),
                    );
                }
            }
        }
    }

    /// Begins a series of stalls of a VM, which ends an earlier one. It goes on when the VM starts
    /// anew.
    pub fn stall_in_series(&mut self, vm: usize, series: Series) {
        self.vms[vm].series += 1;
        let current = CurrentSeries {
            series,
            vm,
            number: self.vms[vm].series,
            until: self.now + series.total_ms * MS,
        };
        self.push(self.now, SimEvent::Stall(current));
    }

    /// Begins the next stall of a series.
    pub(super) fn stall(&mut self, current: CurrentSeries) {
        let vm = current.vm;
        if self.vms[vm].series != current.number || self.now >= current.until {
            return;
        }
        let ms = self.rng.random_range(current.series.stall.range());
        let pause = self.rng.random_range(current.series.pause.range());
        // Another stall may be in progress.
        if self.vms[vm].frozen_since.is_none() {
            self.freeze(vm, ms);
            self.vms[vm].is_suspended = current.series.stops_clock;
        }
        self.push(self.now + (ms + pause) * MS, SimEvent::Stall(current));
    }

    /// Ends all series of stalls. The last stall of each goes on to its end.
    pub fn end_series(&mut self) {
        for row in &mut self.vms {
            row.series += 1;
        }
    }

    pub(super) fn thaw(&mut self, vm: usize, boot: u32) {
        if self.vms[vm].boot != boot {
            return;
        }
        let Some(since) = self.vms[vm].frozen_since.take() else {
            return;
        };
        let span = self.now - since;
        self.record_suspension(vm, span);
        let mut unread = Vec::new();
        if span > LINK_IDLE_TIMEOUT {
            for peer in 0..self.vms.len() {
                if self.remove_link(vm, peer).is_some() {
                    unread.push(Event::PeerDown(self.vms[peer].me));
                    self.push(self.now + 250 * MS, SimEvent::Reconnect(vm, peer));
                }
            }
        }
        unread.append(&mut self.vms[vm].backlog);
        self.catch_up(vm, unread);
    }

    /// Sets the dispatcher's clock back by a suspension that it doesn't count.
    fn record_suspension(&mut self, vm: usize, span: u64) {
        if self.vms[vm].is_suspended && !self.clocks_count_suspensions {
            self.vms[vm].suspended_total += span;
        }
    }

    /// Passes what arrived during a stall to the dispatcher.
    fn catch_up(&mut self, vm: usize, mut unread: Vec<Event>) {
        let drawn = self.catch_up.is_none();
        let way = self
            .catch_up
            .unwrap_or_else(|| CatchUp::ALL[self.rng.random_range(0..CatchUp::ALL.len())]);
        let read_first = match way {
            CatchUp::OneByOne => {
                self.catch_up_one_by_one(vm, unread);
                return;
            }
            CatchUp::BeforeTick => unread.len(),
            CatchUp::AfterTick => 0,
            CatchUp::Partly if drawn => self.rng.random_range(0..=unread.len()),
            CatchUp::Partly => unread.len() / 2,
        };
        let boot = self.vms[vm].boot;
        let read_last = unread.split_off(read_first);
        self.run_vm(vm, unread);
        if self.read_lag > 0 && way == CatchUp::AfterTick {
            for event in read_last {
                self.push_event(self.now + self.read_lag, vm, event);
            }
        } else if self.vms[vm].boot == boot {
            self.run_vm(vm, read_last);
        }
    }

    fn catch_up_one_by_one(&mut self, vm: usize, unread: Vec<Event>) {
        for event in unread {
            self.push_event(self.now, vm, event);
        }
        let boot = self.vms[vm].boot;
        self.vms[vm].next_tick_at = self.now;
        self.push(self.now, SimEvent::Tick(vm, boot));
    }
}
