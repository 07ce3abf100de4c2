//! State of a node, and the context that event handlers run in.

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
use crate::tables::allocation_table::AllocationTable;
use crate::tables::archive::Archive;
use crate::tables::attempt_table::AttemptTable;
use crate::tables::estimator::Estimator;
use crate::tables::executor_table::ExecutorTable;
use crate::tables::forward_table::ForwardTable;
use crate::tables::job_table::JobTable;
use crate::tables::member_table::MemberTable;
use crate::tables::ready_index::ReadyIndex;
use crate::tables::store_op_table::StoreOpTable;
use crate::tables::usage_table::UsageTable;
use crate::timers::{Timer, TimerQueue};
use rand::rngs::SmallRng;
use std::sync::Arc;
use std::time::Duration;

/// State of this process as an issuer that reports its demand to the slot owner.
#[derive(Debug, Default)]
pub struct IssuerState {
    /// Slot owner in this process's current view.
    pub owner: Option<Incarnation>,
    /// Sequence number of the last demand.
    pub demand_seq: u64,
    /// Sequence number of the last grant received, per owner.
    pub grant_seqs: FastMap<Incarnation, u64>,
    /// Time at which the last demand was sent.
    pub sent_at: Time,
    /// Whether waiting tasks may need more slots.
    pub needs_slots: bool,
    /// Whether anything else changed that the owner should know.
    pub changed: bool,
    /// Whether a timer is set for tasks that wait for a faster slot.
    pub dispatch_retry_scheduled: bool,
    /// Whether a timer is set for the next demand.
    pub demand_scheduled: bool,
    /// Recalled slots that have not been returned yet.
    pub recall: Recall,
    /// Whether a timer is set for slots that stay idle.
    pub idle_check_scheduled: bool,
    /// Expected time until newly submitted work starts, as the owner last reported it.
    pub expected_wait: Duration,
    /// Expected time until a task that needs one of the fastest slots gets it, as the owner last
    /// reported it.
    pub fast_slot_wait: Duration,
}

/// State of this process as the slot owner.
#[derive(Debug, Default)]
pub struct OwnerState {
    /// Time at which this process became the owner; `None` if it is not the owner.
    pub since: Option<Time>,
    /// Whether a timer is set for the next plan.
    pub plan_scheduled: bool,
    /// Mean time that claims of the fastest speed class waited for a slot.
    pub fast_slot_wait: Duration,
    /// Expected wait that was last sent to all issuers.
    pub last_sent_wait: Duration,
}

/// Progress of a graceful stop.
#[derive(Debug, Default)]
pub struct ShutdownState {
    /// Peers to which the archives are sent.
    pub archive_recipients: Vec<Incarnation>,
    /// Peers that stored each archive, by the closed incarnation.
    pub stored_by: FastMap<Incarnation, Vec<Incarnation>>,
    /// Whether the write of the last usage report has been submitted.
    pub usage_write_submitted: bool,
    /// Whether the write of the last usage report has ended, successfully or not.
    pub usage_write_ended: bool,
    /// Whether `handover_timeout` has passed.
    pub timed_out: bool,
}

/// All state of a node: the tables and a few single values.
#[derive(Debug)]
pub struct World {
    pub me: Incarnation,
    pub weight: u32,
    pub policy: Policy,
    pub phase: Phase,
    pub rng: SmallRng,
    pub jobs: JobTable,
    /// Open jobs with waiting tasks, by priority.
    pub ready: ReadyIndex,
    pub attempts: AttemptTable,
    /// Slots in use per customer.
    pub running_slots: FastMap<CustomerId, u32>,
    pub executors: ExecutorTable,
    pub estimator: Estimator,
    pub members: MemberTable,
    pub forwards: ForwardTable,
    pub archive: Archive,
    pub allocations: AllocationTable,
    pub issuer: IssuerState,
    pub owner: OwnerState,
    pub shutdown: ShutdownState,
    pub store_ops: StoreOpTable,
    pub usage: UsageTable,
    pub config: Option<Arc<Configuration>>,
    pub vm_list: Option<Arc<VmList>>,
    /// Entry VMs that left the VM list, with the time at which they did.
    pub delisted: FastMap<VmId, Time>,
    pub timers: TimerQueue<Timer>,
    pub counters: Counters,
    /// Number of tasks of all open jobs, ended ones included.
    pub open_tasks: usize,
    /// Bytes of all open jobs.
    pub open_bytes: usize,
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
            allocations: AllocationTable::default(),
            issuer: IssuerState::default(),
            owner: OwnerState::default(),
            shutdown: ShutdownState::default(),
            store_ops: StoreOpTable::default(),
            usage: UsageTable::default(),
            config: None,
            vm_list: None,
            delisted: FastMap::default(),
            timers: TimerQueue::default(),
            counters: Counters::default(),
            open_tasks: 0,
            open_bytes: 0,
        }
    }

    /// Returns whether new work is admitted, apart from load limits.
    pub fn admits_work(&self) -> bool {
        let admits = self
            .config
            .as_ref()
            .is_some_and(|config| config.active_preset().admits_work);
        admits && self.phase == Phase::Serving
    }

    /// Returns the version of the configuration, 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the revision of the VM list, 0 if there is none.
    pub fn vm_list_revision(&self) -> u64 {
        self.vm_list.as_ref().map_or(0, |list| list.revision)
    }
}

/// Context of one call: the current time and the resulting actions.
#[derive(Debug)]
pub struct Cx<'a> {
    pub now: Time,
    actions: &'a mut Vec<Action>,
    /// Messages of this process to itself, between its roles as issuer and as slot owner.
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

    pub fn emit(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message to a peer. A message to this process itself is delivered without the
    /// network.
    pub fn send(&mut self, world: &mut World, to: Incarnation, message: Message) {
        if to == world.me {
            self.loopback.push(message);
            return;
        }
        world.counters.messages_sent += 1;
        self.actions.push(Action::Send { to, message });
    }

    pub fn schedule_after(&self, world: &mut World, delay: Duration, timer: Timer) {
        world.timers.schedule(self.now + delay, timer);
    }
}
