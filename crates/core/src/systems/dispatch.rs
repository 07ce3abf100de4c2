//! Starts of waiting tasks on the slots of this issuer.

use crate::action::Action;
use crate::model::ids::{CustomerId, ExecutorId};
use crate::model::message::SpeedNeeds;
use crate::model::request::StartOrder;
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

/// Delay for which no task waits for a faster slot.
const MIN_PATIENCE: Duration = Duration::from_millis(2);

/// Waiting tasks of one job that are looked at for a slot.
const MAX_SCAN: usize = 32;

/// Idle slots of an executor.
#[derive(Clone, Copy, Debug)]
struct IdleSlots {
    executor: ExecutorId,
    speed: f64,
    slots: u16,
    /// Whether it gets one task only.
    single: bool,
}

/// Time after which tasks that wait for a faster slot are looked at again.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Starts waiting tasks while there are slots for them.
///
/// The customer that uses the least of its weight goes first; within a customer the most urgent
/// job; within a job the longest task.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.ready.is_empty() {
        return;
    }
    let mut idle = idle_slots(world, cx.now);
    let mut customers = world.ready.customers();
    while !idle.is_empty() && !customers.is_empty() {
        let position = neediest(world, &customers);
        let customer = customers[position];
        if !start_one(world, cx, customer, &mut idle) {
            customers.swap_remove(position);
        }
    }
    if !idle.is_empty() && !world.ready.is_empty() && !world.issuer.retrying {
        world.issuer.retrying = true;
        cx.subscribe(world, RETRY_DELAY, Timer::DispatchRetry);
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
            slots: available(row, sharing),
            single: !is_trusted(row),
        })
        .filter(|slots| slots.slots > 0)
        .collect();
    idle.sort_by(|a, b| a.speed.total_cmp(&b.speed));
    idle
}

/// Tells whether an executor gets more than one task at a time.
fn is_trusted(row: &Executor) -> bool {
    row.health == Health::Trusted && row.failures == 0
}

fn available(row: &Executor, sharing: Sharing) -> u16 {
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
fn neediest(world: &World, customers: &[CustomerId]) -> usize {
    let load = |customer: &CustomerId| {
        let running = world.running_slots.get(customer).copied().unwrap_or(0);
        f64::from(running) / f64::from(weight(world, *customer))
    };
    let loads = customers.iter().map(load).enumerate();
    loads
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map_or(0, |(position, _)| position)
}

fn weight(world: &World, customer: CustomerId) -> u32 {
    let config = world.config.as_ref();
    config
        .and_then(|config| config.customer(customer))
        .map_or(1, |entry| entry.weight)
}

/// A waiting task and the idle slots that it takes.
#[derive(Clone, Copy, Debug)]
struct Choice {
    /// Position in the job's queue.
    queued: usize,
    /// Position among the idle slots.
    idle: usize,
}

/// Starts one task of the customer's most urgent job for which a slot is idle.
fn start_one(
    world: &mut World,
    cx: &mut Cx<'_>,
    customer: CustomerId,
    idle: &mut Vec<IdleSlots>,
) -> bool {
    let choice = world.ready.jobs(customer).find_map(|(_, counter)| {
        let job = world.jobs.get(counter)?;
        let choice = choose(world, job, idle, cx.now)?;
        Some((counter, choice))
    });
    let Some((counter, choice)) = choice else {
        return false;
    };
    let slots = idle[choice.idle];
    let width = start(world, cx, counter, choice.queued, slots);
    idle[choice.idle].slots -= width;
    if idle[choice.idle].slots == 0 || slots.single {
        idle.remove(choice.idle);
    }
    true
}

/// Chooses a waiting task of `job` and idle slots for it; `idle` is in order of speed.
fn choose(world: &World, job: &Job, idle: &[IdleSlots], now: Time) -> Option<Choice> {
    let longest = job.queue.len().checked_sub(1)?;
    let task = job.queued(longest)?;
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
        // Waiting for a faster slot pays off until it took as long as the slower one costs.
        let cost = task
            .estimate
            .div_f64(idle[fastest].speed)
            .saturating_sub(horizon);
        let patience = world.issuer.patience.max(now.since(job.served));
        if cost <= patience + MIN_PATIENCE {
            let needed = needed_speed(world, task.estimate, horizon);
            let enough = idle
                .iter()
                .position(|slots| slots.speed >= needed && fits(slots));
            return Some(Choice {
                queued: longest,
                idle: enough.unwrap_or(fastest),
            });
        }
    }
    choose_shorter(world, job, idle, horizon)
}

/// Chooses the longest waiting task for which an idle slot is fast enough.
fn choose_shorter(
    world: &World,
    job: &Job,
    idle: &[IdleSlots],
    horizon: Duration,
) -> Option<Choice> {
    let top = idle.last()?.speed;
    let fast_enough =
        |index: &u32| needed_speed(world, job.estimates[*index as usize], horizon) <= top;
    let end = job.queue.partition_point(fast_enough);
    for queued in (end.saturating_sub(MAX_SCAN)..end).rev() {
        let task = job.queued(queued)?;
        let needed = needed_speed(world, task.estimate, horizon);
        let fits = |slots: &IdleSlots| slots.speed >= needed && slots.slots >= task.spec.slots;
        if let Some(idle) = idle.iter().position(fits) {
            return Some(Choice { queued, idle });
        }
    }
    None
}

/// Returns the speed that a task needs so that it does not delay its job.
fn needed_speed(world: &World, estimate: Duration, horizon: Duration) -> f64 {
    let top_speed = world.executors.top_speed();
    let class = SpeedNeeds::class_of(estimate, horizon, top_speed);
    SpeedNeeds::fraction_of(class) * top_speed
}

/// The baseline: the executor with the least own work outstanding for its size.
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

/// Returns the time until the job is expected to end, whatever the next task does: when its
/// running tasks end, but not before the longest waiting one could on the fastest executor.
pub fn time_to_expected_end(world: &World, job: &Job, now: Time) -> Duration {
    let top_speed = world.executors.top_speed().max(f64::MIN_POSITIVE);
    job.expected_end
        .since(now)
        .max(job.longest_waiting().div_f64(top_speed))
}

fn start(world: &mut World, cx: &mut Cx<'_>, counter: u64, queued: usize, slots: IdleSlots) -> u16 {
    let Some(job) = world.jobs.get_mut(counter) else {
        return 0;
    };
    let Some(QueuedTask {
        index,
        spec,
        estimate,
    }) = job.queued(queued)
    else {
        return 0;
    };
    let task = spec.clone();
    let (id, customer, width, bias) = (job.id, job.customer, task.slots, job.bias);
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
        slots: width,
        started: cx.now,
    });
    job.start_queued(queued, attempt, cx.now);
    job.expected_end = job.expected_end.max(cx.now + expected);
    let timeout = attempt_timeout(world, expected);
    if let Some(row) = world.executors.get_mut(slots.executor) {
        row.occupy(width);
    }
    *world.running_slots.entry(customer).or_insert(0) += u32::from(width);
    world.counters.starts += 1;
    jobs::index(world, counter);
    cx.subscribe(world, timeout, Timer::AttemptTimeout(attempt));
    let executor = slots.executor;
    let order = StartOrder {
        attempt,
        executor,
        job: id,
        index,
        customer,
        task,
        timeout,
    };
    cx.act(Action::Start(order));
    width
}

fn attempt_timeout(world: &World, expected: Duration) -> Duration {
    (expected * world.policy.timeout_factor).max(world.policy.timeout_min)
}
