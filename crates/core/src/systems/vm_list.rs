//! Adoption and distribution of the platform's VM list.

use crate::action::Action;
use crate::model::message::Message;
use crate::model::vm_list::VmList;
use crate::world::{Cx, World};
use std::sync::Arc;

/// Handles a VM list from the platform or a peer. A newer one is adopted and sent to the peers that
/// lack it.
pub fn adopt(world: &mut World, cx: &mut Cx<'_>, list: &Arc<VmList>) {
    if list.revision <= world.vm_list_revision() {
        return;
    }
    record_delisted(world, cx, list);
    world.executors.apply_vm_list(&list.executors);
    world.vm_list = Some(Arc::clone(list));
    world.issuer.changed = true;
    cx.emit(Action::AdoptVmList(Arc::clone(list)));
    for peer in world.members.connected() {
        let known = world.members.get(peer).and_then(|row| row.heartbeat);
        if known.is_some_and(|heartbeat| heartbeat.vm_list_revision < list.revision) {
            cx.send(world, peer, Message::VmList(Arc::clone(list)));
        }
    }
}

fn record_delisted(world: &mut World, cx: &Cx<'_>, list: &VmList) {
    for vm in world.vm_list.iter().flat_map(|old| old.entries.iter()) {
        world.delisted.entry(vm.id).or_insert(cx.now);
    }
    for vm in &list.entries {
        world.delisted.remove(&vm.id);
    }
}
