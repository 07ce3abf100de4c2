//! What holders tell one another of tasks under which workers crashed, so that a crash counts wherever
//! the task starts next, also after the loss of the holder that saw it.

use super::{crashes, runner};
use crate::guarded::action::Action;
use crate::guarded::model::crash::{Crash, Evidence};
use crate::guarded::model::ids::{TaskId, WorkerId};
use crate::guarded::model::job::Job;
use crate::guarded::model::message::{Message, SuspectReport};
use crate::guarded::tables::worker::Hold;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::time::Duration;

/// Time after which the end of a trial at a lost VM is not waited for any more. Longer than a worker
/// takes to restart.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of suspects that a new peer is told of.
const MAX_REPORTED: usize = 64;

/// Tells the other holders what this VM learned of suspects.
pub fn send(world: &mut World, cx: &mut Cx<'_>) {
    if world.suspect_reports.is_empty() {
        return;
    }
    let reports = std::mem::take(&mut world.suspect_reports);
    let holders = world.peers.iter().filter(|(peer, row)| {
        let follows = world.topology.followers.contains(&peer.vm);
        row.linked && (follows || row.is_relay())
    });
    let holders: Vec<Incarnation> = holders.map(|(&peer, _)| peer).collect();
    for to in holders {
        cx.emit(Action::Send {
            to,
            message: Message::Suspects(reports.clone()),
        });
    }
}

/// Tells the other holders that a suspect starts alone on a worker, in case this VM is lost before it
/// learns how the run ends.
pub fn report_trial(world: &mut World, now: Time, task: TaskId, worker: WorkerId) {
    let boot = world.workers.get(&worker).and_then(|row| row.boot);
    let crash = Crash {
        worker,
        boot,
        evidence: Evidence::Trial,
        at: now,
    };
    let report = SuspectReport::crashed(task, &crash);
    world.suspect_reports.push(report);
}

/// Clears a task of which a run is done.
pub fn clear(world: &mut World, task: TaskId) {
    if world.suspects.get(task).is_some() {
        world.suspects.clear(task);
        world.suspect_reports.push(SuspectReport::Cleared { task });
    }
}

/// Tells the other holders that the trial of a suspect has ended without a crash. The task stays a
/// suspect: its worker may fail whatever it starts.
pub fn end_trial(world: &mut World, task: TaskId, worker: WorkerId) {
    let suspect = world.suspects.get(task);
    if suspect.is_some_and(|row| !row.crashed(worker)) {
        let report = SuspectReport::Withdrawn { task, worker };
        world.suspect_reports.push(report);
    }
}

/// Closes the trials of a job's tasks that a lost VM left open, once the worker answers or has had
/// time to restart. What became of the task there can't be known then.
pub fn close_trials(world: &mut World, cx: &Cx<'_>, job: &Job) {
    if world.suspects.is_empty() {
        return;
    }
    for task in job.task_ids() {
        let Some(row) = world.suspects.get(task) else {
            continue;
        };
        let trials = row.crashes.iter();
        let trials = trials.filter(|crash| crash.evidence == Evidence::Trial);
        let closed = trials.filter(|trial| is_closed(world, cx.now, trial));
        let closed: Vec<WorkerId> = closed.map(|trial| trial.worker).collect();
        for worker in closed {
            world.suspects.withdraw(task, worker);
        }
    }
}

fn is_closed(world: &World, now: Time, trial: &Crash) -> bool {
    let row = world.workers.get(&trial.worker);
    let is_alive = row.is_some_and(|row| row.hold == Hold::Held && row.boot == trial.boot);
    is_alive || now.since(trial.at) > TRIAL_TIMEOUT
}

/// Records what another VM learned of suspects.
pub fn handle(world: &mut World, cx: &mut Cx<'_>, reports: &[SuspectReport]) {
    for &report in reports {
        match report {
            SuspectReport::Crashed {
                task,
                worker,
                boot,
                evidence,
            } => {
                let crash = Crash {
                    worker,
                    boot,
                    evidence,
                    at: cx.now,
                };
                world.suspects.record(task, None, crash);
            }
            SuspectReport::Withdrawn { task, worker } => world.suspects.withdraw(task, worker),
            SuspectReport::Cleared { task } => world.suspects.clear(task),
            SuspectReport::GivenUp { task } => {
                world.suspects.give_up(cx.now, task);
                let answer = crashes::given_up_answer(world, task);
                runner::end_job(world, cx, task.job, answer);
            }
        }
    }
}

/// Withdraws the crash of a worker that was only silent: the same boot answers again.
pub fn withdraw_silence(world: &mut World, worker: WorkerId) {
    let boot = world.workers.get(&worker).and_then(|row| row.boot);
    for task in world.suspects.lost_on(worker, boot) {
        world.suspects.withdraw(task, worker);
        let report = SuspectReport::Withdrawn { task, worker };
        world.suspect_reports.push(report);
    }
}

/// Tells a peer that has just connected of the newest suspects.
pub fn report_to(world: &World, cx: &mut Cx<'_>, to: Incarnation) {
    let mut reports = Vec::new();
    for (task, row) in world.suspects.newest().take(MAX_REPORTED) {
        let crashes = row.crashes.iter();
        reports.extend(crashes.map(|crash| SuspectReport::crashed(task, crash)));
        if row.is_given_up {
            reports.push(SuspectReport::GivenUp { task });
        }
    }
    if !reports.is_empty() {
        cx.emit(Action::Send {
            to,
            message: Message::Suspects(reports),
        });
    }
}
