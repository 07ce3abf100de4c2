//! Which task starts next, and on which worker.

use crate::guarded::model::ids::{ClientJobId, RunId, TaskId, WorkerId};
use crate::guarded::model::job::Step;
use crate::guarded::model::resources::Resources;
use crate::guarded::order::{Order, Start};
use crate::guarded::tables::runner_job::{RunnerJob, TaskState};
use crate::guarded::tables::worker::{Run, RunState, Worker};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Part of the predicted run time that a task must have left to count as in time; predictions are
/// rough, so a little less may do.
const IN_TIME_SHARE: f64 = 0.85;

/// Factor on the predicted run time within which most tasks end; a task takes a slow worker only
/// if it would still end in time then.
const ESTIMATE_MARGIN: f64 = 1.25;

/// Order in which jobs get their starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the latency objective can't be met any more.
    late: bool,
    /// Among late jobs, the higher priority first.
    priority: u32,
    /// The latest start that meets the objective; for late jobs the submission.
    at: Time,
}

/// Starts waiting tasks while there is room.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if !has_room(world, cx.now) {
        return;
    }
    for (_, id) in ranked(world, cx.now) {
        start_tasks(world, cx, id);
        if !has_room(world, cx.now) {
            return;
        }
    }
}

/// Returns the jobs with tasks that wait, in the order of their turns.
pub fn ranked(world: &World, now: Time) -> Vec<(Rank, ClientJobId)> {
    let waiting = world.jobs.values();
    let waiting = waiting.filter(|job| job.due_tasks().next().is_some());
    let mut order: Vec<_> = waiting
        .map(|job| (rank(world, now, job), job.id()))
        .collect();
    order.sort_unstable();
    order
}

fn has_room(world: &World, now: Time) -> bool {
    let silence = world.policy.worker_silence;
    let mut rows = world.workers.values();
    rows.any(|row| row.is_usable(now, silence) && row.admits_more() && row.free().cpu_milli > 0)
}

fn rank(world: &World, now: Time, job: &RunnerJob) -> Rank {
    let left = job.work_left(&world.estimator);
    let slack = job.objective_at.since(now);
    let late = slack < left.mul_f64(IN_TIME_SHARE);
    if late && job.started {
        // It must still end while its client waits.
        let slack = job.deadline.since(now);
        return Rank {
            late: false,
            priority: 0,
            at: now + slack.saturating_sub(left.mul_f64(ESTIMATE_MARGIN)),
        };
    }
    if late {
        return Rank {
            late,
            priority: job.job.terms.priority,
            at: job.submitted,
        };
    }
    Rank {
        late,
        priority: 0,
        at: now + slack.saturating_sub(left),
    }
}

/// Starts the tasks of a job that fit somewhere.
fn start_tasks(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) {
    let Some(job) = world.jobs.get(&id) else {
        return;
    };
    let due: Vec<TaskId> = job
        .due_tasks()
        .map(|task| task.id)
        .filter(|task| !world.live.contains_key(task))
        .collect();
    let waiting = due.len();
    let mut starts = Vec::new();
    for task in due {
        let Some(worker) = choose(world, cx.now, task) else {
            break;
        };
        if let Some(run) = start(world, cx, task, worker) {
            starts.push((run, worker));
        }
    }
    if !starts.is_empty() {
        log_starts(world, cx.now, id, waiting, &starts);
    }
}

/// Logs which runs were started where, and what decided it.
fn log_starts(
    world: &World,
    now: Time,
    id: ClientJobId,
    waiting: usize,
    starts: &[(RunId, WorkerId)],
) {
    let Some(job) = world.jobs.get(&id) else {
        return;
    };
    let ages = starts.iter().filter_map(|(_, worker)| {
        let row = world.workers.get(worker)?;
        Some(now.since(row.answered).as_millis())
    });
    tracing::info!(
        job = %id,
        starts = %StartList(starts),
        waiting,
        late = now > job.objective_at,
        objective_in_ms = job.objective_at.since(now).as_millis(),
        worker_age_ms = ages.max(),
        "runs started"
    );
}

/// Writes starts as `step.index#run@worker`.
struct StartList<'a>(&'a [(RunId, WorkerId)]);

impl fmt::Display for StartList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (run, worker)) in self.0.iter().enumerate() {
            let space = if i == 0 { "" } else { " " };
            let task = run.task;
            write!(
                f,
                "{space}{}.{}#{}@{worker}",
                task.step, task.index, run.number
            )?;
        }
        Ok(())
    }
}

/// A worker that a task fits on.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerId,
    avoided: bool,
    in_time: bool,
    predicted: Duration,
    left_milli: u64,
}

impl Candidate {
    /// Orders candidates: in time first; of those the slowest, so that fast ones stay free for
    /// tasks that need them; else the fastest. Then the one that is left with the least.
    fn better_than(&self, other: &Self) -> bool {
        let by_time = if self.in_time {
            other.predicted.cmp(&self.predicted).reverse()
        } else {
            other.predicted.cmp(&self.predicted)
        };
        let order = other
            .avoided
            .cmp(&self.avoided)
            .then(self.in_time.cmp(&other.in_time))
            .then(by_time)
            .then(other.left_milli.cmp(&self.left_milli));
        order == Ordering::Greater
    }
}

fn choose(world: &World, now: Time, task: TaskId) -> Option<WorkerId> {
    let job = world.jobs.get(&task.job)?;
    let step = &job.job.steps[task.step as usize];
    let avoid = job.tasks.iter().find(|row| row.id == task)?.avoid;
    let mut best: Option<Candidate> = None;
    for row in world.workers.values() {
        if !fits(world, now, row, job, step, task) {
            continue;
        }
        let predicted = predict(world, now, row, step);
        let candidate = Candidate {
            worker: row.entry.id,
            avoided: avoid == Some(row.entry.id),
            in_time: now + predicted.mul_f64(ESTIMATE_MARGIN) <= job.objective_at,
            predicted,
            left_milli: row.free().without(&step.need).cpu_milli,
        };
        if best.is_none_or(|best| candidate.better_than(&best)) {
            best = Some(candidate);
        }
    }
    best.map(|best| best.worker)
}

fn fits(
    world: &World,
    now: Time,
    row: &Worker,
    job: &RunnerJob,
    step: &Step,
    task: TaskId,
) -> bool {
    row.entry.upstream == job.job.terms.upstream
        && row.is_usable(now, world.policy.worker_silence)
        && row.admits_more()
        && row.free().holds(&step.need)
        && step
            .label
            .as_ref()
            .is_none_or(|label| row.entry.has_label(label))
        && step
            .per_worker
            .is_none_or(|limit| siblings(row, task) < limit)
}

/// Counts the runs of the same step on a worker.
fn siblings(row: &Worker, task: TaskId) -> u32 {
    let same = |run: &&Run| run.id.task.job == task.job && run.id.task.step == task.step;
    u32::try_from(row.runs.values().filter(same).count()).unwrap_or(u32::MAX)
}

fn predict(world: &World, now: Time, row: &Worker, step: &Step) -> Duration {
    let base = world.estimator.predict(step.estimate, row.entry.kind());
    let near = step.near_rack.as_ref();
    let far = near.is_some_and(|rack| !row.entry.has_label(rack));
    let distance = if far { FAR_FACTOR } else { 1.0 };
    base.mul_f64(row.health.slowness(now) * distance)
}

/// How much longer a task takes away from the rack of its data.
const FAR_FACTOR: f64 = 1.5;

/// Starts a task on a worker. `None` if the worker or the job is gone.
fn start(world: &mut World, cx: &mut Cx<'_>, task: TaskId, worker: WorkerId) -> Option<RunId> {
    let lease = world.policy.lease;
    let row = world.workers.get_mut(&worker)?;
    let token = row.token;
    let lease_end_ms = row.extend_lease(cx.now, lease)?;
    let row = world.workers.get(&worker)?;
    let job = world.jobs.get(&task.job)?;
    let step = &job.job.steps[task.step as usize];
    let predicted = predict(world, cx.now, row, step);
    let (need, estimate): (Resources, Duration) = (step.need, step.estimate);
    let payload = Arc::clone(&job.job.payload);
    let job = world.jobs.get_mut(&task.job)?;
    job.started = true;
    let entry = job.task_mut(task)?;
    let run = RunId {
        task,
        number: entry.next_run,
    };
    entry.last_run = entry.next_run;
    entry.next_run += 1;
    entry.state = TaskState::Active(worker);
    world.stats.starts += 1;
    world.add_run(
        worker,
        Run {
            id: run,
            need,
            state: RunState::Starting,
            ordered: cx.now,
            estimate,
            predicted,
            tries: 1,
        },
    );
    cx.order(Order::Start(Start {
        worker,
        run,
        payload,
        token,
        lease_end_ms,
    }));
    Some(run)
}
