//! Connected peers, and the choice of the slot owner among them.

use crate::collections::FastMap;
use crate::model::ids::{DataCentreId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::message::Heartbeat;
use crate::model::time::Time;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// Scale that maps a 53-bit integer to the range from 0 to 1 (2^-53).
const FRACTION_SCALE: f64 = 1.0 / 9_007_199_254_740_992.0;
/// Low bits of a 64-bit hash that do not fit into the 53-bit mantissa of a fraction.
const FRACTION_SHIFT: u32 = 11;

/// A connected peer.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Latest heartbeat, or `None` before the first one.
    pub heartbeat: Option<Heartbeat>,
    /// Time at which the last message from the peer arrived.
    pub last_message_at: Time,
}

/// Connected peers, and the latest incarnation that connected from each VM.
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
                last_message_at: now,
            },
        );
        self.latest.insert(peer.vm, peer);
    }

    /// Removes a peer whose connection was lost.
    pub fn remove(&mut self, peer: Incarnation) {
        self.rows.remove(&peer);
    }

    /// Records that a message from a peer arrived.
    pub fn record_contact(&mut self, peer: Incarnation, now: Time) {
        if let Some(row) = self.rows.get_mut(&peer) {
            row.last_message_at = now;
        }
    }

    /// Stores the latest heartbeat of a peer.
    pub fn record_heartbeat(&mut self, peer: Incarnation, heartbeat: Heartbeat) {
        if let Some(row) = self.rows.get_mut(&peer) {
            row.heartbeat = Some(heartbeat);
        }
    }

    /// Returns whether `peer` is connected.
    #[must_use]
    pub fn is_connected(&self, peer: Incarnation) -> bool {
        self.rows.contains_key(&peer)
    }

    /// Returns whether `peer` is disconnected and a later incarnation is connected from its VM. The
    /// process of `peer` then no longer exists.
    #[must_use]
    pub fn is_superseded(&self, peer: Incarnation) -> bool {
        let Some(latest) = self.latest.get(&peer.vm) else {
            return false;
        };
        *latest != peer && self.is_connected(*latest) && !self.is_connected(peer)
    }

    /// Returns the connected peers in the order of their incarnations.
    #[must_use]
    pub fn connected(&self) -> Vec<Incarnation> {
        let mut peers: Vec<_> = self.rows.keys().copied().collect();
        peers.sort_unstable();
        peers
    }

    /// Returns a peer if it is connected.
    #[must_use]
    pub fn get(&self, peer: Incarnation) -> Option<&Member> {
        self.rows.get(&peer)
    }

    /// Iterates over the peers, with their weights, that sent a message within `timeout` and take
    /// new work.
    pub fn serving(
        &self,
        now: Time,
        timeout: Duration,
    ) -> impl Iterator<Item = (Incarnation, u32)> {
        self.reachable(now, timeout)
            .filter_map(|(peer, heartbeat)| heartbeat.serving.then_some((peer, heartbeat.weight)))
    }

    /// Iterates over the peers, with their latest heartbeats, that sent a message within `timeout`,
    /// whether or not they take new work.
    pub fn reachable(
        &self,
        now: Time,
        timeout: Duration,
    ) -> impl Iterator<Item = (Incarnation, Heartbeat)> {
        self.rows.iter().filter_map(move |(&peer, row)| {
            let is_recent = now.since(row.last_message_at) < timeout;
            row.heartbeat
                .filter(|_| is_recent)
                .map(|heartbeat| (peer, heartbeat))
        })
    }

    /// Returns whether a peer that takes new work is in `data_centre`.
    #[must_use]
    pub fn has_serving_peer_in(
        &self,
        data_centre: DataCentreId,
        now: Time,
        timeout: Duration,
    ) -> bool {
        self.serving(now, timeout)
            .any(|(peer, _)| peer.data_centre == data_centre)
    }
}

/// Chooses the slot owner among `members` by weighted rendezvous hashing. All processes with the
/// same members choose the same owner. Returns `None` if there is no member.
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
