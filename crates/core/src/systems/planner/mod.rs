//! Planner of the slot owner: decides which issuer is granted which slots.

mod granting;
mod plan;
mod shares;

use self::granting::GrantAllocator;
use self::plan::{FreeSlots, PlannedClaim, PlannedIssuer};
use self::shares::allocate_by_weight;
use super::membership;
use crate::collections::FastMap;
use crate::model::ids::{CustomerId, ExecutorId};
use crate::model::incarnation::Incarnation;
use crate::model::message::{
    AvoidCause, Claim, Demand, Grant, Holding, Message, Recall, SPEED_CLASSES, SlotsBySpeedClass,
};
use crate::model::time::Time;
use crate::tables::allocation_table::IssuerAllocation;
use crate::tables::executor_table::Executor;
use crate::timers::Timer;
use crate::world::{Cx, World};
use std::time::Duration;

/// Interval at which a new owner checks whether all issuers have reported.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before claims that were left waiting for faster slots or a later grant are planned again.
const DEFERRED_PLAN_DELAY: Duration = Duration::from_millis(5);
/// Smallest change of the expected wait that is sent to the issuers for its own sake.
const MIN_WAIT_CHANGE: Duration = Duration::from_millis(100);

/// Records the demand of an issuer and schedules a plan.
pub fn handle_demand(world: &mut World, cx: &Cx<'_>, from: Incarnation, demand: Demand) {
    if membership::slot_owner(world, cx.now) != Some(world.me) {
        return;
    }
    world.allocations.apply_demand(from, demand, cx.now);
    schedule_plan(world, cx);
}

/// Schedules a plan unless one is scheduled already or this process is not the owner.
pub fn schedule_plan(world: &mut World, cx: &Cx<'_>) {
    if world.owner.since.is_some() && !world.owner.plan_scheduled {
        world.owner.plan_scheduled = true;
        cx.schedule_after(world, world.policy.plan_delay, Timer::PlanDue);
    }
}

/// Computes a plan and sends grants and recalls to the issuers that it changes something for.
pub fn run(world: &mut World, cx: &mut Cx<'_>) {
    world.owner.plan_scheduled = false;
    let Some(since) = world.owner.since else {
        return;
    };
    if !is_ready_to_plan(world, cx.now, since) {
        world.owner.plan_scheduled = true;
        cx.schedule_after(world, READINESS_CHECK_INTERVAL, Timer::PlanDue);
        return;
    }
    world
        .allocations
        .expire_grants(cx.now, world.policy.grant_lifetime);
    let mut issuers = planned_issuers(world, cx.now);
    let mut free = free_slots(world, cx.now, &issuers);
    let capacity = usable_capacity(world, cx.now);
    let mut claims = planned_claims(world, cx.now);
    set_targets(world, &mut claims, capacity);
    for planned in &claims {
        issuers[planned.issuer].target += planned.target;
        issuers[planned.issuer].fast_slots_needed += planned.claim.needs.0[0];
    }
    let mut allocator = GrantAllocator {
        free: &mut free,
        top_speed: top_speed(world),
        fast_slot_wait: world.owner.fast_slot_wait,
        unmet: SlotsBySpeedClass::default(),
        deferred: false,
    };
    allocator.allocate(&claims, &mut issuers);
    let GrantAllocator {
        unmet,
        deferred,
        fast_slot_wait,
        ..
    } = allocator;
    world.owner.fast_slot_wait = fast_slot_wait;
    plan_recalls(world, &mut issuers, &unmet);
    if deferred || (unmet.total() > 0 && !free.is_empty()) {
        world.owner.plan_scheduled = true;
        cx.schedule_after(world, DEFERRED_PLAN_DELAY, Timer::PlanDue);
    }
    let wait = expected_wait(world, cx.now, &claims);
    send_grants(world, cx, &issuers, wait);
}

/// Returns whether all serving peers have reported their holdings to this new owner, or
/// `owner_startup_delay` has passed.
fn is_ready_to_plan(world: &World, now: Time, since: Time) -> bool {
    if now.since(since) >= world.policy.owner_startup_delay {
        return true;
    }
    let serving = world.members.serving(now, world.policy.peer_timeout);
    serving
        .map(|(peer, _)| peer)
        .all(|peer| world.allocations.has_demand_from(peer))
}

fn planned_issuers(world: &World, now: Time) -> Vec<PlannedIssuer> {
    let rows = world.allocations.issuers();
    rows.into_iter()
        .map(|(id, issuer)| PlannedIssuer {
            id,
            held: issuer.held(),
            target: 0,
            recall: Recall::default(),
            outstanding_recall: outstanding_recall(issuer),
            recently_granted: now.since(issuer.last_grant_at) < world.policy.grant_interval,
            fast_slots_needed: 0,
            holdings: holdings_of(issuer),
            avoid: issuer
                .demand
                .avoid
                .iter()
                .map(|row| (row.executor, row.cause))
                .collect(),
            grants: FastMap::default(),
        })
        .collect()
}

/// Returns the part of the last recall that the issuer has not returned yet.
const fn outstanding_recall(issuer: &IssuerAllocation) -> Recall {
    if issuer.recall.slots > 0 {
        issuer.recall
    } else {
        issuer.demand.recall
    }
}

fn holdings_of(issuer: &IssuerAllocation) -> FastMap<ExecutorId, u32> {
    let mut holdings = FastMap::default();
    for holding in issuer.holdings() {
        *holdings.entry(holding.executor).or_insert(0) += u32::from(holding.slots);
    }
    holdings
}

/// Returns whether starts can presumably reach an executor: it is in this data centre, a serving
/// peer is in its data centre, or its data centre has no entry VMs.
fn is_reachable(world: &World, now: Time, executor: ExecutorId) -> bool {
    let Some(data_centre) = world.executors.data_centre(executor) else {
        return false;
    };
    if data_centre == world.me.data_centre {
        return true;
    }
    let entries = world.vm_list.iter().flat_map(|list| list.entries.iter());
    let has_entries = entries.into_iter().any(|vm| vm.data_centre == data_centre);
    !has_entries
        || world
            .members
            .has_serving_peer_in(data_centre, now, world.policy.peer_timeout)
}

/// Returns the executors that accept work and can be reached. If none can be reached, returns those
/// that seem cut off: their data centre may have lost only its entry VMs.
fn usable_executors(world: &World, now: Time) -> Vec<&Executor> {
    let accepting = world.executors.iter().filter(|row| row.accepts_work(now));
    let (reachable, cut_off): (Vec<_>, Vec<_>) =
        accepting.partition(|row| is_reachable(world, now, row.vm.id));
    if reachable.is_empty() {
        cut_off
    } else {
        reachable
    }
}

fn usable_capacity(world: &World, now: Time) -> u32 {
    usable_executors(world, now)
        .iter()
        .map(|row| u32::from(row.vm.slots))
        .sum()
}

fn top_speed(world: &World) -> f64 {
    world.executors.top_speed()
}

/// Returns the free slots sorted by ascending speed. An executor that an issuer reported as failing
/// or on probation gets one task at a time.
fn free_slots(world: &World, now: Time, issuers: &[PlannedIssuer]) -> Vec<FreeSlots> {
    let allocated = world.allocations.allocated_slots();
    let is_suspect = |executor: ExecutorId| {
        let causes = issuers
            .iter()
            .filter_map(|issuer| issuer.avoid.get(&executor));
        causes.into_iter().any(|cause| *cause != AvoidCause::Busy)
    };
    let mut free: Vec<_> = usable_executors(world, now)
        .into_iter()
        .map(|row| {
            let one_at_a_time = is_suspect(row.vm.id);
            let used = allocated.get(&row.vm.id).copied().unwrap_or(0);
            let limit = if one_at_a_time && used > 0 {
                0
            } else {
                u32::from(row.vm.slots)
            };
            let slots = limit.saturating_sub(used);
            FreeSlots {
                executor: row.vm.id,
                speed: row.speed(),
                slots,
                one_at_a_time,
            }
        })
        .filter(|slots| slots.slots > 0)
        .collect();
    free.sort_by(|a, b| {
        a.speed
            .total_cmp(&b.speed)
            .then(a.executor.cmp(&b.executor))
    });
    free
}

fn planned_claims(world: &World, now: Time) -> Vec<PlannedClaim> {
    let mut claims = Vec::new();
    for (position, (_, issuer)) in world.allocations.issuers().into_iter().enumerate() {
        let rows = issuer.demand.claims.iter();
        let age = now.since(issuer.demand_received_at);
        claims.extend(rows.map(|&claim| {
            let claim = claim.projected(age);
            PlannedClaim {
                issuer: position,
                claim,
                target: 0,
            }
        }));
    }
    claims.sort_by_key(|planned| (planned.claim.rank, planned.issuer));
    claims
}

fn wanted_slots(claim: &Claim) -> u32 {
    claim.running + claim.needs.total()
}

/// Sets the target of each claim: slots are shared between customers by weight, and within a
/// customer by rank.
fn set_targets(world: &World, claims: &mut [PlannedClaim], capacity: u32) {
    let mut wanted_by_customer: FastMap<CustomerId, u32> = FastMap::default();
    for planned in claims.iter() {
        *wanted_by_customer
            .entry(planned.claim.customer)
            .or_insert(0) += wanted_slots(&planned.claim);
    }
    let mut remaining = allocate_by_weight(world, &wanted_by_customer, capacity);
    for planned in claims.iter_mut() {
        let Some(remaining) = remaining.get_mut(&planned.claim.customer) else {
            continue;
        };
        planned.target = wanted_slots(&planned.claim).min(*remaining);
        *remaining -= planned.target;
    }
}

/// Plans which slots issuers are asked to return. Each issuer is asked for its surplus over its
/// target, as far as other issuers are short. Unmet needs for fast slots override this with a
/// recall of fast slots.
fn plan_recalls(world: &World, issuers: &mut [PlannedIssuer], unmet: &SlotsBySpeedClass) {
    let shortages = issuers
        .iter()
        .map(|issuer| issuer.target.saturating_sub(issuer.held));
    let mut shortage: u32 = shortages.sum();
    for issuer in issuers.iter_mut() {
        let surplus = issuer.held.saturating_sub(issuer.target);
        issuer.recall = Recall {
            slots: surplus.min(shortage),
            min_speed_milli: 0,
        };
        shortage -= issuer.recall.slots;
    }
    for class in (0..SPEED_CLASSES - 1).rev() {
        let min_speed = SlotsBySpeedClass::min_speed_fraction(class) * top_speed(world);
        recall_fast(world, issuers, unmet.0[class], min_speed);
    }
}

fn recall_fast(world: &World, issuers: &mut [PlannedIssuer], mut unmet: u32, min_speed: f64) {
    let is_fast = |executor: &ExecutorId| {
        world
            .executors
            .get(*executor)
            .is_some_and(|row| row.speed() >= min_speed)
    };
    for issuer in issuers.iter_mut() {
        let rows = issuer
            .holdings
            .iter()
            .filter(|(executor, _)| is_fast(executor));
        let held: u32 = rows.map(|(_, slots)| *slots).sum();
        let slots = held.saturating_sub(issuer.fast_slots_needed).min(unmet);
        if slots > 0 {
            unmet -= slots;
            let min_speed_milli = (min_speed * 1_000.0) as u32;
            issuer.recall = Recall {
                slots,
                min_speed_milli,
            };
        }
    }
}

/// Estimates the time until newly submitted work starts: the waiting work divided by the total
/// speed of the usable slots.
fn expected_wait(world: &World, now: Time, claims: &[PlannedClaim]) -> Duration {
    let work: f64 = claims
        .iter()
        .map(|planned| planned.claim.work.as_secs_f64())
        .sum();
    let rows = usable_executors(world, now).into_iter();
    let speed: f64 = rows.map(|row| row.speed() * f64::from(row.vm.slots)).sum();
    if speed <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(work / speed)
}

fn send_grants(world: &mut World, cx: &mut Cx<'_>, issuers: &[PlannedIssuer], wait: Duration) {
    let wait_changed = world.owner.last_sent_wait.abs_diff(wait) >= MIN_WAIT_CHANGE;
    if wait_changed {
        world.owner.last_sent_wait = wait;
    }
    for issuer in issuers {
        let recall_changed =
            issuer.recall.slots > issuer.outstanding_recall.slots && !issuer.recently_granted;
        if !issuer.grants.is_empty() || recall_changed || wait_changed {
            send_grant(world, cx, issuer, wait);
        }
    }
}

fn send_grant(world: &mut World, cx: &mut Cx<'_>, issuer: &PlannedIssuer, wait: Duration) {
    let mut slots: Vec<_> = issuer
        .grants
        .iter()
        .map(|(&executor, &slots)| Holding { executor, slots })
        .collect();
    slots.sort_by_key(|holding| holding.executor);
    let Some(row) = world.allocations.get_mut(issuer.id) else {
        return;
    };
    row.recall = issuer.recall;
    let seq = row.record_grant(&slots, cx.now);
    world.counters.grants += 1;
    let grant = Grant {
        seq,
        slots,
        recall: issuer.recall,
        expected_wait: wait,
        fast_slot_wait: world.owner.fast_slot_wait,
    };
    cx.send(world, issuer.id, Message::Grant(grant));
}
