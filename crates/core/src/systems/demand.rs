//! Slot sharing on the issuer: tracks the slots that it holds, reports its demand to the slot owner
//! and releases unneeded slots.

use super::{dispatch, jobs, membership};
use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::model::incarnation::Incarnation;
use crate::model::message::{
    AvoidCause, AvoidedExecutor, Claim, Demand, Grant, Holding, Message, Recall, SlotsBySpeedClass,
};
use crate::model::time::Time;
use crate::policy::Sharing;
use crate::tables::executor_table::{Executor, Health};
use crate::tables::job::Job;
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::time::Duration;

/// Releases slots that are not needed, and sends the demand to the owner if something changed.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.policy.sharing == Sharing::Independent {
        return;
    }
    let owner = update_owner(world, cx.now);
    release_unusable(world, cx.now);
    release_long_idle(world, cx);
    let Some(owner) = owner else {
        return;
    };
    let needs_slots = world.issuer.needs_slots && !world.ready.is_empty();
    world.issuer.needs_slots = needs_slots;
    if !needs_slots && !world.issuer.changed {
        return;
    }
    let interval = if needs_slots {
        world.policy.urgent_demand_interval
    } else {
        world.policy.demand_interval
    };
    let due = world.issuer.sent_at + interval;
    if cx.now >= due || world.issuer.demand_seq == 0 {
        send(world, cx, owner);
    } else if !world.issuer.demand_scheduled {
        world.issuer.demand_scheduled = true;
        world.timers.schedule(due, Timer::DemandDue);
    }
}

/// Updates the view of which process owns the slots, and resets the state that depends on it.
fn update_owner(world: &mut World, now: Time) -> Option<Incarnation> {
    let owner = membership::slot_owner(world, now);
    if owner != world.issuer.owner {
        world.issuer.owner = owner;
        world.issuer.changed = true;
        world.issuer.recall = Recall::default();
    }
    if owner == Some(world.me) {
        world.owner.since.get_or_insert(now);
    } else if world.owner.since.take().is_some() {
        world.allocations.clear();
    }
    owner
}

/// Releases idle slots of executors that get no work at present.
fn release_unusable(world: &mut World, now: Time) {
    release(world, |row| if row.is_usable(now) { 0 } else { row.idle() });
}

/// Releases idle slots that the owner recalled. Must run before dispatch, which would otherwise use
/// them.
pub fn release_recalled(world: &mut World) {
    let Recall {
        mut slots,
        min_speed_milli,
    } = world.issuer.recall;
    if slots == 0 {
        return;
    }
    release(world, |row| {
        if row.speed_milli() < min_speed_milli {
            return 0;
        }
        let released = u32::from(row.idle()).min(slots);
        slots -= released;
        u16::try_from(released).unwrap_or(u16::MAX)
    });
    world.issuer.recall.slots = slots;
}

/// Releases slots that have been idle for `idle_slot_timeout`.
fn release_long_idle(world: &mut World, cx: &Cx<'_>) {
    let (now, timeout) = (cx.now, world.policy.idle_slot_timeout);
    release(world, |row| {
        if row.is_idle_for(now, timeout) {
            row.idle()
        } else {
            0
        }
    });
    let idle = world.executors.iter().any(|row| row.idle() > 0);
    if idle && !world.issuer.idle_check_scheduled {
        world.issuer.idle_check_scheduled = true;
        cx.schedule_after(world, timeout, Timer::IdleSlotCheck);
    }
}

/// Releases the idle slots of each executor, up to the number that `count` returns for it.
fn release(world: &mut World, mut count: impl FnMut(&Executor) -> u16) {
    let mut released = 0_u32;
    let mut unused = 0_u32;
    world.executors.for_each_mut(|row| {
        let before = row.held;
        let slots = count(row);
        unused += u32::from(row.release_idle_slots(slots));
        released += u32::from(before - row.held);
    });
    world.counters.unused_returns += u64::from(unused > 0);
    world.issuer.changed |= released > 0;
}

/// Marks the demand for repetition, so that the owner's slot accounting becomes correct again after
/// lost messages.
pub fn refresh(world: &mut World, cx: &Cx<'_>) {
    world.executors.update_top_speed();
    let holds = world.executors.iter().any(|row| row.held > 0);
    let is_inactive = !holds && world.ready.is_empty();
    let sent_recently = cx.now.since(world.issuer.sent_at) < world.policy.demand_refresh_interval;
    if !is_inactive && !sent_recently {
        world.issuer.changed = true;
    }
}

fn send(world: &mut World, cx: &mut Cx<'_>, owner: Incarnation) {
    world.issuer.demand_seq += 1;
    world.issuer.sent_at = cx.now;
    world.issuer.needs_slots = false;
    world.issuer.changed = false;
    let demand = Demand {
        seq: world.issuer.demand_seq,
        grant_seq: world.issuer.grant_seqs.get(&owner).copied().unwrap_or(0),
        holdings: collect_holdings(world),
        claims: collect_claims(world, cx.now),
        recall: world.issuer.recall,
        avoid: collect_avoided(world, cx.now),
    };
    cx.send(world, owner, Message::Demand(demand));
}

fn collect_holdings(world: &World) -> Vec<Holding> {
    let held = world
        .executors
        .iter()
        .filter(|row| row.held > 0 || row.in_use > 0);
    held.map(|row| Holding {
        executor: row.vm.id,
        slots: row.held.max(row.in_use),
    })
    .collect()
}

fn collect_avoided(world: &World, now: Time) -> Vec<AvoidedExecutor> {
    let rows = world.executors.iter();
    rows.filter_map(|row| {
        let cause = avoid_cause(row, now)?;
        Some(AvoidedExecutor {
            executor: row.vm.id,
            cause,
        })
    })
    .collect()
}

fn avoid_cause(row: &Executor, now: Time) -> Option<AvoidCause> {
    match row.health {
        Health::Ejected { .. } => Some(AvoidCause::Failing),
        Health::Probation => Some(AvoidCause::Probation),
        Health::Trusted if now < row.backoff_until => Some(AvoidCause::Busy),
        Health::Trusted => (now < row.leaving_until).then_some(AvoidCause::Failing),
    }
}

/// Returns a claim for each of the most urgent jobs, one aggregated claim per customer for its
/// other waiting jobs, and one per customer for slots of jobs without waiting tasks.
fn collect_claims(world: &World, now: Time) -> Vec<Claim> {
    let mut unlisted_running = world.running_slots.clone();
    let mut claims = Vec::new();
    let mut aggregated: FastMap<CustomerId, Claim> = FastMap::default();
    for (position, (key, counter, customer)) in world.ready.ranked().into_iter().enumerate() {
        let Some(job) = world.jobs.get(counter) else {
            continue;
        };
        if let Some(running) = unlisted_running.get_mut(&customer) {
            *running = running.saturating_sub(job.running_slots);
        }
        let rank = jobs::rank(world, key, now);
        let claim = build_claim(world, job, rank, now);
        if position < world.policy.max_claims {
            claims.push(claim);
        } else {
            aggregated
                .entry(customer)
                .and_modify(|sum| merge_claim(sum, &claim))
                .or_insert(claim);
        }
    }
    let mut aggregated: Vec<_> = aggregated.into_values().collect();
    aggregated.sort_by_key(|claim| (claim.rank, claim.customer));
    claims.extend(aggregated);
    claims.extend(collect_running_claims(unlisted_running));
    claims
}

fn collect_running_claims(unlisted_running: FastMap<CustomerId, u32>) -> Vec<Claim> {
    let mut claims: Vec<_> = unlisted_running
        .into_iter()
        .filter(|&(_, running)| running > 0)
        .map(|(customer, running)| Claim {
            customer,
            rank: 0,
            running,
            needs: SlotsBySpeedClass::default(),
            max_task_slots: 1,
            work: Duration::ZERO,
            longest: Duration::ZERO,
            horizon: Duration::ZERO,
            waited: Duration::ZERO,
        })
        .collect();
    claims.sort_by_key(|claim| claim.customer);
    claims
}

fn merge_claim(sum: &mut Claim, claim: &Claim) {
    sum.running += claim.running;
    for (total, slots) in sum.needs.0.iter_mut().zip(claim.needs.0) {
        *total += slots;
    }
    sum.max_task_slots = sum.max_task_slots.max(claim.max_task_slots);
    sum.work += claim.work;
    sum.longest = sum.longest.max(claim.longest);
    sum.horizon = sum.horizon.max(claim.horizon);
    sum.waited = sum.waited.max(claim.waited);
}

fn build_claim(world: &World, job: &Job, rank: u64, now: Time) -> Claim {
    let mut needs = SlotsBySpeedClass::default();
    let mut work = Duration::ZERO;
    let longest = job.longest_waiting();
    let top_speed = world.executors.top_speed().max(f64::MIN_POSITIVE);
    let horizon = dispatch::time_to_expected_end(world, job, now);
    for &index in &job.queue {
        let estimate = job.estimates[index as usize];
        work += estimate;
        let class = SlotsBySpeedClass::class_for(estimate, horizon, top_speed);
        needs.0[class] += u32::from(job.spec.tasks[index as usize].slots);
    }
    let max_task_slots = job.max_waiting_task_slots();
    Claim {
        customer: job.customer,
        rank,
        running: job.running_slots,
        needs,
        max_task_slots,
        work,
        longest,
        horizon,
        waited: now.since(job.waiting_since),
    }
}

/// Handles a grant: adds the granted slots and records the recall and the expected waits.
pub fn handle_grant(world: &mut World, cx: &Cx<'_>, from: Incarnation, grant: &Grant) {
    let last = world.issuer.grant_seqs.entry(from).or_insert(0);
    if grant.seq <= *last {
        return;
    }
    *last = grant.seq;
    if world.issuer.owner != Some(from) {
        return;
    }
    for holding in &grant.slots {
        if let Some(row) = world.executors.get_mut(holding.executor) {
            row.add_granted_slots(holding.slots, cx.now);
        }
    }
    world.issuer.recall = grant.recall;
    world.issuer.expected_wait = grant.expected_wait;
    world.issuer.fast_slot_wait = grant.fast_slot_wait;
}
