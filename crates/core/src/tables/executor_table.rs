//! Executors and what this process learned of them.

use crate::collections::FastMap;
use crate::model::ids::{DataCentreId, ExecutorId};
use crate::model::time::Time;
use crate::model::vm_list::{ExecutorVm, VmState};
use crate::policy::Policy;
use std::time::Duration;

/// Bounds of the learned correction of the declared speed.
const CORRECTION_RANGE: (f64, f64) = (0.05, 20.0);
/// Deviation of a run time from the expected one, as a logarithm, that counts more.
const FAR_OFF: f64 = 0.8;
/// Factor on the weight of such an observation.
const FAR_OFF_GAIN: f64 = 10.0;
/// Divisor of the declared speed, which is in thousandths.
const MILLI: f64 = 1_000.0;
/// The fastest one of this many slots sets the top speed.
const TOP_SHARE: u32 = 20;
/// Largest exponent of the doubling of ejection times.
const MAX_EJECTION_DOUBLINGS: u32 = 10;

/// Whether an executor gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It gets work.
    Trusted,
    /// It failed; it gets nothing until the time, then one task.
    Ejected {
        /// End of the ejection.
        until: Time,
    },
    /// It gets one task at a time until one succeeds.
    Probation,
}

/// An executor.
#[derive(Clone, Debug)]
pub struct Executor {
    /// What the platform says of it.
    pub vm: ExecutorVm,
    /// Whether it is in the current list.
    pub listed: bool,
    /// Time until which its word counts that it is leaving, whatever the lagging list says.
    pub leaving_until: Time,
    /// Whether it gets work.
    pub health: Health,
    /// Time until which it gets nothing because it refused as busy or could not be reached.
    pub backoff_until: Time,
    /// Task failures since the last success.
    pub failures: u32,
    /// Ejections since the last success.
    pub ejections: u32,
    /// Slots held by this issuer, in use or idle.
    pub held: u16,
    /// Slots in use by this issuer.
    pub in_use: u16,
    /// Idle slots that were not used since they were granted.
    pub fresh: u16,
    /// When slots of it were granted or became idle last.
    pub idle_since: Time,
    /// Learned factor on the declared speed.
    correction: f64,
}

impl Executor {
    fn new(vm: ExecutorVm) -> Self {
        Self {
            vm,
            listed: true,
            leaving_until: Time::ZERO,
            health: Health::Trusted,
            backoff_until: Time::ZERO,
            failures: 0,
            ejections: 0,
            held: 0,
            in_use: 0,
            fresh: 0,
            idle_since: Time::ZERO,
            correction: 1.0,
        }
    }

    /// Returns the speed relative to the reference machine.
    #[must_use]
    pub fn speed(&self) -> f64 {
        f64::from(self.vm.speed_milli.max(1)) / MILLI * self.correction
    }

    /// Returns the speed relative to the reference machine, in thousandths.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the speed is positive and bounded"
    )]
    pub fn speed_milli(&self) -> u32 {
        (self.speed() * MILLI).round() as u32
    }

    /// Tells whether the executor may get new work at all.
    #[must_use]
    pub fn accepts_work(&self, now: Time) -> bool {
        self.listed && self.vm.state == VmState::Live && now >= self.leaving_until
    }

    /// Tells whether this issuer sends it work now.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        let healthy = match self.health {
            // After a failure it gets one task at a time until one succeeds.
            Health::Trusted => self.failures == 0 || self.in_use == 0,
            Health::Probation => self.in_use == 0,
            Health::Ejected { .. } => false,
        };
        healthy && self.accepts_work(now) && now >= self.backoff_until
    }

    /// Returns the slots that this issuer holds and does not use.
    #[must_use]
    pub const fn idle(&self) -> u16 {
        self.held.saturating_sub(self.in_use)
    }

    /// Takes in granted slots.
    pub fn add_granted(&mut self, slots: u16, now: Time) {
        self.idle_since = now;
        let held = self.held.saturating_add(slots).min(self.vm.slots);
        self.fresh += held - self.held.min(held);
        self.held = held;
    }

    /// Occupies idle slots.
    pub const fn occupy(&mut self, slots: u16) {
        self.in_use += slots;
        self.fresh = self.fresh.saturating_sub(slots);
    }

    /// Frees slots of an ended attempt.
    pub const fn vacate(&mut self, slots: u16, now: Time) {
        self.in_use = self.in_use.saturating_sub(slots);
        self.idle_since = now;
    }

    /// Tells whether idle slots have been idle for `linger`.
    #[must_use]
    pub fn lingers(&self, now: Time, linger: Duration) -> bool {
        self.idle() > 0 && now.since(self.idle_since) >= linger
    }

    /// Gives up idle slots and returns how many of them were never used.
    pub fn release_idle(&mut self, slots: u16) -> u16 {
        let slots = slots.min(self.idle());
        let unused = self.fresh.min(slots);
        self.held -= slots;
        self.fresh -= unused;
        unused
    }

    /// Learns from a run that was expected to take `expected` here and took `observed`.
    pub fn learn_speed(&mut self, expected: Duration, observed: Duration, gain: f64) {
        if expected.is_zero() || observed.is_zero() {
            return;
        }
        let ratio = expected.as_secs_f64() / observed.as_secs_f64();
        let (low, high) = CORRECTION_RANGE;
        let ratio = ratio.clamp(low, high);
        // Run times of one kind rarely differ that much: the executor has changed.
        let far_off = ratio.ln().abs() > FAR_OFF;
        let gain = if far_off {
            (gain * FAR_OFF_GAIN).min(1.0)
        } else {
            gain
        };
        let blended = self.correction.ln() + gain * ratio.ln();
        self.correction = blended.exp().clamp(low, high);
    }

    /// Notes a success.
    pub const fn note_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.health = Health::Trusted;
    }

    /// Notes a task failure; ejects the executor after a streak. A failure at once counts twice:
    /// an executor that fails everything it starts does so quickly.
    pub fn note_failure(&mut self, now: Time, at_once: bool, policy: &Policy) {
        self.failures += if at_once { 2 } else { 1 };
        let on_probation = self.health == Health::Probation;
        if on_probation || self.failures >= policy.failure_streak {
            self.eject(now, policy);
        }
    }

    /// Ejects the executor for a time that doubles with each ejection.
    pub fn eject(&mut self, now: Time, policy: &Policy) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let span = policy.ejection_base * 2_u32.pow(doublings);
        let until = now + span.min(policy.ejection_max);
        self.ejections += 1;
        self.health = Health::Ejected { until };
    }

    /// Ends an ejection whose time is over.
    pub fn review(&mut self, now: Time) {
        if let Health::Ejected { until } = self.health
            && now >= until
        {
            self.health = Health::Probation;
        }
    }
}

/// Executors by id.
#[derive(Debug, Default)]
pub struct ExecutorTable {
    rows: FastMap<ExecutorId, Executor>,
    order: Vec<ExecutorId>,
    top_speed: f64,
}

impl ExecutorTable {
    /// Takes in the executors of a newer VM list. One that is no longer listed keeps its row
    /// while this issuer uses slots of it.
    pub fn take_list(&mut self, list: &[ExecutorVm]) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        for vm in list {
            let row = self
                .rows
                .entry(vm.id)
                .or_insert_with(|| Executor::new(vm.clone()));
            let moved = row.vm.address != vm.address;
            if moved {
                *row = Executor {
                    in_use: row.in_use,
                    ..Executor::new(vm.clone())
                };
            }
            if row.vm.state == VmState::Leaving && vm.state == VmState::Live {
                row.leaving_until = Time::ZERO;
            }
            row.vm = vm.clone();
            row.listed = true;
        }
        self.rows.retain(|_, row| row.listed || row.in_use > 0);
        self.order = self.rows.keys().copied().collect();
        self.order.sort_unstable();
        self.update_top_speed();
    }

    /// Returns an executor.
    #[must_use]
    pub fn get(&self, id: ExecutorId) -> Option<&Executor> {
        self.rows.get(&id)
    }

    /// Returns an executor.
    pub fn get_mut(&mut self, id: ExecutorId) -> Option<&mut Executor> {
        self.rows.get_mut(&id)
    }

    /// Returns the executors in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Executor> {
        self.order.iter().filter_map(|id| self.rows.get(id))
    }

    /// Applies `f` to the executors in order of their ids.
    pub fn for_each_mut(&mut self, mut f: impl FnMut(&mut Executor)) {
        for id in &self.order {
            if let Some(row) = self.rows.get_mut(id) {
                f(row);
            }
        }
    }

    /// Returns the largest number of slots of a listed executor.
    #[must_use]
    pub fn widest(&self) -> u16 {
        let rows = self.rows.values().filter(|row| row.listed);
        rows.map(|row| row.vm.slots).max().unwrap_or(0)
    }

    /// Returns the speed that the fastest twentieth of all listed slots reach. Learned speeds are
    /// noisy, so the highest alone would be too high.
    #[must_use]
    pub const fn top_speed(&self) -> f64 {
        self.top_speed
    }

    /// Brings [`ExecutorTable::top_speed`] up to date.
    pub fn update_top_speed(&mut self) {
        let rows = self.rows.values().filter(|row| row.listed);
        let mut speeds: Vec<_> = rows.map(|row| (row.speed(), row.vm.slots)).collect();
        speeds.sort_by(|a, b| b.0.total_cmp(&a.0));
        let total: u32 = speeds.iter().map(|(_, slots)| u32::from(*slots)).sum();
        let mut left = total / TOP_SHARE;
        for (speed, slots) in speeds {
            self.top_speed = speed;
            let slots = u32::from(slots);
            if slots > left {
                return;
            }
            left -= slots;
        }
    }

    /// Returns the data centre of an executor.
    #[must_use]
    pub fn data_centre(&self, id: ExecutorId) -> Option<DataCentreId> {
        self.rows.get(&id).map(|row| row.vm.data_centre)
    }

    /// Returns the number of executors.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether no executor is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
