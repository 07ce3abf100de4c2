//! The issuer's side of slot sharing: what it holds, wants and gives back.

use super::{jobs, membership};
use crate::collections::FastMap;
use crate::model::ids::CustomerId;
use crate::model::incarnation::Incarnation;
use crate::model::message::{
    Avoid, AvoidCause, Claim, Demand, Grant, Holding, Message, SpeedNeeds,
};
use crate::model::time::Time;
use crate::policy::Sharing;
use crate::tables::executor_table::{Executor, Health};
use crate::tables::job::Job;
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::time::Duration;

/// Gives back what is not needed, and tells the owner what changed.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    if world.policy.sharing == Sharing::Independent {
        return;
    }
    let owner = follow_owner(world, cx.now);
    return_unusable(world, cx.now);
    return_recalled(world);
    return_lingering(world, cx);
    let Some(owner) = owner else {
        return;
    };
    let needs_slots = world.issuer.wants && !world.ready.is_empty();
    world.issuer.wants = needs_slots;
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
    } else if !world.issuer.scheduled {
        world.issuer.scheduled = true;
        world.timers.subscribe(due, Timer::DemandDue);
    }
}

/// Notes who owns the slots, and what that means for this process.
fn follow_owner(world: &mut World, now: Time) -> Option<Incarnation> {
    let owner = membership::slot_owner(world, now);
    if owner != world.issuer.owner {
        world.issuer.owner = owner;
        world.issuer.changed = true;
        world.issuer.recall = 0;
    }
    if owner == Some(world.me) {
        world.owner.since.get_or_insert(now);
    } else if world.owner.since.take().is_some() {
        world.ledger.clear();
    }
    owner
}

/// Gives back idle slots of executors that get no work.
fn return_unusable(world: &mut World, now: Time) {
    let mut returned = false;
    world.executors.for_each_mut(|row| {
        if row.idle() > 0 && !row.is_usable(now) {
            row.held = row.in_use;
            returned = true;
        }
    });
    world.issuer.changed |= returned;
}

/// Gives back idle slots that the owner wants.
fn return_recalled(world: &mut World) {
    let mut recall = world.issuer.recall;
    if recall == 0 {
        return;
    }
    world.executors.for_each_mut(|row| {
        let slots = u32::from(row.idle()).min(recall);
        row.held -= u16::try_from(slots).unwrap_or(row.held);
        recall -= slots;
    });
    world.issuer.changed |= recall != world.issuer.recall;
    world.issuer.recall = recall;
}

/// Gives back slots that stayed idle.
fn return_lingering(world: &mut World, cx: &Cx<'_>) {
    let idle = world.executors.iter().any(|row| row.idle() > 0);
    if !idle {
        world.issuer.idle_since = None;
        return;
    }
    let linger = world.policy.idle_slot_linger;
    let Some(since) = world.issuer.idle_since else {
        world.issuer.idle_since = Some(cx.now);
        cx.subscribe(world, linger, Timer::DemandDue);
        return;
    };
    if cx.now.since(since) >= linger {
        world.executors.for_each_mut(|row| row.held = row.in_use);
        world.issuer.idle_since = None;
        world.issuer.changed = true;
    }
}

/// Repeats the demand, so that the owner's account follows even if messages were lost.
pub fn refresh(world: &mut World, cx: &Cx<'_>) {
    let holds = world.executors.iter().any(|row| row.held > 0);
    let quiet = !holds && world.ready.is_empty();
    let told = cx.now.since(world.issuer.sent_at) < world.policy.demand_refresh;
    if !quiet && !told {
        world.issuer.changed = true;
    }
}

fn send(world: &mut World, cx: &mut Cx<'_>, owner: Incarnation) {
    world.issuer.demand_seq += 1;
    world.issuer.sent_at = cx.now;
    world.issuer.wants = false;
    world.issuer.changed = false;
    let demand = Demand {
        seq: world.issuer.demand_seq,
        grant_seq: world.issuer.grant_seqs.get(&owner).copied().unwrap_or(0),
        holdings: holdings(world),
        claims: claims(world, cx.now),
        recall: world.issuer.recall,
        avoid: avoided(world, cx.now),
    };
    cx.send(world, owner, Message::Demand(demand));
}

fn holdings(world: &World) -> Vec<Holding> {
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

fn avoided(world: &World, now: Time) -> Vec<Avoid> {
    let rows = world.executors.iter();
    rows.filter_map(|row| {
        let cause = avoid_cause(row, now)?;
        Some(Avoid {
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

/// Lists the most urgent jobs, and per customer what else runs or waits.
fn claims(world: &World, now: Time) -> Vec<Claim> {
    let mut unlisted = world.running_slots.clone();
    let mut claims = Vec::new();
    let mut rest: FastMap<CustomerId, Claim> = FastMap::default();
    for (position, (key, counter, customer)) in world.ready.ranked().into_iter().enumerate() {
        let Some(job) = world.jobs.get(counter) else {
            continue;
        };
        if let Some(running) = unlisted.get_mut(&customer) {
            *running = running.saturating_sub(job.running_slots);
        }
        let rank = jobs::rank(world, key, now);
        let claim = claim_of(world, job, rank, now);
        if position < world.policy.max_claims {
            claims.push(claim);
        } else {
            rest.entry(customer)
                .and_modify(|sum| merge(sum, &claim))
                .or_insert(claim);
        }
    }
    let mut rest: Vec<_> = rest.into_values().collect();
    rest.sort_by_key(|claim| (claim.rank, claim.customer));
    claims.extend(rest);
    claims.extend(running_claims(unlisted));
    claims
}

fn running_claims(unlisted: FastMap<CustomerId, u32>) -> Vec<Claim> {
    let mut claims: Vec<_> = unlisted
        .into_iter()
        .filter(|&(_, running)| running > 0)
        .map(|(customer, running)| Claim {
            customer,
            rank: 0,
            running,
            needs: SpeedNeeds::default(),
            width: 1,
            work: Duration::ZERO,
            longest: Duration::ZERO,
        })
        .collect();
    claims.sort_by_key(|claim| claim.customer);
    claims
}

fn merge(sum: &mut Claim, claim: &Claim) {
    sum.running += claim.running;
    for (total, slots) in sum.needs.0.iter_mut().zip(claim.needs.0) {
        *total += slots;
    }
    sum.width = sum.width.max(claim.width);
    sum.work += claim.work;
    sum.longest = sum.longest.max(claim.longest);
}

fn claim_of(world: &World, job: &Job, rank: u64, now: Time) -> Claim {
    let mut needs = SpeedNeeds::default();
    let mut work = Duration::ZERO;
    let longest = job
        .next_task()
        .map(|(_, _, estimate)| estimate)
        .unwrap_or_default();
    let top_speed = world.executors.top_speed().max(f64::MIN_POSITIVE);
    let horizon = job.expected_end.since(now).max(longest.div_f64(top_speed));
    for &index in &job.queue {
        let estimate = job.estimates[index as usize];
        work += estimate;
        let needed = estimate.as_secs_f64() / horizon.as_secs_f64().max(f64::MIN_POSITIVE);
        let class = SpeedNeeds::class_of(needed / top_speed);
        needs.0[class] += u32::from(job.spec.tasks[index as usize].slots);
    }
    let width = job.widest_waiting();
    Claim {
        customer: job.customer,
        rank,
        running: job.running_slots,
        needs,
        width,
        work,
        longest,
    }
}

/// Takes in slots from the owner, and what it wants back.
pub fn grant_received(world: &mut World, cx: &Cx<'_>, from: Incarnation, grant: &Grant) {
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
            row.held = row.held.saturating_add(holding.slots).min(row.vm.slots);
        }
    }
    world.issuer.recall = grant.recall;
    world.issuer.expected_wait = grant.expected_wait;
    world.issuer.idle_since = Some(cx.now);
}
