//! The dispatcher as a deterministic state machine.

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

/// Identity and seed of a node.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Incarnation of the process; its nonce is new for each start.
    pub me: Incarnation,
    /// Size of the VM relative to the other entry VMs; used in the election of the slot owner.
    pub weight: u32,
    /// Seed of all random choices and, with [`Node::new`], of the key that signs job ids. Must be
    /// unpredictable outside of tests.
    pub seed: u64,
}

/// The dispatcher of one process without network, clock and storage: events in, actions out.
///
/// After one or more calls of [`Node::handle`], call [`Node::tick`] to run the systems. Call it
/// again no later than at the time that [`Node::next_tick`] returns.
#[derive(Debug)]
pub struct Node {
    world: World,
}

impl Node {
    /// Creates a node whose id key is derived from the seed of `identity`.
    #[must_use]
    pub fn new(identity: Identity, policy: Policy) -> Self {
        let mut rng = SmallRng::seed_from_u64(identity.seed);
        let mut key = [0; 16];
        rng.fill_bytes(&mut key);
        Self::with_key(identity, policy, IdKey(key), rng)
    }

    /// Creates a node that signs job ids with `key`, which must come from an unpredictable source.
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
            Timer::RetentionSweep,
            Timer::UsageWrite,
        ] {
            world.timers.schedule(Time::ZERO, timer);
        }
        Self { world }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        let world = &mut self.world;
        if world.phase == Phase::Closed {
            return;
        }
        let cx = &mut Cx::new(now, actions);
        match event {
            Event::Call { call, req } => systems::calls::handle(world, cx, call, req),
            Event::Change { call, req } => {
                systems::configuration::handle_change(world, cx, call, &req)
            }
            Event::PeerUp(peer) => systems::membership::handle_peer_up(world, cx, peer),
            Event::PeerDown(peer) => systems::membership::handle_peer_down(world, cx, peer),
            Event::Message { from, message } => {
                // Ignore messages that arrive after their connection was lost: the sender may be
                // gone.
                if world.members.is_connected(from) {
                    systems::membership::record_contact(world, cx, from);
                    Self::handle_message(world, cx, from, message);
                }
            }
            Event::AttemptEnded { attempt, reply } => {
                systems::attempts::handle_reply(world, cx, attempt, reply);
            }
            Event::Store { op, reply } => systems::store::handle_reply(world, cx, op, reply),
            Event::Configuration(config) => systems::configuration::adopt(world, cx, &config),
            Event::VmList(list) => systems::vm_list::adopt(world, cx, &list),
            Event::Drain { call, vm } => systems::shutdown::handle_drain(world, cx, call, vm),
            Event::Stop => systems::shutdown::begin(world, cx),
        }
        Self::drain_loopback(world, cx);
    }

    /// Runs the systems: expired timers, dispatch, demand and the graceful stop. Appends the
    /// resulting actions to `actions`.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let world = &mut self.world;
        let cx = &mut Cx::new(now, actions);
        while world.phase != Phase::Closed
            && let Some(timer) = world.timers.pop_due(now)
        {
            systems::timer_events::handle(world, cx, timer);
            Self::drain_loopback(world, cx);
        }
        if world.phase == Phase::Closed {
            return;
        }
        systems::demand::release_recalled(world);
        systems::dispatch::run(world, cx);
        systems::demand::run(world, cx);
        Self::drain_loopback(world, cx);
        systems::shutdown::advance(world, cx);
    }

    /// Returns the time at which [`Node::tick`] must be called next, or `None` if no timer is set.
    #[must_use]
    pub fn next_tick(&self) -> Option<Time> {
        self.world.timers.next_at()
    }

    /// Returns whether new work is admitted, apart from load limits.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.world.admits_work() && !self.world.executors.is_empty()
    }

    /// Returns a snapshot of the node's state.
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
            open_bytes: world.open_bytes,
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

    /// Returns the cumulative usage report as of `now`.
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

    /// Returns the known executors with their health.
    pub fn executors(&self) -> impl Iterator<Item = &Executor> {
        self.world.executors.iter()
    }

    fn drain_loopback(world: &mut World, cx: &mut Cx<'_>) {
        while let Some(message) = cx.loopback.pop() {
            Self::handle_message(world, cx, world.me, message);
        }
    }

    fn handle_message(world: &mut World, cx: &mut Cx<'_>, from: Incarnation, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => {
                systems::membership::handle_heartbeat(world, cx, from, heartbeat);
            }
            Message::Configuration(config) => systems::configuration::adopt(world, cx, &config),
            Message::VmList(list) => systems::vm_list::adopt(world, cx, &list),
            Message::Forward { number, req } => {
                systems::routing::handle_forward(world, cx, from, number, req);
            }
            Message::Forwarded { number, response } => {
                systems::routing::handle_response(world, cx, from, number, response);
            }
            Message::Demand(demand) => systems::planner::handle_demand(world, cx, from, demand),
            Message::Grant(grant) => systems::demand::handle_grant(world, cx, from, &grant),
            Message::Drain => systems::shutdown::begin(world, cx),
            Message::Handover(part) => systems::shutdown::handle_handover(world, cx, from, &part),
            Message::HandoverStored { closed } => {
                systems::shutdown::handle_handover_stored(world, from, closed);
            }
            Message::Closed { closed, holders } => {
                world.archive.record_holders(closed, &holders, cx.now);
            }
        }
    }
}

/// Returns a random 128-bit number.
pub fn random_u128(rng: &mut SmallRng) -> u128 {
    rng.random()
}
