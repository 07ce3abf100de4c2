//! Simulated connections between VMs, and network partitions.

use super::*;
impl Sim {
    pub(super) fn reconnect(&mut self, a: usize, b: usize) {
        if a == b || !self.is_up(a) || !self.is_up(b) || self.links.contains_key(&(a, b)) {
            return;
        }
        let cut = self.cut.contains(&(a, b)) || self.cut.contains(&(b, a));
        let frozen = self.vms[a].frozen_since.is_some() || self.vms[b].frozen_since.is_some();
        if cut || frozen {
            self.push(self.now + 250 * MS, SimEvent::Reconnect(a, b));
            return;
        }
        self.next_link += 1;
        self.links.insert((a, b), self.next_link);
        self.links.insert((b, a), self.next_link);
        self.notify_link(a, self.vms[b].me);
        self.notify_link(b, self.vms[a].me);
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

    /// Drops all messages from `a` to `b`. `b` closes the connection after `PEER_SILENCE`, and
    /// `a` detects that. If both directions are cut, `a` closes it after the same time.
    pub fn cut(&mut self, a: usize, b: usize) {
        if a == b || !self.cut.insert((a, b)) || !self.links.contains_key(&(a, b)) {
            return;
        }
        let link = self.remove_link(a, b).unwrap_or_default();
        let both = self.cut.contains(&(b, a));
        let (me_a, me_b) = (self.vms[a].me, self.vms[b].me);
        let (boot_a, boot_b) = (self.vms[a].boot, self.vms[b].boot);
        self.push(
            self.now + PEER_SILENCE,
            SimEvent::LinkDown(b, boot_b, me_a, link),
        );
        let later = if both {
            PEER_SILENCE
        } else {
            PEER_SILENCE + LINK_LATENCY
        };
        self.push(self.now + later, SimEvent::LinkDown(a, boot_a, me_b, link));
    }

    /// Blocks all messages between a VM and a worker.
    pub fn cut_worker(&mut self, vm: usize, worker: usize) {
        self.worker_cut.insert((vm, worker));
    }

    /// Ends all partitions, request delays and losses of replies, and reconnects the VMs.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.worker_cut.clear();
        self.delayed_request_ratio = 0.0;
        self.lost_reply_ratio = 0.0;
        for a in 0..self.vms.len() {
            for b in 0..a {
                self.push(
                    self.now + PEER_SILENCE + 200 * MS,
                    SimEvent::Reconnect(a, b),
                );
            }
        }
    }
}
