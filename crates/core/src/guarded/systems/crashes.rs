//! Crashes of workers: which tasks are suspected to cause them, and which jobs are given up.
//!
//! Each task that ran on a crashed worker is a suspect, whatever VM starts it next. A suspect runs
//! alone on its worker, so that a second crash names the culprit and costs no other task. A run that
//! ends by itself clears its task. Workers that crash at the same time have a common cause and
//! condemn no task.

use super::run_list::RunList;
use super::{containment, runner};
use crate::guarded::action::Action;
use crate::guarded::model::answer::Answer;
use crate::guarded::model::crash::{Crash, Evidence};
use crate::guarded::model::ids::{QueueId, TaskId, WorkerId};
use crate::guarded::model::job::Job;
use crate::guarded::model::message::{Message, SuspectReport};
use crate::guarded::tables::suspects::Suspect;
use crate::guarded::tables::worker::{Hold, Loss, Run, WorkerEnd};
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::time::Duration;

/// Time between losses of workers within which they may have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(20);
/// Number of losses within the window from which the cause is not a task.
const COMMON_CAUSE_EVENTS: usize = 3;
/// Number of crashes that no task explains up to which a worker does not count as their cause.
const MAX_UNEXPLAINED_CRASHES: u32 = 2;
/// Time after which the end of a trial at a lost VM is not waited for any more. Longer than a worker
/// takes to restart.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of suspects that a new peer is told of.
const MAX_REPORTED: usize = 64;

/// A worker that was lost with its runs, until the loss is judged.
#[derive(Clone, Debug)]
pub struct WorkerLoss {
    worker: WorkerId,
    at: Time,
    tasks: Vec<TaskId>,
    /// Queue that the loss points to: that of the tasks which had started last.
    queue: Option<QueueId>,
    /// Whether the loss has been judged. It still counts for those shortly after it.
    is_judged: bool,
}

impl WorkerLoss {
    fn shares_task(&self, other: &Self) -> bool {
        self.tasks.iter().any(|task| other.tasks.contains(task))
    }
}

/// Records the loss of a worker before its runs are ended: each task that ran there becomes a
/// suspect, unless the worker was about to leave.
///
/// `is_alive` tells of a run whether it is known to run on, at the next boot of the worker.
pub fn record_loss(
    world: &mut World,
    cx: &Cx<'_>,
    id: WorkerId,
    end: WorkerEnd,
    is_alive: impl Fn(&Run) -> bool,
) {
    let Some(row) = world.workers.get_mut(&id) else {
        return;
    };
    if row.loss.is_some() {
        return;
    }
    row.loss = Some(Loss { at: cx.now, end });
    if end != WorkerEnd::Silent {
        row.health.record_failure(cx.now);
    }
    let unexplained = row.health.record_crash(cx.now);
    world.stats.lost_workers += 1;
    tracing::warn!(
        worker = %id,
        ?end,
        draining = row.entry.draining,
        unexplained,
        silent_ms = cx.now.since(row.last_answer_at).as_millis(),
        runs = %RunList { now: cx.now, runs: &row.runs },
        "worker lost with its runs"
    );
    if row.entry.draining {
        return;
    }
    let boot = row.boot;
    let lost = row.runs.values().filter(|run| !is_alive(run));
    let lost: Vec<&Run> = lost.collect();
    let last_start = lost.iter().map(|run| run.requested_at).max();
    let is_clear = end != WorkerEnd::Silent && unexplained <= MAX_UNEXPLAINED_CRASHES;
    let evidence = |run: &Run| {
        let is_last = Some(run.requested_at) == last_start;
        match (run.is_confirmed, is_clear, lost.len()) {
            (false, ..) => Evidence::Unconfirmed,
            (true, true, 1) => Evidence::Decisive,
            (true, true, _) if is_last => Evidence::Likely,
            _ => Evidence::Unclear,
        }
    };
    let runs = lost.iter();
    let runs: Vec<_> = runs
        .map(|run| (run.id.task, run.queue, evidence(run)))
        .collect();
    for &(task, queue, evidence) in &runs {
        let crash = Crash {
            worker: id,
            boot,
            evidence,
            at: cx.now,
        };
        world.suspects.record(task, queue, crash);
        world.suspects.hold(task);
        let report = SuspectReport::crashed(task, &crash);
        world.suspect_reports.push(report);
    }
    world.losses.push(WorkerLoss {
        worker: id,
        at: cx.now,
        tasks: runs.iter().map(|&(task, _, _)| task).collect(),
        queue: likely_queue(&runs),
        is_judged: false,
    });
}

/// Tells the other holders what this VM learned of suspects.
pub fn send_reports(world: &mut World, cx: &mut Cx<'_>) {
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

/// Returns the queue of the tasks that a loss points to, if they have the same one.
fn likely_queue(runs: &[(TaskId, Option<QueueId>, Evidence)]) -> Option<QueueId> {
    let likely = runs
        .iter()
        .filter(|(_, _, evidence)| matches!(evidence, Evidence::Decisive | Evidence::Likely));
    let mut queues = likely.map(|&(_, queue, _)| queue);
    let first = queues.next()?;
    queues.all(|queue| queue == first).then_some(first)?
}

/// Judges the losses that are old enough to know those of the same moment.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.losses.is_empty() {
        return;
    }
    let all = world.losses.clone();
    let now = cx.now;
    let is_due = |loss: &WorkerLoss| now.since(loss.at) >= COMMON_CAUSE_WINDOW;
    for loss in &mut world.losses {
        loss.is_judged |= is_due(loss);
    }
    for loss in all.iter().filter(|loss| !loss.is_judged && is_due(loss)) {
        let events = count_events(&all, loss.at);
        if events >= COMMON_CAUSE_EVENTS {
            withdraw(world, loss, events);
        } else {
            judge(world, cx, loss);
        }
    }
    let keep = COMMON_CAUSE_WINDOW * 2;
    world.losses.retain(|loss| now.since(loss.at) <= keep);
}

/// Counts the losses about a time. Losses that share a task count once: the task went from one of the
/// workers to the other.
fn count_events(losses: &[WorkerLoss], at: Time) -> usize {
    let is_near =
        |loss: &&WorkerLoss| at.since(loss.at).max(loss.at.since(at)) <= COMMON_CAUSE_WINDOW;
    let near: Vec<&WorkerLoss> = losses.iter().filter(is_near).collect();
    let is_new = |&i: &usize| !near[..i].iter().any(|earlier| earlier.shares_task(near[i]));
    (0..near.len()).filter(is_new).count()
}

/// Withdraws the crash of a worker that was lost together with others.
fn withdraw(world: &mut World, loss: &WorkerLoss, events: usize) {
    tracing::info!(
        worker = %loss.worker,
        events,
        tasks = loss.tasks.len(),
        "workers were lost at the same time; no task is suspected"
    );
    for &task in &loss.tasks {
        world.suspects.withdraw(task, loss.worker);
        let worker = loss.worker;
        let report = SuspectReport::Withdrawn { task, worker };
        world.suspect_reports.push(report);
    }
}

fn judge(world: &mut World, cx: &mut Cx<'_>, loss: &WorkerLoss) {
    if let Some(queue) = loss.queue {
        containment::record_loss(world, loss.worker, queue);
    }
    for &task in &loss.tasks {
        if world.suspects.judge(task) {
            world.suspect_reports.push(SuspectReport::GivenUp { task });
            give_up(world, cx, task);
        } else if let Some(row) = world.suspects.get(task) {
            tracing::info!(
                job = %task.job,
                step = task.step,
                index = task.index,
                worker = %loss.worker,
                crashes = row.crashes.len(),
                age_ms = cx.now.since(loss.at).as_millis(),
                "task is suspected of crashing its worker; it runs alone next"
            );
        }
    }
}

/// Gives up the job of a task that crashes its workers.
fn give_up(world: &mut World, cx: &mut Cx<'_>, task: TaskId) {
    world.stats.given_up += 1;
    if let Some(row) = world.suspects.get(task) {
        for crash in &row.crashes {
            if let Some(worker) = world.workers.get_mut(&crash.worker) {
                worker.health.explain_crash();
            }
        }
        tracing::warn!(
            job = %task.job,
            step = task.step,
            index = task.index,
            crashes = %CrashList { now: cx.now, suspect: row },
            "giving up a job: a task of it crashes its workers"
        );
    }
    blame_queue(world, cx.now, task);
    runner::end_job(world, cx, task.job, Answer::Failed);
}

/// Counts the workers that a task crashed against its queue.
fn blame_queue(world: &mut World, now: Time, task: TaskId) {
    let Some(row) = world.suspects.get(task) else {
        return;
    };
    let crashed: Vec<WorkerId> = row.crashes.iter().map(|crash| crash.worker).collect();
    if let Some(queue) = row.queue {
        containment::record_given_up(world, now, queue);
        for worker in crashed {
            containment::record_loss(world, worker, queue);
        }
    }
}

/// Formats crashes as `worker(age_ms)`, separated by spaces, and marks the decisive ones.
struct CrashList<'a> {
    now: Time,
    suspect: &'a Suspect,
}

impl std::fmt::Display for CrashList<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, crash) in self.suspect.crashes.iter().enumerate() {
            let space = if i == 0 { "" } else { " " };
            let mark = match crash.evidence {
                Evidence::Decisive => ",alone",
                Evidence::Likely => ",last",
                Evidence::Unconfirmed => ",unconfirmed",
                Evidence::Unclear | Evidence::Trial => "",
            };
            let age_ms = self.now.since(crash.at).as_millis();
            write!(f, "{space}{}({age_ms}{mark})", crash.worker)?;
        }
        Ok(())
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

/// Clears a task whose run ended by itself.
pub fn clear(world: &mut World, task: TaskId) {
    if world.suspects.get(task).is_some() {
        world.suspects.clear(task);
        world.suspect_reports.push(SuspectReport::Cleared { task });
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
pub fn handle_reports(world: &mut World, cx: &mut Cx<'_>, reports: &[SuspectReport]) {
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
                runner::end_job(world, cx, task.job, Answer::Failed);
            }
        }
    }
}

/// Withdraws the crash of a worker that was only silent: the same boot answers again.
pub fn withdraw_silence(world: &mut World, worker: WorkerId) {
    for task in world.suspects.crashed_on(worker) {
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
