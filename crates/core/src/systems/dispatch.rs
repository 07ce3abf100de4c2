//! Dispatch: starts waiting tasks on slots that this issuer holds.

use crate::action::Action;
use crate::model::ids::{CustomerId, ExecutorId};
use crate::model::message::SlotsBySpeedClass;
use crate::model::request::StartRequest;
use crate::model::time::Time;
use crate::policy::{Placement, Sharing};
use crate::systems::jobs;
use crate::tables::attempt_table::Attempt;
use crate::tables::executor_table::{Executor, Health};
use crate::tables::job::{Job, QueuedTask};
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::sync::Arc;
use std::time::Duration;

/// Delay of a job that is accepted on top of the expected wait for a faster slot.
const NEGLIGIBLE_DELAY: Duration = Duration::from_millis(2);

/// Maximum number of waiting tasks of one job that are examined for a slot.
const MAX_SCANNED_TASKS: usize = 32;

/// Idle slots of an executor that this issuer may use.
#[derive(Clone, Copy, Debug)]
struct IdleSlots {
    executor: ExecutorId,
    speed: f64,
    slots: u16,
    /// Whether the executor gets one task at a time because of earlier failures.
    one_at_a_time: bool,
}

/// Delay before tasks that wait for a faster slot are dispatched again.
const DISPATCH_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Starts waiting tasks while there are slots for them.
///
/// The customer with the fewest running slots per weight goes first, within a customer the most
/// urgent job, and within a job the longest task.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.ready.is_empty() {
        return;
    }
    let mut idle = idle_slots(world, cx.now);
    let mut customers = world.ready.customers();
    while !idle.is_empty() && !customers.is_empty() {
        let position = least_served_customer(world, &customers);
        let customer = customers[position];
        if !start_next_task(world, cx, customer, &mut idle) {
            customers.swap_remove(position);
        }
    }
    if !idle.is_empty() && !world.ready.is_empty() && !world.issuer.dispatch_retry_scheduled {
        world.issuer.dispatch_retry_scheduled = true;
        cx.schedule_after(world, DISPATCH_RETRY_DELAY, Timer::DispatchRetry);
    }
}

fn idle_slots(world: &World, now: Time) -> Vec<IdleSlots> {
    let sharing = world.policy.sharing;
    let mut idle: Vec<_> = world
        .executors
        .iter()
        .filter(|row| row.is_usable(now))
        .map(|row| IdleSlots {
            executor: row.vm.id,
            speed: row.speed(),
            slots: available_slots(row, sharing),
            one_at_a_time: !is_trusted(row),
        })
        .filter(|slots| slots.slots > 0)
        .collect();
    idle.sort_by(|a, b| a.speed.total_cmp(&b.speed));
    idle
}

/// Returns whether an executor may run more than one task at a time.
fn is_trusted(row: &Executor) -> bool {
    row.health == Health::Trusted && row.failures == 0
}

fn available_slots(row: &Executor, sharing: Sharing) -> u16 {
    let free = match sharing {
        Sharing::Owner => row.idle(),
        Sharing::Independent => row.vm.slots.saturating_sub(row.in_use),
    };
    if is_trusted(row) || row.in_use == 0 {
        free
    } else {
        0
    }
}

/// Returns the position of the customer with the fewest running slots per weight.
fn least_served_customer(world: &World, customers: &[CustomerId]) -> usize {
    let load = |customer: &CustomerId| {
        let running = world.running_slots.get(customer).copied().unwrap_or(0);
        f64::from(running) / f64::from(customer_weight(world, *customer))
    };
    let loads = customers.iter().map(load).enumerate();
    loads
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map_or(0, |(position, _)| position)
}

fn customer_weight(world: &World, customer: CustomerId) -> u32 {
    let config = world.config.as_ref();
    config
        .and_then(|config| config.customer(customer))
        .map_or(1, |entry| entry.weight)
}

/// A waiting task and the idle slots chosen for it.
#[derive(Clone, Copy, Debug)]
struct Choice {
    /// Position in the job's queue.
    queued: usize,
    /// Position among the idle slots.
    idle: usize,
}

/// Starts one task of the customer's most urgent job that fits an idle slot. Returns whether a task
/// was started.
fn start_next_task(
    world: &mut World,
    cx: &mut Cx<'_>,
    customer: CustomerId,
    idle: &mut Vec<IdleSlots>,
) -> bool {
    let choice = world.ready.jobs(customer).find_map(|(_, counter)| {
        let job = world.jobs.get(counter)?;
        let choice = choose_task(world, job, idle, cx.now)?;
        Some((counter, choice))
    });
    let Some((counter, choice)) = choice else {
        return false;
    };
    let slots = idle[choice.idle];
    let task_slots = start_task(world, cx, counter, choice.queued, slots);
    idle[choice.idle].slots -= task_slots;
    if idle[choice.idle].slots == 0 || slots.one_at_a_time {
        idle.remove(choice.idle);
    }
    true
}

/// Chooses a waiting task of `job` and idle slots for it. `idle` is sorted by ascending speed.
fn choose_task(world: &World, job: &Job, idle: &[IdleSlots], now: Time) -> Option<Choice> {
    let longest = job.queue.len().checked_sub(1)?;
    let task = job.queued_task(longest)?;
    let fits = |slots: &IdleSlots| slots.slots >= task.spec.slots;
    if world.policy.sharing == Sharing::Independent {
        let idle = least_outstanding(world, idle, fits)?;
        return Some(Choice {
            queued: longest,
            idle,
        });
    }
    let fastest = idle.iter().rposition(fits);
    if world.policy.placement == Placement::Fastest {
        return Some(Choice {
            queued: longest,
            idle: fastest?,
        });
    }
    let horizon = time_to_expected_end(world, job, now);
    if let Some(fastest) = fastest {
        // A slower slot delays the job by this much. Waiting for a faster one is worthwhile only
        // while the wait is shorter than that.
        let cost = task
            .estimate
            .div_f64(idle[fastest].speed)
            .saturating_sub(horizon);
        let fast_slot_wait = world
            .issuer
            .fast_slot_wait
            .max(now.since(job.waiting_since));
        if cost <= fast_slot_wait + NEGLIGIBLE_DELAY {
            let needed = needed_speed(world, task.estimate, horizon);
            let sufficient = idle
                .iter()
                .position(|slots| slots.speed >= needed && fits(slots));
            return Some(Choice {
                queued: longest,
                idle: sufficient.unwrap_or(fastest),
            });
        }
    }
    choose_shorter_task(world, job, idle, horizon)
}

/// Chooses the longest waiting task that some idle slot is fast enough for.
fn choose_shorter_task(
    world: &World,
    job: &Job,
    idle: &[IdleSlots],
    horizon: Duration,
) -> Option<Choice> {
    let top = idle.last()?.speed;
    let fast_enough =
        |index: &u32| needed_speed(world, job.estimates[*index as usize], horizon) <= top;
    let end = job.queue.partition_point(fast_enough);
    for queued in (end.saturating_sub(MAX_SCANNED_TASKS)..end).rev() {
        let task = job.queued_task(queued)?;
        let needed = needed_speed(world, task.estimate, horizon);
        let fits = |slots: &IdleSlots| slots.speed >= needed && slots.slots >= task.spec.slots;
        if let Some(idle) = idle.iter().position(fits) {
            return Some(Choice { queued, idle });
        }
    }
    None
}

/// Returns the lowest speed at which a task does not delay the end of its job.
fn needed_speed(world: &World, estimate: Duration, horizon: Duration) -> f64 {
    let top_speed = world.executors.top_speed();
    let class = SlotsBySpeedClass::class_for(estimate, horizon, top_speed);
    SlotsBySpeedClass::min_speed_fraction(class) * top_speed
}

/// Chooses the executor with the least outstanding work of this issuer relative to its speed. Used
/// by the benchmark baseline without slot sharing.
fn least_outstanding(
    world: &World,
    idle: &[IdleSlots],
    fits: impl Fn(&IdleSlots) -> bool,
) -> Option<usize> {
    let outstanding = |slots: &IdleSlots| {
        let row = world.executors.get(slots.executor);
        row.map_or(0.0, |row| f64::from(row.in_use + 1) / slots.speed)
    };
    let candidates = idle.iter().enumerate().filter(|(_, slots)| fits(slots));
    candidates
        .min_by(|a, b| outstanding(a.1).total_cmp(&outstanding(b.1)))
        .map(|(position, _)| position)
}

/// Returns the time until the job is expected to end, whatever slot its next task gets: when its
/// running tasks end, but no earlier than the longest waiting task could end on the fastest
/// executor.
pub fn time_to_expected_end(world: &World, job: &Job, now: Time) -> Duration {
    let top_speed = world.executors.top_speed().max(f64::MIN_POSITIVE);
    job.expected_end
        .since(now)
        .max(job.longest_waiting().div_f64(top_speed))
}

fn start_task(
    world: &mut World,
    cx: &mut Cx<'_>,
    counter: u64,
    queued: usize,
    slots: IdleSlots,
) -> u16 {
    let Some(job) = world.jobs.get_mut(counter) else {
        return 0;
    };
    let Some(QueuedTask {
        index,
        spec,
        estimate,
    }) = job.queued_task(queued)
    else {
        return 0;
    };
    let task = spec.clone();
    let (id, customer, task_slots, bias) = (job.id, job.customer, task.slots, job.bias);
    let expected = estimate.div_f64(slots.speed);
    let attempt = world.attempts.insert(Attempt {
        job: counter,
        index,
        executor: slots.executor,
        customer,
        kind: Arc::clone(&task.kind),
        declared: task.declared,
        bias,
        estimate,
        slots: task_slots,
        started_at: cx.now,
    });
    job.start_queued(queued, attempt, cx.now);
    job.expected_end = job.expected_end.max(cx.now + expected);
    let timeout = attempt_timeout(world, expected);
    if let Some(row) = world.executors.get_mut(slots.executor) {
        row.occupy_slots(task_slots);
    }
    *world.running_slots.entry(customer).or_insert(0) += u32::from(task_slots);
    world.counters.starts += 1;
    jobs::update_ready_index(world, counter);
    cx.schedule_after(world, timeout, Timer::AttemptTimeout(attempt));
    let executor = slots.executor;
    let req = StartRequest {
        attempt,
        executor,
        job: id,
        index,
        customer,
        task,
        timeout,
    };
    cx.emit(Action::Start(req));
    task_slots
}

fn attempt_timeout(world: &World, expected: Duration) -> Duration {
    (expected * world.policy.attempt_timeout_factor).max(world.policy.min_attempt_timeout)
}
