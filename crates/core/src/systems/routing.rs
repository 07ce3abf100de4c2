//! Routing of requests about jobs that other incarnations issued.

use super::calls::{refuse, respond};
use super::jobs;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::JobId;
use crate::model::message::Message;
use crate::model::outcome::{FailureReason, Outcome, Ran, Refusal, RefusalReason};
use crate::model::request::{Caller, JobOp, JobRequest, Response};
use crate::status::Phase;
use crate::tables::archive::ArchiveLookup;
use crate::tables::forward_table::Forward;
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::time::Duration;

/// `retry_after` of a refusal because the issuer can't be reached or too many requests are
/// forwarded.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles a request locally or forwards it to a peer that can answer it.
pub fn route(world: &mut World, cx: &mut Cx<'_>, caller: Caller, req: JobRequest) {
    if req.id.issuer == world.me {
        jobs::handle(world, cx, caller, req);
        return;
    }
    if answer_from_archive(world, cx, caller, &req) {
        return;
    }
    if world.phase == Phase::HandingOver {
        // The response might arrive after this process has exited.
        refuse_unreachable(world, cx, caller);
        return;
    }
    if world.forwards.len() >= world.policy.max_forwards {
        let refusal = Refusal::unknown(RefusalReason::TooManyWaiting);
        refuse(
            world,
            cx,
            caller,
            refusal.with_retry_after(UNREACHABLE_RETRY_AFTER),
        );
        return;
    }
    if world.members.is_connected(req.id.issuer) {
        let issuer = req.id.issuer;
        forward(world, cx, caller, req, vec![issuer], Vec::new());
        return;
    }
    search_archives(world, cx, caller, req);
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

/// Queries the holders of the issuer's archive, or every connected peer if no holder is known.
fn search_archives(world: &mut World, cx: &mut Cx<'_>, caller: Caller, mut req: JobRequest) {
    let holders = world.archive.holders(req.id.issuer).unwrap_or_default();
    let reachable = holders
        .iter()
        .copied()
        .filter(|&peer| world.members.is_connected(peer));
    let mut peers: Vec<_> = reachable.collect();
    if peers.is_empty() {
        peers = world.members.connected();
    }
    if peers.is_empty() {
        respond_after_search(world, cx, caller, req.id, &[]);
        return;
    }
    req.op = JobOp::Fetch;
    req.wait = Duration::ZERO;
    forward(world, cx, caller, req, peers.clone(), peers);
}

fn forward(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    req: JobRequest,
    peers: Vec<Incarnation>,
    queried_peers: Vec<Incarnation>,
) {
    let timeout = req.wait + world.policy.forward_timeout_margin;
    let entry = Forward {
        caller,
        id: req.id,
        pending_peers: peers.clone(),
        queried_peers,
    };
    let number = world.forwards.insert(entry);
    world.counters.forwards += 1;
    cx.schedule_after(world, timeout, Timer::ForwardTimeout(number));
    for peer in peers {
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

/// Responds to a request that a peer forwarded. It is never forwarded a second time.
pub fn handle_forward(
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

/// Handles the response of a peer to a forwarded request.
pub fn handle_response(
    world: &mut World,
    cx: &mut Cx<'_>,
    from: Incarnation,
    number: u64,
    response: Response,
) {
    let Some(forward) = world.forwards.get_mut(number) else {
        return;
    };
    if !forward.pending_peers.contains(&from) {
        return;
    }
    forward.pending_peers.retain(|&peer| peer != from);
    let (is_search, outstanding) = (
        !forward.queried_peers.is_empty(),
        !forward.pending_peers.is_empty(),
    );
    if is_search && is_issuer_unreachable(&response) {
        if !outstanding {
            finish_search(world, cx, number);
        }
        return;
    }
    if let Some(forward) = world.forwards.remove(number) {
        respond(world, cx, forward.caller, response);
    }
}

fn is_issuer_unreachable(response: &Response) -> bool {
    let Response::Refused(refusal) = response else {
        return false;
    };
    refusal.reason == RefusalReason::IssuerUnreachable
}

fn finish_search(world: &mut World, cx: &mut Cx<'_>, number: u64) {
    if let Some(forward) = world.forwards.remove(number) {
        respond_after_search(
            world,
            cx,
            forward.caller,
            forward.id,
            &forward.queried_peers,
        );
    }
}

/// Responds to a request about a job whose issuer's archive was not found: the job is lost if the
/// issuer is gone for good.
fn respond_after_search(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    id: JobId,
    queried_peers: &[Incarnation],
) {
    if is_gone(world, cx, id.issuer, queried_peers) {
        let outcome = Outcome::failed(FailureReason::IssuerLost, Ran::MayHaveRun);
        respond(world, cx, caller, Response::Answer { id, outcome });
        return;
    }
    refuse_unreachable(world, cx, caller);
}

/// Returns whether an incarnation is gone for good and no process can answer for it.
///
/// An incarnation is gone if another one runs on its VM, or if its VM has been missing from the VM
/// list for `delisted_vm_timeout`. A process may still hold its archive unless every other entry VM
/// on the list was queried. A VM that connected after the search does not count as queried, since
/// it may be the holder.
fn is_gone(world: &World, cx: &Cx<'_>, issuer: Incarnation, queried_peers: &[Incarnation]) -> bool {
    let Some(list) = &world.vm_list else {
        return false;
    };
    let delisted = world
        .delisted
        .get(&issuer.vm)
        .is_some_and(|&since| cx.now.since(since) >= world.policy.delisted_vm_timeout);
    let superseded = issuer.vm == world.me.vm || world.members.is_superseded(issuer);
    let others = list.entries.iter().filter(|vm| vm.id != world.me.vm);
    let all_queried = others
        .into_iter()
        .all(|vm| queried_peers.iter().any(|peer| peer.vm == vm.id));
    (delisted || superseded) && all_queried
}

fn refuse_unreachable(world: &mut World, cx: &mut Cx<'_>, caller: Caller) {
    let refusal = Refusal::unknown(RefusalReason::IssuerUnreachable);
    refuse(
        world,
        cx,
        caller,
        refusal.with_retry_after(UNREACHABLE_RETRY_AFTER),
    );
}

/// Refuses a forwarded request that got no response in time.
pub fn handle_timeout(world: &mut World, cx: &mut Cx<'_>, number: u64) {
    if let Some(forward) = world.forwards.remove(number) {
        refuse_unreachable(world, cx, forward.caller);
    }
}

/// Refuses the requests that are outstanding at a peer whose connection is lost.
pub fn handle_peer_down(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    for number in world.forwards.pending_at(peer) {
        handle_timeout(world, cx, number);
    }
}
