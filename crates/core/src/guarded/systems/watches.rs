//! Close monitoring of workers whose next boot may begin a start that the present one ruled out, while the
//! task runs elsewhere.
//!
//! Such a worker is polled with a short wait. Two polls in a row without an answer in time make the start
//! open again, so that the run elsewhere is stopped before a boot that is up after 200 ms can begin the start.
//! An answer of the same boot rules the start out once more.

use super::starts_in_flight;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::tables::worker::{Hold, PendingPoll};
use crate::guarded::world::{Cx, World};
use crate::model::time::Time;
use std::time::Duration;

/// Wait time of a poll of such a worker.
pub const WATCH_WAIT: Duration = Duration::from_millis(20);
/// Age from which such a poll is overdue: its wait, and time for its way.
const OVERDUE_AFTER: Duration = Duration::from_millis(30);
/// Number of overdue polls in a row after which the worker may have ended. A single answer may be late.
const MAX_OVERDUE_POLLS: u32 = 2;
/// Maximum number of workers that are monitored. Each costs some 40 polls a second.
const MAX_WATCHED: usize = 16;

/// Replaces the polls of monitored workers that are overdue, and stops the runs elsewhere if a worker may
/// have ended.
pub fn run(world: &mut World, cx: &Cx<'_>) {
    if world.starts_in_flight.is_empty() {
        return;
    }
    for id in watched(world) {
        let Some(row) = world.workers.get_mut(&id) else {
            continue;
        };
        if let Some(poll) = row.poll.filter(|&poll| is_overdue(poll, cx.now)) {
            row.poll = None;
            row.overdue_polls += u32::from(poll.is_watch);
        }
        if row.overdue_polls < MAX_OVERDUE_POLLS {
            continue;
        }
        row.overdue_polls = 0;
        let silent_ms = cx.now.since(row.last_answer_at).as_millis();
        tracing::info!(worker = %id, silent_ms, "a monitored worker may have ended");
        starts_in_flight::handle_suspicion(world, cx, id);
    }
}

/// Returns whether a worker is monitored closely.
pub fn is_watched(world: &World, id: WorkerId) -> bool {
    !world.starts_in_flight.is_empty() && watched(world).contains(&id)
}

/// Returns the held workers with a start that is ruled out, whose task runs on another worker.
fn watched(world: &World) -> Vec<WorkerId> {
    let mut ids: Vec<WorkerId> = Vec::new();
    for (id, task) in world.starts_in_flight.ruled_out() {
        if ids.len() == MAX_WATCHED {
            break;
        }
        let row = world.workers.get(&id);
        let row = row.filter(|row| row.hold == Hold::Held && !row.runs.contains_key(&task));
        if row.is_some() && world.present_runs.contains_key(&task) && !ids.contains(&id) {
            ids.push(id);
        }
    }
    ids
}

/// Returns whether a poll of a monitored worker is overdue, or waits for too long.
fn is_overdue(poll: PendingPoll, now: Time) -> bool {
    !poll.is_watch || now.since(poll.sent_at) > OVERDUE_AFTER
}
