//! Workers, and what this VM knows and wants of them.

use crate::guarded::model::ids::{FencingToken, RunId, TaskId};
use crate::guarded::model::resources::Resources;
use crate::guarded::model::worker::WorkerEntry;
use crate::guarded::policy::CLOCK_SLACK;
use crate::model::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Consecutive failures after which a worker is set aside.
const EJECT_AFTER: u32 = 2;
/// Time for which it is set aside first; it doubles with each further failure.
const EJECT_FIRST: Duration = Duration::from_millis(500);
/// Longest time for which a worker is set aside.
const EJECT_MAX: Duration = Duration::from_secs(4);
/// Weight of a new observation of a worker's slowness.
const SLOWNESS_GAIN: f64 = 0.3;
/// Bounds of the slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.8..=12.0;
/// Time in which the excess of the slowness over 1 falls to half without observations.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

/// Time within which a take-over that is tried again counts as about to succeed.
const SOON: Duration = Duration::from_millis(100);

/// Longest lease that a worker grants, whatever it is asked for.
const MAX_LEASE: Duration = Duration::from_secs(1);

/// Whether this VM holds a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It does not.
    None,
    /// It stops the runs that it found there.
    Taking,
    /// It renews the lease and starts runs.
    Held,
    /// Another VM took the worker over, or may have; not to be tried again before this time.
    Fenced(Time),
    /// It did not answer while it was taken over. It is probed without a token until it does.
    Unreached,
}

/// What a run is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// Its start was ordered and not answered yet.
    Starting,
    /// It was there at this time.
    Running(Time),
    /// Its stop was ordered at `ordered` and acknowledged at `acked`.
    Stopping {
        /// Time of the last order.
        ordered: Time,
        /// Time of the acknowledgement.
        acked: Option<Time>,
    },
}

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The run.
    pub id: RunId,
    /// What it occupies.
    pub need: Resources,
    /// What it is doing.
    pub state: RunState,
    /// Time of the first order.
    pub ordered: Time,
    /// Run time estimated by the client.
    pub estimate: Duration,
    /// Run time expected here.
    pub predicted: Duration,
    /// Orders to start it.
    pub tries: u32,
}

/// A look that was not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingLook {
    /// Its number.
    pub number: u64,
    /// When it was sent.
    pub sent: Time,
}

/// The worker's clock at a moment.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    clock_ms: u64,
    at: Time,
}

/// How well a worker does.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Failures since the last success.
    pub failures: u32,
    /// Time until which it gets no runs.
    pub ejected_until: Time,
    /// Factor by which its runs take longer than those of its kind.
    slowness: f64,
    observed: Time,
}

/// A worker, and what this VM knows and wants of it.
#[derive(Debug)]
pub struct Worker {
    /// Its entry in the registry.
    pub entry: WorkerEntry,
    /// Since when the registry lacks it.
    pub missing_since: Option<Time>,
    /// Whether this VM holds it.
    pub hold: Hold,
    /// Token of this VM's hold.
    pub token: FencingToken,
    /// Looks in a row without an answer while it was taken over.
    pub unanswered: u32,
    /// How often it saw a higher token since a hold that nobody disputed.
    pub fenced: u32,
    /// Time of the last take-over that succeeded.
    pub held_since: Time,
    /// The look under way.
    pub look: Option<PendingLook>,
    /// Its boot.
    pub boot: Option<u64>,
    /// Ends up to this number were taken into the state of their jobs.
    pub last_seen: u64,
    /// Time of its last answer.
    pub answered: Time,
    /// Runs that are there or may be.
    pub runs: BTreeMap<TaskId, Run>,
    /// What the runs occupy.
    pub used: Resources,
    /// How well it does.
    pub health: Health,
    /// Time until which it is taken as full, whatever the accounts say.
    pub full_until: Time,
    clock: Option<ClockSample>,
    lease_end_ms: u64,
    /// Since when the clock of the present boot is not known.
    blind_since: Option<Time>,
}

impl Worker {
    /// Builds the row of a worker that nobody here holds.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            missing_since: None,
            hold: Hold::None,
            token: FencingToken(0),
            unanswered: 0,
            fenced: 0,
            held_since: Time::ZERO,
            look: None,
            boot: None,
            last_seen: 0,
            answered: Time::ZERO,
            runs: BTreeMap::new(),
            used: Resources::default(),
            health: Health::default(),
            full_until: Time::ZERO,
            clock: None,
            lease_end_ms: 0,
            blind_since: None,
        }
    }

    /// Returns what is free.
    pub fn free(&self) -> Resources {
        self.entry.capacity.without(&self.used)
    }

    /// Takes in a reading of the worker's clock.
    pub fn read_clock(&mut self, now: Time, clock_ms: u64) {
        // Replies may overtake each other; the clock itself never goes back.
        if self.clock.is_none_or(|old| clock_ms >= old.clock_ms) {
            self.clock = Some(ClockSample { clock_ms, at: now });
        }
        if self.blind_since.take().is_some() {
            self.assume_longest_lease(now);
        }
    }

    /// Reckons with the longest lease from now, for runs that this VM did not start.
    pub fn assume_longest_lease(&mut self, now: Time) {
        // Without a clock there is nothing to reckon with yet; the first reading comes back here.
        self.extend_lease(now, MAX_LEASE);
    }

    /// Forgets the clock, for another boot has another.
    pub const fn forget_clock(&mut self, now: Time) {
        self.clock = None;
        self.lease_end_ms = 0;
        self.blind_since = Some(now);
    }

    /// Returns the time that the worker's clock shows about now.
    pub fn clock_at(&self, now: Time) -> Option<u64> {
        let sample = self.clock?;
        let passed = u64::try_from(now.since(sample.at).as_millis()).unwrap_or(u64::MAX);
        Some(sample.clock_ms.saturating_add(passed))
    }

    /// Asks for a lease of `span` from now and returns its end on the worker's clock.
    pub fn extend_lease(&mut self, now: Time, span: Duration) -> Option<u64> {
        let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let end = self.clock_at(now)?.saturating_add(span);
        self.lease_end_ms = self.lease_end_ms.max(end);
        Some(end)
    }

    /// Tells whether every lease that was ever asked for has lapsed for certain, even on the
    /// slowest clock.
    pub fn lease_lapsed(&self, now: Time, grace: Duration) -> bool {
        let Some(sample) = self.clock else {
            let longest = MAX_LEASE.mul_f64(CLOCK_SLACK) + grace;
            return self
                .blind_since
                .is_none_or(|since| now.since(since) > longest);
        };
        let left = self.lease_end_ms.saturating_sub(sample.clock_ms);
        let span = Duration::from_millis(left).mul_f64(CLOCK_SLACK) + grace;
        now.since(sample.at) > span
    }

    /// Tells whether it may get new runs.
    pub fn is_usable(&self, now: Time, silence: Duration) -> bool {
        self.hold == Hold::Held
            && !self.entry.draining
            && self.health.ejected_until <= now
            && self.full_until <= now
            && self.clock.is_some()
            && now.since(self.answered) < silence
    }

    /// Tells whether it is being taken over and will be usable in a moment.
    pub fn is_coming(&self, now: Time) -> bool {
        let soon = match self.hold {
            Hold::Taking => self.unanswered == 0,
            Hold::Fenced(until) => until.since(now) <= SOON,
            Hold::None | Hold::Held | Hold::Unreached => false,
        };
        soon && !self.entry.draining && self.missing_since.is_none()
    }

    /// Tells whether it may get another run: one that failed last is tried with one run at a time.
    pub fn admits_more(&self) -> bool {
        self.health.failures == 0 || self.runs.is_empty()
    }

    /// Marks every run as one to be stopped; the order follows when the worker lists it.
    pub fn mark_all_stopping(&mut self) {
        for run in self.runs.values_mut() {
            run.state = RunState::Stopping {
                ordered: Time::ZERO,
                acked: None,
            };
        }
    }

    /// Adds a run.
    pub fn add_run(&mut self, run: Run) {
        self.used += run.need;
        self.runs.insert(run.id.task, run);
    }

    /// Removes a run.
    pub fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used -= run.need;
        Some(run)
    }
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            ejected_until: Time::ZERO,
            slowness: 1.0,
            observed: Time::ZERO,
        }
    }
}

impl Health {
    /// Takes in a success that took `actual` where `expected` is usual for its kind.
    pub fn succeeded(&mut self, now: Time, expected: Duration, actual: Duration) {
        self.failures = 0;
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        self.observe(now, ratio);
    }

    /// Takes in how slow a run was, as a factor on what is usual.
    pub fn observe(&mut self, now: Time, ratio: f64) {
        let old = self.slowness(now);
        let new = old + SLOWNESS_GAIN * (ratio - old);
        self.slowness = new.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        self.observed = now;
    }

    /// Takes in a failure. Returns whether the worker is set aside now.
    pub fn failed(&mut self, now: Time) -> bool {
        self.failures += 1;
        if self.failures < EJECT_AFTER {
            return false;
        }
        let doublings = (self.failures - EJECT_AFTER).min(8);
        let span = (EJECT_FIRST * (1 << doublings)).min(EJECT_MAX);
        self.ejected_until = now + span;
        true
    }

    /// Returns the factor by which runs take longer here than on others of the kind.
    pub fn slowness(&self, now: Time) -> f64 {
        let half_lives = now.since(self.observed).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(half_lives)
    }
}
