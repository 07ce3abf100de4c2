//! Shares of the queues: accounts of what they use, and the order of their jobs while room is short.
//!
//! Each holder divides the room that it knows: its own, and that of the holders whose heartbeats
//! report that their room is short as well. It enforces the shares on its own workers, by the order
//! in which jobs start. Nothing is held free: what one queue does not use goes to the others.

use super::containment;
use super::dispatch::Rank;
use crate::collections::FastMap;
use crate::guarded::model::ids::{ClientJobId, QueueId};
use crate::guarded::model::job::Job;
use crate::guarded::model::queue_use::{MAX_QUEUE_USES, QueueUse};
use crate::guarded::shares::{
    Budget, Claim, Entrant, ShareSettings, Standing, divide, first_limits, order, parts,
};
use crate::guarded::stats::QueueShare;
use crate::guarded::tables::runner_job::RunnerJob;
use crate::guarded::world::World;
use crate::model::time::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time over which the work of waiting tasks is spread to compare it with what is in use.
const WAITING_SPAN: Duration = Duration::from_secs(1);

/// A waiting job with its rank.
pub type RankedJob = (Rank, ClientJobId);

/// What a queue uses and waits for, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    priority: u32,
    held_milli: f64,
    usual_milli: f64,
    waiting_milli: f64,
}

/// The share of a queue in the room that this VM knows.
#[derive(Clone, Copy, Debug)]
struct Share {
    total: Total,
    share_milli: f64,
    part_milli: f64,
    /// Use up to which its jobs go first.
    first_milli: f64,
    quota_milli: f64,
}

/// The shares of all queues.
#[derive(Debug)]
struct Division {
    shares: BTreeMap<QueueId, Share>,
    /// Part of the room that this VM holds.
    own_part: f64,
}

/// Updates the accounts.
pub fn update(world: &mut World, now: Time) {
    if world.shares.is_none() {
        return;
    }
    let mut in_use: FastMap<QueueId, u64> = FastMap::default();
    for row in world.workers.values() {
        for run in row.runs.values() {
            if let Some(queue) = run.queue {
                *in_use.entry(queue).or_default() += run.need.cpu_milli;
            }
        }
    }
    world.accounts.update(now, &in_use);
    if !is_in_force(world, now) {
        record_excess(world, now, &BTreeMap::new());
    }
}

/// Records that a task found no room.
pub const fn record_shortage(world: &mut World, now: Time) {
    if world.shares.is_some() {
        world.accounts.record_shortage(now);
    }
}

/// Records a shortage if tasks wait. Called when no worker has room.
pub fn record_shortage_if_waiting(world: &mut World, now: Time) {
    let has_due = |job: &RunnerJob| job.due_tasks().next().is_some();
    if world.shares.is_some() && world.jobs.values().any(has_due) {
        record_shortage(world, now);
    }
}

/// Records a job that arrived, whether or not it is accepted.
pub fn record_arrival(world: &mut World, now: Time, job: &Job) {
    if world.shares.is_none() {
        return;
    }
    let settings = &job.settings;
    let account = world.accounts.open(now, settings.queue, settings.priority);
    if let Some(account) = account {
        account.sizes.record_size(size(job));
    }
}

/// Records that a job was completed, or was refused or ran out of time, while room is short.
pub fn record_outcome(world: &mut World, now: Time, job: &Job, is_served: bool) {
    if !is_in_force(world, now) {
        return;
    }
    if let Some(account) = world.accounts.get_mut(job.settings.queue) {
        account.sizes.record_outcome(now, size(job), is_served);
    }
}

/// Returns whether jobs of this size are completed less often than the rest of their queue, so that they should
/// not be refused for an expected wait that is longer only because of their size.
pub fn is_behind(world: &World, job: &Job) -> bool {
    let account = world.accounts.get(job.settings.queue);
    account.is_some_and(|account| account.sizes.is_behind(size(job)))
}

/// Returns the size of a job: the sum of the declared run times of its tasks in microseconds.
fn size(job: &Job) -> u64 {
    let sizes = job.steps.iter().map(|step| {
        let micros = u64::try_from(step.estimate.as_micros()).unwrap_or(u64::MAX);
        micros.saturating_mul(u64::from(step.count))
    });
    sizes.fold(0, u64::saturating_add)
}

/// Returns whether shares apply and room is short.
fn is_in_force(world: &World, now: Time) -> bool {
    world.shares.is_some() && world.accounts.is_short(now)
}

/// Orders jobs, given in the order of their ranks.
pub fn order_jobs(world: &World, now: Time, ranked: Vec<RankedJob>) -> Vec<Entrant<RankedJob>> {
    let is_in_force = is_in_force(world, now);
    let entrants = ranked.into_iter();
    let entrants = entrants.filter_map(|item| to_entrant(world, now, item, is_in_force));
    let mut entrants: Vec<_> = entrants.collect();
    if let Some(settings) = world.shares.as_ref().filter(|_| is_in_force) {
        let division = divide_room(world, now, settings);
        order(&mut entrants, &division.budgets());
    }
    entrants
}

fn to_entrant(
    world: &World,
    now: Time,
    item: RankedJob,
    is_in_force: bool,
) -> Option<Entrant<RankedJob>> {
    let job = world.jobs.get(&item.1)?;
    let due_milli = if is_in_force { job.due_milli() } else { 0 };
    Some(Entrant {
        queue: job.job.settings.queue,
        need_milli: to_float(due_milli),
        has_begun: job.started,
        is_urgent: item.0.is_urgent(now),
        is_behind: is_in_force && is_behind(world, &job.job),
        standing: Standing::First,
        is_put_first: false,
        is_held_back: false,
        item,
    })
}

/// Counts the jobs that the shares put first and held back, and logs which queues exceed their shares
/// while others wait.
pub fn record_order(world: &mut World, now: Time, entrants: &[Entrant<RankedJob>]) {
    let Some(settings) = world.shares.clone().filter(|_| is_in_force(world, now)) else {
        return;
    };
    for entrant in entrants {
        let Some(job) = world.jobs.get_mut(&entrant.item.1) else {
            continue;
        };
        if entrant.is_put_first && !job.was_put_first {
            job.was_put_first = true;
            world.stats.put_first_by_shares += 1;
        }
        if entrant.is_held_back && !job.was_held_back {
            job.was_held_back = true;
            world.stats.held_back_by_shares += 1;
        }
    }
    let division = divide_room(world, now, &settings);
    record_excess(world, now, &division.shares);
}

fn record_excess(world: &mut World, now: Time, shares: &BTreeMap<QueueId, Share>) {
    let waiting: f64 = shares.values().map(|row| row.total.waiting_milli).sum();
    let names = &world.queues;
    for (queue, account) in world.accounts.iter_mut() {
        let share = shares.get(&queue);
        let is_above = share.is_some_and(|row| {
            let others_wait = waiting > row.total.waiting_milli;
            others_wait && row.total.held_milli > row.first_milli
        });
        let name = names.as_ref().and_then(|table| table.name(queue));
        match account.record_excess(now, is_above) {
            Some(true) => tracing::warn!(
                %queue,
                name = name.as_deref(),
                held_milli = share.map(|row| row.total.held_milli.round()),
                share_milli = share.map(|row| row.share_milli.round()),
                waiting_milli = share.map(|row| row.total.waiting_milli.round()),
                "the queue exceeds its share while others wait"
            ),
            Some(false) => tracing::info!(
                %queue,
                name = name.as_deref(),
                "the queue no longer exceeds its share while others wait"
            ),
            None => {}
        }
    }
}

/// Returns what the queues use of the workers held here, for the heartbeats; nothing while there is
/// room for all.
pub fn report(world: &World, now: Time) -> Vec<QueueUse> {
    if !is_in_force(world, now) {
        return Vec::new();
    }
    let totals = own_totals(world);
    let rows = totals.into_iter().map(|(queue, total)| QueueUse {
        queue,
        priority: total.priority,
        held_milli: to_milli(total.held_milli),
        usual_milli: to_milli(total.usual_milli),
        waiting_milli: to_milli(total.waiting_milli),
    });
    let mut rows: Vec<QueueUse> = rows.collect();
    rows.sort_unstable_by_key(|row| Reverse(row.held_milli + row.waiting_milli));
    rows.truncate(MAX_QUEUE_USES);
    rows
}

/// Returns what each queue uses of the workers held here, and its share of them.
pub fn queue_shares(world: &World, now: Time) -> Vec<QueueShare> {
    let Some(settings) = &world.shares else {
        return Vec::new();
    };
    let division = is_in_force(world, now).then(|| divide_room(world, now, settings));
    let rows = world.accounts.iter().map(|(queue, account)| {
        let share = division
            .as_ref()
            .and_then(|division| division.own_share(queue));
        let name = world.queues.as_ref().and_then(|table| table.name(queue));
        QueueShare {
            name: name.unwrap_or_else(|| Arc::from(queue.to_string())),
            in_use_milli: account.in_use_milli,
            share_milli: share.map_or(0, to_milli),
        }
    });
    rows.collect()
}

/// Divides the room that this VM knows among the queues.
fn divide_room(world: &World, now: Time, settings: &ShareSettings) -> Division {
    let mut totals = own_totals(world);
    let held: f64 = totals.values().map(|total| total.held_milli).sum();
    let accounts = world.accounts.iter();
    let accounts = accounts.filter(|(queue, _)| !containment::is_contained(world, *queue));
    let in_use: u64 = accounts.map(|(_, row)| row.in_use_milli).sum();
    // While tasks find no room, what is in use is all that the queues can use.
    let own_milli = held.max(to_float(in_use));
    let reported = add_reported(world, now, &mut totals);
    let room_milli = own_milli + reported;
    let claims = totals.iter().map(|(&queue, total)| Claim {
        weight: settings.weight(queue, total.priority),
        demand: total.held_milli + total.waiting_milli,
        usual: total.usual_milli,
        limit: settings.quota(queue) * room_milli,
    });
    let claims: Vec<Claim> = claims.collect();
    let shares = divide(room_milli, &claims);
    let limits = first_limits(room_milli, &claims, &shares);
    let results = parts(room_milli, &claims).into_iter().zip(limits);
    let results = claims.iter().zip(shares.into_iter().zip(results));
    let rows = totals.into_iter().zip(results);
    let rows = rows.map(
        |((queue, total), (claim, (share_milli, (part_milli, first_milli))))| {
            let share = Share {
                total,
                share_milli,
                part_milli,
                first_milli,
                quota_milli: claim.limit,
            };
            (queue, share)
        },
    );
    Division {
        shares: rows.collect(),
        own_part: if room_milli > 0.0 {
            own_milli / room_milli
        } else {
            1.0
        },
    }
}

impl Division {
    /// Returns what each queue may still get here.
    fn budgets(&self) -> FastMap<QueueId, Budget> {
        let rows = self.shares.iter().map(|(&queue, row)| {
            let left = |limit: f64| (limit - row.total.held_milli) * self.own_part;
            let budget = Budget {
                part_left: left(row.part_milli),
                share_left: left(row.first_milli),
                quota_left: left(row.quota_milli),
            };
            (queue, budget)
        });
        rows.collect()
    }

    fn own_share(&self, queue: QueueId) -> Option<f64> {
        let row = self.shares.get(&queue)?;
        Some(row.share_milli * self.own_part)
    }
}

/// Returns what the queues use of the workers held here and wait for. Contained queues wait for workers
/// of their own.
fn own_totals(world: &World) -> BTreeMap<QueueId, Total> {
    let accounts = world.accounts.iter();
    let accounts = accounts.filter(|(queue, _)| !containment::is_contained(world, *queue));
    let rows = accounts.map(|(queue, account)| {
        let total = Total {
            priority: account.priority,
            held_milli: account.held_milli(),
            usual_milli: account.usual_milli(),
            waiting_milli: 0.0,
        };
        (queue, total)
    });
    let mut totals: BTreeMap<QueueId, Total> = rows.collect();
    for job in world.jobs.values() {
        if let Some(total) = totals.get_mut(&job.job.settings.queue) {
            total.waiting_milli += waiting_milli(world, job);
        }
    }
    totals
}

/// Adds what the holders that are short of room reported, unless they have been silent for too long.
/// Returns the room that the queues use there, in thousandths of a core.
fn add_reported(world: &World, now: Time, totals: &mut BTreeMap<QueueId, Total>) -> f64 {
    let mut reported = 0.0;
    let peers = world.peers.values();
    let peers = peers.filter(|row| row.linked && !row.is_suspect(now, &world.policy));
    let heartbeats = peers.filter_map(|row| row.heartbeat.as_ref());
    for row in heartbeats.flat_map(|heartbeat| &heartbeat.queue_uses) {
        let held = to_float(row.held_milli);
        reported += held;
        let total = totals.entry(row.queue).or_insert(Total {
            priority: row.priority,
            ..Total::default()
        });
        total.held_milli += held;
        total.usual_milli += to_float(row.usual_milli);
        total.waiting_milli += to_float(row.waiting_milli);
    }
    reported
}

/// Returns the CPU that the due tasks of a job use if they are spread over [`WAITING_SPAN`]. A queue with
/// many short tasks needs much room, but only for a moment.
fn waiting_milli(world: &World, job: &RunnerJob) -> f64 {
    let due = job.due_tasks().map(|task| {
        let step = &job.job.steps[task.id.step as usize];
        let run_time = world.estimator.predict(step.estimate, None);
        to_float(step.need.cpu_milli) * run_time.div_duration_f64(WAITING_SPAN)
    });
    due.sum()
}

#[allow(clippy::cast_precision_loss, reason = "an estimate")]
const fn to_float(milli: u64) -> f64 {
    milli as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are positive and small"
)]
const fn to_milli(amount: f64) -> u64 {
    amount as u64
}
