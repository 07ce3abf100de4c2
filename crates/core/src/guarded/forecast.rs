//! Forecast of when waiting jobs start and end, from the room on the workers.
//!
//! [`forecast`] plans the waiting tasks in scheduling order: each starts on the first worker that
//! has room for a task of its size, as the dispatch does. Smaller tasks take what larger ones
//! leave. Tasks that arrive later are not known to it.

use super::model::ids::UpstreamId;
use super::model::resources::Resources;
use super::model::room::{RoomSummary, SIZE_COUNT, SizeRoom, size_milli};
use super::model::worker::WorkerEntry;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Maximum number of jobs of a forecast. Planning takes time for each job and run.
pub const MAX_JOBS: usize = 128;
/// Time after which no event is looked at. No client waits that long.
pub const HORIZON: Duration = Duration::from_millis(HORIZON_MS as u64);
const HORIZON_MS: u16 = 10_000;
/// Maximum number of predicted ends that a forecast looks at.
const MAX_EVENTS: usize = 4_096;

/// Uncertainty of a run time as a share of it: declared run times are off by 40%.
const RUN_SPREAD: f64 = 0.4;
/// Uncertainty of a wait as a share of it. Smaller than that of a run, since a wait depends on many
/// runs.
const WAIT_SPREAD: f64 = 0.25;

/// Room on a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerRoom<'a> {
    /// Entry of the worker in the registry.
    pub entry: &'a WorkerEntry,
    /// Resources that no run occupies.
    pub free: Resources,
    /// Factor on the run time of tasks there.
    pub run_time_factor: f64,
}

/// The predicted release of resources of a worker.
#[derive(Clone, Copy, Debug)]
pub struct Release {
    /// Position of the worker.
    pub worker: usize,
    /// Time until the release.
    pub after: Duration,
    /// Resources that become free.
    pub amount: Resources,
}

/// The waiting tasks of a job.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Upstream whose workers run the tasks.
    pub upstream: UpstreamId,
    /// Label that a worker must have.
    pub label: Option<&'a str>,
    /// Number of tasks that wait.
    pub tasks: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Run time of a task on a worker with factor 1.
    pub run_time: Duration,
    /// Predicted work of the job after these tasks.
    pub rest: Duration,
}

/// When a job is expected to start and end, counted from the time of the forecast.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Expected {
    /// Time until the first waiting task starts.
    pub start: Duration,
    /// Time until the last one starts.
    pub last_start: Duration,
    /// Time until the job ends.
    pub end: Duration,
    /// Uncertainty of the end, in both directions.
    pub spread: Duration,
}

impl Expected {
    /// Returns the same with all times but those of tasks that start now later by `delay`.
    #[must_use]
    pub fn delayed_by(self, delay: Duration) -> Self {
        if self.last_start.is_zero() {
            return self;
        }
        let start = if self.start.is_zero() {
            self.start
        } else {
            self.start + delay
        };
        Self {
            start,
            last_start: self.last_start + delay,
            end: self.end + delay,
            spread: self.spread,
        }
    }

    /// Returns the time until the job ends if all goes well.
    #[must_use]
    pub const fn earliest_end(&self) -> Duration {
        self.end.saturating_sub(self.spread)
    }
}

/// A forecast for the workers of one holder.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// The jobs, in the order of the demands. At most [`MAX_JOBS`].
    pub jobs: Vec<Expected>,
    /// Room for further tasks behind these jobs.
    pub summary: RoomSummary,
}

/// Plans `jobs`, which are in scheduling order, on workers with these releases.
#[must_use]
pub fn forecast(workers: &[WorkerRoom<'_>], releases: &[Release], jobs: &[Demand<'_>]) -> Forecast {
    let jobs = &jobs[..jobs.len().min(MAX_JOBS)];
    let mut plan = Plan::new(workers, releases, jobs);
    plan.start_now();
    plan.count_room();
    plan.run();
    plan.into_forecast()
}

/// State of one planning. Times are in microseconds.
struct Plan<'a> {
    workers: &'a [WorkerRoom<'a>],
    jobs: &'a [Demand<'a>],
    free: Vec<Resources>,
    /// Predicted ends: time, worker, and position in `amounts`.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    amounts: Vec<Resources>,
    /// Number of tasks that have no start yet, by job.
    left: Vec<u32>,
    /// Jobs with such tasks, in order.
    pending: Vec<usize>,
    /// Smallest need of these, in thousandths of a core.
    smallest_milli: u64,
    expected: Vec<Expected>,
    sizes: [SizeRoom; SIZE_COUNT],
    /// Whether the wait of a size is known.
    is_known: [bool; SIZE_COUNT],
}

impl<'a> Plan<'a> {
    fn new(workers: &'a [WorkerRoom<'a>], releases: &[Release], jobs: &'a [Demand<'a>]) -> Self {
        let amounts = releases.iter().map(|row| row.amount).collect();
        let ends = releases.iter().enumerate();
        let ends = ends.map(|(i, row)| Reverse((micros(row.after), row.worker, i)));
        let unplanned = Expected {
            start: HORIZON,
            ..Expected::default()
        };
        Self {
            workers,
            jobs,
            free: workers.iter().map(|row| row.free).collect(),
            ends: ends.collect(),
            amounts,
            left: jobs.iter().map(|job| job.tasks).collect(),
            pending: (0..jobs.len()).collect(),
            smallest_milli: 0,
            expected: vec![unplanned; jobs.len()],
            sizes: [SizeRoom {
                wait_ms: HORIZON_MS,
                ..SizeRoom::default()
            }; SIZE_COUNT],
            is_known: [false; SIZE_COUNT],
        }
    }

    /// Starts what fits now.
    fn start_now(&mut self) {
        for job in 0..self.jobs.len() {
            while self.left[job] > 0 {
                let Some(worker) = self.tightest_worker(job) else {
                    break;
                };
                self.start(0, job, worker);
            }
        }
        self.update_pending();
    }

    /// Returns the worker with room for a task on which it leaves the least CPU.
    fn tightest_worker(&self, job: usize) -> Option<usize> {
        let workers = 0..self.workers.len();
        let fitting = workers.filter(|&worker| self.fits(job, worker));
        fitting.min_by_key(|&worker| self.free[worker].cpu_milli)
    }

    fn fits(&self, job: usize, worker: usize) -> bool {
        let (demand, entry) = (&self.jobs[job], self.workers[worker].entry);
        self.free[worker].can_fit(&demand.need)
            && entry.upstream == demand.upstream
            && demand.label.is_none_or(|label| entry.has_label(label))
    }

    fn start(&mut self, at: u64, job: usize, worker: usize) {
        let demand = &self.jobs[job];
        let run_time = demand
            .run_time
            .mul_f64(self.workers[worker].run_time_factor);
        let end = at.saturating_add(micros(run_time));
        self.free[worker] = self.free[worker].without(&demand.need);
        self.amounts.push(demand.need);
        self.ends
            .push(Reverse((end, worker, self.amounts.len() - 1)));
        self.left[job] -= 1;
        let at = Duration::from_micros(at);
        let row = &mut self.expected[job];
        row.start = row.start.min(at);
        row.last_start = at;
        row.end = row.end.max(at + run_time);
    }

    fn update_pending(&mut self) {
        let left = &self.left;
        self.pending.retain(|&job| left[job] > 0);
        let needs = self.pending.iter();
        let needs = needs.map(|&job| self.jobs[job].need.cpu_milli);
        self.smallest_milli = needs.min().unwrap_or(u64::MAX);
    }

    /// Counts the further tasks that fit now, and those that fit on idle workers.
    fn count_room(&mut self) {
        for (size, row) in self.sizes.iter_mut().enumerate() {
            let size = size_milli(size);
            let fitting = self.free.iter().map(|free| free.cpu_milli / size);
            row.fits = u16::try_from(fitting.sum::<u64>()).unwrap_or(u16::MAX);
            let workers = self.workers.iter();
            let slots = workers.map(|row| row.entry.capacity.cpu_milli / size);
            row.slots = u16::try_from(slots.sum::<u64>()).unwrap_or(u16::MAX);
        }
    }

    /// Goes through the predicted ends until all jobs have started and the waits are known.
    fn run(&mut self) {
        for _ in 0..MAX_EVENTS {
            let is_done = self.pending.is_empty() && self.is_known.iter().all(|&known| known);
            let Some(Reverse((at, worker, amount))) = self.ends.pop() else {
                return;
            };
            if is_done || at > micros(HORIZON) {
                return;
            }
            let before = self.free[worker].cpu_milli;
            self.free[worker] += self.amounts[amount];
            if self.free[worker].cpu_milli >= self.smallest_milli {
                self.start_on(at, worker);
            }
            self.update_waits(at, before, self.free[worker].cpu_milli);
        }
    }

    /// Starts the tasks that fit on a worker, in order.
    fn start_on(&mut self, at: u64, worker: usize) {
        let mut has_started_all = false;
        for i in 0..self.pending.len() {
            let job = self.pending[i];
            while self.left[job] > 0 && self.fits(job, worker) {
                self.start(at, job, worker);
            }
            has_started_all |= self.left[job] == 0;
            if self.free[worker].cpu_milli < self.smallest_milli {
                break;
            }
        }
        if has_started_all {
            self.update_pending();
        }
    }

    /// Notes for which sizes a worker now has room for more tasks.
    fn update_waits(&mut self, at: u64, before_milli: u64, after_milli: u64) {
        let rows = self.sizes.iter_mut().zip(&mut self.is_known);
        for (size, (row, is_known)) in rows.enumerate() {
            let size = size_milli(size);
            if !*is_known && after_milli / size > before_milli / size {
                row.wait_ms = u16::try_from(at / 1_000).unwrap_or(HORIZON_MS);
                *is_known = true;
            }
        }
    }

    fn into_forecast(self) -> Forecast {
        let jobs = self.jobs.iter().zip(self.left).zip(self.expected);
        let jobs = jobs.map(|((demand, left), row)| {
            let last_start = if left > 0 { HORIZON } else { row.last_start };
            let end = row.end.max(last_start) + demand.rest;
            let work = demand.run_time + demand.rest;
            Expected {
                last_start,
                end,
                spread: work.mul_f64(RUN_SPREAD) + last_start.mul_f64(WAIT_SPREAD),
                ..row
            }
        });
        Forecast {
            jobs: jobs.collect(),
            summary: RoomSummary { sizes: self.sizes },
        }
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
