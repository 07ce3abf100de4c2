//! Peers that this process is connected to, and who owns the slots.

use crate::collections::FastMap;
use crate::model::ids::{DataCentreId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::message::Heartbeat;
use crate::model::time::Time;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Scale that turns a 53-bit integer into a fraction of 1.
const FRACTION_SCALE: f64 = 1.0 / 9_007_199_254_740_992.0;
/// Bits of a hash that a fraction does not use.
const FRACTION_SHIFT: u32 = 11;

/// A connected peer.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its latest heartbeat.
    pub heartbeat: Option<Heartbeat>,
    /// When something was last heard of it.
    pub heard: Time,
}

/// Connected peers, and the latest incarnation seen on each VM.
#[derive(Debug, Default)]
pub struct MemberTable {
    rows: FastMap<Incarnation, Member>,
    latest: FastMap<VmId, Incarnation>,
}

impl MemberTable {
    /// Adds a connected peer.
    pub fn insert(&mut self, peer: Incarnation, now: Time) {
        self.rows.insert(
            peer,
            Member {
                heartbeat: None,
                heard: now,
            },
        );
        self.latest.insert(peer.vm, peer);
    }

    /// Removes a peer whose connection is lost.
    pub fn remove(&mut self, peer: Incarnation) {
        self.rows.remove(&peer);
    }

    /// Notes that something was heard of a peer.
    pub fn note_heard(&mut self, peer: Incarnation, now: Time) {
        if let Some(row) = self.rows.get_mut(&peer) {
            row.heard = now;
        }
    }

    /// Stores a heartbeat.
    pub fn note_heartbeat(&mut self, peer: Incarnation, heartbeat: Heartbeat) {
        if let Some(row) = self.rows.get_mut(&peer) {
            row.heartbeat = Some(heartbeat);
        }
    }

    /// Tells whether a connection to `peer` stands.
    #[must_use]
    pub fn is_connected(&self, peer: Incarnation) -> bool {
        self.rows.contains_key(&peer)
    }

    /// Tells whether another incarnation is connected from the VM of `peer`, which is then gone.
    #[must_use]
    pub fn is_superseded(&self, peer: Incarnation) -> bool {
        let Some(latest) = self.latest.get(&peer.vm) else {
            return false;
        };
        *latest != peer && self.is_connected(*latest) && !self.is_connected(peer)
    }

    /// Returns the connected peers in a fixed order.
    #[must_use]
    pub fn connected(&self) -> Vec<Incarnation> {
        let mut peers: Vec<_> = self.rows.keys().copied().collect();
        peers.sort_unstable();
        peers
    }

    /// Returns a connected peer.
    #[must_use]
    pub fn get(&self, peer: Incarnation) -> Option<&Member> {
        self.rows.get(&peer)
    }

    /// Returns the peers heard of within `silence` that take work.
    pub fn live(&self, now: Time, silence: Duration) -> impl Iterator<Item = (Incarnation, u32)> {
        self.present(now, silence)
            .filter_map(|(peer, beat)| beat.serving.then_some((peer, beat.weight)))
    }

    /// Returns the peers heard of within `silence`, whether or not they take work.
    pub fn present(
        &self,
        now: Time,
        silence: Duration,
    ) -> impl Iterator<Item = (Incarnation, Heartbeat)> {
        self.rows.iter().filter_map(move |(&peer, row)| {
            let fresh = now.since(row.heard) < silence;
            row.heartbeat.filter(|_| fresh).map(|beat| (peer, beat))
        })
    }

    /// Tells whether a live peer is in `data_centre`.
    #[must_use]
    pub fn reaches(&self, data_centre: DataCentreId, now: Time, silence: Duration) -> bool {
        self.live(now, silence)
            .any(|(peer, _)| peer.data_centre == data_centre)
    }
}

/// Chooses the slot owner among `members` by weighted rendezvous hashing.
pub fn choose_owner(members: impl Iterator<Item = (Incarnation, u32)>) -> Option<Incarnation> {
    members
        .map(|(member, weight)| (rendezvous_score(member, weight), member))
        .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
        .map(|(_, member)| member)
}

fn rendezvous_score(member: Incarnation, weight: u32) -> f64 {
    let mut hasher = SipHasher13::new();
    member.hash(&mut hasher);
    let bits = (hasher.finish() >> FRACTION_SHIFT) | 1;
    #[allow(clippy::cast_precision_loss, reason = "53 bits fit the mantissa")]
    let fraction = bits as f64 * FRACTION_SCALE;
    -f64::from(weight.max(1)) / fraction.ln()
}
