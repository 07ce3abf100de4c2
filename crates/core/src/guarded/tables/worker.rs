//! Workers as this VM sees them: lease, runs, clock and health.

use crate::guarded::model::ids::{FencingToken, QueueId, RunId, TaskId};
use crate::guarded::model::resources::Resources;
use crate::guarded::model::worker::WorkerEntry;
use crate::guarded::policy::CLOCK_SLACK;
use crate::guarded::tables::stop::Stop;
use crate::model::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Consecutive failures after which a worker is ejected.
const EJECT_AFTER_FAILURES: u32 = 2;
/// Duration of the first ejection; it doubles with each further failure.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Weight of a new observation of a worker's slowdown in the moving average.
const SLOWDOWN_WEIGHT: f64 = 0.3;
/// Bounds of the slowdown factor.
const SLOWDOWN_BOUNDS: std::ops::RangeInclusive<f64> = 0.8..=12.0;
/// Time in which the excess of the slowdown factor over 1 halves without new observations.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(3);

/// Time for which crashes of a worker count.
const CRASH_WINDOW: Duration = Duration::from_secs(30);

/// Maximum remaining delay with which the next attempt to acquire a worker counts as imminent.
const IMMINENT_WITHIN: Duration = Duration::from_millis(100);

/// Maximum lease that a worker grants, whatever is requested.
const MAX_LEASE: Duration = Duration::from_secs(1);

/// State of this VM's hold on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// Not held by this VM.
    None,
    /// Being acquired: the runs that were found there are stopped first.
    Acquiring,
    /// Held: this VM renews the lease and starts runs.
    Held,
    /// Another VM acquired the worker, or may have. This VM makes no attempt before this time.
    Fenced(Time),
    /// The worker did not answer while it was being acquired. It is probed with token 0 until it
    /// does.
    Unreachable,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The start was sent and is not confirmed yet.
    Starting,
    /// The run was confirmed at this time.
    Running(Time),
    /// The run is being stopped.
    Stopping(Stop),
}

/// A run on a worker, present or possibly present.
#[derive(Clone, Debug)]
pub struct Run {
    /// Task and number of the run.
    pub id: RunId,
    /// Resources that it occupies.
    pub need: Resources,
    /// Current state.
    pub state: RunState,
    /// Time of the first start request.
    pub requested_at: Time,
    /// Run time estimated by the client; zero if unknown.
    pub estimate: Duration,
    /// Run time predicted for this worker.
    pub predicted: Duration,
    /// Fencing token of its start requests.
    pub token: FencingToken,
    /// Number of start requests sent; 0 for a run that another VM started.
    pub start_requests: u32,
    /// Whether the worker has told that it runs, or ran.
    pub is_confirmed: bool,
    /// Queue of its job; `None` for a run that another VM started.
    pub queue: Option<QueueId>,
}

/// How the end of a worker became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerEnd {
    /// Its process ended.
    Ended,
    /// Another boot or another worker answers in its place.
    Replaced,
    /// It was silent until its lease expired.
    Silent,
}

/// The loss of a worker with its runs.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// Time of the loss.
    pub at: Time,
    /// How it became known.
    pub end: WorkerEnd,
}

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
pub struct PendingPoll {
    /// Number of the poll, which its reply carries.
    pub number: u64,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Whether it is a probe that fences the worker, to rule out a start in flight.
    pub fences: bool,
    /// Whether its worker is monitored closely, so that it waits for a short time only.
    pub is_watch: bool,
}

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    clock_ms: u64,
    at: Time,
}

/// Failures and slowdown of a worker, for outlier ejection and prediction.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// Number of failures since the last success.
    pub failures: u32,
    /// Time until which the worker is ejected and gets no runs.
    pub ejected_until: Time,
    /// Factor by which its runs take longer than on other workers of its kind.
    slowdown: f64,
    observed_at: Time,
    /// Number of recent crashes that no task explains.
    unexplained_crashes: u32,
    last_crash_at: Time,
}

/// State of a worker in the registry, whether or not this VM holds it.
#[derive(Debug)]
pub struct Worker {
    /// Entry of the worker in the registry.
    pub entry: WorkerEntry,
    /// Later entry with another address, until no run is left at the present one.
    pub moving_to: Option<WorkerEntry>,
    /// Time since which it has its present address.
    pub address_since: Time,
    /// Time since which the registry does not list it; `None` while it does.
    pub missing_since: Option<Time>,
    /// State of this VM's hold.
    pub hold: Hold,
    /// Fencing token of this VM's current or last hold.
    pub token: FencingToken,
    /// Consecutive unanswered polls while it was being acquired.
    pub unanswered_polls: u32,
    /// Number of times that it saw a higher token since it was last held undisputed.
    pub times_fenced: u32,
    /// Time at which it was last acquired.
    pub held_since: Time,
    /// Poll in flight.
    pub poll: Option<PendingPoll>,
    /// Polls in a row that were overdue or unanswered while it was monitored closely.
    pub overdue_polls: u32,
    /// Boot time in Unix milliseconds that the worker reported, used only to tell boots apart.
    pub boot: Option<u64>,
    /// Number of the last ended run that was applied to its job.
    pub last_seen: u64,
    /// Time of its last answer.
    pub last_answer_at: Time,
    /// Runs that are present or may be.
    pub runs: BTreeMap<TaskId, Run>,
    /// Listed runs of tasks of which `runs` has another run. They were started by an earlier holder,
    /// or by this VM before it forgot them.
    pub untracked: BTreeMap<RunId, Stop>,
    /// Time since which the lease is not renewed because a stop there has no effect.
    pub withheld_since: Option<Time>,
    /// Whether it has a run of a job whose entry may be gone, as last noted.
    pub is_in_doubt: bool,
    /// Resources that the runs occupy.
    pub used: Resources,
    /// Failures and slowdown.
    pub health: Health,
    /// Time until which it is slower than usual, because it has started a moment ago.
    pub cold_until: Time,
    /// Time of the next probe while it is unreachable.
    pub next_probe_at: Time,
    /// Time until which it counts as full, regardless of `used`.
    pub full_until: Time,
    /// Suspect that has the worker for itself: it runs there, or starts there next.
    pub reserved_for: Option<TaskId>,
    /// Contained queue that has the worker for itself while it has runs there.
    pub exclusive_to: Option<QueueId>,
    /// Its last loss with its runs; `None` since it was acquired.
    pub loss: Option<Loss>,
    /// Queue whose tasks crashed it.
    pub lost_to: Option<QueueId>,
    clock: Option<ClockSample>,
    lease_end_ms: u64,
    /// Time since which the clock of the current boot is unknown.
    clock_unknown_since: Option<Time>,
}

impl Worker {
    /// Creates the state of a worker that this VM does not hold.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            moving_to: None,
            address_since: Time::ZERO,
            missing_since: None,
            hold: Hold::None,
            token: FencingToken(0),
            unanswered_polls: 0,
            times_fenced: 0,
            held_since: Time::ZERO,
            poll: None,
            overdue_polls: 0,
            boot: None,
            last_seen: 0,
            last_answer_at: Time::ZERO,
            runs: BTreeMap::new(),
            untracked: BTreeMap::new(),
            withheld_since: None,
            is_in_doubt: false,
            used: Resources::default(),
            health: Health::default(),
            cold_until: Time::ZERO,
            next_probe_at: Time::ZERO,
            full_until: Time::ZERO,
            reserved_for: None,
            exclusive_to: None,
            loss: None,
            lost_to: None,
            clock: None,
            lease_end_ms: 0,
            clock_unknown_since: None,
        }
    }

    /// Returns whether runs that begin at this time take longer than usual.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns the resources that no run occupies.
    pub fn free(&self) -> Resources {
        self.entry.capacity.without(&self.used)
    }

    /// Records a reading of the worker's clock.
    pub fn record_clock(&mut self, now: Time, clock_ms: u64) {
        // Replies may be reordered; the clock itself never goes back.
        if self.clock.is_none_or(|old| clock_ms >= old.clock_ms) {
            self.clock = Some(ClockSample { clock_ms, at: now });
        }
        if self.clock_unknown_since.take().is_some() {
            self.assume_max_lease(now);
        }
    }

    /// Assumes the maximum lease from now, for runs that this VM did not start.
    pub fn assume_max_lease(&mut self, now: Time) {
        // Has no effect while the clock is unknown; `record_clock` calls this again with the first
        // reading.
        self.extend_lease(now, MAX_LEASE);
    }

    /// Discards what is known of the worker's boot. A new boot has a new clock and numbers its ended
    /// runs anew.
    pub fn forget_boot(&mut self, now: Time) {
        self.boot = None;
        self.last_seen = 0;
        self.clock = None;
        self.lease_end_ms = 0;
        self.clock_unknown_since = Some(now);
        self.untracked.clear();
        self.withheld_since = None;
    }

    /// Returns an estimate of the worker's clock at `now`, in milliseconds. It is not ahead of the
    /// clock, even if that is slow, so that no lease lasts longer than intended.
    pub fn clock_at(&self, now: Time) -> Option<u64> {
        let sample = self.clock?;
        let passed = now.since(sample.at).div_f64(CLOCK_SLACK);
        let passed = u64::try_from(passed.as_millis()).unwrap_or(u64::MAX);
        Some(sample.clock_ms.saturating_add(passed))
    }

    /// Returns whether everything that runs on the worker may go on. Not so while a run that should
    /// end is not known to, or while the entry of its job may be gone: the job may be at work elsewhere when
    /// the lease would have expired.
    pub fn may_extend_lease(&self) -> bool {
        !self.is_in_doubt && self.permits_lease()
    }

    /// Returns whether no run that should end keeps the lease from being extended.
    pub fn permits_lease(&self) -> bool {
        self.untracked.is_empty() && !self.stops().any(|(_, stop)| stop.forbids_lease())
    }

    /// Returns the stops of runs there that are not known to have ended.
    pub fn stops(&self) -> impl Iterator<Item = (RunId, &Stop)> {
        let tracked = self.runs.values().filter_map(|run| match &run.state {
            RunState::Stopping(stop) => Some((run.id, stop)),
            RunState::Starting | RunState::Running(_) => None,
        });
        tracked.chain(self.untracked.iter().map(|(&id, stop)| (id, stop)))
    }

    /// Same as [`Self::stops`], to change them.
    pub fn stops_mut(&mut self) -> impl Iterator<Item = (RunId, &mut Stop)> {
        let runs = self.runs.values_mut();
        let tracked = runs.filter_map(|run| match &mut run.state {
            RunState::Stopping(stop) => Some((run.id, stop)),
            RunState::Starting | RunState::Running(_) => None,
        });
        tracked.chain(self.untracked.iter_mut().map(|(&id, stop)| (id, stop)))
    }

    /// Returns the stop of a run.
    pub fn stop_mut(&mut self, id: RunId) -> Option<&mut Stop> {
        let mut stops = self.stops_mut();
        stops.find(|(run, _)| *run == id).map(|(_, stop)| stop)
    }

    /// Computes the end of a lease of `span` from now, on the worker's clock in milliseconds, and
    /// remembers it as requested. Returns `None` if the clock is unknown or the lease must not be
    /// extended.
    pub fn renew_lease(&mut self, now: Time, span: Duration) -> Option<u64> {
        if !self.permits_lease() {
            return None;
        }
        self.extend_lease(now, span)
    }

    /// Returns the time until the last requested lease ends, on the worker's clock; zero if the clock
    /// is unknown.
    pub fn lease_left(&self, now: Time) -> Duration {
        let clock_ms = self.clock_at(now).unwrap_or(u64::MAX);
        Duration::from_millis(self.lease_end_ms.saturating_sub(clock_ms))
    }

    fn extend_lease(&mut self, now: Time, span: Duration) -> Option<u64> {
        let span = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let end = self.clock_at(now)?.saturating_add(span);
        self.lease_end_ms = self.lease_end_ms.max(end);
        Some(end)
    }

    /// Returns whether every requested lease has certainly expired, even if the worker's clock runs
    /// as slowly as `CLOCK_SLACK` allows.
    pub fn is_lease_expired(&self, now: Time, grace: Duration) -> bool {
        let Some(sample) = self.clock else {
            let longest = MAX_LEASE.mul_f64(CLOCK_SLACK) + grace;
            return self
                .clock_unknown_since
                .is_none_or(|since| now.since(since) > longest);
        };
        let grace_ms = u64::try_from(grace.as_millis()).unwrap_or(u64::MAX);
        let end_ms = self.lease_end_ms.saturating_add(grace_ms);
        let left = Duration::from_millis(end_ms.saturating_sub(sample.clock_ms));
        now.since(sample.at) >= left.mul_f64(CLOCK_SLACK)
    }

    /// Returns whether the worker may get new runs.
    pub fn is_usable(&self, now: Time, stale_after: Duration) -> bool {
        self.hold == Hold::Held
            && !self.entry.draining
            && self.moving_to.is_none()
            && self.health.ejected_until <= now
            && self.full_until <= now
            && self.clock.is_some()
            && self.withheld_since.is_none()
            && self.is_entry_of_boot()
            && now.since(self.last_answer_at) < stale_after
    }

    /// Returns whether the entry is of the boot that answers polls, as far as known. Another boot may
    /// be of another kind and size.
    fn is_entry_of_boot(&self) -> bool {
        let boots = self.entry.boot.zip(self.boot);
        boots.is_none_or(|(listed, answering)| listed == answering)
    }

    /// Returns whether the worker is being acquired and will be usable shortly.
    pub fn is_usable_soon(&self, now: Time) -> bool {
        let is_imminent = match self.hold {
            Hold::Acquiring => self.unanswered_polls == 0,
            Hold::Fenced(until) => until.since(now) <= IMMINENT_WITHIN,
            Hold::None | Hold::Held | Hold::Unreachable => false,
        };
        is_imminent && !self.entry.draining && self.missing_since.is_none()
    }

    /// Returns whether the worker may get another run. After a failure it gets one run at a time.
    pub fn admits_run(&self) -> bool {
        self.health.failures == 0 || self.runs.is_empty()
    }

    /// Marks every run as stopping, also those whose stop was acknowledged. The stops are sent once
    /// the worker is being acquired.
    pub fn mark_all_stopping(&mut self, now: Time) {
        for run in self.runs.values_mut() {
            let stop = match run.state {
                RunState::Stopping(stop) => stop.again(),
                RunState::Starting | RunState::Running(_) => Stop::new(now),
            };
            run.state = RunState::Stopping(stop);
        }
    }

    /// Adds a run and its resources.
    pub fn add_run(&mut self, run: Run) {
        self.used += run.need;
        self.runs.insert(run.id.task, run);
    }

    /// Removes a run and frees its resources.
    pub fn remove_run(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used -= run.need;
        if self.reserved_for == Some(task) {
            self.reserved_for = None;
        }
        if self.runs.is_empty() {
            self.exclusive_to = None;
        }
        Some(run)
    }
}

impl Default for Health {
    fn default() -> Self {
        Self {
            failures: 0,
            ejected_until: Time::ZERO,
            slowdown: 1.0,
            observed_at: Time::ZERO,
            unexplained_crashes: 0,
            last_crash_at: Time::ZERO,
        }
    }
}

impl Health {
    /// Records a successful run that took `actual`, where `expected` is usual for its kind.
    pub fn record_success(&mut self, now: Time, expected: Duration, actual: Duration) {
        self.failures = 0;
        let ratio = actual.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        self.record_slowdown(now, ratio);
    }

    /// Records the run time of a run as a factor on the usual one.
    pub fn record_slowdown(&mut self, now: Time, ratio: f64) {
        let old = self.slowdown(now);
        let new = old + SLOWDOWN_WEIGHT * (ratio - old);
        self.slowdown = new.clamp(*SLOWDOWN_BOUNDS.start(), *SLOWDOWN_BOUNDS.end());
        self.observed_at = now;
    }

    /// Records a failure. Returns whether the worker is now ejected.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        if self.failures < EJECT_AFTER_FAILURES {
            return false;
        }
        let doublings = (self.failures - EJECT_AFTER_FAILURES).min(8);
        let span = (BASE_EJECTION_TIME * (1 << doublings)).min(MAX_EJECTION_TIME);
        self.ejected_until = now + span;
        true
    }

    /// Records a crash. Returns the number of recent crashes that no task explains, with this one.
    pub fn record_crash(&mut self, now: Time) -> u32 {
        if now.since(self.last_crash_at) > CRASH_WINDOW {
            self.unexplained_crashes = 0;
        }
        self.unexplained_crashes += 1;
        self.last_crash_at = now;
        self.unexplained_crashes
    }

    /// Records that a task was found to be the cause of a crash.
    pub const fn explain_crash(&mut self) {
        self.unexplained_crashes = self.unexplained_crashes.saturating_sub(1);
    }

    /// Returns the present slowdown factor, which decays towards 1 without observations.
    pub fn slowdown(&self, now: Time) -> f64 {
        let half_lives =
            now.since(self.observed_at).as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(half_lives)
    }
}
