//! Links between entry VMs.

use super::*;
impl Sim {
    pub(super) fn reconnect(&mut self, a: usize, b: usize) {
        if a == b || !self.is_up(a) || !self.is_up(b) || self.links.contains(&(a, b)) {
            return;
        }
        let cut = self.cut.contains(&(a, b)) || self.cut.contains(&(b, a));
        let frozen = self.vms[a].frozen_since.is_some() || self.vms[b].frozen_since.is_some();
        if cut || frozen {
            self.push(self.now + 250 * MS, Ev::Reconnect(a, b));
            return;
        }
        self.links.insert((a, b));
        self.links.insert((b, a));
        let (of_a, of_b) = (self.vms[a].me, self.vms[b].me);
        self.event(self.now, a, Event::PeerUp(of_b));
        self.event(self.now, b, Event::PeerUp(of_a));
    }

    /// Cuts the way from `a` to `b`. `b` notices the silence; when it closes, so does `a`.
    pub fn cut(&mut self, a: usize, b: usize) {
        if a == b || !self.cut.insert((a, b)) || !self.links.contains(&(a, b)) {
            return;
        }
        self.links.remove(&(a, b));
        self.links.remove(&(b, a));
        let both = self.cut.contains(&(b, a));
        let (of_a, of_b) = (self.vms[a].me, self.vms[b].me);
        let (boot_a, boot_b) = (self.vms[a].boot, self.vms[b].boot);
        self.push(self.now + SILENCE, Ev::LinkDown(b, boot_b, of_a));
        let later = if both { SILENCE } else { SILENCE + HOP };
        self.push(self.now + later, Ev::LinkDown(a, boot_a, of_b));
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
