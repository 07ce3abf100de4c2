//! Requests about jobs of other incarnations.

use super::calls::{refuse, respond};
use super::jobs;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::JobId;
use crate::model::message::Message;
use crate::model::outcome::{FailureReason, Outcome, Ran, Refusal, RefusalReason};
use crate::model::request::{Caller, JobRequest, JobVerb, Response};
use crate::status::Phase;
use crate::tables::archive::ArchiveLookup;
use crate::tables::forward_table::Forward;
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::time::Duration;

/// Time after which an issuer that can't be reached may be asked for again.
const RETRY_UNREACHABLE: Duration = Duration::from_secs(1);

/// Handles a request here or passes it to whoever can answer it.
pub fn route(world: &mut World, cx: &mut Cx<'_>, caller: Caller, req: JobRequest) {
    if req.id.issuer == world.me {
        jobs::handle(world, cx, caller, req);
        return;
    }
    if answer_from_archive(world, cx, caller, &req) {
        return;
    }
    if world.phase == Phase::HandingOver {
        // The response might come when this process is gone.
        unreachable(world, cx, caller);
        return;
    }
    if world.forwards.len() >= world.policy.max_forwards {
        let refusal = Refusal::unknown(RefusalReason::TooManyWaiting);
        refuse(
            world,
            cx,
            caller,
            refusal.with_retry_after(RETRY_UNREACHABLE),
        );
        return;
    }
    if world.members.is_connected(req.id.issuer) {
        let issuer = req.id.issuer;
        forward(world, cx, caller, req, vec![issuer], Vec::new());
        return;
    }
    search(world, cx, caller, req);
}

fn answer_from_archive(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    req: &JobRequest,
) -> bool {
    let id = req.id;
    let response = match world.archive.look_up(id, req.customer) {
        ArchiveLookup::NotHeld => return false,
        ArchiveLookup::Outcome(outcome) => Response::Answer { id, outcome },
        ArchiveLookup::Expired => Response::Refused(Refusal::unknown(RefusalReason::Expired)),
        ArchiveLookup::NoSuchJob => Response::Refused(Refusal::unknown(RefusalReason::NoSuchJob)),
    };
    respond(world, cx, caller, response);
    true
}

/// Asks the holders of the issuer's archive, or every peer if none is known.
fn search(world: &mut World, cx: &mut Cx<'_>, caller: Caller, mut req: JobRequest) {
    let holders = world.archive.holders(req.id.issuer).unwrap_or_default();
    let reachable = holders
        .iter()
        .copied()
        .filter(|&peer| world.members.is_connected(peer));
    let mut asked: Vec<_> = reachable.collect();
    if asked.is_empty() {
        asked = world.members.connected();
    }
    if asked.is_empty() {
        conclude_search(world, cx, caller, req.id, &[]);
        return;
    }
    req.verb = JobVerb::Fetch;
    req.wait = Duration::ZERO;
    forward(world, cx, caller, req, asked.clone(), asked);
}

fn forward(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    req: JobRequest,
    asked: Vec<Incarnation>,
    searched: Vec<Incarnation>,
) {
    let timeout = req.wait + world.policy.forward_grace;
    let entry = Forward {
        caller,
        id: req.id,
        asked: asked.clone(),
        searched,
    };
    let number = world.forwards.insert(entry);
    world.counters.forwards += 1;
    cx.subscribe(world, timeout, Timer::ForwardTimeout(number));
    for peer in asked {
        cx.send(
            world,
            peer,
            Message::Forward {
                number,
                req: req.clone(),
            },
        );
    }
}

/// Answers a request that a peer forwarded. It is never forwarded again.
pub fn forward_received(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    number: u64,
    req: JobRequest,
) {
    let caller = Caller::Peer(from, number);
    if req.id.issuer == world.me {
        jobs::handle(world, cx, caller, req);
        return;
    }
    if !answer_from_archive(world, cx, caller, &req) {
        refuse(
            world,
            cx,
            caller,
            Refusal::unknown(RefusalReason::IssuerUnreachable),
        );
    }
}

/// Takes in the response of a peer to a forwarded request.
pub fn response_received(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    number: u64,
    response: Response,
) {
    let Some(forward) = world.forwards.get_mut(number) else {
        return;
    };
    if !forward.asked.contains(&from) {
        return;
    }
    forward.asked.retain(|&peer| peer != from);
    let (search, outstanding) = (!forward.searched.is_empty(), !forward.asked.is_empty());
    if search && is_ignorant(&response) {
        if !outstanding {
            finish_search(world, cx, number);
        }
        return;
    }
    if let Some(forward) = world.forwards.take(number) {
        respond(world, cx, forward.caller, response);
    }
}

fn is_ignorant(response: &Response) -> bool {
    let Response::Refused(refusal) = response else {
        return false;
    };
    refusal.reason == RefusalReason::IssuerUnreachable
}

fn finish_search(world: &mut World, cx: &mut Cx<'_>, number: u64) {
    if let Some(forward) = world.forwards.take(number) {
        conclude_search(world, cx, forward.caller, forward.id, &forward.searched);
    }
}

/// Answers for an issuer whose archive nobody holds.
fn conclude_search(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    id: JobId,
    searched: &[Incarnation],
) {
    if is_gone(world, cx, id.issuer, searched) {
        let outcome = Outcome::failed(FailureReason::IssuerLost, Ran::MayHaveRun);
        respond(world, cx, caller, Response::Answer { id, outcome });
        return;
    }
    unreachable(world, cx, caller);
}

/// Tells whether an incarnation is gone for good and nobody answers for it.
///
/// It is gone if another one runs on its VM, or if its VM has long left the list. Someone may hold
/// its archive unless every other entry VM of the list was asked. That a VM connected meanwhile
/// does not count: it may be the one that holds the archive.
fn is_gone(world: &World, cx: &Cx<'_>, issuer: Incarnation, searched: &[Incarnation]) -> bool {
    let Some(list) = &world.vm_list else {
        return false;
    };
    let delisted = world
        .delisted
        .get(&issuer.vm)
        .is_some_and(|&since| cx.now.since(since) >= world.policy.delisted_after);
    let superseded = issuer.vm == world.me.vm || world.members.is_superseded(issuer);
    let others = list.entries.iter().filter(|vm| vm.id != world.me.vm);
    let all_asked = others
        .into_iter()
        .all(|vm| searched.iter().any(|peer| peer.vm == vm.id));
    (delisted || superseded) && all_asked
}

fn unreachable(world: &mut World, cx: &mut Cx<'_>, caller: Caller) {
    let refusal = Refusal::unknown(RefusalReason::IssuerUnreachable);
    refuse(
        world,
        cx,
        caller,
        refusal.with_retry_after(RETRY_UNREACHABLE),
    );
}

/// Gives up a forwarded request.
pub fn timed_out(world: &mut World, cx: &mut Cx<'_>, number: u64) {
    if let Some(forward) = world.forwards.take(number) {
        unreachable(world, cx, forward.caller);
    }
}

/// Settles the requests that were forwarded to a peer whose connection is lost.
pub fn peer_lost(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    for number in world.forwards.asked_of(peer) {
        timed_out(world, cx, number);
    }
}
