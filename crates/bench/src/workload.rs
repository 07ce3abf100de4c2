//! Synthetic workload with the job sizes and run times that the requirements give.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Number of tasks of the largest job.
const MAX_TASKS: f64 = 300.0;
/// Kinds of tasks: median run time at speed 1 in seconds, and share of the tasks.
const KINDS: [(f64, f64); 6] = [
    (0.06, 0.25),
    (0.12, 0.25),
    (0.25, 0.2),
    (0.45, 0.15),
    (0.8, 0.12),
    (3.0, 0.03),
];
/// Number of task kinds.
pub const KIND_COUNT: usize = KINDS.len();
/// Spread of run times within a kind, as the standard deviation of their logarithm.
const RUN_SPREAD: f64 = 0.3;
/// Spread of declared run times within a job, as the standard deviation of their logarithm.
const DECLARED_SPREAD: f64 = 0.2;
/// Lower and upper bound of a run time, in seconds.
const RUN_RANGE: (f64, f64) = (0.05, 8.0);
/// Largest factor by which the declared run times of a job are too long or too short.
const MAX_MISDECLARATION: f64 = 10.0;
/// Number of customers.
pub const CUSTOMERS: usize = 2;

/// A task of the workload.
#[derive(Clone, Copy, Debug)]
pub struct Task {
    /// Index of the task kind.
    pub kind: usize,
    /// True run time at speed 1.
    pub run: Duration,
    /// Run time at speed 1 that the caller declares.
    pub declared: Duration,
}

/// A job of the workload.
#[derive(Clone, Debug)]
pub struct Job {
    /// Time at which the caller submits the job, after the start of the workload.
    pub at: Duration,
    /// Index of the customer.
    pub customer: usize,
    /// Random number from 0 to 1 that selects the entry VM, in proportion to the VMs' sizes.
    pub entry: f64,
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Deadline after the submission; set only under a burst load.
    pub deadline: Option<Duration>,
}

/// Load over time, as a share of the pool's total speed.
#[derive(Clone, Copy, Debug)]
pub enum Load {
    /// Constant load.
    Steady(f64),
    /// Constant load with a burst of three times the pool's total speed.
    Burst {
        /// Load before and after the burst.
        base: f64,
        /// Start of the burst.
        from: Duration,
        /// End of the burst.
        to: Duration,
    },
}

impl Load {
    /// Returns the name in the CSV output.
    #[must_use]
    pub fn name(&self) -> String {
        match self {
            Self::Steady(share) => share.to_string(),
            Self::Burst { .. } => "burst".to_owned(),
        }
    }

    fn at(&self, time: Duration) -> f64 {
        match *self {
            Self::Steady(share) => share,
            Self::Burst { base, from, to } => {
                if (from..to).contains(&time) {
                    3.0
                } else {
                    base
                }
            }
        }
    }
}

/// Generates the jobs of a run from a seeded random number generator.
#[must_use]
pub fn jobs(load: Load, total_speed: f64, length: Duration, seed: u64) -> Vec<Job> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let with_deadline = matches!(load, Load::Burst { .. });
    let mut jobs = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        let mut job = draw_job(&mut rng, at);
        let work: f64 = job.tasks.iter().map(|task| task.run.as_secs_f64()).sum();
        if with_deadline {
            let longest = job
                .tasks
                .iter()
                .map(|task| task.run)
                .max()
                .unwrap_or_default();
            job.deadline = Some(Duration::from_secs(2) + 4 * longest);
        }
        jobs.push(job);
        // The time until the next job is proportional to the work of this one, to keep the load
        // even.
        let mean = work / (load.at(at) * total_speed);
        let factor = 0.5 + rng.random::<f64>();
        at += Duration::from_secs_f64(mean * factor);
    }
    jobs
}

fn draw_job(rng: &mut SmallRng, at: Duration) -> Job {
    let size = MAX_TASKS.powf(rng.random::<f64>()).round().max(1.0);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "1 to 300"
    )]
    let size = size as usize;
    let misdeclared = MAX_MISDECLARATION.powf(rng.random_range(-1.0..1.0));
    let tasks = (0..size).map(|_| draw_task(rng, misdeclared)).collect();
    let customer = rng.random_range(0..CUSTOMERS);
    Job {
        at,
        customer,
        entry: rng.random(),
        tasks,
        deadline: None,
    }
}

fn draw_task(rng: &mut SmallRng, misdeclared: f64) -> Task {
    let mut draw: f64 = rng.random();
    let mut kind = KINDS.len() - 1;
    for (i, (_, weight)) in KINDS.iter().enumerate() {
        if draw < *weight {
            kind = i;
            break;
        }
        draw -= weight;
    }
    let (low, high) = RUN_RANGE;
    let run = (KINDS[kind].0 * (RUN_SPREAD * standard_normal(rng)).exp()).clamp(low, high);
    // All declarations of a job are wrong by the same factor, with a small variation per task.
    let declared =
        (run * misdeclared * (DECLARED_SPREAD * standard_normal(rng)).exp()).clamp(0.001, 100.0);
    Task {
        kind,
        run: Duration::from_secs_f64(run),
        declared: Duration::from_secs_f64(declared),
    }
}

/// Draws from the standard normal distribution, approximated by a sum of 12 uniform numbers.
fn standard_normal(rng: &mut SmallRng) -> f64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    sum - 6.0
}
