//! Scheduling: chooses the next task to start and the worker to start it on.

use super::{containment, evacuations, leases, quarantine, room, shares, suspect_reports};
use crate::guarded::action::{Action, Start};
use crate::guarded::model::ids::{ClientJobId, RunId, TaskId, WorkerId};
use crate::guarded::model::job::Step;
use crate::guarded::model::resources::Resources;
use crate::guarded::tables::runner_job::{RunnerJob, TaskState};
use crate::guarded::tables::worker::{Run, RunState, Worker};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::cmp::Ordering;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Share of the predicted remaining run time that must fit before the latency objective for a job
/// to count as on time. Below 1 because predictions are rough.
const ON_TIME_WORK_SHARE: f64 = 0.85;

/// Factor on the predicted run time within which most tasks end. A slow worker is chosen only if
/// the task would still be on time with this margin.
const RUN_TIME_MARGIN: f64 = 1.25;

/// Slack up to which a job counts as urgent. Jobs of a queue below its share wait for their turn by
/// slack until then.
const URGENT_SLACK: Duration = Duration::from_millis(200);

/// Scheduling order of jobs; the lowest rank is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the latency objective can no longer be met.
    late: bool,
    /// Priority of a late job, where 0 comes first; 0 for jobs that are on time.
    priority: u32,
    /// Latest start time that meets the objective; for late jobs the submission time.
    at: Time,
}

impl Rank {
    /// Returns whether the job will be late unless it starts soon.
    pub fn is_urgent(&self, now: Time) -> bool {
        self.late || self.at.since(now) <= URGENT_SLACK
    }
}

/// Starts waiting tasks while workers have free capacity.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    quarantine::run(world, cx);
    shares::update(world, cx.now);
    start_jobs(world, cx);
    for job in world.jobs.values_mut() {
        job.is_offered = true;
    }
}

fn start_jobs(world: &mut World, cx: &mut Cx<'_>) {
    if !has_free_worker(world, cx.now) {
        shares::record_shortage_if_waiting(world, cx.now);
        return;
    }
    let jobs = shares::order_jobs(world, cx.now, ranked_jobs(world, cx.now));
    shares::record_order(world, cx.now, &jobs);
    for job in jobs {
        start_tasks(world, cx, job.item.1);
        if !has_free_worker(world, cx.now) {
            shares::record_shortage_if_waiting(world, cx.now);
            return;
        }
    }
}

/// Returns the jobs with waiting tasks in scheduling order.
pub fn jobs_by_rank(world: &World, now: Time) -> Vec<(Rank, ClientJobId)> {
    let jobs = shares::order_jobs(world, now, ranked_jobs(world, now));
    jobs.into_iter().map(|job| job.item).collect()
}

/// Returns the jobs with waiting tasks in the order of their ranks.
fn ranked_jobs(world: &World, now: Time) -> Vec<(Rank, ClientJobId)> {
    let waiting = world.jobs.values();
    let waiting = waiting.filter(|job| job.due_tasks().next().is_some());
    let mut ranked: Vec<_> = waiting
        .map(|job| (rank_job(world, now, job), job.id()))
        .collect();
    ranked.sort_unstable();
    ranked
}

fn has_free_worker(world: &World, now: Time) -> bool {
    let stale_after = world.policy.worker_stale_after;
    let mut rows = world.workers.values();
    rows.any(|row| {
        row.is_usable(now, stale_after)
            && !world.drains.contains(row.entry.id, row.boot)
            && row.may_extend_lease()
            && row.admits_run()
            && row.free().cpu_milli > 0
    })
}

fn rank_job(world: &World, now: Time, job: &RunnerJob) -> Rank {
    let left = job.work_left(&world.estimator);
    let slack = job.objective_at.since(now);
    let late = slack < left.mul_f64(ON_TIME_WORK_SHARE);
    if late && job.started {
        // A started job can't be refused any more, so it is scheduled to end before its client
        // times out.
        let slack = job.deadline.since(now);
        return Rank {
            late: false,
            priority: 0,
            at: now + slack.saturating_sub(left.mul_f64(RUN_TIME_MARGIN)),
        };
    }
    if late {
        return Rank {
            late,
            priority: job.job.settings.priority,
            at: job.submitted_at,
        };
    }
    Rank {
        late,
        priority: 0,
        at: now + slack.saturating_sub(left),
    }
}

/// Starts the waiting tasks of a job until no worker has room for the next one.
fn start_tasks(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) {
    let Some(job) = world.jobs.get(&id) else {
        return;
    };
    if !leases::is_wanted(world, cx.now, job) {
        return;
    }
    let due: Vec<TaskId> = job
        .due_tasks()
        .map(|task| task.id)
        .filter(|task| !world.present_runs.contains_key(task))
        .filter(|&task| !world.starts_in_flight.is_open(task))
        .collect();
    let waiting = due.len();
    let mut starts = Vec::new();
    for task in due {
        let Some(worker) = choose_worker(world, cx.now, task) else {
            // The others may start on workers that a suspect can't use.
            if world.suspects.get(task).is_some() {
                continue;
            }
            shares::record_shortage(world, cx.now);
            break;
        };
        if let Some(run) = start_run(world, cx, task, worker) {
            starts.push((run, worker));
        }
    }
    if !starts.is_empty() {
        log_starts(world, cx.now, id, waiting, &starts);
        room::observe_start(world, cx.now, id);
    }
}

/// Logs the started runs, their workers and the inputs of the decision.
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
        Some(now.since(row.last_answer_at).as_millis())
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

/// Formats starts as `step.index#run@worker`.
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

/// A worker with room for a task.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerId,
    should_avoid: bool,
    is_on_time: bool,
    predicted: Duration,
    cpu_left_milli: u64,
}

impl Candidate {
    /// Compares candidates. Workers that the task should avoid come last, then those on which it
    /// would be late. Among workers that are on time the slowest wins, which keeps fast ones free
    /// for tasks that need them; otherwise the fastest wins. Ties go to the worker with the least
    /// CPU left (best fit).
    fn is_better_than(&self, other: &Self) -> bool {
        let by_time = if self.is_on_time {
            other.predicted.cmp(&self.predicted).reverse()
        } else {
            other.predicted.cmp(&self.predicted)
        };
        let ordering = other
            .should_avoid
            .cmp(&self.should_avoid)
            .then(self.is_on_time.cmp(&other.is_on_time))
            .then(by_time)
            .then(other.cpu_left_milli.cmp(&self.cpu_left_milli));
        ordering == Ordering::Greater
    }
}

fn choose_worker(world: &World, now: Time, task: TaskId) -> Option<WorkerId> {
    let job = world.jobs.get(&task.job)?;
    let step = &job.job.steps[task.step as usize];
    let avoid = job.tasks.iter().find(|row| row.id == task)?.avoid;
    let mut best: Option<Candidate> = None;
    for row in world.workers.values() {
        if !fits(world, now, row, job, step, task) {
            continue;
        }
        let predicted = predict_run_time(world, now, row, step);
        let candidate = Candidate {
            worker: row.entry.id,
            should_avoid: avoid == Some(row.entry.id),
            is_on_time: now + predicted.mul_f64(RUN_TIME_MARGIN) <= job.objective_at,
            predicted,
            cpu_left_milli: row.free().without(&step.need).cpu_milli,
        };
        if best.is_none_or(|best| candidate.is_better_than(&best)) {
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
    row.entry.upstream == job.job.settings.upstream
        && row.is_usable(now, world.policy.worker_stale_after)
        && !world.drains.contains(row.entry.id, row.boot)
        && row.may_extend_lease()
        && row.admits_run()
        && row.free().can_fit(&step.need)
        && evacuations::admits(world, now, &row.entry, job)
        && quarantine::admits(world, now, row, task)
        && containment::admits(world, row, job.job.settings.queue)
        && step
            .label
            .as_ref()
            .is_none_or(|label| row.entry.has_label(label))
        && step
            .max_per_worker
            .is_none_or(|limit| count_step_runs(row, task) < limit)
}

/// Counts the runs on a worker that belong to the same step of the job.
fn count_step_runs(row: &Worker, task: TaskId) -> u32 {
    let same = |run: &&Run| run.id.task.job == task.job && run.id.task.step == task.step;
    u32::try_from(row.runs.values().filter(same).count()).unwrap_or(u32::MAX)
}

fn predict_run_time(world: &World, now: Time, row: &Worker, step: &Step) -> Duration {
    let preferred = step.preferred_rack.as_ref();
    let is_outside = preferred.is_some_and(|rack| !row.entry.has_label(rack));
    let rack_factor = if is_outside { REMOTE_RACK_FACTOR } else { 1.0 };
    predict_worker_time(world, now, row, step.estimate, rack_factor)
}

/// Predicts the run time on a worker of a task with this estimate that takes longer by `factor`.
pub fn predict_worker_time(
    world: &World,
    now: Time,
    row: &Worker,
    estimate: Duration,
    factor: f64,
) -> Duration {
    let base = world.estimator.predict(estimate, row.entry.kind());
    let cold_factor = if row.is_cold(now) {
        world.estimator.cold_factor()
    } else {
        1.0
    };
    base.mul_f64(row.health.slowdown(now) * factor * cold_factor)
}

/// Factor on the run time of a task that runs outside the rack that holds its data.
const REMOTE_RACK_FACTOR: f64 = 1.5;

/// Starts a task on a worker. Returns `None` if the worker or the job is gone, if the worker's
/// clock is not known, or if its lease must not be extended.
fn start_run(world: &mut World, cx: &mut Cx<'_>, task: TaskId, worker: WorkerId) -> Option<RunId> {
    let row = world.workers.get(&worker)?;
    let (token, address) = (row.token, row.entry.address);
    let lease_end_ms = leases::renew(world, cx.now, worker)?;
    let row = world.workers.get(&worker)?;
    let job = world.jobs.get(&task.job)?;
    let step = &job.job.steps[task.step as usize];
    let predicted = predict_run_time(world, cx.now, row, step);
    let (need, estimate): (Resources, Duration) = (step.need, step.estimate);
    let payload = Arc::clone(&job.job.payload);
    let queue = job.job.settings.queue;
    let job = world.jobs.get_mut(&task.job)?;
    job.started = true;
    let row = job.task_mut(task)?;
    let run = RunId {
        task,
        number: row.next_run,
    };
    row.last_run = row.next_run;
    row.next_run += 1;
    row.state = TaskState::Active(worker);
    world.stats.starts += 1;
    if containment::is_contained(world, queue)
        && let Some(row) = world.workers.get_mut(&worker)
    {
        row.exclusive_to = Some(queue);
    }
    if world.suspects.get(task).is_some()
        && let Some(row) = world.workers.get_mut(&worker)
        && row.runs.is_empty()
    {
        row.reserved_for = Some(task);
        world.has_reservations = true;
        suspect_reports::report_trial(world, cx.now, task, worker);
    }
    world.add_run(
        worker,
        Run {
            id: run,
            queue: Some(queue),
            need,
            state: RunState::Starting,
            requested_at: cx.now,
            estimate,
            predicted,
            token,
            start_requests: 1,
            is_confirmed: false,
        },
    );
    cx.emit(Action::Start(Start {
        worker,
        address,
        run,
        payload,
        token,
        lease_end_ms,
    }));
    Some(run)
}
