//! Submissions under an idempotency key.
//!
//! The key is bound to a job id by create-if-absent in the store. A lost reply is settled by
//! reading back. Whoever holds the binding, its id is the only one under which the job can run.

use super::calls::{closed_to_work, refuse};
use super::{routing, store};
use crate::model::ids::CustomerId;
use crate::model::job_id::JobId;
use crate::model::outcome::{Refusal, RefusalReason};
use crate::model::request::{Caller, JobRequest, JobVerb};
use crate::model::spec::JobSpec;
use crate::model::store::{StoreOp, StoreReply};
use crate::tables::store_op_table::{KeyedSubmission, PendingOp, StoreTask};
use crate::world::{Cx, World};
use std::sync::Arc;
use std::time::Duration;

/// Time after which a submission that the store did not settle may be repeated.
const RETRY_STORE: Duration = Duration::from_secs(2);

/// A keyed submission as the caller made it.
#[derive(Debug)]
pub struct KeyedCall {
    pub customer: CustomerId,
    pub key: Arc<str>,
    pub spec: JobSpec,
    pub wait: Duration,
}

/// Begins to bind the key to a fresh id.
///
/// A process that takes no work refuses as unknown: an earlier copy may have run elsewhere.
pub fn submit(world: &mut World, cx: &mut Cx<'_>, caller: Caller, call: KeyedCall) {
    if let Some(reason) = closed_to_work(world) {
        refuse(
            world,
            cx,
            caller,
            Refusal::unknown(reason).with_retry_after(RETRY_STORE),
        );
        return;
    }
    let KeyedCall {
        customer,
        key,
        spec,
        wait,
    } = call;
    let id = world.jobs.issue(customer);
    let req = StoreOp::BindKey {
        customer,
        key: Arc::clone(&key),
        id,
    };
    let keyed = KeyedSubmission {
        caller,
        customer,
        key,
        id,
        spec,
        wait,
    };
    store::submit(world, cx, StoreTask::BindKey(keyed), req);
}

/// Takes in the reply to the binding.
pub fn bind_replied(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    keyed: KeyedSubmission,
    reply: &StoreReply,
) {
    match reply {
        StoreReply::Written => submit_as(world, cx, &keyed, keyed.id),
        StoreReply::Conflict => {
            store::continue_with(world, cx, row, StoreTask::ReadKey(keyed));
        }
        StoreReply::Lost | StoreReply::Configuration(_) | StoreReply::Key(_) => {
            store::repeat_later(world, cx, row, StoreTask::ReadKey(keyed));
        }
    }
}

/// Takes in who holds the binding. An unbound key is bound again: with the same id, so an earlier
/// write that arrives late does no harm.
pub fn read_replied(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    keyed: KeyedSubmission,
    reply: &StoreReply,
) {
    match reply {
        StoreReply::Key(Some(id)) => submit_as(world, cx, &keyed, *id),
        StoreReply::Key(None) => {
            store::continue_with(world, cx, row, StoreTask::BindKey(keyed));
        }
        StoreReply::Lost
        | StoreReply::Written
        | StoreReply::Conflict
        | StoreReply::Configuration(_) => {
            store::repeat_later(world, cx, row, StoreTask::ReadKey(keyed));
        }
    }
}

fn submit_as(world: &mut World, cx: &mut Cx<'_>, keyed: &KeyedSubmission, id: JobId) {
    let verb = JobVerb::Submit(keyed.spec.clone());
    let req = JobRequest {
        id,
        customer: keyed.customer,
        wait: keyed.wait,
        verb,
    };
    routing::route(world, cx, keyed.caller, req);
}

/// Tells the caller that the store did not settle the binding.
pub fn given_up(world: &mut World, cx: &mut Cx<'_>, keyed: &KeyedSubmission) {
    let refusal = Refusal::unknown(RefusalReason::StoreUnavailable);
    refuse(
        world,
        cx,
        keyed.caller,
        refusal.with_retry_after(RETRY_STORE),
    );
}
