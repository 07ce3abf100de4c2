//! Placement of jobs on runners.

use super::entry::{NO_RUNNER_RETRY_DELAY, answer_clients};
use super::evacuations::is_evacuated;
use super::{cell_assignment, runner};
use crate::guarded::action::Action;
use crate::guarded::model::answer::{Answer, RefusalCause};
use crate::guarded::model::cell::HolderLoad;
use crate::guarded::model::echo::Echo;
use crate::guarded::model::ids::ClientJobId;
use crate::guarded::model::job::Job;
use crate::guarded::model::message::Message;
use crate::guarded::model::vm::mix;
use crate::guarded::tables::peer::Peer;
use crate::guarded::world::{Cx, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Amount by which the expected wait in another data centre must be shorter for a job to be placed
/// there.
const REMOTE_PLACEMENT_MARGIN: Duration = Duration::from_millis(30);
/// Expected wait above which a job is held back while some cell has no holder, or while a
/// connection to a better runner is opened. About as long as a cell takes to pass to another VM.
const DEFER_ABOVE_WAIT: Duration = Duration::from_millis(300);
/// Maximum time that a job waits for a runner.
const MAX_UNPLACED_TIME: Duration = Duration::from_millis(700);

/// A runner that a job could be placed on.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// Holder of the workers.
    pub runner: Incarnation,
    /// Expected wait of the job there.
    pub wait: Duration,
    /// Time since the load of the runner was reported.
    load_age: Duration,
    /// Expected wait, with the cost of a placement in another data centre.
    cost: Duration,
    /// Order among runners of the same cost.
    preference: f64,
}

impl Choice {
    fn compare(&self, other: &Self) -> Ordering {
        let by_cost = other.cost.cmp(&self.cost);
        by_cost.then_with(|| self.preference.total_cmp(&other.preference))
    }
}

/// The best runners for a job.
#[derive(Clone, Copy, Debug, Default)]
pub struct Choices {
    /// The best one that a job can be sent to now.
    pub linked: Option<Choice>,
    /// One that is better still, but to which there is no connection.
    pub unlinked: Option<Choice>,
}

/// Chooses a runner for a job and sends the job to it. Without a runner the job waits, or is
/// refused once it has waited too long.
pub fn place(world: &mut World, cx: &mut Cx<'_>, id: ClientJobId) {
    let Some(row) = world.entries.get(&id) else {
        return;
    };
    let job = Arc::clone(&row.job);
    let waited = cx.now.since(row.submitted_at);
    let may_wait = waited <= MAX_UNPLACED_TIME.min(job.client_timeout / 2);
    let choices = choose_runner(world, cx.now, &job);
    if let Some(unlinked) = choices.unlinked {
        world.topology.request(unlinked.runner.vm, cx.now);
    }
    let choice = choices.linked;
    let choice =
        choice.filter(|choice| !(may_wait && should_defer(world, cx.now, choice, &choices)));
    match choice {
        Some(choice) => send_to_runner(world, cx, &job, choice),
        None if may_wait => {
            if let Some(row) = world.entries.get_mut(&id) {
                row.runner = None;
            }
        }
        None => {
            let answer = Answer::Refused {
                cause: RefusalCause::NoRunner,
                retry_after: NO_RUNNER_RETRY_DELAY,
            };
            answer_clients(world, cx, id, answer);
        }
    }
}

fn send_to_runner(world: &mut World, cx: &mut Cx<'_>, job: &Arc<Job>, choice: Choice) {
    let Some(row) = world.entries.get_mut(&job.id) else {
        return;
    };
    row.runner = Some(choice.runner);
    row.placements += 1;
    let age = cx.now.since(row.submitted_at);
    let unread = row.unread;
    let job = Arc::clone(job);
    if choice.runner == world.me {
        runner::accept(world, cx, world.me, job, age, unread);
        return;
    }
    let Some(echo) = echo_to(world, choice.runner) else {
        return;
    };
    world.stats.placed_remote += 1;
    tracing::info!(
        job = %job.id,
        runner = %choice.runner.vm,
        wait_ms = choice.wait.as_millis(),
        load_age_ms = choice.load_age.as_millis(),
        "job placed with a peer"
    );
    if let Some(peer) = world.peers.get_mut(&choice.runner) {
        peer.placed_cpu_milli += runner::initial_milli(&job);
        peer.record_job(cx.now);
    }
    if choice.runner.data_centre != world.me.data_centre {
        world.topology.request(choice.runner.vm, cx.now);
    }
    cx.emit(Action::Send {
        to: choice.runner,
        message: Message::Place {
            job,
            age,
            unread,
            echo,
        },
    });
}

/// Returns whether a job should wait instead of joining the queue of a busy runner: a cell has no
/// holder only briefly, while it passes to another VM, and a connection opens soon.
fn should_defer(world: &World, now: Time, choice: &Choice, choices: &Choices) -> bool {
    choice.wait > DEFER_ABOVE_WAIT
        && (choices.unlinked.is_some() || cell_assignment::has_unheld_cell(world, now))
}

/// Retries the placement of jobs that have no runner.
pub fn retry_unplaced(world: &mut World, cx: &mut Cx<'_>) {
    let waiting = world.entries.values().filter(|row| row.runner.is_none());
    let waiting: Vec<_> = waiting.map(|row| row.job.id).collect();
    for id in waiting {
        place(world, cx, id);
    }
}

/// Returns the runners with the shortest expected wait. One in another data centre must be better
/// by a margin. Among runners that can start the job at once, jobs are spread in proportion to the
/// capacity that they leave free: reported loads are up to some hundred milliseconds old.
pub fn choose_runner(world: &World, now: Time, job: &Job) -> Choices {
    let need = runner::initial_need(job);
    let rate =
        |runner: Incarnation, load: &HolderLoad, placed: u64, is_local: bool, age: Duration| {
            let wait = load.wait_of(&need, placed);
            let margin = if is_local {
                Duration::ZERO
            } else {
                REMOTE_PLACEMENT_MARGIN
            };
            let hash = mix(job.id.0 ^ mix(runner.vm.0));
            #[allow(clippy::cast_precision_loss, reason = "a weight")]
            let spare = load.spare_milli(placed + need.total_milli) as f64;
            Choice {
                runner,
                wait,
                load_age: age,
                cost: wait.saturating_add(margin),
                preference: cell_assignment::weighted_score(hash, spare),
            }
        };
    let own = world
        .is_serving()
        .then(|| cell_assignment::own_load(world, now));
    let own = own.flatten().map(|load| {
        let is_local = holds_local_cell(world);
        rate(world.me, &load, 0, is_local, Duration::ZERO)
    });
    let peers = world
        .peers
        .iter()
        .filter(|(_, row)| may_receive_jobs(world, now, row));
    let peers = peers.filter_map(|(&peer, row)| {
        let load = row.load().filter(|load| load.capacity_milli > 0)?;
        let is_local = claims_local_cell(world, row);
        let age = now.since(row.heartbeat_at);
        Some(rate(peer, &load, row.placed_cpu_milli, is_local, age))
    });
    let linked = own
        .into_iter()
        .filter(|choice| choice.wait < Duration::MAX)
        .chain(peers)
        .max_by(Choice::compare);
    let remote = world.remote_holders.iter();
    let remote = remote.filter(|(holder, row)| {
        row.load.capacity_milli > 0 && world.peer_of_vm(holder.data_centre, holder.vm).is_none()
    });
    let remote = remote.map(|(&holder, row)| {
        let age = now.since(row.known_at);
        rate(holder, &row.load, row.placed_cpu_milli, false, age)
    });
    let unlinked = remote.max_by(Choice::compare);
    let is_better = |choice: &Choice| linked.is_none_or(|linked| choice.cost < linked.cost);
    Choices {
        linked,
        unlinked: unlinked.filter(is_better),
    }
}

fn may_receive_jobs(world: &World, now: Time, row: &Peer) -> bool {
    row.linked
        && !has_only_evacuated_cells(world, row)
        && row.is_serving()
        && !row.is_suspect(now, &world.policy)
        && row.stamps.echo_at(world.horizon.at()).is_some()
}

/// Returns whether all cells of a peer are in data centres that are evacuated. Its reported load may not
/// show that yet.
fn has_only_evacuated_cells(world: &World, row: &Peer) -> bool {
    let cells = row.heartbeat.iter().flat_map(|heartbeat| &heartbeat.cells);
    let mut cells = cells.map(|cell| cell.data_centre);
    !world.evacuations.state().is_empty() && cells.all(|id| is_evacuated(world, id))
}

/// Returns the time stamp that a placement with a peer sends back to it. Without one the peer could not
/// tell how old the placement is.
fn echo_to(world: &World, runner: Incarnation) -> Option<Echo> {
    let row = world.peers.get(&runner)?;
    row.stamps.echo_at(world.horizon.at())
}

fn holds_local_cell(world: &World) -> bool {
    let mut cells = world.claimed_cells.iter();
    cells.any(|cell| cell.data_centre == world.me.data_centre)
}

fn claims_local_cell(world: &World, row: &Peer) -> bool {
    let cells = row.heartbeat.iter().flat_map(|heartbeat| &heartbeat.cells);
    let mut cells = cells.map(|cell| cell.data_centre);
    cells.any(|data_centre| data_centre == world.me.data_centre)
}
