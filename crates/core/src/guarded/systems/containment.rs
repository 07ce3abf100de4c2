//! Containment of queues whose tasks crash workers.
//!
//! While many workers are down because of a queue, its tasks may take only a share of the workers,
//! counting those that are down, and run apart from other queues. What does not fit in time is
//! refused at once. The containment ends once runs of the queue have ended well for a while and all
//! its workers are back.

use super::cell_assignment::is_claimed;
use super::evacuations::is_evacuated;
use crate::guarded::model::cell::HolderLoad;
use crate::guarded::model::ids::{QueueId, WorkerId};
use crate::guarded::tables::worker::Worker;
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Part of the workers, as a divisor, that must be down because of a queue for it to be contained.
const CONTAIN_PART: usize = 3;
/// Part of the workers that a contained queue may take, as a divisor.
const CONTAINED_PART: usize = 3;
/// Number of runs that must end well for the release of a contained queue.
const RELEASE_RUNS: u32 = 32;
/// Time for which a job that was given up is evidence against its queue.
const EVIDENCE_TIME: Duration = Duration::from_secs(10);
/// Maximum number of queues with a bulkhead.
const MAX_QUEUES: usize = 1_024;

/// Returns whether a queue is contained.
pub fn is_contained(world: &World, queue: QueueId) -> bool {
    let row = world.bulkheads.get(&queue);
    row.is_some_and(|row| row.is_contained())
}

/// Records that a worker was lost to tasks of a queue.
pub fn record_loss(world: &mut World, worker: WorkerId, queue: QueueId) {
    if let Some(row) = world.bulkheads.get_mut(&queue) {
        row.ended_well = 0;
    }
    if let Some(row) = world.workers.get_mut(&worker)
        && row.loss.is_some()
    {
        row.lost_to = Some(queue);
    }
}

/// Records that a job of a queue was given up.
pub fn record_given_up(world: &mut World, now: Time, queue: QueueId) {
    if world.bulkheads.len() < MAX_QUEUES || world.bulkheads.contains_key(&queue) {
        let row = world.bulkheads.entry(queue).or_default();
        row.last_given_up_at = now;
        row.ended_well = 0;
    }
}

/// Records that a run of a queue ended well.
pub fn record_success(world: &mut World, queue: Option<QueueId>) {
    if let Some(row) = queue.and_then(|queue| world.bulkheads.get_mut(&queue)) {
        row.ended_well = row.ended_well.saturating_add(1);
    }
}

/// Contains queues and releases them.
pub fn run(world: &mut World, cx: &Cx<'_>) {
    if world.bulkheads.is_empty() {
        return;
    }
    let workers = claimed_workers(world);
    let queues: Vec<QueueId> = world.bulkheads.keys().copied().collect();
    for queue in queues {
        let down = down_workers(world, queue);
        let Some(row) = world.bulkheads.get_mut(&queue) else {
            continue;
        };
        let is_recent = cx.now.since(row.last_given_up_at) < EVIDENCE_TIME;
        match row.contained_since {
            None if is_recent && down * CONTAIN_PART > workers => {
                row.contained_since = Some(cx.now);
                row.ended_well = 0;
                world.stats.containments += 1;
                tracing::warn!(%queue, down, workers, "the queue is contained: its tasks crash workers");
            }
            None if !is_recent => {
                world.bulkheads.remove(&queue);
            }
            Some(since) if down == 0 && row.ended_well >= RELEASE_RUNS => {
                tracing::warn!(
                    %queue,
                    ended_well = row.ended_well,
                    contained_ms = cx.now.since(since).as_millis(),
                    "the queue is released"
                );
                row.contained_since = None;
            }
            None | Some(_) => {}
        }
    }
}

fn claimed_workers(world: &World) -> usize {
    let rows = world.workers.values();
    rows.filter(|row| is_claimed(world, &row.entry)).count()
}

/// Returns the number of workers that are down because of a queue.
fn down_workers(world: &World, queue: QueueId) -> usize {
    let rows = world.workers.values();
    rows.filter(|row| row.lost_to == Some(queue)).count()
}

/// Returns the number of workers that a contained queue may still take.
fn workers_left(world: &World, queue: QueueId) -> usize {
    let limit = (claimed_workers(world) / CONTAINED_PART).max(1);
    let rows = world.workers.values();
    let taken = rows.filter(|row| row.lost_to == Some(queue) || row.exclusive_to == Some(queue));
    limit.saturating_sub(taken.count())
}

/// Returns whether a task of a queue may start on a worker beside the runs there.
pub fn admits(world: &World, row: &Worker, queue: QueueId) -> bool {
    if row.exclusive_to.is_some() {
        return row.exclusive_to == Some(queue);
    }
    !is_contained(world, queue) || row.runs.is_empty() && workers_left(world, queue) > 0
}

/// Returns the load of the workers that a contained queue may use, without its waiting tasks.
pub fn load(world: &World, now: Time, queue: QueueId) -> HolderLoad {
    let stale_after = world.policy.worker_stale_after * 2;
    let usable = world.workers.values();
    let usable = usable.filter(|row| {
        row.is_usable(now, stale_after)
            && !world.drains.contains(row.entry.id, row.boot)
            && !is_evacuated(world, row.entry.data_centre)
    });
    let mut load = HolderLoad {
        mean_run: Duration::from_secs_f64(world.mean_run_ms / 1e3),
        ..HolderLoad::default()
    };
    let mut left = workers_left(world, queue);
    for row in usable {
        let capacity = row.entry.capacity.cpu_milli;
        if row.exclusive_to == Some(queue) {
            load.capacity_milli += capacity;
            load.free_milli += row.free().cpu_milli;
        } else if row.exclusive_to.is_none() && left > 0 {
            left -= 1;
            load.capacity_milli += capacity;
            load.free_milli += if row.runs.is_empty() { capacity } else { 0 };
        }
    }
    load
}
