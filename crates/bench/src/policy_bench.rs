//! Policies compared at the two deployments.

use crate::deployment::{Deployment, TOWER_DISPATCH, VISIT_DESK, total_speed};
use crate::sim::{Outcomes, Sim};
use crate::workload::{CUSTOMERS, Job, Load, jobs};
use cardamomslip_core::policy::{JobOrder, Placement, Sharing};
use cardamomslip_core::{Policy, PolicyBuilder};
use std::time::Duration;

/// Length of a run's arrivals.
const LENGTH: Duration = Duration::from_secs(40);
/// Jobs that arrive before this are left out: the estimates are still being learned.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time after which a run is cut off.
const LIMIT: Duration = Duration::from_secs(400);
/// Begin and end of the burst.
const BURST: (Duration, Duration) = (Duration::from_secs(15), Duration::from_secs(20));
/// Load around the burst.
const BURST_BASE: f64 = 0.5;
/// Messages of a start and its reply.
const START_MESSAGES: u64 = 2;

/// Messages of a grant that was not used and of its return.
const UNUSED_MESSAGES: u64 = 2;

/// A policy and its name in the table.
type NamedPolicy = (&'static str, Policy);

/// A line of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// Deployment.
    pub deployment: &'static str,
    /// Load.
    pub load: String,
    /// Policy.
    pub policy: &'static str,
    /// Jobs that ended complete.
    pub jobs: usize,
    /// Mean of response time over ideal.
    pub mean_ratio: f64,
    /// Median of response time over ideal.
    pub p50_ratio: f64,
    /// 99th percentile of response time over ideal.
    pub p99_ratio: f64,
    /// Messages per started task.
    pub messages_per_task: f64,
    /// Wasted messages per started task.
    pub wasted_per_task: f64,
    /// Largest difference of a customer's share from its weight while all wait.
    pub share_error: f64,
    /// Bytes between entry VMs that one sends, in a second.
    pub peer_bytes_per_s: f64,
    /// What the burst showed, if there was one.
    pub burst: Option<Burst>,
}

/// What a burst showed.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// Jobs refused without being run.
    pub refused: usize,
    /// Longest time until a refusal.
    pub slowest_refusal: Duration,
    /// Admitted jobs that missed their deadline.
    pub late: usize,
    /// Time after the burst until no more tasks wait than a second's work.
    pub recovery: Duration,
}

/// Returns the policies of the table: the baseline, earlier versions, and what is shipped.
#[must_use]
pub fn policies() -> Vec<NamedPolicy> {
    let independent = PolicyBuilder::new()
        .sharing(Sharing::Independent)
        .job_order(JobOrder::Fifo)
        .busy_backoff(Duration::from_millis(5));
    let arrival = PolicyBuilder::new()
        .job_order(JobOrder::Fifo)
        .placement(Placement::Fastest);
    let fastest = PolicyBuilder::new().placement(Placement::Fastest);
    vec![
        ("independent", independent.build()),
        ("owner-arrival", arrival.build()),
        ("owner-fastest", fastest.build()),
        ("shipped", Policy::default()),
    ]
}

/// Runs the whole table.
#[must_use]
pub fn run(seed: u64) -> Vec<Row> {
    let (from, to) = BURST;
    let loads = [
        Load::Steady(0.5),
        Load::Steady(0.8),
        Load::Steady(0.95),
        Load::Burst {
            base: BURST_BASE,
            from,
            to,
        },
    ];
    let policies = policies();
    let mut rows = Vec::new();
    std::thread::scope(|scope| {
        let mut handles = Vec::new();
        for deployment in [TOWER_DISPATCH, VISIT_DESK] {
            for load in loads {
                for policy in &policies {
                    handles.push(scope.spawn(move || run_one(deployment, load, policy, seed)));
                }
            }
        }
        rows.extend(
            handles
                .into_iter()
                .map(|handle| handle.join().expect("a run")),
        );
    });
    rows
}

fn run_one(deployment: Deployment, load: Load, policy: &NamedPolicy, seed: u64) -> Row {
    let speed = total_speed(&deployment.vm_list());
    let work = jobs(load, speed, LENGTH, seed);
    let outcomes = Sim::new(deployment, &policy.1, &work, seed).run(LIMIT);
    summarize((deployment, load), policy.0, &work, &outcomes)
}

fn summarize(
    (deployment, load): (Deployment, Load),
    policy: &'static str,
    work: &[Job],
    outcomes: &Outcomes,
) -> Row {
    let warm = |number: usize| work[number].at >= WARM_UP;
    let complete = outcomes
        .jobs
        .iter()
        .filter(|job| job.complete && warm(job.job));
    let mut ratios: Vec<f64> = complete.map(|job| job.ratio).collect();
    ratios.sort_by(f64::total_cmp);
    let counts = &outcomes.counts;
    let tasks = counts.started.max(1) as f64;
    let starts = counts.started + counts.refused_starts;
    let messages = START_MESSAGES * starts + counts.peer_messages + counts.aborts;
    let wasted = START_MESSAGES * counts.refused_starts + UNUSED_MESSAGES * counts.unused_returns;
    Row {
        deployment: deployment.name,
        load: load.name(),
        policy,
        jobs: ratios.len(),
        mean_ratio: ratios.iter().sum::<f64>() / ratios.len().max(1) as f64,
        p50_ratio: percentile(&ratios, 0.5),
        p99_ratio: percentile(&ratios, 0.99),
        messages_per_task: messages as f64 / tasks,
        wasted_per_task: wasted as f64 / tasks,
        share_error: share_error(counts.shares),
        peer_bytes_per_s: counts.peer_bytes as f64
            / outcomes.length.as_secs_f64()
            / deployment.entries() as f64,
        burst: matches!(load, Load::Burst { .. }).then(|| burst(work, outcomes)),
    }
}

fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let rank = (sorted.len() as f64 * share).ceil().max(1.0);
    sorted[rank as usize - 1]
}

fn share_error(shares: [f64; CUSTOMERS]) -> f64 {
    let total: f64 = shares.iter().sum();
    if total == 0.0 {
        return 0.0;
    }
    let fair = 1.0 / CUSTOMERS as f64;
    shares
        .iter()
        .map(|share| (share / total - fair).abs())
        .fold(0.0, f64::max)
}

fn burst(work: &[Job], outcomes: &Outcomes) -> Burst {
    let refused = outcomes.jobs.iter().filter(|job| job.refused);
    let late = outcomes.jobs.iter().filter(|job| {
        let deadline = work[job.job].deadline.unwrap_or(Duration::MAX);
        !job.refused && (!job.complete || job.response > deadline)
    });
    // The work begins after two seconds in which the slot owner settles.
    let end = Duration::from_secs(2) + BURST.1;
    let normal = typical_waiting(outcomes, Duration::from_secs(2) + BURST.0);
    let after = outcomes.counts.waiting.iter().filter(|(at, _)| *at >= end);
    let back = after
        .clone()
        .find(|(_, tasks)| *tasks <= normal)
        .map(|(at, _)| *at);
    Burst {
        refused: refused.clone().count(),
        slowest_refusal: refused.map(|job| job.response).max().unwrap_or_default(),
        late: late.count(),
        recovery: back.map_or(Duration::MAX, |at| at.saturating_sub(end)),
    }
}

/// Returns the largest number of waiting tasks before the burst.
fn typical_waiting(outcomes: &Outcomes, until: Duration) -> u64 {
    let before = outcomes.counts.waiting.iter().filter(|(at, _)| *at < until);
    before.map(|(_, tasks)| *tasks).max().unwrap_or(0)
}

/// Prints the table as CSV, and what bursts showed as comments.
pub fn print_csv(rows: &[Row]) {
    println!(
        "deployment,load,policy,jobs,mean_ratio,p50_ratio,p99_ratio,messages_per_task,\
         wasted_per_task,share_error"
    );
    for row in rows {
        println!(
            "{},{},{},{},{:.3},{:.3},{:.3},{:.3},{:.4},{:.3}",
            row.deployment,
            row.load,
            row.policy,
            row.jobs,
            row.mean_ratio,
            row.p50_ratio,
            row.p99_ratio,
            row.messages_per_task,
            row.wasted_per_task,
            row.share_error
        );
    }
    for row in rows {
        eprintln!(
            "# {} {} {}: {:.0} bytes a second sent by an entry VM to its peers",
            row.deployment, row.load, row.policy, row.peer_bytes_per_s
        );
        if let Some(burst) = row.burst {
            eprintln!(
                "# burst {} {}: refused {} (slowest after {:?}), late {}, recovery {:?}",
                row.deployment,
                row.policy,
                burst.refused,
                burst.slowest_refusal,
                burst.late,
                burst.recovery
            );
        }
    }
}
