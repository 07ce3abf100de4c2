//! Renewal of the leases of workers: only while everything under them may live.
//!
//! A run may go on only while a client waits for its job. What this VM knows of that has an age: the
//! time since the entry of the job certainly ran and had read what its clients did. No lease ends later
//! than [`Policy::max_origin_age`] and a whole lease after that moment: on knowledge older than that age
//! a lease is shorter by the excess, and no task starts. So a run ends within a bounded time after
//! its entry is gone, also if this VM stalls again and again and does not notice the loss.
//!
//! [`Policy::max_origin_age`]: crate::guarded::policy::Policy::max_origin_age

use crate::guarded::model::ids::WorkerId;
use crate::guarded::policy::PEER_CHECK_INTERVAL;
use crate::guarded::tables::peer::Peer;
use crate::guarded::tables::runner_job::RunnerJob;
use crate::guarded::tables::worker::{Hold, Worker};
use crate::guarded::world::World;
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::time::Duration;

/// Computes the end of the lease that a start requests, on the worker's clock in milliseconds. Returns `None` if the
/// clock is unknown or the lease must not be extended.
pub fn renew(world: &mut World, now: Time, id: WorkerId) -> Option<u64> {
    note_doubt(world, now, id);
    let lease = world.policy.lease;
    let row = world.workers.get_mut(&id)?;
    if row.is_in_doubt {
        return None;
    }
    row.renew_lease(now, lease)
}

/// Computes the end of the lease that a poll requests. On older knowledge than a start requires, it is
/// shorter by the excess, so that it ends no later after what is known.
pub fn prolong(world: &mut World, now: Time, id: WorkerId) -> Option<u64> {
    note_doubt(world, now, id);
    let row = world.workers.get(&id)?;
    let span = allowed_span(world, now, row);
    if span < world.policy.lease && span <= row.lease_left(now) {
        return None;
    }
    let row = world.workers.get_mut(&id)?;
    row.renew_lease(now, span)
}

/// Notes whether the worker has runs of jobs whose entries may be gone.
fn note_doubt(world: &mut World, now: Time, id: WorkerId) {
    let Some(row) = world.workers.get(&id) else {
        return;
    };
    let is_in_doubt = has_doubtful_run(world, now, row);
    if let Some(row) = world.workers.get_mut(&id) {
        row.is_in_doubt = is_in_doubt;
    }
    world.has_doubtful_workers |= is_in_doubt;
}

/// Returns for how long the lease of a worker may last: until `max_origin_age` and a lease after the
/// last moment at which a client of each job there certainly waited.
fn allowed_span(world: &World, now: Time, row: &Worker) -> Duration {
    let policy = &world.policy;
    let jobs = row.runs.keys().filter_map(|task| world.jobs.get(&task.job));
    let spans = jobs.map(|job| {
        let age = knowledge_age(world, now, job);
        age.map_or(Duration::ZERO, |age| {
            (policy.max_origin_age + policy.lease).saturating_sub(age)
        })
    });
    spans.fold(policy.lease, Duration::min)
}

/// Returns whether some client certainly waited for the job a short time ago, and has not timed out.
pub fn is_wanted(world: &World, now: Time, job: &RunnerJob) -> bool {
    let limit = world.policy.max_origin_age;
    knowledge_age(world, now, job).is_some_and(|age| age < limit)
}

/// Returns the time since the last moment at which a client certainly waited for the job; `None` if there is
/// none or the client has timed out.
fn knowledge_age(world: &World, now: Time, job: &RunnerJob) -> Option<Duration> {
    if now > job.overdue_at {
        return None;
    }
    let origins = job.origins.iter();
    let ages = origins.filter_map(|&origin| origin_age(world, now, origin));
    ages.min()
}

/// Updates which workers have runs of jobs whose entries may be gone, and logs which entries those are.
pub fn run(world: &mut World, now: Time) {
    let doubtful = note_doubtful_origins(world, now);
    if !doubtful && !world.has_doubtful_workers {
        return;
    }
    world.has_doubtful_workers = doubtful;
    let rows = world.workers.values();
    let rows = rows.map(|row| {
        let is_in_doubt = doubtful && has_doubtful_run(world, now, row);
        (row.entry.id, is_in_doubt, gains_lease(world, now, row))
    });
    let rows: Vec<(WorkerId, bool, bool)> = rows.collect();
    for (id, is_in_doubt, gains_lease) in rows {
        if let Some(row) = world.workers.get_mut(&id) {
            world.stats.leases_in_doubt += u64::from(is_in_doubt && !row.is_in_doubt);
            let has_left_doubt = row.is_in_doubt && !is_in_doubt && row.hold == Hold::Held;
            if has_left_doubt || is_in_doubt && gains_lease {
                // The poll in flight renews no lease, or a shorter one; on a slow VM its answer may come too
                // late.
                row.poll = None;
            }
            row.is_in_doubt = is_in_doubt;
        }
    }
}

/// Returns whether a poll would extend the lease of a worker by more than a sweep, so that it is worth to send
/// one at once.
fn gains_lease(world: &World, now: Time, row: &Worker) -> bool {
    let span = allowed_span(world, now, row);
    row.hold == Hold::Held
        && now.since(row.last_answer_at) < world.policy.worker_stale_after
        && row.permits_lease()
        && span > row.lease_left(now) + PEER_CHECK_INTERVAL
}

/// Returns the age of what this VM knows of the clients of an origin; `None` if it knows nothing.
fn origin_age(world: &World, now: Time, origin: Incarnation) -> Option<Duration> {
    if origin == world.me {
        return Some(now.since(world.horizon.at()));
    }
    let row = world.peers.get(&origin).filter(|row| row.linked)?;
    row.alive_at.map(|at| now.since(at))
}

/// Returns whether a run on the worker belongs to a job that no client may wait for any more. Runs
/// without a job are being stopped.
fn has_doubtful_run(world: &World, now: Time, row: &Worker) -> bool {
    let mut runs = row.runs.keys();
    runs.any(|task| {
        let job = world.jobs.get(&task.job);
        job.is_some_and(|job| !is_wanted(world, now, job))
    })
}

/// Notes which origins may be gone. Returns whether there are any.
fn note_doubtful_origins(world: &mut World, now: Time) -> bool {
    let limit = world.policy.max_origin_age;
    let is_doubtful = |row: &Peer| {
        let is_recent = row.alive_at.is_some_and(|at| now.since(at) < limit);
        row.linked && row.jobs_since.is_some() && !is_recent
    };
    let mut doubtful = now.since(world.horizon.at()) >= limit;
    let jobs = &world.jobs;
    let is_origin = |peer| jobs.values().any(|job| job.origins.contains(peer));
    for (peer, row) in &mut world.peers {
        let is_doubtful = is_doubtful(row) && is_origin(peer);
        doubtful |= is_doubtful;
        if is_doubtful == row.is_doubtful {
            continue;
        }
        row.is_doubtful = is_doubtful;
        if is_doubtful {
            tracing::info!(
                %peer,
                known_age_ms = row.alive_at.map(|at| now.since(at).as_millis()),
                silent_ms = row.silence(now).as_millis(),
                "peer may be gone; not renewing the leases of its jobs for their whole length"
            );
        } else {
            tracing::info!(%peer, linked = row.linked, "peer is no longer in doubt");
        }
    }
    doubtful
}
