//! Jobs that a client cancelled, perhaps at a VM that does not know them.
//!
//! The entry of a job and its runner know it. A VM that doesn't know a cancelled job tells its peers in
//! the data centre, and two relays pass that on: relays are connected to all VMs of their data centre,
//! and clients call the VMs of one data centre.

use super::{entry, runner};
use crate::guarded::action::Action;
use crate::guarded::model::answer::Answer;
use crate::guarded::model::ids::ClientJobId;
use crate::guarded::model::message::Message;
use crate::guarded::world::{Cx, World};
use crate::model::ids::CallId;
use crate::model::incarnation::Incarnation;

/// Number of relays that pass a cancellation on, in case one is lost.
const PASSED_ON_BY: usize = 2;

/// Cancels a job for a client of this VM.
pub fn request(world: &mut World, cx: &mut Cx<'_>, call: CallId, id: ClientJobId) {
    let recent = world.recent.get(id);
    let known = cancel(world, cx, id) || recent == Some(Answer::Cancelled);
    tracing::info!(job = %id, known, ?recent, "a client cancelled the job");
    if !known && recent.is_none() {
        world.stats.cancels_passed_on += 1;
        let may_ask = !world.topology.is_relay;
        tell_peers(world, cx, None, id, if may_ask { PASSED_ON_BY } else { 0 });
    }
    cx.emit(Action::Acknowledge { call, known });
}

/// Handles a peer's message that a job was cancelled.
pub fn handle(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    id: ClientJobId,
    pass_on: bool,
) {
    let is_news = world.recent.get(id).is_none();
    if !cancel(world, cx, id) && is_news && pass_on {
        tell_peers(world, cx, Some(from), id, 0);
    }
}

/// Cancels a job if this VM is its entry or its runner: answers its clients and stops its runs.
/// Remembers the cancellation, since the job may be submitted again. Returns whether this VM knew
/// the job.
fn cancel(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) -> bool {
    let entry = world.entries.get(&id).map(|row| row.runner);
    let known = entry.is_some() || world.jobs.contains_key(&id);
    if let Some(Some(runner)) = entry
        && runner != world.me
    {
        cx.emit(Action::Send {
            to: runner,
            message: Message::Cancel {
                job: id,
                pass_on: false,
            },
        });
    }
    runner::end_job(world, cx, id, Answer::Cancelled);
    entry::answer_clients(world, cx, id, Answer::Cancelled);
    if world.recent.get(id).is_none() {
        world.recent.insert(cx.now, id, Answer::Cancelled);
    }
    known
}

/// Tells the peers of this data centre of a cancellation. The first `relays` relays among them pass
/// it on.
fn tell_peers(
    world: &World,
    cx: &mut Cx<'_>,
    from: Option<Incarnation>,
    id: ClientJobId,
    relays: usize,
) {
    let data_centre = world.me.data_centre;
    let peers = world.peers.iter().filter(|(peer, row)| {
        row.linked && peer.data_centre == data_centre && Some(**peer) != from
    });
    let mut asked = 0;
    for (&to, row) in peers {
        let pass_on = row.is_relay() && asked < relays;
        asked += usize::from(pass_on);
        cx.emit(Action::Send {
            to,
            message: Message::Cancel { job: id, pass_on },
        });
    }
}
