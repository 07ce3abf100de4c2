//! Submissions with an idempotency key.
//!
//! The key is bound to a job id by a create-if-absent write in the store. A lost reply is resolved
//! by reading the binding back. Whichever process wrote the binding, the job can run only under the
//! id that it names.

use super::calls::{admission_refusal, refuse};
use super::{routing, store};
use crate::model::ids::CustomerId;
use crate::model::job_id::JobId;
use crate::model::outcome::{Refusal, RefusalReason};
use crate::model::request::{Caller, JobOp, JobRequest};
use crate::model::spec::JobSpec;
use crate::model::store::{StoreOp, StoreReply};
use crate::tables::store_op_table::{KeyedSubmission, PendingOp, StoreOpPurpose};
use crate::world::{Cx, World};
use std::sync::Arc;
use std::time::Duration;

/// `retry_after` of a submission whose key could not be bound.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A submission with an idempotency key, as the caller made it.
#[derive(Debug)]
pub struct KeyedCall {
    pub customer: CustomerId,
    pub key: Arc<str>,
    pub spec: JobSpec,
    pub wait: Duration,
}

/// Starts to bind the key to a new job id.
///
/// A process that takes no work refuses with an unknown result, because an earlier copy of the
/// submission may have run elsewhere.
pub fn submit(world: &mut World, cx: &mut Cx<'_>, caller: Caller, call: KeyedCall) {
    if let Some(reason) = admission_refusal(world) {
        refuse(
            world,
            cx,
            caller,
            Refusal::unknown(reason).with_retry_after(STORE_RETRY_AFTER),
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
    store::submit(world, cx, StoreOpPurpose::BindKey(keyed), req);
}

/// Handles the store's reply to the binding.
pub fn handle_bind_reply(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    keyed: KeyedSubmission,
    reply: &StoreReply,
) {
    match reply {
        StoreReply::Written => submit_under_id(world, cx, &keyed, keyed.id),
        StoreReply::Conflict => {
            store::continue_with(world, cx, row, StoreOpPurpose::ReadKey(keyed));
        }
        StoreReply::Lost | StoreReply::Configuration(_) | StoreReply::Key(_) => {
            store::retry_later(world, cx, row, StoreOpPurpose::ReadKey(keyed));
        }
    }
}

/// Handles the binding that was read from the store. An unbound key is bound again with the same
/// id, so an earlier write that takes effect late does no harm.
pub fn handle_read_reply(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    keyed: KeyedSubmission,
    reply: &StoreReply,
) {
    match reply {
        StoreReply::Key(Some(id)) => submit_under_id(world, cx, &keyed, *id),
        StoreReply::Key(None) => {
            store::continue_with(world, cx, row, StoreOpPurpose::BindKey(keyed));
        }
        StoreReply::Lost
        | StoreReply::Written
        | StoreReply::Conflict
        | StoreReply::Configuration(_) => {
            store::retry_later(world, cx, row, StoreOpPurpose::ReadKey(keyed));
        }
    }
}

fn submit_under_id(world: &mut World, cx: &mut Cx<'_>, keyed: &KeyedSubmission, id: JobId) {
    let op = JobOp::Submit(keyed.spec.clone());
    let req = JobRequest {
        id,
        customer: keyed.customer,
        wait: keyed.wait,
        op,
    };
    routing::route(world, cx, keyed.caller, req);
}

/// Refuses a submission whose binding the store did not complete in time.
pub fn handle_store_timeout(world: &mut World, cx: &mut Cx<'_>, keyed: &KeyedSubmission) {
    let refusal = Refusal::unknown(RefusalReason::StoreUnavailable);
    refuse(
        world,
        cx,
        keyed.caller,
        refusal.with_retry_after(STORE_RETRY_AFTER),
    );
}
