//! The decisions of one entry VM for guarded workers.

use super::event::Event;
use super::model::answer::LossCause;
use super::model::ids::WorkerId;
use super::model::message::Message;
use super::model::queue::QueueTable;
use super::model::worker::WorkerEntry;
use super::order::Order;
use super::policy::Policy;
use super::stats::Stats;
use super::systems;
use super::tables::worker::{Hold, Worker};
use super::world::{Cx, Phase, Timer, World};
use crate::model::incarnation::Incarnation;
use crate::model::time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Time between two ticks from which on silent peers are not given up at once.
const SHORT_GAP: Duration = Duration::from_millis(150);
/// Time after such a gap in which what peers have sent is read.
const CATCH_UP: Duration = Duration::from_millis(100);

/// Who and where a dispatcher is.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// The incarnation; its nonce is fresh.
    pub me: Incarnation,
    /// Size of the VM relative to the others.
    pub weight: u32,
}

/// The decisions of one entry VM for guarded workers: events in, orders out.
///
/// After one or more calls of [`Dispatcher::handle`], [`Dispatcher::tick`] runs the systems. It is
/// called again at the time of [`Dispatcher::next_tick`] at the latest.
#[derive(Debug)]
pub struct Dispatcher {
    world: World,
}

impl Dispatcher {
    /// Starts a dispatcher.
    #[must_use]
    pub fn new(member: Member, policy: Policy) -> Self {
        let mut world = World::new(member.me, member.weight, policy);
        world.timers.subscribe(Time::ZERO, Timer::Heartbeat);
        world.timers.subscribe(Time::ZERO, Timer::Sweep);
        Self { world }
    }

    /// Takes in an event. What it calls for at once is appended to `orders`. `unix_ms` is the time
    /// of day, which need not be right.
    pub fn handle(&mut self, now: Time, unix_ms: u64, event: Event, orders: &mut Vec<Order>) {
        let world = &mut self.world;
        let cx = &mut Cx::new(now, unix_ms, orders);
        notice_gap(world, cx);
        match event {
            Event::Submit { call, job } => systems::entry::submit(world, cx, call, job),
            Event::Abandon(call) => systems::entry::abandon(world, cx, call),
            Event::Queues(table) => adopt_queues(world, cx, table),
            Event::Worker(entry) => worker_listed(world, entry),
            Event::WorkerGone(id) => worker_missing(world, now, id),
            Event::Workers(entries) => workers_listed(world, now, entries),
            Event::VmsListed(others) => world.listed_vms = Some(others),
            Event::PeerUp(peer) => systems::members::peer_up(world, cx, peer),
            Event::PeerDown(peer) => peer_lost(world, cx, peer),
            Event::Message { from, message } => deliver(world, cx, from, message),
            Event::Looked {
                worker,
                look,
                reply,
            } => systems::looks::replied(world, cx, worker, look, reply),
            Event::Started { worker, run, reply } => {
                systems::starts::replied(world, cx, worker, run, reply);
            }
            Event::Stopped { worker, run, reply } => {
                systems::stops::replied(world, cx, worker, run, reply);
            }
            Event::Paused(span) => paused(world, cx, span),
            Event::Stop => stop(world, cx),
        }
    }

    /// Runs the systems.
    pub fn tick(&mut self, now: Time, unix_ms: u64, orders: &mut Vec<Order>) {
        let world = &mut self.world;
        let cx = &mut Cx::new(now, unix_ms, orders);
        notice_gap(world, cx);
        while let Some(timer) = world.timers.take_due(now) {
            match timer {
                Timer::Heartbeat => world.heartbeat_due = true,
                Timer::Sweep => {
                    systems::sweep::run(world, cx);
                    systems::members::ask_for_queues(world, cx);
                    world
                        .timers
                        .subscribe(now + systems::sweep::INTERVAL, Timer::Sweep);
                    systems::holding::run(world, cx);
                    systems::entry::place_waiting(world, cx);
                }
            }
            if timer == Timer::Heartbeat {
                let next = now + world.policy.heartbeat;
                world.timers.subscribe(next, Timer::Heartbeat);
            }
        }
        systems::progress::run(world, cx);
        systems::dispatch::run(world, cx);
        systems::stops::run(world, cx);
        systems::looks::run(world, cx);
        systems::entry::run(world, cx);
        if std::mem::take(&mut world.heartbeat_due) {
            systems::members::send_heartbeats(world, cx);
        }
        close_if_done(world, cx);
    }

    /// Returns the time of the next tick.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        self.world.timers.next_at()
    }

    /// Tells whether the VM takes jobs.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let world = &self.world;
        let placeable = !world.claimed.is_empty()
            || world.members.values().any(|row| {
                let beat = row.heartbeat.as_ref();
                beat.is_some_and(|beat| !beat.cells.is_empty())
            });
        world.is_serving() && world.queues.is_some() && placeable
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn queues(&self) -> Option<&Arc<QueueTable>> {
        self.world.queues.as_ref()
    }

    /// Returns counters and present figures.
    #[must_use]
    pub fn stats(&self) -> Stats {
        let world = &self.world;
        let held = world.workers.values().filter(|row| row.hold == Hold::Held);
        let waiting = world.jobs.values().map(|job| job.due_tasks().count());
        Stats {
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

/// Takes in a configuration; an older one is ignored.
fn adopt_queues(world: &mut World, cx: &mut Cx<'_>, table: Arc<QueueTable>) {
    if table.version <= world.queues_version() {
        return;
    }
    tracing::info!(
        version = table.version,
        before = world.queues_version(),
        queues = table.iter().count(),
        "configuration in force"
    );
    world.queues = Some(Arc::clone(&table));
    cx.order(Order::AdoptQueues(table));
}

fn worker_listed(world: &mut World, entry: WorkerEntry) {
    match world.workers.get_mut(&entry.id) {
        Some(row) => {
            if row.entry.draining != entry.draining {
                tracing::info!(worker = %entry.id, draining = entry.draining, "worker changed");
            }
            row.entry = entry;
            row.missing_since = None;
        }
        None => {
            world.workers.insert(entry.id, Worker::new(entry));
        }
    }
}

fn worker_missing(world: &mut World, now: Time, id: WorkerId) {
    if let Some(row) = world.workers.get_mut(&id) {
        row.missing_since.get_or_insert(now);
    }
}

fn workers_listed(world: &mut World, now: Time, entries: Vec<WorkerEntry>) {
    let known: Vec<WorkerId> = world.workers.keys().copied().collect();
    for id in known {
        if entries.iter().all(|entry| entry.id != id) {
            worker_missing(world, now, id);
        }
    }
    for entry in entries {
        worker_listed(world, entry);
    }
}

fn deliver(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, message: Message) {
    let Some(row) = world.members.get_mut(&from) else {
        return;
    };
    row.heard = cx.now;
    match message {
        Message::Heartbeat(beat) => {
            systems::members::heartbeat_received(world, cx, from, beat);
        }
        Message::Place { job, age } => systems::runner::accept(world, cx, from, job, age),
        Message::Finished { job, answer } => {
            systems::entry::finished(world, cx, from, job, answer);
        }
        Message::Withdraw { job } => systems::runner::withdraw(world, cx, from, job),
        Message::WantQueues { version } => {
            systems::members::queues_wanted(world, cx, from, version);
        }
        Message::Queues(table) => adopt_queues(world, cx, table),
    }
}

fn peer_lost(world: &mut World, cx: &mut Cx<'_>, peer: Incarnation) {
    systems::members::peer_down(world, peer);
    systems::runner::origin_lost(world, cx, peer);
    systems::entry::runner_lost(world, cx, peer);
}

/// Notices that this process stood still while its clock went on, since it ticks at short intervals.
/// What its peers sent meanwhile is still to be read.
fn notice_gap(world: &mut World, cx: &mut Cx<'_>) {
    let last = world.active_at.replace(cx.now);
    let gap = last.map_or(Duration::ZERO, |last| cx.now.since(last));
    if gap >= world.policy.peer_silence {
        paused(world, cx, gap);
    } else if gap >= SHORT_GAP {
        tracing::info!(
            gap_ms = gap.as_millis(),
            "the process stood still for a moment"
        );
        world.caught_up_at = cx.now + CATCH_UP;
    }
}

/// This process stood still: others may have taken its work over. Everything is given up, and
/// workers are taken over anew.
fn paused(world: &mut World, cx: &mut Cx<'_>, span: Duration) {
    tracing::warn!(
        span_ms = span.as_millis(),
        jobs = world.jobs.len(),
        entries = world.entries.len(),
        "the process stood still; everything is given up"
    );
    systems::runner::give_up_all(world, cx, LossCause::Paused);
    systems::entry::run(world, cx);
    systems::entry::give_up_all(world, cx, LossCause::Paused);
    world.settled_at = cx.now + world.policy.settle;
    world.listed_vms = None;
    world.claimed.clear();
    let held = world.workers.values_mut();
    for row in held.filter(|row| matches!(row.hold, Hold::Held | Hold::Taking)) {
        row.hold = Hold::None;
        row.look = None;
        row.mark_all_stopping();
    }
    world.stops.clear();
    world.heartbeat_due = true;
}

fn stop(world: &mut World, cx: &Cx<'_>) {
    if !world.is_serving() {
        return;
    }
    tracing::info!(
        jobs = world.jobs.len(),
        entries = world.entries.len(),
        "stopping: no new work is taken"
    );
    world.phase = Phase::Stopping(cx.now);
    world.heartbeat_due = true;
}

/// Time for which a stopping VM stays, so that the balancer notices that it is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);

fn close_if_done(world: &mut World, cx: &mut Cx<'_>) {
    let Phase::Stopping(since) = world.phase else {
        return;
    };
    let passed = cx.now.since(since);
    let idle = world.jobs.is_empty() && world.entries.is_empty();
    let free = !world
        .workers
        .values()
        .any(|row| matches!(row.hold, Hold::Held | Hold::Taking) && !row.runs.is_empty());
    let done = idle && free && passed > BALANCER_LAG;
    if !done && passed < world.policy.stop_timeout {
        return;
    }
    systems::runner::give_up_all(world, cx, LossCause::Stopping);
    systems::entry::run(world, cx);
    systems::entry::give_up_all(world, cx, LossCause::Stopping);
    systems::stops::run(world, cx);
    world.phase = Phase::Closed;
    cx.order(Order::Closed);
}
