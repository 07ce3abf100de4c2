//! Loads of large tasks beside many small ones, with and without the forecast from the room on the
//! workers.

use crate::sim::{EQUAL, JobShape, Shape, Sim};
use cardamomslip_core::guarded::model::ids::ClientJobId;
use cardamomslip_core::guarded::policy::{ForecastMode, Policy};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::AddAssign;

/// One VM with 24 workers, of which a third hold three tasks of half an ordinary worker.
const LARGE_WORKERS: Shape = Shape {
    vms: 1,
    data_centres: 1,
    workers: 24,
    weights: EQUAL,
};

/// A stream of jobs of one queue.
#[derive(Clone, Copy)]
struct Stream {
    queue: u64,
    priority: u32,
    per_second: f64,
    tasks: u32,
    work_ms: u64,
    cpu_milli: u64,
}

/// Queue A: cheap and fast.
const SMALL: Stream = Stream {
    queue: 1,
    priority: 0,
    per_second: 14.0,
    tasks: 8,
    work_ms: 60,
    cpu_milli: 16_000,
};
/// Queue B: tasks of half a worker.
const LARGE: Stream = Stream {
    queue: 2,
    priority: 2,
    per_second: 2.6,
    tasks: 4,
    work_ms: 900,
    cpu_milli: 32_000,
};
/// Queue C.
const MEDIUM: Stream = Stream {
    queue: 3,
    priority: 1,
    per_second: 41.0,
    tasks: 2,
    work_ms: 200,
    cpu_milli: 16_000,
};

/// Time between submissions, in milliseconds.
const STEP_MS: u64 = 10;

/// What became of the jobs of a load.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    jobs: u32,
    on_time: u32,
    late: u32,
    refused: u32,
    /// Refused later than 300 ms after the submission.
    refused_late: u32,
    /// Completed after the client had timed out, failed or lost.
    other: u32,
}

impl Outcome {
    /// Returns the number of jobs that waited and were not served.
    const fn in_vain(&self) -> u32 {
        self.refused_late + self.other
    }
}

impl AddAssign for Outcome {
    fn add_assign(&mut self, rhs: Self) {
        self.jobs += rhs.jobs;
        self.on_time += rhs.on_time;
        self.late += rhs.late;
        self.refused += rhs.refused;
        self.refused_late += rhs.refused_late;
        self.other += rhs.other;
    }
}

fn simulation(forecast: ForecastMode, seed: u64) -> Sim {
    let policy = Policy {
        forecast,
        ..Policy::default()
    };
    let mut sim = Sim::with_policy(LARGE_WORKERS, seed, policy);
    for worker in 0..LARGE_WORKERS.workers {
        let (kind, slowness) = [("a", 0.7), ("b", 0.7), ("c", 1.7)][worker % 3];
        sim.workers[worker].kind = kind;
        sim.workers[worker].slowness = slowness;
        let percent = if worker % 3 == 1 { 600 } else { 400 };
        sim.resize_worker(worker, percent);
    }
    sim.run_time_error = 0.6..=1.4;
    sim.advance(100);
    sim
}

/// Submits the streams for `ms`, with `factor` on the rate of each queue.
fn submit(
    sim: &mut Sim,
    rng: &mut SmallRng,
    streams: &[(Stream, f64)],
    ms: u64,
) -> Vec<(Stream, ClientJobId)> {
    let mut jobs = Vec::new();
    for _ in 0..ms / STEP_MS {
        for &(stream, factor) in streams {
            let due = stream.per_second * factor * STEP_MS as f64 / 1e3;
            let count = due as u64 + u64::from(rng.random_bool(due.fract()));
            for _ in 0..count {
                let shape = vary(rng, stream);
                jobs.push((stream, sim.submit_shape(0, shape)));
            }
        }
        sim.advance(STEP_MS);
    }
    jobs
}

/// Draws a job of a stream: width and run time vary by 0.4 of their means, the size by 0.2 below it.
fn vary(rng: &mut SmallRng, stream: Stream) -> JobShape {
    let mut about = |mean: f64, part: f64| mean * rng.random_range(1.0 - part..=1.0 + part);
    JobShape {
        tasks: about(f64::from(stream.tasks), 0.4).round() as u32,
        work_ms: about(stream.work_ms as f64, 0.4) as u64,
        cpu_milli: (about(0.9, 0.1) * stream.cpu_milli as f64) as u64,
        priority: stream.priority,
        queue: stream.queue,
        client_timeout_ms: about(2_300.0, 0.2) as u64,
        ..JobShape::default()
    }
}

fn outcome(sim: &Sim, jobs: &[(Stream, ClientJobId)], queue: u64) -> Outcome {
    let mut sum = Outcome::default();
    for (_, id) in jobs.iter().filter(|(stream, _)| stream.queue == queue) {
        let record = &sim.history.jobs[id];
        let work = record.job.steps[0].estimate.as_millis() as u64;
        sum.jobs += 1;
        let objective = work * 16 / 10 + 60;
        if let Some(took) = sim.completed_in(*id).filter(|_| record.submissions == 1) {
            if took <= objective {
                sum.on_time += 1;
            } else {
                sum.late += 1;
            }
        } else if let Some(after) = sim.refused_after(*id) {
            sum.refused += 1;
            sum.refused_late += u32::from(after > 300);
        } else {
            sum.other += 1;
        }
    }
    sum
}

/// Returns the outcomes by queue of a load under both rules, added up over some seeds.
fn compare(load: fn(&mut Sim, &mut SmallRng) -> Vec<(Stream, ClientJobId)>) -> [[Outcome; 3]; 2] {
    [ForecastMode::Sum, ForecastMode::Room].map(|mode| {
        let mut total = [Outcome::default(); 3];
        for seed in 1..=SEEDS {
            let mut sim = simulation(mode, seed);
            let jobs = load(&mut sim, &mut SmallRng::seed_from_u64(seed));
            sim.advance(6_000);
            for (queue, row) in (1..).zip(&mut total) {
                *row += outcome(&sim, &jobs, queue);
            }
        }
        println!("{mode:?}: {total:?}");
        total
    })
}

/// Number of seeds of each comparison.
const SEEDS: u64 = 2;
/// Factor on the rates of the streams at which bursts exceed the room of the workers.
const BASE: f64 = 2.2;

/// Bursts of 2.5 times the large jobs for 5 s beside many small ones, on workers that hold two or
/// three large tasks.
fn large_burst(sim: &mut Sim, rng: &mut SmallRng) -> Vec<(Stream, ClientJobId)> {
    let streams = |large| [(SMALL, BASE), (LARGE, large * BASE), (MEDIUM, BASE)];
    let mut jobs = submit(sim, rng, &streams(1.0), 4_000);
    jobs.extend(submit(sim, rng, &streams(2.5), 5_000));
    jobs.extend(submit(sim, rng, &streams(1.0), 2_000));
    jobs
}

/// A wave of 17 s around the mean load, with a burst of the small jobs, while workers leave at short
/// notice and return.
fn wave_with_leaves(sim: &mut Sim, rng: &mut SmallRng) -> Vec<(Stream, ClientJobId)> {
    let mut jobs = Vec::new();
    for step in 0..34 {
        let phase = f64::from(step) / 34.0 * std::f64::consts::TAU;
        let base = 2.3 * (1.0 + 0.55 * phase.sin());
        let small = if (8..12).contains(&step) { 1.4 } else { 1.0 };
        if step % 3 == 0 {
            sim.crash_and_restart(rng.random_range(0..LARGE_WORKERS.workers));
        }
        let streams = [(SMALL, small * base), (LARGE, base), (MEDIUM, base)];
        jobs.extend(submit(sim, rng, &streams, 500));
    }
    jobs
}

/// In bursts of large jobs, fewer of them are late than by the sum of free cores, more are served in
/// time, fewer wait in vain, and the small jobs lose nothing.
#[test]
fn bursts_of_large_jobs_leave_fewer_late() {
    let [old, new] = compare(large_burst);
    assert!(new[1].late < old[1].late);
    assert!(new[1].in_vain() < old[1].in_vain());
    for (old, new) in old.iter().zip(&new) {
        assert!(new.on_time >= old.on_time);
    }
}

/// The same in a wave of load while workers leave at short notice.
#[test]
fn a_wave_with_leaving_workers_leaves_fewer_late() {
    let [old, new] = compare(wave_with_leaves);
    let sum = |rows: &[Outcome; 3], part: fn(&Outcome) -> u32| rows.iter().map(part).sum::<u32>();
    assert!(sum(&new, |row| row.late) < sum(&old, |row| row.late));
    assert!(sum(&new, Outcome::in_vain) < sum(&old, Outcome::in_vain));
    assert!(sum(&new, |row| row.on_time) >= sum(&old, |row| row.on_time));
}

/// A third of the workers is lost in the middle of a burst. The forecast is made anew without them:
/// jobs that can't be served are refused without a start, and those that come when the workers are
/// back are served.
#[test]
fn the_forecast_follows_a_loss_of_workers() {
    let mut sim = simulation(ForecastMode::Room, 7);
    let mut rng = SmallRng::seed_from_u64(7);
    let burst = [(SMALL, BASE), (LARGE, 2.5 * BASE), (MEDIUM, BASE)];
    submit(&mut sim, &mut rng, &burst, 2_000);
    for worker in (0..LARGE_WORKERS.workers).step_by(3) {
        sim.crash_and_restart(worker);
    }
    let during = submit(&mut sim, &mut rng, &burst, 2_000);
    sim.advance(6_000);
    let refused = during
        .iter()
        .filter(|(_, id)| sim.refused_after(*id).is_some());
    let refused: Vec<ClientJobId> = refused.map(|(_, id)| *id).collect();
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|id| !sim.history.jobs[id].has_started));
    assert!(!sim.take_observations(0).is_empty());
    let after = submit(&mut sim, &mut rng, &[(LARGE, 1.0)], 2_000);
    sim.advance(4_000);
    let all = outcome(&sim, &after, LARGE.queue);
    assert_eq!(all.on_time + all.late, all.jobs, "{all:?}");
}
