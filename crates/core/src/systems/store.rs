//! Operations on the store: submission, retries and completion.

use super::{configuration, idempotency, shutdown, usage};
use crate::action::Action;
use crate::model::ids::StoreOpId;
use crate::model::store::{StoreOp, StoreReply};
use crate::tables::store_op_table::{PendingOp, StoreOpPurpose};
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::sync::Arc;

/// Submits an operation with the policy's `store_timeout`.
pub fn submit(world: &mut World, cx: &mut Cx<'_>, purpose: StoreOpPurpose, req: StoreOp) {
    let deadline = cx.now + world.policy.store_timeout;
    let op = world.store_ops.insert(purpose, deadline);
    world.timers.schedule(deadline, Timer::StoreDeadline(op));
    cx.emit(Action::Store { op, req });
}

/// Submits the next step of an operation under the deadline of the first step.
pub fn continue_with(
    world: &mut World,
    cx: &mut Cx<'_>,
    previous: &PendingOp,
    purpose: StoreOpPurpose,
) {
    let req = build_request(world, cx, &purpose);
    let op = world.store_ops.insert(purpose, previous.deadline);
    world
        .timers
        .schedule(previous.deadline, Timer::StoreDeadline(op));
    cx.emit(Action::Store { op, req });
}

/// Submits the next step of an operation after `store_retry_delay`, under the deadline of the first
/// step.
pub fn retry_later(world: &mut World, cx: &Cx<'_>, previous: &PendingOp, purpose: StoreOpPurpose) {
    let op = world.store_ops.insert(purpose, previous.deadline);
    world
        .timers
        .schedule(previous.deadline, Timer::StoreDeadline(op));
    let delay = world.policy.store_retry_delay;
    cx.schedule_after(world, delay, Timer::StoreRetry(op));
}

/// Submits an operation whose retry delay is over.
pub fn retry(world: &World, cx: &mut Cx<'_>, op: StoreOpId) {
    if let Some(row) = world.store_ops.get(op) {
        let req = build_request(world, cx, &row.purpose);
        cx.emit(Action::Store { op, req });
    }
}

fn build_request(world: &World, cx: &Cx<'_>, purpose: &StoreOpPurpose) -> StoreOp {
    match purpose {
        StoreOpPurpose::BindKey(keyed) => StoreOp::BindKey {
            customer: keyed.customer,
            key: Arc::clone(&keyed.key),
            id: keyed.id,
        },
        StoreOpPurpose::ReadKey(keyed) => StoreOp::ReadKey {
            customer: keyed.customer,
            key: Arc::clone(&keyed.key),
        },
        StoreOpPurpose::ReplaceConfiguration(change) => StoreOp::CompareAndSwapConfiguration {
            base: change.base,
            config: Arc::clone(&change.config),
        },
        StoreOpPurpose::VerifyConfiguration(_) => StoreOp::ReadConfiguration,
        StoreOpPurpose::WriteUsage { is_last } => {
            StoreOp::WriteUsage(usage::report(world, cx.now, *is_last))
        }
    }
}

/// Handles the store's reply to an operation.
pub fn handle_reply(world: &mut World, cx: &mut Cx<'_>, op: StoreOpId, reply: StoreReply) {
    let Some(row) = world.store_ops.remove(op) else {
        return;
    };
    match &row.purpose {
        StoreOpPurpose::BindKey(keyed) => {
            let keyed = keyed.clone();
            idempotency::handle_bind_reply(world, cx, &row, keyed, &reply);
        }
        StoreOpPurpose::ReadKey(keyed) => {
            let keyed = keyed.clone();
            idempotency::handle_read_reply(world, cx, &row, keyed, &reply);
        }
        StoreOpPurpose::ReplaceConfiguration(change) => {
            let change = change.clone();
            configuration::handle_replace_reply(world, cx, &row, change, &reply);
        }
        StoreOpPurpose::VerifyConfiguration(change) => {
            let change = change.clone();
            configuration::handle_verify_reply(world, cx, &row, change, &reply);
        }
        StoreOpPurpose::WriteUsage { is_last: true } if reply != StoreReply::Written => {
            retry_later(world, cx, &row, row.purpose.clone());
        }
        StoreOpPurpose::WriteUsage { is_last } => {
            let written = reply == StoreReply::Written;
            shutdown::handle_usage_reply(world, *is_last, written);
        }
    }
}

/// Fails an operation whose deadline has passed.
pub fn handle_deadline(world: &mut World, cx: &mut Cx<'_>, op: StoreOpId) {
    let Some(row) = world.store_ops.remove(op) else {
        return;
    };
    match row.purpose {
        StoreOpPurpose::BindKey(keyed) | StoreOpPurpose::ReadKey(keyed) => {
            idempotency::handle_store_timeout(world, cx, &keyed);
        }
        StoreOpPurpose::ReplaceConfiguration(change)
        | StoreOpPurpose::VerifyConfiguration(change) => {
            configuration::handle_store_timeout(cx, &change);
        }
        StoreOpPurpose::WriteUsage { is_last } => {
            shutdown::handle_usage_reply(world, is_last, false)
        }
    }
}
