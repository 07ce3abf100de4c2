//! Crashes of workers: which tasks are suspected to cause them, and which jobs are given up.
//!
//! Each task that ran on a crashed worker is a suspect, whatever VM starts it next. A suspect runs
//! alone on its worker, so that a second crash names the culprit and costs no other task. A run that
//! is done clears its task. Workers that crash at the same time have a common cause and condemn no
//! task.
//!
//! A job fails only after crashes that certainly happened under its task. Losses that may have been
//! crashes count as well, but only bound the starts: after too many the job is answered as lost.

use super::run_list::RunList;
use super::{containment, runner};
use crate::guarded::model::answer::{Answer, LossCause};
use crate::guarded::model::crash::{Crash, Evidence};
use crate::guarded::model::ids::{QueueId, TaskId, WorkerId};
use crate::guarded::model::message::SuspectReport;
use crate::guarded::tables::suspects::Suspect;
use crate::guarded::tables::worker::{Loss, Run, Worker, WorkerEnd};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Time between losses of workers within which they may have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(20);
/// Number of losses within the window from which the cause is not a task.
const COMMON_CAUSE_EVENTS: usize = 3;
/// Number of crashes that no task explains up to which a worker does not count as their cause.
const MAX_UNEXPLAINED_CRASHES: u32 = 2;

/// Maximum time since the registry was read for the end of a process to prove a crash. The worker may have
/// left as announced since. Workers announce that some seconds before they leave.
const MAX_REGISTRY_AGE: Duration = Duration::from_secs(3);

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

/// A run that was lost with its worker.
#[derive(Clone, Copy, Debug)]
struct LostRun {
    task: TaskId,
    queue: Option<QueueId>,
    evidence: Evidence,
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
    if row.entry.draining || world.drains.contains(id, row.boot) {
        return;
    }
    let boot = row.boot;
    let read_at = world.registry_read_at;
    let knows_drains = read_at.is_none_or(|at| cx.now.since(at) <= MAX_REGISTRY_AGE);
    let may_be_proven =
        end == WorkerEnd::Ended && knows_drains && had_lease(row, cx.now, world.policy.lease);
    let may_blame_task = unexplained <= MAX_UNEXPLAINED_CRASHES;
    let lost = row.runs.values().filter(|run| !is_alive(run));
    let lost: Vec<&Run> = lost.collect();
    let last_start = lost.iter().map(|run| run.requested_at).max();
    let runs = lost.iter().map(|run| LostRun {
        task: run.id.task,
        queue: run.queue,
        evidence: match lost.len() {
            _ if !may_be_proven || !run.is_confirmed => Evidence::Unproven,
            _ if !may_blame_task => Evidence::Unclear,
            1 => Evidence::Decisive,
            _ if Some(run.requested_at) == last_start => Evidence::Likely,
            _ => Evidence::Unclear,
        },
    });
    let runs: Vec<LostRun> = runs.collect();
    for run in &runs {
        suspect(world, cx.now, id, boot, run);
    }
    world.losses.push(WorkerLoss {
        worker: id,
        at: cx.now,
        tasks: runs.iter().map(|run| run.task).collect(),
        queue: likely_queue(&runs),
        is_judged: false,
    });
}

/// Returns whether confirmed runs of a worker whose process has just ended were there until then. The
/// poll that its end closed had been waiting at the worker, which tells of ended runs at once, and its
/// last answer was so recent that its lease had not expired.
fn had_lease(row: &Worker, now: Time, lease: Duration) -> bool {
    now.since(row.last_answer_at) <= lease / 2
}

/// Makes the task of a lost run a suspect.
fn suspect(world: &mut World, now: Time, worker: WorkerId, boot: Option<u64>, run: &LostRun) {
    let crash = Crash {
        worker,
        boot,
        evidence: run.evidence,
        at: now,
    };
    world.suspects.record(run.task, run.queue, crash);
    world.suspects.hold(run.task);
    let report = SuspectReport::crashed(run.task, &crash);
    world.suspect_reports.push(report);
}

/// Returns the queue of the tasks that a loss points to, if they have the same one.
fn likely_queue(runs: &[LostRun]) -> Option<QueueId> {
    let likely = runs
        .iter()
        .filter(|run| matches!(run.evidence, Evidence::Decisive | Evidence::Likely));
    let mut queues = likely.map(|run| run.queue);
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
        if judge_task(world, cx, task) {
            continue;
        }
        if let Some(row) = world.suspects.get(task) {
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

/// Judges a task after a loss of its worker or a failed run. Returns whether its job is given up.
///
/// A failed run doesn't show that the task is sound, since its worker may fail whatever it starts. After
/// two losses it counts like a further one, so that the starts stay few though a holder that was lost took
/// the knowledge of a crash with it.
pub fn judge_task(world: &mut World, cx: &mut Cx<'_>, task: TaskId) -> bool {
    let job = world.jobs.get(&task.job);
    let failures = job.map_or(0, |job| job.failures(task));
    let is_given_up = world.suspects.judge(task, failures);
    if is_given_up {
        world.suspect_reports.push(SuspectReport::GivenUp { task });
        give_up(world, cx, task);
    }
    is_given_up
}

/// Gives up the job of a task that crashes its workers, or may do so.
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
    let answer = given_up_answer(world, task);
    runner::end_job(world, cx, task.job, answer);
}

/// Returns the answer to a job that is given up for its task: it has failed only if workers certainly
/// crashed under the task.
pub fn given_up_answer(world: &World, task: TaskId) -> Answer {
    let is_culprit = world.suspects.get(task).is_some_and(Suspect::has_crashed);
    if is_culprit {
        Answer::Failed
    } else {
        Answer::Lost(LossCause::Suspected)
    }
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
                Evidence::Unproven => ",unproven",
                Evidence::Unclear | Evidence::Trial => "",
            };
            let age_ms = self.now.since(crash.at).as_millis();
            write!(f, "{space}{}({age_ms}{mark})", crash.worker)?;
        }
        Ok(())
    }
}
