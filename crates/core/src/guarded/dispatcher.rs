//! The dispatcher of one entry VM for guarded workers.

use super::action::Action;
use super::event::Event;
use super::model::answer::LossCause;
use super::model::message::Message;
use super::model::queue::QueueTable;
use super::model::vm::VmEntry;
use super::policy::Policy;
use super::shares::ShareSettings;
use super::stats::{QueueShare, Stats};
use super::systems;
use super::tables::read_horizon::READ_DELAY;
use super::tables::room::WaitObservation;
use super::tables::worker::Hold;
use super::world::{Cx, Phase, Timer, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Minimum gap between two calls that counts as a short stall of this process. Messages of other holders
/// may then be waiting unread, so no cells are claimed.
const SHORT_STALL: Duration = Duration::from_millis(150);
/// Time after a stall within which messages that arrived meanwhile may be unread.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Identity of the VM that a dispatcher runs on.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Incarnation of this process, with a fresh nonce.
    pub me: Incarnation,
    /// Size of the VM relative to other VMs.
    pub weight: u32,
}

/// The dispatcher of one entry VM for guarded workers: takes events and returns actions, without
/// I/O.
///
/// After one or more calls of [`Dispatcher::handle`], the caller runs the systems with
/// [`Dispatcher::tick`]. It does so at the time of [`Dispatcher::next_tick`] at the latest.
#[derive(Debug)]
pub struct Dispatcher {
    world: World,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no workers, peers or configuration yet.
    #[must_use]
    pub fn new(identity: Identity, policy: Policy) -> Self {
        let mut world = World::new(identity.me, identity.weight, policy);
        world.timers.schedule(Time::ZERO, Timer::Heartbeat);
        world.timers.schedule(Time::ZERO, Timer::Sweep);
        Self { world }
    }

    /// Shares room among the queues while it is short.
    #[must_use]
    pub fn with_shares(mut self, shares: ShareSettings) -> Self {
        self.world.shares = Some(Arc::new(shares));
        self
    }

    /// Handles an event and appends the immediate actions to `actions`. `unix_ms` is the time of
    /// day, which may be wrong.
    pub fn handle(&mut self, now: Time, unix_ms: u64, event: Event, actions: &mut Vec<Action>) {
        let world = &mut self.world;
        let cx = &mut Cx::new(now, unix_ms, actions);
        detect_stall(world, cx);
        world.horizon.advance(now);
        match event {
            Event::Submit { call, job } => systems::entry::submit(world, cx, call, job),
            Event::ClientGone(call) => systems::entry::handle_disconnect(world, cx, call),
            Event::Cancel { call, job } => systems::cancels::request(world, cx, call, job),
            Event::Queues(table) => systems::configuration::adopt(world, cx, table),
            Event::Evacuations { state, is_change } => {
                systems::evacuations::adopt(world, cx, &state, is_change);
            }
            Event::Worker(entry) => systems::registrations::handle_entry(world, now, entry),
            Event::WorkerGone(id) => systems::registrations::handle_removal(world, now, id),
            Event::WorkersListed(entries) => {
                systems::registrations::handle_list(world, now, entries);
            }
            Event::RegistryRead => world.registry_read_at = Some(now),
            Event::VmsListed(entries) => handle_vm_list(world, &entries),
            Event::VmRefused(vm) => systems::peers::handle_refusal(world, vm),
            Event::PeerUp(peer) => systems::peers::add_peer(world, cx, peer),
            Event::PeerDown(peer) => systems::peers::handle_disconnect(world, cx, peer),
            Event::Message { from, message } => handle_message(world, cx, from, message),
            Event::Polled {
                worker,
                poll,
                reply,
            } => systems::polls::handle_reply(world, cx, worker, poll, reply),
            Event::Started { worker, run, reply } => {
                systems::starts::handle_reply(world, cx, worker, run, reply);
            }
            Event::Stopped { worker, run, reply } => {
                systems::stops::handle_reply(world, cx, worker, run, reply);
            }
            Event::Stop => begin_stop(world, cx),
        }
    }

    /// Runs the due timers and all systems, and appends their actions to `actions`.
    pub fn tick(&mut self, now: Time, unix_ms: u64, actions: &mut Vec<Action>) {
        let world = &mut self.world;
        let cx = &mut Cx::new(now, unix_ms, actions);
        detect_stall(world, cx);
        world.horizon.advance(now);
        while let Some(timer) = world.timers.pop_due(now) {
            match timer {
                Timer::Heartbeat => {
                    world.round_due = true;
                    let next = now + world.policy.heartbeat_interval;
                    world.timers.schedule(next, Timer::Heartbeat);
                }
                Timer::Sweep => {
                    sweep(world, cx);
                    let next = now + systems::sweep::interval(world);
                    world.timers.schedule(next, Timer::Sweep);
                }
            }
        }
        if world.topology.is_outdated {
            systems::topology::run(world, cx);
        }
        systems::registrations::move_idle_workers(world, cx);
        systems::leases::run(world, now);
        systems::progress::run(world, cx);
        systems::crashes::run(world, cx);
        systems::containment::run(world, cx);
        systems::dispatch::run(world, cx);
        systems::watches::run(world, cx);
        systems::suspect_reports::send(world, cx);
        systems::start_reports::send(world, cx);
        systems::drain_reports::send(world, cx);
        systems::stops::run(world, cx);
        systems::polls::run(world, cx);
        systems::entry::run(world, cx);
        // Before the heartbeats, which answer for the clients of all jobs that were not cancelled.
        systems::cancels::send(world, cx);
        // After the dispatch, so that the reported load includes it.
        systems::heartbeats::begin_round_if_due(world, cx);
        systems::heartbeats::broadcast_if_due(world, cx);
        close_if_done(world, cx);
    }

    /// Returns the latest time of the next tick; `None` if no timer is set.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        self.world.timers.next_at()
    }

    /// Returns whether the VM accepts jobs: it is not stopping, has a configuration, and this VM or
    /// a peer has a cell.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let world = &self.world;
        let has_cell = !world.claimed_cells.is_empty()
            || world.peers.values().any(|row| {
                let heartbeat = row.heartbeat.as_ref();
                heartbeat.is_some_and(|heartbeat| !heartbeat.cells.is_empty())
            });
        world.is_serving() && world.queues.is_some() && has_cell
    }

    /// Returns the current configuration; `None` until the first one arrives.
    #[must_use]
    pub const fn queues(&self) -> Option<&Arc<QueueTable>> {
        self.world.queues.as_ref()
    }

    /// Returns what each queue uses of the workers held here, and its share of them. Empty if room is not
    /// shared out.
    #[must_use]
    pub fn queue_shares(&self) -> Vec<QueueShare> {
        let now = self.world.last_active_at.unwrap_or_default();
        systems::shares::queue_shares(&self.world, now)
    }

    /// Takes the observed waits of jobs since the last call, which are bounded in number.
    #[must_use]
    pub fn take_wait_observations(&mut self) -> Vec<WaitObservation> {
        self.world.room.take_observations()
    }

    /// Returns the counters and current gauges.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let world = &self.world;
        let held = world.workers.values().filter(|row| row.hold == Hold::Held);
        let waiting = world.jobs.values().map(|job| job.due_tasks().count());
        let linked = world.peers.values().filter(|row| row.linked);
        let remote_ages = world.remote_holders.values().map(|row| row.known_at);
        Stats {
            linked_peers: linked.count() as u64,
            relays: world.topology.relays.len() as u64,
            held_cells: world.claimed_cells.len() as u64,
            registered_workers: world.registry.len() as u64,
            worker_rows: world.workers.len() as u64,
            oldest_remote_load: remote_ages.min().map_or(Duration::ZERO, |known_at| {
                world.last_active_at.unwrap_or_default().since(known_at)
            }),
            starts_in_flight: world.starts_in_flight.open_count() as u64,
            open_cancels: world.cancellations.len() as u64,
            cancel_marks: world.cancel_marks.len() as u64,
            evacuated_data_centres: world.evacuations.state().len() as u64,
            suspects: world.suspects.open_count() as u64,
            contained_queues: world
                .bulkheads
                .values()
                .filter(|row| row.is_contained())
                .count() as u64,
            held_workers: held.count() as u64,
            waiting_tasks: waiting.sum::<usize>() as u64,
            running: world
                .workers
                .values()
                .map(|row| row.runs.len() as u64)
                .sum(),
            ..world.stats
        }
    }
}

/// Runs the periodic checks.
fn sweep(world: &mut World, cx: &mut Cx<'_>) {
    systems::peers::remove_silent(world, cx);
    systems::peers::remove_outdated_holders(world, cx.now);
    systems::configuration::request(world, cx);
    systems::topology::run(world, cx);
    systems::cancels::run(world, cx);
    systems::sweep::run(world, cx);
    systems::cell_assignment::run(world, cx);
    systems::placement::retry_unplaced(world, cx);
}

fn handle_vm_list(world: &mut World, entries: &[VmEntry]) {
    let me = world.me.vm;
    let others = entries.iter().filter(|entry| entry.vm != me);
    world.directory.replace(others.copied());
    world.topology.is_outdated = true;
}

fn handle_message(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, message: Message) {
    // A message of a connection that has ended is dropped: its sender gives up what it sent there.
    let row = world.peers.get_mut(&from);
    let Some(row) = row.filter(|row| row.linked) else {
        return;
    };
    row.last_message_at = cx.now;
    row.is_outdated = false;
    match message {
        Message::Heartbeat(heartbeat) => {
            systems::peers::handle_heartbeat(world, cx, from, *heartbeat);
        }
        Message::Place {
            job,
            age,
            unread,
            echo,
        } => {
            row.record_echo(cx.now, echo);
            let transit = cx.now.since(echo.alive_at(cx.now));
            systems::runner::accept(world, cx, from, job, age, unread + transit);
        }
        Message::Finished { job, answer } => {
            systems::entry::handle_finished(world, cx, from, job, answer);
        }
        Message::Withdraw { job } => systems::runner::withdraw(world, cx, from, job),
        Message::Cancel(requests) => {
            systems::cancels::handle_requests(world, cx, from, &requests);
        }
        Message::CancelReplies(replies) => {
            systems::cancels::handle_replies(world, cx, from, &replies);
        }
        Message::CancelMarks(marks) => systems::cancels::handle_marks(world, cx, from, &marks),
        Message::RequestQueues { version } => {
            systems::configuration::handle_request(world, cx, from, version);
        }
        Message::Queues(table) => systems::configuration::adopt(world, cx, table),
        Message::Suspects(reports) => systems::suspect_reports::handle(world, cx, &reports),
        Message::Starts(reports) => systems::start_reports::handle(world, cx, &reports),
        Message::Drains(reports) => systems::drain_reports::handle(world, cx.now, &reports),
    }
}

/// Detects from the gap since the last call, which is short otherwise, that this process was
/// stalled while its clock continued. Messages that peers sent meanwhile are still unread.
fn detect_stall(world: &mut World, cx: &mut Cx<'_>) {
    let last = world.last_active_at.replace(cx.now);
    let gap = last.map_or(Duration::ZERO, |last| cx.now.since(last));
    let due = world.timers.next_at().unwrap_or(cx.now);
    if cx.now.since(due) > READ_DELAY {
        // Also after a stall that is too short for anything else.
        world.catching_up_until = cx.now + CATCH_UP_TIME;
    }
    if gap >= world.policy.peer_timeout {
        handle_stall(world, cx, gap);
    } else if gap >= SHORT_STALL {
        tracing::info!(
            gap_ms = gap.as_millis(),
            unread_ms = cx.now.since(world.horizon.at()).as_millis(),
            "the process stalled briefly"
        );
        pause_claims(world, cx.now);
    }
}

/// Lets the cell claims be for a while after a stall, unless that time has just passed: stalls in a
/// series would otherwise keep them from ever changing.
fn pause_claims(world: &mut World, now: Time) {
    if world.horizon.at() >= world.claims_paused_until {
        world.claims_paused_until = now + CATCH_UP_TIME;
    }
}

/// Handles a stall that was long enough for other VMs to acquire this VM's workers: drops all jobs
/// and releases the workers, which are acquired again later.
fn handle_stall(world: &mut World, cx: &mut Cx<'_>, span: Duration) {
    tracing::warn!(
        span_ms = span.as_millis(),
        jobs = world.jobs.len(),
        entries = world.entries.len(),
        "the process stalled for too long; dropping all jobs"
    );
    systems::runner::drop_all_jobs(world, cx, LossCause::Paused);
    systems::entry::run(world, cx);
    systems::entry::drop_all_jobs(world, cx, LossCause::Paused);
    world.claims_allowed_at = cx.now + world.policy.claim_delay;
    world.may_claim_early = false;
    pause_claims(world, cx.now);
    world.directory.expect_all();
    for row in world.peers.values_mut() {
        row.is_outdated = true;
    }
    world.claimed_cells.clear();
    let held = world.workers.values_mut();
    for row in held.filter(|row| matches!(row.hold, Hold::Held | Hold::Acquiring)) {
        row.hold = Hold::None;
        row.poll = None;
        row.mark_all_stopping(cx.now);
    }
    world.stops.clear();
    world.heartbeat_due = true;
}

fn begin_stop(world: &mut World, cx: &Cx<'_>) {
    if !world.is_serving() {
        return;
    }
    tracing::info!(
        jobs = world.jobs.len(),
        entries = world.entries.len(),
        "shutting down; accepting no new jobs"
    );
    world.phase = Phase::Stopping(cx.now);
    world.heartbeat_due = true;
}

/// Minimum time that a stopping VM stays up, so that the load balancer notices that it is not
/// ready.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_500);

fn close_if_done(world: &mut World, cx: &mut Cx<'_>) {
    let Phase::Stopping(since) = world.phase else {
        return;
    };
    let passed = cx.now.since(since);
    let no_jobs = world.jobs.is_empty() && world.entries.is_empty();
    let no_runs = !world
        .workers
        .values()
        .any(|row| matches!(row.hold, Hold::Held | Hold::Acquiring) && !row.runs.is_empty());
    let done = no_jobs && no_runs && passed > LOAD_BALANCER_DELAY;
    if !done && passed < world.policy.stop_timeout {
        return;
    }
    systems::runner::drop_all_jobs(world, cx, LossCause::Stopping);
    systems::entry::run(world, cx);
    systems::entry::drop_all_jobs(world, cx, LossCause::Stopping);
    systems::stops::run(world, cx);
    systems::cancels::close(world, cx);
    world.phase = Phase::Closed;
    cx.emit(Action::Closed);
}
