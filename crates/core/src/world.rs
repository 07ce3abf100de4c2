//! All state of a node.

use crate::action::Action;
use crate::collections::FastMap;
use crate::model::configuration::Configuration;
use crate::model::ids::{CustomerId, VmId};
use crate::model::incarnation::Incarnation;
use crate::model::job_id::IdKey;
use crate::model::message::{Message, Recall};
use crate::model::time::Time;
use crate::model::vm_list::VmList;
use crate::policy::Policy;
use crate::status::{Counters, Phase};
use crate::tables::archive::Archive;
use crate::tables::attempt_table::AttemptTable;
use crate::tables::estimator::Estimator;
use crate::tables::executor_table::ExecutorTable;
use crate::tables::forward_table::ForwardTable;
use crate::tables::job_table::JobTable;
use crate::tables::ledger::Ledger;
use crate::tables::member_table::MemberTable;
use crate::tables::ready_index::ReadyIndex;
use crate::tables::store_op_table::StoreOpTable;
use crate::tables::usage_table::UsageTable;
use crate::timers::{Timer, TimerService};
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

/// Slots and demand as this issuer last told them to the slot owner.
#[derive(Debug, Default)]
pub struct IssuerState {
    /// The owner that was last told.
    pub owner: Option<Incarnation>,
    /// Position of the last demand.
    pub demand_seq: u64,
    /// Last grant taken in, per owner.
    pub grant_seqs: FastMap<Incarnation, u64>,
    /// Time of the last demand.
    pub sent_at: Time,
    /// Whether work came that may need more slots.
    pub wants: bool,
    /// Whether something else changed that the owner should know.
    pub changed: bool,
    /// Whether a timer for tasks that wait for a faster slot is subscribed.
    pub retrying: bool,
    /// Whether a timer for a demand is subscribed.
    pub scheduled: bool,
    /// Slots that the owner wants back.
    pub recall: Recall,
    /// Whether a timer for slots that stay idle is subscribed.
    pub lingering: bool,
    /// Expected time until newly submitted work starts.
    pub expected_wait: Duration,
    /// Expected time until a task that needs one of the fastest slots gets it.
    pub patience: Duration,
}

/// What this process does as the slot owner.
#[derive(Debug, Default)]
pub struct OwnerState {
    /// Since when this process is the owner.
    pub since: Option<Time>,
    /// Whether a timer for the plan is subscribed.
    pub scheduled: bool,
    /// Mean time that claims on the fastest slots waited for them.
    pub patience: Duration,
    /// Expected wait as it was last told to all issuers.
    pub told_wait: Duration,
}

/// What a graceful stop still waits for.
#[derive(Debug, Default)]
pub struct ClosingState {
    /// Peers that are asked to hold the archive.
    pub asked: Vec<Incarnation>,
    /// Archives that are handed over, with the peers that stored them.
    pub stored: FastMap<Incarnation, Vec<Incarnation>>,
    /// Whether the last usage report was begun.
    pub usage_begun: bool,
    /// Whether the last usage report was written.
    pub usage_written: bool,
    /// Whether the time for the hand-over is over.
    pub timed_out: bool,
}

/// All state of a node: tables, and the few values that stand alone.
#[derive(Debug)]
pub struct World {
    pub me: Incarnation,
    pub weight: u32,
    pub policy: Policy,
    pub phase: Phase,
    pub rng: SmallRng,
    pub jobs: JobTable,
    pub ready: ReadyIndex,
    pub attempts: AttemptTable,
    pub running_slots: FastMap<CustomerId, u32>,
    pub executors: ExecutorTable,
    pub estimator: Estimator,
    pub members: MemberTable,
    pub forwards: ForwardTable,
    pub archive: Archive,
    pub ledger: Ledger,
    pub issuer: IssuerState,
    pub owner: OwnerState,
    pub closing: ClosingState,
    pub store_ops: StoreOpTable,
    pub usage: UsageTable,
    pub config: Option<Arc<Configuration>>,
    pub vm_list: Option<Arc<VmList>>,
    pub delisted: FastMap<VmId, Time>,
    pub timers: TimerService<Timer>,
    pub counters: Counters,
    pub open_tasks: usize,
}

impl World {
    pub fn new(me: Incarnation, weight: u32, policy: Policy, key: IdKey, rng: SmallRng) -> Self {
        Self {
            me,
            weight,
            policy,
            phase: Phase::Serving,
            rng,
            jobs: JobTable::new(me, key),
            ready: ReadyIndex::default(),
            attempts: AttemptTable::default(),
            running_slots: FastMap::default(),
            executors: ExecutorTable::default(),
            estimator: Estimator::default(),
            members: MemberTable::default(),
            forwards: ForwardTable::default(),
            archive: Archive::default(),
            ledger: Ledger::default(),
            issuer: IssuerState::default(),
            owner: OwnerState::default(),
            closing: ClosingState::default(),
            store_ops: StoreOpTable::default(),
            usage: UsageTable::default(),
            config: None,
            vm_list: None,
            delisted: FastMap::default(),
            timers: TimerService::default(),
            counters: Counters::default(),
            open_tasks: 0,
        }
    }

    /// Tells whether new work is taken, apart from the load.
    pub fn admits_work(&self) -> bool {
        let admits = self
            .config
            .as_ref()
            .is_some_and(|config| config.preset_in_force().admits_work);
        admits && self.phase == Phase::Serving
    }

    /// Returns the version of the configuration, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the revision of the VM list, 0 for none.
    pub fn vm_list_revision(&self) -> u64 {
        self.vm_list.as_ref().map_or(0, |list| list.revision)
    }
}

/// The surroundings of one call: the time, and what is to be done.
#[derive(Debug)]
pub struct Cx<'a> {
    /// The present time.
    pub now: Time,
    actions: &'a mut Vec<Action>,
    /// Messages of this process to itself, as issuer and owner.
    pub loopback: Vec<Message>,
}

impl<'a> Cx<'a> {
    pub fn new(now: Time, actions: &'a mut Vec<Action>) -> Self {
        Self {
            now,
            actions,
            loopback: Vec::new(),
        }
    }

    pub fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message to a peer, or back to this process without the network.
    pub fn send(&mut self, world: &mut World, to: Incarnation, message: Message) {
        if to == world.me {
            self.loopback.push(message);
            return;
        }
        world.counters.messages_sent += 1;
        self.actions.push(Action::Send { to, message });
    }

    pub fn subscribe(&self, world: &mut World, span: Duration, timer: Timer) {
        world.timers.subscribe(self.now + span, timer);
    }
}
