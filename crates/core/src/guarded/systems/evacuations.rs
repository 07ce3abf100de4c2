//! Evacuation of data centres at the request of the operators.
//!
//! The workers of an evacuated data centre get no new runs, and those in progress go on. Jobs that
//! have not begun go back to their entries, which place them elsewhere; jobs that have begun may
//! start their remaining tasks for a moment. The VMs of the data centre go on serving clients.
//!
//! The state lives in the store. Heartbeats pass it on to VMs that can't reach the store.

use crate::guarded::action::Action;
use crate::guarded::model::answer::{Answer, LossCause, RefusalCause};
use crate::guarded::model::evacuations::Evacuations;
use crate::guarded::model::worker::WorkerEntry;
use crate::guarded::tables::runner_job::RunnerJob;
use crate::guarded::world::{Cx, World};
use crate::model::ids::DataCentreId;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Retry delay sent for a job that was to run in a data centre that is evacuated now. Its entry finds
/// another one at once, so only clients whose job can run nowhere get it.
const EVACUATED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Adopts a state unless it is older than the known one. `is_recent` tells whether its last change was
/// made a moment ago.
pub fn adopt(world: &mut World, cx: &mut Cx<'_>, state: &Arc<Evacuations>, is_recent: bool) {
    let known = Arc::clone(world.evacuations.state());
    if state.revision <= known.revision {
        return;
    }
    log_changes(&known, state);
    let has_changed = known.iter().ne(state.iter());
    world
        .evacuations
        .replace(cx.now, Arc::clone(state), is_recent);
    if has_changed {
        world.stats.evacuation_changes += 1;
        world.heartbeat_due = true;
        cx.emit(Action::Evacuations(Arc::clone(state)));
    }
}

fn log_changes(known: &Evacuations, state: &Evacuations) {
    let begun = state.iter().filter(|(id, _)| !known.contains(*id));
    for (_, row) in begun {
        tracing::warn!(
            data_centre = &*row.name,
            revision = row.revision,
            as_of = state.revision,
            "the data centre is evacuated: its workers get no new runs"
        );
    }
    let ended = known.iter().filter(|(id, _)| !state.contains(*id));
    for (_, row) in ended {
        tracing::warn!(
            data_centre = &*row.name,
            as_of = state.revision,
            "the evacuation of the data centre has ended"
        );
    }
}

/// Returns whether a run of a job may start on a worker, as far as evacuations are concerned.
pub fn admits(world: &World, now: Time, entry: &WorkerEntry, job: &RunnerJob) -> bool {
    world
        .evacuations
        .admits(now, entry.data_centre, job.started)
}

/// Returns whether the workers of a data centre get no new jobs.
pub fn is_evacuated(world: &World, data_centre: DataCentreId) -> bool {
    world.evacuations.state().contains(data_centre)
}

/// Returns whether this VM has cells, and all of them are in data centres in which no run of the job
/// may start.
fn has_no_cell_for(world: &World, now: Time, has_begun: bool) -> bool {
    let mut cells = world.claimed_cells.iter();
    let admits = |data_centre| world.evacuations.admits(now, data_centre, has_begun);
    !world.claimed_cells.is_empty() && !cells.any(|cell| admits(cell.data_centre))
}

/// Returns the answer to a new job if this VM has only cells of evacuated data centres.
pub fn check_new_job(world: &World, now: Time) -> Option<Answer> {
    has_no_cell_for(world, now, false).then_some(REFUSAL)
}

/// Returns the outcome of a job with waiting tasks, none of which may start here any more.
pub fn check_waiting_job(world: &World, now: Time, job: &RunnerJob) -> Option<Answer> {
    if !has_no_cell_for(world, now, job.started) {
        return None;
    }
    if job.started {
        return Some(Answer::Lost(LossCause::Evacuated));
    }
    Some(REFUSAL)
}

const REFUSAL: Answer = Answer::Refused {
    cause: RefusalCause::Evacuated,
    retry_after: EVACUATED_RETRY_DELAY,
};
