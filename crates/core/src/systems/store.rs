//! Operations on the store: submission, retries and completion.

use super::{closing, configuration, keyed, usage};
use crate::action::Action;
use crate::model::ids::StoreOpId;
use crate::model::store::{StoreOp, StoreReply};
use crate::tables::store_op_table::{PendingOp, StoreTask};
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::sync::Arc;

/// Submits an operation with the policy's `store_deadline`.
pub fn submit(world: &mut World, cx: &mut Cx<'_>, task: StoreTask, req: StoreOp) {
    let deadline = cx.now + world.policy.store_deadline;
    let op = world.store_ops.insert(task, deadline);
    world.timers.subscribe(deadline, Timer::StoreDeadline(op));
    cx.emit(Action::Store { op, req });
}

/// Submits the next step of an operation under the deadline of the first step.
pub fn continue_with(world: &mut World, cx: &mut Cx<'_>, previous: &PendingOp, task: StoreTask) {
    let req = build_request(world, cx, &task);
    let op = world.store_ops.insert(task, previous.deadline);
    world
        .timers
        .subscribe(previous.deadline, Timer::StoreDeadline(op));
    cx.emit(Action::Store { op, req });
}

/// Submits the next step of an operation after `store_retry_delay`, under the deadline of the first
/// step.
pub fn retry_later(world: &mut World, cx: &Cx<'_>, previous: &PendingOp, task: StoreTask) {
    let op = world.store_ops.insert(task, previous.deadline);
    world
        .timers
        .subscribe(previous.deadline, Timer::StoreDeadline(op));
    let delay = world.policy.store_retry_delay;
    cx.schedule_after(world, delay, Timer::StoreRetry(op));
}

/// Submits an operation whose retry delay is over.
pub fn retry(world: &World, cx: &mut Cx<'_>, op: StoreOpId) {
    if let Some(row) = world.store_ops.get(op) {
        let req = build_request(world, cx, &row.task);
        cx.emit(Action::Store { op, req });
    }
}

fn build_request(world: &World, cx: &Cx<'_>, task: &StoreTask) -> StoreOp {
    match task {
        StoreTask::BindKey(keyed) => StoreOp::BindKey {
            customer: keyed.customer,
            key: Arc::clone(&keyed.key),
            id: keyed.id,
        },
        StoreTask::ReadKey(keyed) => StoreOp::ReadKey {
            customer: keyed.customer,
            key: Arc::clone(&keyed.key),
        },
        StoreTask::Swap(change) => StoreOp::SwapConfiguration {
            base: change.base,
            config: Arc::clone(&change.config),
        },
        StoreTask::ReadBack(_) => StoreOp::ReadConfiguration,
        StoreTask::Usage { closing } => StoreOp::WriteUsage(usage::report(world, cx.now, *closing)),
    }
}

/// Handles the store's reply to an operation.
pub fn handle_reply(world: &mut World, cx: &mut Cx<'_>, op: StoreOpId, reply: StoreReply) {
    let Some(row) = world.store_ops.take(op) else {
        return;
    };
    match &row.task {
        StoreTask::BindKey(keyed) => {
            let keyed = keyed.clone();
            keyed::handle_bind_reply(world, cx, &row, keyed, &reply);
        }
        StoreTask::ReadKey(keyed) => {
            let keyed = keyed.clone();
            keyed::handle_read_reply(world, cx, &row, keyed, &reply);
        }
        StoreTask::Swap(change) => {
            let change = change.clone();
            configuration::handle_swap_reply(world, cx, &row, change, &reply);
        }
        StoreTask::ReadBack(change) => {
            let change = change.clone();
            configuration::handle_read_back_reply(world, cx, &row, change, &reply);
        }
        StoreTask::Usage { closing: true } if reply != StoreReply::Written => {
            retry_later(world, cx, &row, row.task.clone());
        }
        StoreTask::Usage { closing } => {
            let written = reply == StoreReply::Written;
            closing::handle_usage_reply(world, *closing, written);
        }
    }
}

/// Gives up an operation whose deadline has passed.
pub fn handle_deadline(world: &mut World, cx: &mut Cx<'_>, op: StoreOpId) {
    let Some(row) = world.store_ops.take(op) else {
        return;
    };
    match row.task {
        StoreTask::BindKey(keyed) | StoreTask::ReadKey(keyed) => {
            keyed::handle_store_timeout(world, cx, &keyed);
        }
        StoreTask::Swap(change) | StoreTask::ReadBack(change) => {
            configuration::handle_store_timeout(cx, &change);
        }
        StoreTask::Usage { closing } => closing::handle_usage_reply(world, closing, false),
    }
}
