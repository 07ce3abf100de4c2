//! Executors: their listed properties, health, learned speed and slots held by this issuer.

use crate::collections::FastMap;
use crate::model::ids::{DataCentreId, ExecutorId};
use crate::model::time::Time;
use crate::model::vm_list::{ExecutorVm, VmState};
use crate::policy::Policy;
use std::time::Duration;

/// Lower and upper bound of the learned correction factor on the declared speed.
const CORRECTION_RANGE: (f64, f64) = (0.05, 20.0);
/// A run whose observed and expected times differ by more than this, as a natural logarithm of
/// their ratio, is an outlier and gets more weight.
const OUTLIER_LOG_RATIO: f64 = 0.8;
/// Factor on the weight of an outlier.
const OUTLIER_WEIGHT_FACTOR: f64 = 10.0;
/// Declared speeds are in thousandths.
const MILLI: f64 = 1_000.0;
/// The top speed is what the fastest 1/20 of all listed slots reach.
const TOP_SPEED_SLOT_DIVISOR: u32 = 20;
/// Limit on the doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 10;

/// Health of an executor as this issuer sees it, which decides whether it gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Gets work.
    Trusted,
    /// Failed. Gets no work until the ejection ends, and is on probation after that.
    Ejected {
        /// Time at which the ejection ends.
        until: Time,
    },
    /// Gets one task at a time until one succeeds.
    Probation,
}

/// An executor and this issuer's view of it.
#[derive(Clone, Debug)]
pub struct Executor {
    /// Entry in the platform's VM list.
    pub vm: ExecutorVm,
    /// Whether the current VM list contains the executor.
    pub listed: bool,
    /// Time until which the executor's own report that it is leaving overrides the VM list, which
    /// lags behind.
    pub leaving_until: Time,
    /// Health, which decides whether the executor gets work.
    pub health: Health,
    /// Time until which the executor gets no work because it refused a start as busy.
    pub backoff_until: Time,
    /// Task failures since the last success. A fast failure counts twice.
    pub failures: u32,
    /// Ejections since the last success.
    pub ejections: u32,
    /// Slots held by this issuer, both in use and idle.
    pub held: u16,
    /// Slots in use by this issuer.
    pub in_use: u16,
    /// Idle slots that have not been used since they were granted.
    pub unused_slots: u16,
    /// Time at which slots were last granted or became idle.
    pub idle_since: Time,
    /// Learned correction factor on the declared speed.
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
            unused_slots: 0,
            idle_since: Time::ZERO,
            correction: 1.0,
        }
    }

    /// Returns the learned speed relative to the reference machine.
    #[must_use]
    pub fn speed(&self) -> f64 {
        f64::from(self.vm.speed_milli.max(1)) / MILLI * self.correction
    }

    /// Returns the learned speed in thousandths of the reference machine.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the speed is positive and bounded"
    )]
    pub fn speed_milli(&self) -> u32 {
        (self.speed() * MILLI).round() as u32
    }

    /// Returns whether the executor takes new work, according to the VM list and its own reports.
    #[must_use]
    pub fn accepts_work(&self, now: Time) -> bool {
        self.listed && self.vm.state == VmState::Live && now >= self.leaving_until
    }

    /// Returns whether this issuer may send work to the executor now.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        let healthy = match self.health {
            // After a failure the executor gets one task at a time until one succeeds.
            Health::Trusted => self.failures == 0 || self.in_use == 0,
            Health::Probation => self.in_use == 0,
            Health::Ejected { .. } => false,
        };
        healthy && self.accepts_work(now) && now >= self.backoff_until
    }

    /// Returns the number of slots that this issuer holds but does not use.
    #[must_use]
    pub const fn idle(&self) -> u16 {
        self.held.saturating_sub(self.in_use)
    }

    /// Adds granted slots to the held ones, up to the size of the executor.
    pub fn add_granted_slots(&mut self, slots: u16, now: Time) {
        self.idle_since = now;
        let held = self.held.saturating_add(slots).min(self.vm.slots);
        self.unused_slots += held - self.held.min(held);
        self.held = held;
    }

    /// Marks idle slots as in use by an attempt.
    pub const fn occupy_slots(&mut self, slots: u16) {
        self.in_use += slots;
        self.unused_slots = self.unused_slots.saturating_sub(slots);
    }

    /// Marks the slots of an ended attempt as idle.
    pub const fn free_slots(&mut self, slots: u16, now: Time) {
        self.in_use = self.in_use.saturating_sub(slots);
        self.idle_since = now;
    }

    /// Returns whether there are idle slots and none was granted or freed for `span`.
    #[must_use]
    pub fn is_idle_for(&self, now: Time, span: Duration) -> bool {
        self.idle() > 0 && now.since(self.idle_since) >= span
    }

    /// Releases up to `slots` idle slots and returns how many of them were never used.
    pub fn release_idle_slots(&mut self, slots: u16) -> u16 {
        let slots = slots.min(self.idle());
        let unused = self.unused_slots.min(slots);
        self.held -= slots;
        self.unused_slots -= unused;
        unused
    }

    /// Updates the learned speed from a run that was expected to take `expected` on this executor
    /// and took `observed`, an observation of the given weight.
    pub fn update_speed(&mut self, expected: Duration, observed: Duration, weight: f64) {
        if expected.is_zero() || observed.is_zero() {
            return;
        }
        let ratio = expected.as_secs_f64() / observed.as_secs_f64();
        let (low, high) = CORRECTION_RANGE;
        let ratio = ratio.clamp(low, high);
        // Run times of one kind rarely differ that much, so the executor has probably changed.
        let is_outlier = ratio.ln().abs() > OUTLIER_LOG_RATIO;
        let weight = if is_outlier {
            (weight * OUTLIER_WEIGHT_FACTOR).min(1.0)
        } else {
            weight
        };
        let log_correction = self.correction.ln() + weight * ratio.ln();
        self.correction = log_correction.exp().clamp(low, high);
    }

    /// Records a task success, after which the executor is trusted again.
    pub const fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
        self.health = Health::Trusted;
    }

    /// Records a task failure, and ejects the executor if it is on probation or has reached the
    /// limit of consecutive failures. A fast failure counts twice, because an executor that fails
    /// every task tends to fail within a small part of the expected run time.
    pub fn record_failure(&mut self, now: Time, is_fast: bool, policy: &Policy) {
        self.failures += if is_fast { 2 } else { 1 };
        let on_probation = self.health == Health::Probation;
        if on_probation || self.failures >= policy.max_consecutive_failures {
            self.eject(now, policy);
        }
    }

    /// Ejects the executor for a time that doubles with each ejection since the last success.
    pub fn eject(&mut self, now: Time, policy: &Policy) {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let span = policy.base_ejection_time * 2_u32.pow(doublings);
        let until = now + span.min(policy.max_ejection_time);
        self.ejections += 1;
        self.health = Health::Ejected { until };
    }

    /// Puts an executor whose ejection time has passed on probation.
    pub fn end_expired_ejection(&mut self, now: Time) {
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
    sorted_ids: Vec<ExecutorId>,
    top_speed: f64,
}

impl ExecutorTable {
    /// Updates the table from a newer VM list. An executor that is no longer listed keeps its row
    /// while this issuer uses slots of it. One whose address changed loses what was learned of it.
    pub fn apply_vm_list(&mut self, list: &[ExecutorVm]) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        for vm in list {
            let row = self
                .rows
                .entry(vm.id)
                .or_insert_with(|| Executor::new(vm.clone()));
            let address_changed = row.vm.address != vm.address;
            if address_changed {
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
        self.sorted_ids = self.rows.keys().copied().collect();
        self.sorted_ids.sort_unstable();
        self.update_top_speed();
    }

    /// Returns the executor with the given id, if it is known.
    #[must_use]
    pub fn get(&self, id: ExecutorId) -> Option<&Executor> {
        self.rows.get(&id)
    }

    /// Returns the executor with the given id for changes, if it is known.
    pub fn get_mut(&mut self, id: ExecutorId) -> Option<&mut Executor> {
        self.rows.get_mut(&id)
    }

    /// Iterates over the executors in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Executor> {
        self.sorted_ids.iter().filter_map(|id| self.rows.get(id))
    }

    /// Applies `f` to the executors in the order of their ids.
    pub fn for_each_mut(&mut self, mut f: impl FnMut(&mut Executor)) {
        for id in &self.sorted_ids {
            if let Some(row) = self.rows.get_mut(id) {
                f(row);
            }
        }
    }

    /// Returns the largest number of slots of a listed executor.
    #[must_use]
    pub fn max_executor_slots(&self) -> u16 {
        let rows = self.rows.values().filter(|row| row.listed);
        rows.map(|row| row.vm.slots).max().unwrap_or(0)
    }

    /// Returns the speed that the fastest twentieth of all listed slots reach. Learned speeds are
    /// noisy, so the maximum would be an overestimate.
    #[must_use]
    pub const fn top_speed(&self) -> f64 {
        self.top_speed
    }

    /// Recomputes [`ExecutorTable::top_speed`] from the learned speeds.
    pub fn update_top_speed(&mut self) {
        let rows = self.rows.values().filter(|row| row.listed);
        let mut speeds: Vec<_> = rows.map(|row| (row.speed(), row.vm.slots)).collect();
        speeds.sort_by(|a, b| b.0.total_cmp(&a.0));
        let total: u32 = speeds.iter().map(|(_, slots)| u32::from(*slots)).sum();
        let mut left = total / TOP_SPEED_SLOT_DIVISOR;
        for (speed, slots) in speeds {
            self.top_speed = speed;
            let slots = u32::from(slots);
            if slots > left {
                return;
            }
            left -= slots;
        }
    }

    /// Returns the data centre of an executor, if it is known.
    #[must_use]
    pub fn data_centre(&self, id: ExecutorId) -> Option<DataCentreId> {
        self.rows.get(&id).map(|row| row.vm.data_centre)
    }

    /// Returns the number of executors.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no executor is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
