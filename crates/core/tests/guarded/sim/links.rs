//! Links between entry VMs.

use super::*;
impl Sim {
    pub(super) fn reconnect(&mut self, a: usize, b: usize) {
        if a == b || !self.is_up(a) || !self.is_up(b) || self.links.contains_key(&(a, b)) {
            return;
        }
        let cut = self.cut.contains(&(a, b)) || self.cut.contains(&(b, a));
        let frozen = self.vms[a].frozen_since.is_some() || self.vms[b].frozen_since.is_some();
        if cut || frozen {
            self.push(self.now + 250 * MS, Ev::Reconnect(a, b));
            return;
        }
        self.next_link += 1;
        self.links.insert((a, b), self.next_link);
        self.links.insert((b, a), self.next_link);
        self.replace_link(a, self.vms[b].me);
        self.replace_link(b, self.vms[a].me);
    }

    /// Ends a connection and returns its number.
    pub(super) fn unlink(&mut self, a: usize, b: usize) -> Option<u64> {
        self.links.remove(&(a, b));
        self.links.remove(&(b, a))
    }

    /// A VM uses a new connection to a peer; one that it still knew has ended.
    fn replace_link(&mut self, vm: usize, peer: Incarnation) {
        if self.known_links.contains_key(&(vm, peer)) {
            self.event(self.now, vm, Event::PeerDown(peer));
        }
        self.event(self.now, vm, Event::PeerUp(peer));
    }

    /// A VM takes in that it is connected to a peer.
    pub(super) fn learn_link(&mut self, vm: usize, peer: Incarnation) {
        let row = (0..self.vms.len()).find(|&row| self.vms[row].me == peer);
        let link = row.and_then(|row| self.links.get(&(vm, row)));
        if let Some(&link) = link {
            self.known_links.insert((vm, peer), link);
        }
    }

    /// Cuts the way from `a` to `b`. `b` notices the silence; when it closes, so does `a`.
    pub fn cut(&mut self, a: usize, b: usize) {
        if a == b || !self.cut.insert((a, b)) || !self.links.contains_key(&(a, b)) {
            return;
        }
        let link = self.unlink(a, b).unwrap_or_default();
        let both = self.cut.contains(&(b, a));
        let (of_a, of_b) = (self.vms[a].me, self.vms[b].me);
        let (boot_a, boot_b) = (self.vms[a].boot, self.vms[b].boot);
        self.push(self.now + SILENCE, Ev::LinkDown(b, boot_b, of_a, link));
        let later = if both { SILENCE } else { SILENCE + HOP };
        self.push(self.now + later, Ev::LinkDown(a, boot_a, of_b, link));
    }

    /// Cuts a VM off a worker, both ways.
    pub fn cut_worker(&mut self, vm: usize, worker: usize) {
        self.worker_cut.insert((vm, worker));
    }

    /// Mends all links.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.worker_cut.clear();
        self.late_share = 0.0;
        self.lost_share = 0.0;
        for a in 0..self.vms.len() {
            for b in 0..a {
                self.push(self.now + SILENCE + 200 * MS, Ev::Reconnect(a, b));
            }
        }
    }
}
