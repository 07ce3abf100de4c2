//! One run of the entry daemon without its surroundings.

use crate::action::Action;
use crate::collections::FastMap;
use crate::event::Event;
use crate::model::ids::CustomerId;
use crate::model::incarnation::Incarnation;
use crate::model::job_id::IdKey;
use crate::model::message::Message;
use crate::model::time::Time;
use crate::policy::Policy;
use crate::status::{Phase, Status};
use crate::systems;
use crate::tables::executor_table::Executor;
use crate::timers::Timer;
use crate::world::{Cx, World};
use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};

/// Who a node is.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// The incarnation; its nonce is fresh.
    pub me: Incarnation,
    /// Size of the VM relative to the others.
    pub weight: u32,
    /// Seed of the key with which ids are signed and of all random choices; unpredictable outside
    /// of tests.
    pub seed: u64,
}

/// One run of the entry daemon without its surroundings: events in, actions out.
///
/// After one or more calls of [`Node::handle`], [`Node::tick`] runs the systems. It is called again
/// at the time of [`Node::next_tick`] at the latest.
#[derive(Debug)]
pub struct Node {
    world: World,
}

impl Node {
    /// Starts a node.
    #[must_use]
    pub fn new(identity: Identity, policy: Policy) -> Self {
        let mut rng = SmallRng::seed_from_u64(identity.seed);
        let mut key = [0; 16];
        rng.fill_bytes(&mut key);
        Self::with_key(identity, policy, IdKey(key), rng)
    }

    /// Starts a node whose ids are signed with `key`, which the caller drew from a source that
    /// can't be predicted.
    #[must_use]
    pub fn with_id_key(identity: Identity, policy: Policy, key: IdKey) -> Self {
        let rng = SmallRng::seed_from_u64(identity.seed);
        Self::with_key(identity, policy, key, rng)
    }

    fn with_key(identity: Identity, policy: Policy, key: IdKey, rng: SmallRng) -> Self {
        let mut world = World::new(identity.me, identity.weight, policy, key, rng);
        for timer in [
            Timer::Heartbeat,
            Timer::DemandRefresh,
            Timer::Retention,
            Timer::UsageWrite,
        ] {
            world.timers.subscribe(Time::ZERO, timer);
        }
        Self { world }
    }

    /// Takes in an event. What it calls for is appended to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let world = &mut self.world;
        if world.phase == Phase::Closed {
            return;
        }
        let cx = &mut Cx::new(now, actions);
        match event {
            Event::Call { call, req } => systems::calls::handle(world, cx, call, req),
            Event::Change { call, req } => systems::configuration::request(world, cx, call, &req),
            Event::PeerUp(peer) => systems::membership::peer_up(world, cx, peer),
            Event::PeerDown(peer) => systems::membership::peer_down(world, cx, peer),
            Event::Message { from, message } => {
                // A message that outlived its connection is of no use: its sender may be gone.
                if world.members.is_connected(from) {
                    systems::membership::heard(world, cx, from);
                    Self::deliver(world, cx, from, message);
                }
            }
            Event::Started { attempt, reply } => {
                systems::starts::ended(world, cx, attempt, reply);
            }
            Event::Store { op, reply } => systems::store::replied(world, cx, op, reply),
            Event::Configuration(config) => systems::configuration::offer(world, cx, &config),
            Event::VmList(list) => systems::vm_list::offer(world, cx, &list),
            Event::Drain { call, vm } => systems::closing::drain(world, cx, call, vm),
            Event::Stop => systems::closing::begin(world, cx),
        }
        Self::drain_loopback(world, cx);
    }

    /// Runs the systems: timers that are due, dispatch, demand and a graceful stop's progress.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let world = &mut self.world;
        let cx = &mut Cx::new(now, actions);
        while world.phase != Phase::Closed
            && let Some(timer) = world.timers.take_due(now)
        {
            systems::upkeep::fire(world, cx, timer);
            Self::drain_loopback(world, cx);
        }
        if world.phase == Phase::Closed {
            return;
        }
        systems::demand::return_recalled(world);
        systems::dispatch::run(world, cx);
        systems::demand::run(world, cx);
        Self::drain_loopback(world, cx);
        systems::closing::run(world, cx);
    }

    /// Returns the time of the next tick, if anything is due at all.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        self.world.timers.next_at()
    }

    /// Tells whether new work is admitted, apart from the load.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.world.admits_work() && !self.world.executors.is_empty()
    }

    /// Returns a snapshot.
    #[must_use]
    pub fn status(&self, now: Time) -> Status {
        let world = &self.world;
        Status {
            me: world.me,
            phase: world.phase,
            config_version: world.config_version(),
            ready: self.is_ready(),
            peers: world.members.connected(),
            slot_owner: systems::membership::slot_owner(world, now),
            open_jobs: world.jobs.open_len(),
            waiting_tasks: world.jobs.iter_open().map(|job| job.queue.len()).sum(),
            running_attempts: world.attempts.len(),
            kept_outcomes: world.jobs.closed_len(),
            executors: world.executors.len(),
            usable_executors: world
                .executors
                .iter()
                .filter(|row| row.is_usable(now))
                .count(),
            held_slots: world.executors.iter().map(|row| u32::from(row.held)).sum(),
            expected_wait: world.issuer.expected_wait,
            counters: world.counters,
        }
    }

    /// Returns the cumulative usage as it would be reported now.
    #[must_use]
    pub fn usage(&self, now: Time) -> crate::model::store::UsageReport {
        systems::usage::report(&self.world, now, self.world.phase == Phase::Closed)
    }

    /// Returns the number of waiting tasks per customer.
    #[must_use]
    pub fn waiting_by_customer(&self) -> FastMap<CustomerId, u64> {
        let mut waiting = FastMap::default();
        for job in self.world.jobs.iter_open() {
            *waiting.entry(job.customer).or_insert(0) += job.queue.len() as u64;
        }
        waiting
    }

    /// Returns the health of the executors that this node knows.
    pub fn executors(&self) -> impl Iterator<Item = &Executor> {
        self.world.executors.iter()
    }

    fn drain_loopback(world: &mut World, cx: &mut Cx<'_>) {
        while let Some(message) = cx.loopback.pop() {
            Self::deliver(world, cx, world.me, message);
        }
    }

    fn deliver(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => {
                systems::membership::heartbeat(world, cx, from, heartbeat);
            }
            Message::Configuration(config) => systems::configuration::offer(world, cx, &config),
            Message::VmList(list) => systems::vm_list::offer(world, cx, &list),
            Message::Forward { number, req } => {
                systems::routing::forward_received(world, cx, from, number, req);
            }
            Message::Forwarded { number, response } => {
                systems::routing::response_received(world, cx, from, number, response);
            }
            Message::Demand(demand) => systems::planner::demand_received(world, cx, from, demand),
            Message::Grant(grant) => systems::demand::grant_received(world, cx, from, &grant),
            Message::Drain => systems::closing::begin(world, cx),
            Message::Handover(part) => systems::closing::part_received(world, cx, from, &part),
            Message::HandoverStored { closed } => {
                systems::closing::stored_received(world, from, closed);
            }
            Message::Closed { closed, holders } => {
                world.archive.record_holders(closed, &holders, cx.now);
            }
        }
    }
}

/// Draws a random 64-bit number.
pub fn draw_u128(rng: &mut SmallRng) -> u128 {
    rng.random()
}
