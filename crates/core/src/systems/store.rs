//! Operations on the store: issue, repetition, and the end.

use super::{closing, configuration, keyed, usage};
use crate::action::Action;
use crate::model::ids::StoreOpId;
use crate::model::store::{StoreOp, StoreReply};
use crate::tables::store_op_table::{PendingOp, StoreTask};
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::sync::Arc;

/// Issues an operation that is given up after the policy's deadline.
pub fn submit(world: &mut World, cx: &mut Cx<'_>, task: StoreTask, req: StoreOp) {
    let deadline = cx.now + world.policy.store_deadline;
    let op = world.store_ops.insert(task, deadline);
    world.timers.subscribe(deadline, Timer::StoreDeadline(op));
    cx.act(Action::Store { op, req });
}

/// Issues the next step of an operation under the deadline of the first.
pub fn continue_with(world: &mut World, cx: &mut Cx<'_>, previous: &PendingOp, task: StoreTask) {
    let req = request_of(world, cx, &task);
    let op = world.store_ops.insert(task, previous.deadline);
    world
        .timers
        .subscribe(previous.deadline, Timer::StoreDeadline(op));
    cx.act(Action::Store { op, req });
}

/// Issues the next step of an operation after a delay.
pub fn repeat_later(world: &mut World, cx: &Cx<'_>, previous: &PendingOp, task: StoreTask) {
    let op = world.store_ops.insert(task, previous.deadline);
    world
        .timers
        .subscribe(previous.deadline, Timer::StoreDeadline(op));
    let delay = world.policy.store_retry_delay;
    cx.subscribe(world, delay, Timer::StoreRetry(op));
}

/// Issues an operation whose delay is over.
pub fn retry(world: &World, cx: &mut Cx<'_>, op: StoreOpId) {
    if let Some(row) = world.store_ops.get(op) {
        let req = request_of(world, cx, &row.task);
        cx.act(Action::Store { op, req });
    }
}

fn request_of(world: &World, cx: &Cx<'_>, task: &StoreTask) -> StoreOp {
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

/// Takes in a reply.
pub fn replied(world: &mut World, cx: &mut Cx<'_>, op: StoreOpId, reply: StoreReply) {
    let Some(row) = world.store_ops.take(op) else {
        return;
    };
    match &row.task {
        StoreTask::BindKey(keyed) => {
            let keyed = keyed.clone();
            keyed::bind_replied(world, cx, &row, keyed, &reply);
        }
        StoreTask::ReadKey(keyed) => {
            let keyed = keyed.clone();
            keyed::read_replied(world, cx, &row, keyed, &reply);
        }
        StoreTask::Swap(change) => {
            let change = change.clone();
            configuration::swap_replied(world, cx, &row, change, &reply);
        }
        StoreTask::ReadBack(change) => {
            let change = change.clone();
            configuration::read_back_replied(world, cx, &row, change, &reply);
        }
        StoreTask::Usage { closing: true } if reply != StoreReply::Written => {
            repeat_later(world, cx, &row, row.task.clone());
        }
        StoreTask::Usage { closing } => {
            let written = reply == StoreReply::Written;
            closing::usage_replied(world, *closing, written);
        }
    }
}

/// Gives up an operation.
pub fn give_up(world: &mut World, cx: &mut Cx<'_>, op: StoreOpId) {
    let Some(row) = world.store_ops.take(op) else {
        return;
    };
    match row.task {
        StoreTask::BindKey(keyed) | StoreTask::ReadKey(keyed) => {
            keyed::given_up(world, cx, &keyed);
        }
        StoreTask::Swap(change) | StoreTask::ReadBack(change) => {
            configuration::given_up(cx, &change);
        }
        StoreTask::Usage { closing } => closing::usage_replied(world, closing, false),
    }
}
