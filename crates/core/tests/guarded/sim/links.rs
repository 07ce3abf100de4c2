//! Simulated connections between VMs, and network partitions.

use super::*;
impl Sim {
    pub(super) fn reconnect(&mut self, a: usize, b: usize) {
        let is_wanted = a != b && (self.wants(a, b) || self.wants(b, a));
        if !is_wanted || !self.is_up(a) || !self.is_up(b) || self.links.contains_key(&(a, b)) {
            return;
        }
        let cut = self.cut.contains(&(a, b)) || self.cut.contains(&(b, a));
        let frozen = self.vms[a].frozen_since.is_some() || self.vms[b].frozen_since.is_some();
        if cut || frozen || self.now < self.no_connections_until {
            let retry_at = if cut || frozen {
                self.now + 250 * MS
            } else {
                self.no_connections_until
            };
            self.push(retry_at, SimEvent::Reconnect(a, b));
            return;
        }
        self.next_link += 1;
        self.links.insert((a, b), self.next_link);
        self.links.insert((b, a), self.next_link);
        self.notify_link(a, self.vms[b].me);
        self.notify_link(b, self.vms[a].me);
    }

    fn wants(&self, vm: usize, peer: usize) -> bool {
        self.vms[vm].wanted.contains(&self.vms[peer].me.vm)
    }

    /// Sets the VMs that a VM connects to.
    pub(super) fn set_wanted(&mut self, vm: usize, vms: Vec<VmId>) {
        self.vms[vm].wanted = vms.into_iter().collect();
        for peer in 0..self.vms.len() {
            if self.wants(vm, peer) && !self.links.contains_key(&(vm, peer)) {
                let wait = self.rng.random_range(5..60) * MS;
                self.push(self.now + wait, SimEvent::Reconnect(vm, peer));
            }
        }
    }

    /// Closes a connection for a VM. The peer detects that unless messages to it are lost.
    pub(super) fn disconnect(&mut self, vm: usize, peer: Incarnation) {
        let Some(known) = self.known_links.get(&(vm, peer)).copied() else {
            return;
        };
        self.push_event(self.now, vm, Event::PeerDown(peer));
        let row = (0..self.vms.len()).find(|&row| self.vms[row].me == peer);
        let Some(row) = row.filter(|&row| self.links.get(&(vm, row)) == Some(&known)) else {
            return;
        };
        self.remove_link(vm, row);
        if !self.cut.contains(&(vm, row)) {
            let (me, boot) = (self.vms[vm].me, self.vms[row].boot);
            self.push(
                self.now + LINK_LATENCY,
                SimEvent::LinkDown(row, boot, me, known),
            );
        }
        self.push(self.now + REDIAL_DELAY, SimEvent::Reconnect(vm, row));
    }

    /// Connects again to a peer whose connection was lost.
    pub(super) fn redial_soon(&mut self, vm: usize, peer: Incarnation) {
        let row = (0..self.vms.len()).find(|&row| self.vms[row].me.vm == peer.vm);
        let Some(row) = row.filter(|&row| self.wants(vm, row)) else {
            return;
        };
        let boot = self.vms[vm].boot;
        self.push(self.now + 2 * LINK_LATENCY, SimEvent::Redial(vm, boot, row));
    }

    pub(super) fn redial(&mut self, vm: usize, boot: u32, peer: usize) {
        if self.vms[vm].boot != boot {
            return;
        }
        let is_cut = self.cut.contains(&(vm, peer)) || self.cut.contains(&(peer, vm));
        if self.is_up(peer) {
            self.reconnect(vm, peer);
        } else if !is_cut && !self.vms[peer].is_powerless {
            let refused = Event::VmRefused(self.vms[peer].me.vm);
            self.push_event(self.now + LINK_LATENCY, vm, refused);
        }
    }

    /// Resets all connections between VMs. New ones are established only after `ms` milliseconds.
    pub fn reset_links(&mut self, ms: u64) {
        self.no_connections_until = self.now + ms * MS;
        for (vm, peer) in self.links.keys().copied().collect::<Vec<_>>() {
            let link = self.links[&(vm, peer)];
            let (boot, other) = (self.vms[vm].boot, self.vms[peer].me);
            self.push(
                self.now + LINK_LATENCY,
                SimEvent::LinkDown(vm, boot, other, link),
            );
        }
        self.links.clear();
    }

    /// Returns the number of connections of a VM.
    pub fn link_count(&self, vm: usize) -> usize {
        self.links.keys().filter(|(from, _)| *from == vm).count()
    }

    /// Removes a connection and returns its number.
    pub(super) fn remove_link(&mut self, a: usize, b: usize) -> Option<u64> {
        self.links.remove(&(a, b));
        self.links.remove(&(b, a))
    }

    /// Notifies a VM of a new connection to a peer, and before that of the end of the former one if
    /// it had not been notified of that.
    fn notify_link(&mut self, vm: usize, peer: Incarnation) {
        if self.known_links.contains_key(&(vm, peer)) {
            self.push_event(self.now, vm, Event::PeerDown(peer));
        }
        self.push_event(self.now, vm, Event::PeerUp(peer));
    }

    /// Records that a VM was notified of its connection to a peer.
    pub(super) fn record_known_link(&mut self, vm: usize, peer: Incarnation) {
        let row = (0..self.vms.len()).find(|&row| self.vms[row].me == peer);
        let link = row.and_then(|row| self.links.get(&(vm, row)));
        if let Some(&link) = link {
            self.known_links.insert((vm, peer), link);
        }
    }

    /// Drops all messages from `a` to `b`.
    pub fn cut(&mut self, a: usize, b: usize) {
        if a != b {
            self.cut.insert((a, b));
            self.cut_at = self.now;
        }
    }

    /// Cuts all connections between two data centres, and those to each other's workers.
    pub fn cut_data_centres(&mut self, a: usize, b: usize) {
        let data_centres = self.shape.data_centres;
        let is_across = |x: usize, y: usize| {
            let (x, y) = (x % data_centres, y % data_centres);
            a != b && ((x, y) == (a, b) || (x, y) == (b, a))
        };
        for vm in 0..self.vms.len() {
            for peer in (0..self.vms.len()).filter(|&peer| is_across(vm, peer)) {
                self.cut(vm, peer);
            }
            for worker in (0..self.workers.len()).filter(|&worker| is_across(vm, worker)) {
                self.cut_worker(vm, worker);
            }
        }
    }

    /// Blocks all messages between a VM and a worker.
    pub fn cut_worker(&mut self, vm: usize, worker: usize) {
        self.worker_cut.insert((vm, worker));
    }

    /// Ends all partitions, request delays and losses of replies and stops, and reconnects the VMs.
    pub fn heal(&mut self) {
        if !self.cut.is_empty() {
            self.cut.clear();
            self.cut_at = self.now;
        }
        self.worker_cut.clear();
        self.delayed_request_ratio = 0.0;
        self.lost_reply_ratio = 0.0;
        self.lost_stop_ratio = 0.0;
        for a in 0..self.vms.len() {
            for b in 0..a {
                self.push(self.now + 600 * MS, SimEvent::Reconnect(a, b));
            }
        }
    }
}
