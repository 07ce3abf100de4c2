//! Configuration: adoption of newer versions, distribution to peers, and changes by operators.

use super::store;
use crate::action::{Action, ChangeResult};
use crate::model::configuration::{ChangeRequest, Configuration};
use crate::model::ids::CallId;
use crate::model::message::Message;
use crate::model::outcome::{Refusal, RefusalReason};
use crate::model::store::{StoreOp, StoreReply};
use crate::node::random_u128;
use crate::status::Phase;
use crate::tables::store_op_table::{PendingChange, PendingOp, StoreOpPurpose};
use crate::world::{Cx, World};
use std::sync::Arc;

/// Handles a configuration from the store or a peer. A valid newer version is adopted and sent to
/// the peers that lack it.
pub fn adopt(world: &mut World, cx: &mut Cx<'_>, config: &Arc<Configuration>) {
    if config.version <= world.config_version() || config.validate().is_err() {
        return;
    }
    world.config = Some(Arc::clone(config));
    world.issuer.changed = true;
    cx.emit(Action::AdoptConfiguration(Arc::clone(config)));
    for peer in world.members.connected() {
        let known = world.members.get(peer).and_then(|row| row.heartbeat);
        if known.is_none_or(|heartbeat| heartbeat.config_version < config.version) {
            cx.send(world, peer, Message::Configuration(Arc::clone(config)));
        }
    }
}

/// Handles an operator's change request.
pub fn handle_change(world: &mut World, cx: &mut Cx<'_>, call: CallId, req: &ChangeRequest) {
    if world.phase != Phase::Serving {
        let refusal = Refusal::not_run(RefusalReason::Stopping);
        cx.emit(Action::RespondChange {
            call,
            result: ChangeResult::Refused(refusal),
        });
        return;
    }
    if req.base != world.config_version() {
        let result = ChangeResult::Conflict(world.config.clone());
        cx.emit(Action::RespondChange { call, result });
        return;
    }
    let change_id = random_u128(&mut world.rng);
    match Configuration::next_version(world.config.as_deref(), req, change_id) {
        Err(error) => {
            cx.emit(Action::RespondChange {
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
            let req = StoreOp::CompareAndSwapConfiguration {
                base: req.base,
                config,
            };
            store::submit(world, cx, StoreOpPurpose::ReplaceConfiguration(change), req);
        }
    }
}

/// Handles the store's reply to the replacement. Any reply but `Written` is resolved by reading the
/// value back: a conflict may be with this very change, written by an earlier request whose reply
/// was lost.
pub fn handle_replace_reply(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    change: PendingChange,
    reply: &StoreReply,
) {
    match reply {
        StoreReply::Written => respond_applied(world, cx, &change),
        StoreReply::Conflict => {
            store::continue_with(world, cx, row, StoreOpPurpose::VerifyConfiguration(change));
        }
        StoreReply::Lost | StoreReply::Configuration(_) | StoreReply::Key(_) => {
            store::retry_later(world, cx, row, StoreOpPurpose::VerifyConfiguration(change));
        }
    }
}

/// Handles the value read back from the store and finds out by the change id whether the change was
/// accepted.
pub fn handle_verify_reply(
    world: &mut World,
    cx: &mut Cx<'_>,
    row: &PendingOp,
    change: PendingChange,
    reply: &StoreReply,
) {
    let StoreReply::Configuration(current) = reply else {
        store::retry_later(world, cx, row, StoreOpPurpose::VerifyConfiguration(change));
        return;
    };
    let version = current.as_ref().map_or(0, |config| config.version);
    if version <= change.base {
        store::continue_with(world, cx, row, StoreOpPurpose::ReplaceConfiguration(change));
        return;
    }
    let accepted = current
        .as_ref()
        .is_some_and(|config| config.contains_change(change.change_id));
    if let Some(config) = current {
        adopt(world, cx, config);
    }
    if accepted {
        respond_applied(world, cx, &change);
        return;
    }
    let result = ChangeResult::Conflict(current.clone());
    cx.emit(Action::RespondChange {
        call: change.call,
        result,
    });
}

fn respond_applied(world: &mut World, cx: &mut Cx<'_>, change: &PendingChange) {
    adopt(world, cx, &change.config);
    let result = ChangeResult::Applied(Arc::clone(&change.config));
    cx.emit(Action::RespondChange {
        call: change.call,
        result,
    });
}

/// Refuses a change that the store did not complete in time.
pub fn handle_store_timeout(cx: &mut Cx<'_>, change: &PendingChange) {
    let refusal = Refusal::unknown(RefusalReason::StoreUnavailable);
    cx.emit(Action::RespondChange {
        call: change.call,
        result: ChangeResult::Refused(refusal),
    });
}
