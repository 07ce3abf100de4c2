//! Tells other VMs of jobs that were found and cancelled, so that no copy of them starts.

use super::cancel_targets::{holders, relay_position, remote_relays};
use crate::guarded::model::cancel::{CancelMark, CancelScope};
use crate::guarded::model::ids::ClientJobId;
use crate::guarded::tables::peer::Peer;
use crate::guarded::world::World;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;

/// Maximum number of marks that a new peer is told of.
const MAX_REPORTED_MARKS: usize = 1_024;
/// Number of relays that pass a mark on, in case one is lost.
const PASSED_ON_BY: usize = 2;

/// Tells a peer that has just connected of the newest marks.
pub fn report_to(world: &mut World, now: Time, to: Incarnation) {
    let is_local = to.data_centre == world.me.data_centre;
    let scope = if is_local {
        CancelScope::Receiver
    } else {
        CancelScope::DataCentre
    };
    let newest = world.cancel_marks.newest_found().take(MAX_REPORTED_MARKS);
    let newest = newest.map(|(job, mark)| CancelMark {
        job,
        scope,
        age: now.since(mark.at),
    });
    let newest: Vec<CancelMark> = newest.collect();
    if !newest.is_empty() {
        let rows = world.cancel_outbox.marks.entry(to).or_default();
        rows.extend(newest);
    }
}

/// Tells the holders of all data centres of a job that was found and cancelled at this time.
pub fn tell_all_holders(world: &mut World, now: Time, job: ClientJobId) {
    if world.topology.is_relay {
        tell(world, now, None, job, now, CancelScope::System);
        return;
    }
    let peers: Vec<Incarnation> = holders(world, world.me.data_centre).collect();
    let mut relays = 0;
    for peer in peers {
        let is_relay = world.peers.get(&peer).is_some_and(Peer::is_relay);
        let scope = if is_relay && relays < PASSED_ON_BY {
            relays += 1;
            CancelScope::System
        } else {
            CancelScope::Receiver
        };
        push_mark(world, now, peer, job, now, scope);
    }
}

/// Passes a mark on to the holders that its scope covers.
pub fn tell(
    world: &mut World,
    now: Time,
    from: Option<Incarnation>,
    job: ClientJobId,
    at: Time,
    scope: CancelScope,
) {
    if scope == CancelScope::Receiver {
        return;
    }
    let locals: Vec<Incarnation> = holders(world, world.me.data_centre).collect();
    for peer in locals.into_iter().filter(|&peer| Some(peer) != from) {
        push_mark(world, now, peer, job, at, CancelScope::Receiver);
    }
    if scope != CancelScope::System {
        return;
    }
    let position = relay_position(world);
    for relays in remote_relays(world).into_values() {
        let count = relays.len();
        for (i, relay) in relays.into_iter().enumerate() {
            let passes_on = (i + count - position % count) % count < PASSED_ON_BY;
            let scope = if passes_on {
                CancelScope::DataCentre
            } else {
                CancelScope::Receiver
            };
            push_mark(world, now, relay, job, at, scope);
        }
    }
}

fn push_mark(
    world: &mut World,
    now: Time,
    to: Incarnation,
    job: ClientJobId,
    at: Time,
    scope: CancelScope,
) {
    let age = now.since(at);
    let rows = world.cancel_outbox.marks.entry(to).or_default();
    rows.push(CancelMark { job, scope, age });
}
