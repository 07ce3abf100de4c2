//! Requests about jobs that this incarnation issued, and the completion and failure of these jobs.

use super::calls::{refuse, respond};
use crate::action::Action;
use crate::model::ids::CustomerId;
use crate::model::job_id::JobId;
use crate::model::outcome::{FailureReason, Outcome, Ran, Refusal, RefusalReason};
use crate::model::request::{Caller, JobOp, JobRequest, Response};
use crate::model::spec::{JobSpec, TaskSpec};
use crate::model::time::Time;
use crate::policy::JobOrder;
use crate::status::Phase;
use crate::tables::estimator::JobEstimate;
use crate::tables::job::Job;
use crate::tables::job_table::Lookup;
use crate::timers::{CallerKey, Timer};
use crate::world::{Cx, World};
use std::time::Duration;

/// Safety factor on the expected duration of a job when it is compared with the deadline.
const DEADLINE_SAFETY_FACTOR: f64 = 1.5;
/// `retry_after` of a refusal because too many callers wait for the job.
const WAITER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles a request about a job that this incarnation issued.
pub fn handle(world: &mut World, cx: &mut Cx<'_>, caller: Caller, req: JobRequest) {
    let JobRequest {
        id,
        customer,
        wait,
        op,
    } = req;
    match world.jobs.look_up(id, customer) {
        Lookup::NoSuchJob => {
            refuse(
                world,
                cx,
                caller,
                Refusal::unknown(RefusalReason::NoSuchJob),
            );
        }
        Lookup::Expired => refuse(world, cx, caller, Refusal::unknown(RefusalReason::Expired)),
        Lookup::Closed(outcome) => {
            let response = Response::Answer {
                id,
                outcome: outcome.clone(),
            };
            respond(world, cx, caller, response);
        }
        Lookup::Open if op == JobOp::Cancel => {
            fail(world, cx, id.counter, FailureReason::Cancelled);
            respond_with_outcome(world, cx, caller, id, customer);
        }
        Lookup::Open => add_waiter(world, cx, caller, id, wait),
        Lookup::NotSubmitted => handle_unsubmitted(world, cx, caller, (id, customer, wait), op),
    }
}

/// Responds with the outcome of a job that has just ended.
fn respond_with_outcome(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    id: JobId,
    customer: CustomerId,
) {
    if let Lookup::Closed(outcome) = world.jobs.look_up(id, customer) {
        let response = Response::Answer {
            id,
            outcome: outcome.clone(),
        };
        respond(world, cx, caller, response);
    }
}

fn handle_unsubmitted(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    (id, customer, wait): (JobId, CustomerId, Duration),
    op: JobOp,
) {
    match op {
        JobOp::Fetch => {
            refuse(
                world,
                cx,
                caller,
                Refusal::unknown(RefusalReason::NotSubmitted),
            );
        }
        JobOp::Cancel => {
            // Must match the reason that the archive of a closed incarnation gives for an unused
            // id.
            let stopping = world.phase != Phase::Serving;
            let reason = if stopping {
                FailureReason::Stopping
            } else {
                FailureReason::Cancelled
            };
            reject_permanently(world, cx, caller, (id, customer), reason);
        }
        JobOp::Submit(spec) => match admit(world, &spec) {
            Err(reason) => reject_permanently(world, cx, caller, (id, customer), reason),
            Ok(estimate) => {
                accept(world, cx, id, customer, spec, estimate);
                add_waiter(world, cx, caller, id, wait);
            }
        },
    }
}

/// Fails a job that was never accepted, permanently: none of its tasks ran, and none will run, even
/// if the id is submitted again.
fn reject_permanently(
    world: &mut World,
    cx: &mut Cx<'_>,
    caller: Caller,
    (id, customer): (JobId, CustomerId),
    reason: FailureReason,
) {
    let outcome = Outcome::failed(reason, Ran::NotRun);
    world
        .jobs
        .reject_permanently(id.counter, customer, outcome.clone(), cx.now);
    world.counters.jobs_failed += 1;
    respond(world, cx, caller, Response::Answer { id, outcome });
}

/// Decides whether a job is accepted, and estimates the run times of its tasks.
fn admit(world: &World, spec: &JobSpec) -> Result<JobEstimate, FailureReason> {
    if world.phase != Phase::Serving {
        return Err(FailureReason::Stopping);
    }
    let Some(config) = world.config.as_ref().filter(|_| world.admits_work()) else {
        return Err(FailureReason::NotServing);
    };
    if world.executors.is_empty() {
        return Err(FailureReason::NotServing);
    }
    let max_slots = world.executors.max_executor_slots();
    let fits = |task: &TaskSpec| task.slots >= 1 && task.slots <= max_slots;
    let count = spec.tasks.len();
    if count == 0 || count > world.policy.max_tasks || !spec.tasks.iter().all(fits) {
        return Err(FailureReason::Impossible);
    }
    if world.open_tasks + count > config.active_preset().max_open_tasks as usize {
        return Err(FailureReason::Overloaded);
    }
    if world.open_bytes + spec.size() > world.policy.max_open_bytes {
        return Err(FailureReason::Overloaded);
    }
    let wait = world.issuer.expected_wait;
    if wait > Duration::from_millis(u64::from(config.active_preset().max_wait_ms)) {
        return Err(FailureReason::Overloaded);
    }
    let estimate = world.estimator.estimate(&spec.tasks);
    if let Some(deadline) = spec.deadline {
        check_deadline(world, &estimate.tasks, deadline)?;
    }
    Ok(estimate)
}

/// Rejects a job that is not expected to end before its deadline under the current load.
fn check_deadline(
    world: &World,
    estimates: &[Duration],
    deadline: Duration,
) -> Result<(), FailureReason> {
    let longest = estimates.iter().max().copied().unwrap_or_default();
    let alone = longest.div_f64(world.executors.top_speed().max(f64::MIN_POSITIVE));
    let expected = alone + world.issuer.expected_wait;
    if expected.mul_f64(DEADLINE_SAFETY_FACTOR) > deadline {
        return Err(FailureReason::DeadlineUnreachable);
    }
    Ok(())
}

fn accept(
    world: &mut World,
    cx: &mut Cx<'_>,
    id: JobId,
    customer: CustomerId,
    spec: JobSpec,
    estimate: JobEstimate,
) {
    let job = Job::new(id, customer, spec, estimate, cx.now);
    if let Some(at) = job.deadline {
        world.timers.schedule(at, Timer::JobDeadline(id.counter));
    }
    world.counters.jobs_accepted += 1;
    world.open_tasks += job.tasks.len();
    world.open_bytes += job.spec.size();
    world.jobs.insert(job);
    world.issuer.needs_slots = true;
    update_ready_index(world, id.counter);
}

/// Updates the position of a job in the ready index; removes a job without waiting tasks.
pub fn update_ready_index(world: &mut World, counter: u64) {
    let Some(job) = world.jobs.get(counter) else {
        world.ready.remove(counter);
        return;
    };
    if job.queue.is_empty() {
        world.ready.remove(counter);
        return;
    }
    let key = order_key(world, job);
    world.ready.set(counter, job.customer, key);
}

/// Computes the key that orders a job in the ready index. Ageing is included as a term of the
/// submission time, so the key need not be updated as time passes. See [`rank`].
fn order_key(world: &World, job: &Job) -> u64 {
    let submitted_us = job.submitted_at.as_micros();
    match world.policy.job_order {
        JobOrder::Fifo => submitted_us,
        JobOrder::ShortestRemaining => {
            let remaining = u64::try_from(job.remaining.as_micros()).unwrap_or(u64::MAX);
            remaining.saturating_add(ageing_term(world, submitted_us))
        }
    }
}

/// Converts an order key to a rank that is comparable between processes, whose clocks have
/// different origins.
pub fn rank(world: &World, key: u64, now: Time) -> u64 {
    match world.policy.job_order {
        JobOrder::Fifo => u64::MAX - now.as_micros().saturating_sub(key),
        JobOrder::ShortestRemaining => key.saturating_sub(ageing_term(world, now.as_micros())),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "microseconds of a process's life fit the mantissa, and the factor is not negative"
)]
fn ageing_term(world: &World, micros: u64) -> u64 {
    (micros as f64 * world.policy.ageing) as u64
}

/// Registers a caller to wait for the answer, or responds with the present state if it does not
/// wait.
fn add_waiter(world: &mut World, cx: &mut Cx<'_>, caller: Caller, id: JobId, wait: Duration) {
    let max_waiters = world.policy.max_waiters;
    let Some(job) = world.jobs.get_mut(id.counter) else {
        return;
    };
    if wait.is_zero() {
        let response = running_response(job);
        respond(world, cx, caller, response);
        return;
    }
    if job.waiters.len() >= max_waiters {
        let refusal = Refusal::unknown(RefusalReason::TooManyWaiting);
        refuse(
            world,
            cx,
            caller,
            refusal.with_retry_after(WAITER_RETRY_AFTER),
        );
        return;
    }
    job.waiters.push(caller);
    let timer = Timer::WaitTimeout(id.counter, CallerKey::from(caller));
    cx.schedule_after(world, wait, timer);
}

fn running_response(job: &Job) -> Response {
    let total = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
    Response::Running {
        id: job.id,
        done: job.done,
        total,
    }
}

/// Ends the wait of a caller and responds with the present state of the job.
pub fn end_wait(world: &mut World, cx: &mut Cx<'_>, counter: u64, key: CallerKey) {
    let Some(job) = world.jobs.get_mut(counter) else {
        return;
    };
    let position = job
        .waiters
        .iter()
        .position(|&waiter| CallerKey::from(waiter) == key);
    if let Some(position) = position {
        let caller = job.waiters.swap_remove(position);
        let response = running_response(job);
        respond(world, cx, caller, response);
    }
}

/// Fails a job: drops its waiting tasks and aborts its running ones.
pub fn fail(world: &mut World, cx: &mut Cx<'_>, counter: u64, reason: FailureReason) {
    let Some(job) = world.jobs.get(counter) else {
        return;
    };
    let ran = if job.may_have_run() {
        Ran::MayHaveRun
    } else {
        Ran::NotRun
    };
    let attempts: Vec<_> = job.running_attempts().collect();
    for attempt in attempts {
        if let Some(row) = world.attempts.get(attempt) {
            cx.emit(Action::Abort {
                attempt,
                executor: row.executor,
            });
        }
    }
    // The owner must learn that the waiting tasks no longer need slots.
    world.issuer.changed |= job.waiting_slots > 0;
    world.counters.jobs_failed += 1;
    close(world, cx, counter, Outcome::failed(reason, ran));
}

/// Completes a job once all of its tasks have ended.
pub fn complete_if_done(world: &mut World, cx: &mut Cx<'_>, counter: u64) {
    let results = world
        .jobs
        .get(counter)
        .filter(|job| job.running == 0 && job.queue.is_empty());
    let Some(results) = results.and_then(Job::results) else {
        return;
    };
    world.counters.jobs_complete += 1;
    close(world, cx, counter, Outcome::Complete(results));
}

fn close(world: &mut World, cx: &mut Cx<'_>, counter: u64, outcome: Outcome) {
    let Some(job) = world.jobs.close_job(counter, outcome.clone(), cx.now) else {
        return;
    };
    world.ready.remove(counter);
    world.open_tasks -= job.tasks.len();
    world.open_bytes -= job.spec.size();
    for caller in job.waiters {
        let outcome = outcome.clone();
        respond(
            world,
            cx,
            caller,
            Response::Answer {
                id: job.id,
                outcome,
            },
        );
    }
}
