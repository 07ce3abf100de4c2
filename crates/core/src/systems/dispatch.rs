//! Starts of waiting tasks on the slots of this issuer.

use crate::action::Action;
use crate::model::ids::{CustomerId, ExecutorId};
use crate::model::request::StartOrder;
use crate::model::time::Time;
use crate::policy::{Placement, Sharing};
use crate::systems::jobs;
use crate::tables::attempt_table::Attempt;
use crate::tables::executor_table::{Executor, Health};
use crate::tables::job::Job;
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::sync::Arc;
use std::time::Duration;

/// Share of the time until a job's expected end that a task placed by fit may take by estimate.
const FIT_MARGIN: f64 = 0.9;

/// Idle slots of an executor.
#[derive(Clone, Copy, Debug)]
struct IdleSlots {
    executor: ExecutorId,
    speed: f64,
    slots: u16,
    /// Whether it gets one task only.
    single: bool,
}

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
            single: row.health != Health::Trusted,
        })
        .filter(|slots| slots.slots > 0)
        .collect();
    idle.sort_by(|a, b| a.speed.total_cmp(&b.speed));
    idle
}

fn available(row: &Executor, sharing: Sharing) -> u16 {
    let free = match sharing {
        Sharing::Owner => row.idle(),
        Sharing::Independent => row.vm.slots.saturating_sub(row.in_use),
    };
    if row.health == Health::Trusted || row.in_use == 0 {
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

/// Starts one task of the customer's most urgent job for which a slot is idle.
fn start_one(
    world: &mut World,
    cx: &mut Cx<'_>,
    customer: CustomerId,
    idle: &mut Vec<IdleSlots>,
) -> bool {
    let choice = world.ready.jobs(customer).find_map(|(_, counter)| {
        let job = world.jobs.get(counter)?;
        let position = choose_slot(world, job, idle, cx.now)?;
        Some((counter, position))
    });
    let Some((counter, position)) = choice else {
        return false;
    };
    let executor = idle[position];
    let width = start(world, cx, counter, executor);
    idle[position].slots -= width;
    if idle[position].slots == 0 || executor.single {
        idle.remove(position);
    }
    true
}

/// Chooses idle slots for the longest waiting task of `job`; `idle` is in order of speed.
fn choose_slot(world: &World, job: &Job, idle: &[IdleSlots], now: Time) -> Option<usize> {
    let (_, task, estimate) = job.next_task()?;
    let fits = |slots: &IdleSlots| slots.slots >= task.slots;
    if world.policy.sharing == Sharing::Independent {
        return least_outstanding(world, idle, fits);
    }
    let fastest = idle.iter().rposition(fits)?;
    if world.policy.placement == Placement::Fastest {
        return Some(fastest);
    }
    let allowed = time_to_expected_end(job, now).mul_f64(FIT_MARGIN);
    let in_time = |slots: &IdleSlots| fits(slots) && estimate.div_f64(slots.speed) <= allowed;
    Some(idle.iter().position(in_time).unwrap_or(fastest))
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

/// Returns the time until the job is expected to end, whatever the next task does.
fn time_to_expected_end(job: &Job, now: Time) -> Duration {
    let by_running = job.expected_end.since(now);
    let parallel = job.running_slots.max(1);
    by_running.max(job.remaining / parallel / 2)
}

fn start(world: &mut World, cx: &mut Cx<'_>, counter: u64, slots: IdleSlots) -> u16 {
    let Some(job) = world.jobs.get_mut(counter) else {
        return 0;
    };
    let Some((index, task, estimate)) = job.next_task() else {
        return 0;
    };
    let task = task.clone();
    let (id, customer, width) = (job.id, job.customer, task.slots);
    let expected = estimate.div_f64(slots.speed);
    let attempt = world.attempts.insert(Attempt {
        job: counter,
        index,
        executor: slots.executor,
        customer,
        kind: Arc::clone(&task.kind),
        declared: task.declared,
        estimate,
        slots: width,
        started: cx.now,
    });
    job.start_next(attempt);
    job.expected_end = job.expected_end.max(cx.now + expected);
    let timeout = attempt_timeout(world, expected);
    if let Some(row) = world.executors.get_mut(slots.executor) {
        row.in_use += width;
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
