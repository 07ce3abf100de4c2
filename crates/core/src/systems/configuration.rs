//! The configuration: adoption, spread, and operators' changes.

use super::store;
use crate::action::{Action, ChangeResult};
use crate::model::configuration::{ChangeRequest, Configuration};
use crate::model::ids::CallId;
use crate::model::message::Message;
use crate::model::outcome::{Refusal, RefusalReason};
use crate::model::store::{StoreOp, StoreReply};
use crate::node::draw_u128;
use crate::status::Phase;
use crate::tables::store_op_table::{PendingChange, PendingOp, StoreTask};
use crate::world::{Cx, World};
use std::sync::Arc;

/// Takes in a configuration from the store or from a peer; adopts and spreads a newer one.
pub fn offer(world: &mut World, cx: &mut Cx<'_>, config: &Arc<Configuration>) {
    if config.version <= world.config_version() || config.validate().is_err() {
        return;
    }
    world.config = Some(Arc::clone(config));
    world.issuer.changed = true;
    cx.act(Action::AdoptConfiguration(Arc::clone(config)));
    for peer in world.members.connected() {
        let known = world.members.get(peer).and_then(|row| row.heartbeat);
        if known.is_none_or(|heartbeat| heartbeat.config_version < config.version) {
            cx.send(world, peer, Message::Configuration(Arc::clone(config)));
        }
    }
}

/// Begins an operator's change.
pub fn request(world: &mut World, cx: &mut Cx<'_>, call: CallId, req: &ChangeRequest) {
    if world.phase != Phase::Serving {
        let refusal = Refusal::not_run(RefusalReason::Stopping);
        cx.act(Action::RespondChange {
            call,
            result: ChangeResult::Refused(refusal),
        });
        return;
    }
    if req.base != world.config_version() {
        let result = ChangeResult::Conflict(world.config.clone());
        cx.act(Action::RespondChange { call, result });
        return;
    }
    let change_id = draw_u128(&mut world.rng);
    match Configuration::successor(world.config.as_deref(), req, change_id) {
        Err(error) => {
            cx.act(Action::RespondChange {
                call,
                result: ChangeResult::Invalid(error),
            });
        }
        Ok(config) => {
            let config = Arc::new(config);
            let change = PendingChange {
                call,
                base: req.base,
                config: Arc::clone(&config),
                change_id,
            };
            let req = StoreOp::SwapConfiguration {
                base: req.base,
                config,
            };
            store::submit(world, cx, StoreTask::Swap(change), req);
        }
    }
}

/// Takes in the reply to the replacement. Anything but a plain success is settled by reading back:
/// a conflict may be with this very change, written by a request whose reply was lost.
pub fn swap_replied(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    change: PendingChange,
    reply: &StoreReply,
) {
    match reply {
        StoreReply::Written => applied(world, cx, &change),
        StoreReply::Conflict => {
            store::continue_with(world, cx, row, StoreTask::ReadBack(change));
        }
        StoreReply::Lost | StoreReply::Configuration(_) | StoreReply::Key(_) => {
            store::repeat_later(world, cx, row, StoreTask::ReadBack(change));
        }
    }
}

/// Takes in the value that the store holds and settles the change by its id.
pub fn read_back_replied(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    change: PendingChange,
    reply: &StoreReply,
) {
    let StoreReply::Configuration(current) = reply else {
        store::repeat_later(world, cx, row, StoreTask::ReadBack(change));
        return;
    };
    let version = current.as_ref().map_or(0, |config| config.version);
    if version <= change.base {
        store::continue_with(world, cx, row, StoreTask::Swap(change));
        return;
    }
    let accepted = current
        .as_ref()
        .is_some_and(|config| config.contains_change(change.change_id));
    if let Some(config) = current {
        offer(world, cx, config);
    }
    if accepted {
        applied(world, cx, &change);
        return;
    }
    let result = ChangeResult::Conflict(current.clone());
    cx.act(Action::RespondChange {
        call: change.call,
        result,
    });
}

fn applied(world: &mut World, cx: &mut Cx<'_>, change: &PendingChange) {
    offer(world, cx, &change.config);
    let result = ChangeResult::Applied(Arc::clone(&change.config));
    cx.act(Action::RespondChange {
        call: change.call,
        result,
    });
}

/// Tells the operator that the store did not settle the change.
pub fn given_up(cx: &mut Cx<'_>, change: &PendingChange) {
    let refusal = Refusal::unknown(RefusalReason::StoreUnavailable);
    cx.act(Action::RespondChange {
        call: change.call,
        result: ChangeResult::Refused(refusal),
    });
}
