//! What relays tell the holders of draining workers, for those that the store rejects.

use crate::guarded::action::Action;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::model::message::{DrainReport, Message};
use crate::guarded::model::worker::WorkerEntry;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;

/// Maximum number of workers that a message names.
const MAX_REPORTED: usize = 64;

/// Notes whether the boot of an entry is about to leave.
pub fn note(world: &mut World, now: Time, entry: &WorkerEntry) {
    let Some(boot) = entry.boot else {
        return;
    };
    if !entry.draining {
        world.drains.remove(entry.id, boot);
        return;
    }
    if world.drains.insert(now, entry.id, boot) && world.topology.is_relay {
        let worker = entry.id;
        world.drain_reports.push(DrainReport { worker, boot });
    }
}

/// Tells the VMs that may hold the workers.
pub fn send(world: &mut World, cx: &mut Cx<'_>) {
    if world.drain_reports.is_empty() {
        return;
    }
    let reports = std::mem::take(&mut world.drain_reports);
    let holders = world.peers.iter().filter(|(peer, row)| {
        let follows = world.topology.followers.contains(&peer.vm);
        row.linked && (follows || row.is_relay())
    });
    let holders: Vec<Incarnation> = holders.map(|(&peer, _)| peer).collect();
    for to in holders {
        for reports in reports.chunks(MAX_REPORTED) {
            cx.emit(Action::Send {
                to,
                message: Message::Drains(reports.to_vec()),
            });
        }
    }
}

/// Tells a peer that has just connected of the newest ones.
pub fn report_to(world: &World, cx: &mut Cx<'_>, to: Incarnation) {
    if !world.topology.is_relay {
        return;
    }
    let rows = world.drains.newest().take(MAX_REPORTED);
    let reports = rows.map(|(worker, boot)| DrainReport { worker, boot });
    let reports: Vec<DrainReport> = reports.collect();
    if !reports.is_empty() {
        cx.emit(Action::Send {
            to,
            message: Message::Drains(reports),
        });
    }
}

/// Records what another VM read of the registry.
pub fn handle(world: &mut World, now: Time, reports: &[DrainReport]) {
    for report in reports {
        if world.drains.insert(now, report.worker, report.boot) && is_held(world, report.worker) {
            tracing::info!(worker = %report.worker, "another VM reports that the worker is draining");
        }
    }
}

fn is_held(world: &World, worker: WorkerId) -> bool {
    world.workers.contains_key(&worker)
}
