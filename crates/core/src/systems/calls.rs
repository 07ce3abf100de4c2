//! Requests of callers that are connected to this process.

use super::{idempotency, jobs, routing};
use crate::action::Action;
use crate::model::ids::{CallId, CustomerId};
use crate::model::message::Message;
use crate::model::outcome::{Refusal, RefusalReason};
use crate::model::request::{Caller, JobOp, JobRequest, Request, Response};
use crate::model::spec::JobSpec;
use crate::status::Phase;
use crate::world::{Cx, World};
use std::time::Duration;

/// `retry_after` of a refusal; the caller may retry at another entry VM.
const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);

/// Handles a request of a caller.
pub fn handle(world: &mut World, cx: &mut Cx<'_>, call: CallId, req: Request) {
    let caller = Caller::Local(call);
    match req {
        Request::IssueIds { customer, count } => {
            let response = issue_ids(world, customer, count);
            respond(world, cx, caller, response);
        }
        Request::Job(req) => routing::route(world, cx, caller, req),
        Request::SubmitKeyed {
            customer,
            key,
            spec,
            wait,
        } => {
            idempotency::submit(
                world,
                cx,
                caller,
                idempotency::KeyedCall {
                    customer,
                    key,
                    spec,
                    wait,
                },
            );
        }
        Request::SubmitUnkeyed {
            customer,
            spec,
            wait,
        } => submit_unkeyed(world, cx, caller, customer, spec, wait),
    }
}

/// Sends a response to a local caller or to the peer that forwarded the request.
pub fn respond(world: &mut World, cx: &mut Cx<'_>, caller: Caller, response: Response) {
    match caller {
        Caller::Local(call) => cx.emit(Action::Respond { call, response }),
        Caller::Peer(peer, number) => {
            cx.send(world, peer, Message::Forwarded { number, response });
        }
    }
}

pub fn refuse(world: &mut World, cx: &mut Cx<'_>, caller: Caller, refusal: Refusal) {
    respond(world, cx, caller, Response::Refused(refusal));
}

/// Returns the reason for which this process takes no new work at all, or `None` if it does.
pub fn admission_refusal(world: &World) -> Option<RefusalReason> {
    if world.phase != Phase::Serving {
        return Some(RefusalReason::Stopping);
    }
    (!world.admits_work()).then_some(RefusalReason::NotServing)
}

fn issue_ids(world: &mut World, customer: CustomerId, count: u32) -> Response {
    if world.phase != Phase::Serving {
        let refusal = Refusal::not_run(RefusalReason::Stopping);
        return Response::Refused(refusal.with_retry_after(RETRY_ELSEWHERE));
    }
    if count == 0 || count > world.policy.max_id_batch {
        return Response::Refused(Refusal::not_run(RefusalReason::BatchTooLarge));
    }
    Response::Ids((0..count).map(|_| world.jobs.issue(customer)).collect())
}

fn submit_unkeyed(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    customer: CustomerId,
    spec: JobSpec,
    wait: Duration,
) {
    if let Some(reason) = admission_refusal(world) {
        let refusal = Refusal::not_run(reason).with_retry_after(RETRY_ELSEWHERE);
        refuse(world, cx, caller, refusal);
        return;
    }
    let id = world.jobs.issue(customer);
    let req = JobRequest {
        id,
        customer,
        wait,
        op: JobOp::Submit(spec),
    };
    jobs::handle(world, cx, caller, req);
}
