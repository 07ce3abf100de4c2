//! What VMs tell one another of starts in flight: the client of a job may come to any of them.

use super::starts_in_flight;
use crate::guarded::action::Action;
use crate::guarded::model::ids::{ClientJobId, FencingToken, TaskId, WorkerId};
use crate::guarded::model::message::{Message, StartReport};
use crate::guarded::tables::starts_in_flight::{OpenCause, StartInFlight};
use crate::guarded::tables::worker::Hold;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::time::Duration;

/// Maximum number of starts that a new peer is told of.
const MAX_REPORTED: usize = 64;
/// Maximum number of reports of a message.
const MAX_MESSAGE_REPORTS: usize = 256;

/// Tells other VMs of an open row, unless they know of it.
pub fn report(world: &mut World, now: Time, worker: WorkerId, task: TaskId) {
    let Some(row) = world.starts_in_flight.get(worker, task) else {
        return;
    };
    if row.open.is_none() || row.is_shared {
        return;
    }
    let report = open_report(now, worker, task, row);
    world
        .starts_in_flight
        .update(worker, task, |row| row.is_shared = true);
    world.start_reports.push(report);
    add_origins(world, task.job);
}

/// Tells other VMs that a start which they know of is ruled out.
pub fn report_ruled_out(world: &mut World, worker: WorkerId, task: TaskId, token: FencingToken) {
    let report = StartReport::RuledOut {
        task,
        worker,
        token,
    };
    world.start_reports.push(report);
    add_origins(world, task.job);
}

/// Tells a VM whose clients waited for a job of what is to be reported.
pub fn add_origin(world: &mut World, origin: Incarnation) {
    if !world.start_reports.is_empty() && origin != world.me {
        world.start_report_origins.insert(origin);
    }
}

fn add_origins(world: &mut World, job: ClientJobId) {
    let origins = world.jobs.get(&job).map(|job| job.origins.clone());
    for origin in origins.into_iter().flatten() {
        add_origin(world, origin);
    }
}

fn open_report(now: Time, worker: WorkerId, task: TaskId, row: &StartInFlight) -> StartReport {
    StartReport::Open {
        task,
        worker,
        number: row.number,
        token: row.token,
        age: now.since(row.sent_at),
    }
}

/// Tells the VMs that may run the jobs, and those whose clients wait for them, of starts in flight.
pub fn send(world: &mut World, cx: &mut Cx<'_>) {
    if world.start_reports.is_empty() {
        return;
    }
    let reports = std::mem::take(&mut world.start_reports);
    let origins = std::mem::take(&mut world.start_report_origins);
    let peers = world.peers.iter().filter(|(peer, row)| {
        let follows = world.topology.followers.contains(&peer.vm);
        row.linked && (follows || row.is_relay() || origins.contains(peer))
    });
    let peers: Vec<Incarnation> = peers.map(|(&peer, _)| peer).collect();
    for to in peers {
        for reports in reports.chunks(MAX_MESSAGE_REPORTS) {
            cx.emit(Action::Send {
                to,
                message: Message::Starts(reports.to_vec()),
            });
        }
    }
}

/// Tells a peer that has just connected of the newest starts in flight, also of those that are ruled out:
/// it may be the one that sees the loss of their workers.
pub fn report_to(world: &World, cx: &mut Cx<'_>, to: Incarnation) {
    let mut reports = Vec::new();
    let rows = world.starts_in_flight.newest();
    for (worker, task, row) in rows.take(MAX_REPORTED) {
        reports.push(if row.open.is_some() {
            open_report(cx.now, worker, task, row)
        } else {
            StartReport::Known {
                task,
                worker,
                number: row.number,
                token: row.token,
                age: cx.now.since(row.sent_at),
            }
        });
    }
    if !reports.is_empty() {
        cx.emit(Action::Send {
            to,
            message: Message::Starts(reports),
        });
    }
}

/// Records what another VM learned of starts in flight.
pub fn handle(world: &mut World, cx: &Cx<'_>, reports: &[StartReport]) {
    let now = cx.now;
    for &report in reports {
        match report {
            StartReport::Open {
                task,
                worker,
                number,
                token,
                age,
            } => {
                let row = reported(now, number, token, age, Some(OpenCause::Reported));
                if age <= world.policy.max_request_delay {
                    record_reported(world, cx, worker, task, row);
                }
            }
            StartReport::Known {
                task,
                worker,
                number,
                token,
                age,
            } => {
                let is_new = world.starts_in_flight.get(worker, task).is_none();
                if is_new && age <= world.policy.max_request_delay {
                    let row = reported(now, number, token, age, None);
                    world.starts_in_flight.record(worker, task, row);
                }
            }
            StartReport::RuledOut {
                task,
                worker,
                token,
            } => {
                world.starts_in_flight.update(worker, task, |row| {
                    if row.token <= token {
                        row.open = None;
                        row.is_shared = false;
                    }
                });
            }
        }
    }
}

fn reported(
    now: Time,
    number: u64,
    token: FencingToken,
    age: Duration,
    open: Option<OpenCause>,
) -> StartInFlight {
    StartInFlight {
        number,
        token,
        sent_at: now.minus(age),
        boot: None,
        open,
        is_shared: open.is_some(),
        has_earlier: false,
    }
}

fn record_reported(
    world: &mut World,
    cx: &Cx<'_>,
    worker: WorkerId,
    task: TaskId,
    row: StartInFlight,
) {
    world.starts_in_flight.record(worker, task, row);
    let holds = world
        .workers
        .get(&worker)
        .filter(|row| row.hold == Hold::Held);
    if holds.is_some_and(|holder| row.token < holder.token) {
        starts_in_flight::rule_out_answered(world, cx.now, worker, &[]);
    }
    starts_in_flight::stop_elsewhere(world, cx, worker, task);
}
