//! Comparison of policies on the two deployments.

use crate::deployment::{Deployment, TOWER_DISPATCH, VISIT_DESK, total_speed};
use crate::sim::{Outcomes, Sim};
use crate::workload::{CUSTOMERS, Job, Load, jobs};
use cardamomslip_core::policy::{JobOrder, Placement, Sharing};
use cardamomslip_core::{Policy, PolicyBuilder};
use std::time::Duration;

/// Time span in which jobs arrive.
const ARRIVAL_SPAN: Duration = Duration::from_secs(40);
/// Jobs that arrive before this time are not measured, as the estimates are still being learned.
const WARM_UP_TIME: Duration = Duration::from_secs(10);
/// Limit on the simulated time of a run.
const TIME_LIMIT: Duration = Duration::from_secs(400);
/// Start and end of the burst.
const BURST: (Duration, Duration) = (Duration::from_secs(15), Duration::from_secs(20));
/// Load before and after the burst, as a share of the pool's total speed.
const BURST_BASE: f64 = 0.5;
/// Messages per start: the request and its reply.
const START_MESSAGES: u64 = 2;

/// Messages per unused grant: the grant and the return of its slots.
const UNUSED_MESSAGES: u64 = 2;

/// A policy and its name in the CSV output.
type NamedPolicy = (&'static str, Policy);

/// A row of the CSV output.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Load as a share of the pool's total speed, or `burst`.
    pub load: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// Number of measured jobs that completed.
    pub jobs: usize,
    /// Mean of response time over ideal.
    pub mean_ratio: f64,
    /// Median of response time over ideal.
    pub p50_ratio: f64,
    /// 99th percentile of response time over ideal.
    pub p99_ratio: f64,
    /// Messages per started task: starts with their replies, peer messages and aborts.
    pub messages_per_task: f64,
    /// Messages per started task that were spent on refused starts and unused grants.
    pub wasted_per_task: f64,
    /// Largest deviation of a customer's share of the slots from its fair share, while all
    /// customers have waiting tasks.
    pub share_error: f64,
    /// Bytes per second that an entry VM sends to its peers on average.
    pub peer_bytes_per_s: f64,
    /// Measures of the burst, if the load has one.
    pub burst: Option<BurstResult>,
}

/// Measures of a burst.
#[derive(Clone, Copy, Debug)]
pub struct BurstResult {
    /// Number of jobs that were refused without being run.
    pub refused: usize,
    /// Longest response time of a refusal.
    pub slowest_refusal: Duration,
    /// Number of admitted jobs that failed or missed their deadline.
    pub late: usize,
    /// Time from the end of the burst until the number of waiting tasks is back to its maximum
    /// before the burst.
    pub recovery: Duration,
}

/// Returns the compared policies: a baseline without a slot owner, two earlier versions, and the
/// shipped one.
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

/// Runs all combinations of deployment, load and policy in parallel.
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
                .map(|handle| handle.join().expect("a run panicked")),
        );
    });
    rows
}

fn run_one(deployment: Deployment, load: Load, policy: &NamedPolicy, seed: u64) -> Row {
    let speed = total_speed(&deployment.vm_list());
    let work = jobs(load, speed, ARRIVAL_SPAN, seed);
    let outcomes = Sim::new(deployment, &policy.1, &work, seed).run(TIME_LIMIT);
    summarize((deployment, load), policy.0, &work, &outcomes)
}

fn summarize(
    (deployment, load): (Deployment, Load),
    policy: &'static str,
    work: &[Job],
    outcomes: &Outcomes,
) -> Row {
    let is_measured = |number: usize| work[number].at >= WARM_UP_TIME;
    let complete = outcomes
        .jobs
        .iter()
        .filter(|job| job.complete && is_measured(job.job));
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
        burst: matches!(load, Load::Burst { .. }).then(|| burst_result(work, outcomes)),
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

fn burst_result(work: &[Job], outcomes: &Outcomes) -> BurstResult {
    let refused = outcomes.jobs.iter().filter(|job| job.refused);
    let late = outcomes.jobs.iter().filter(|job| {
        let deadline = work[job.job].deadline.unwrap_or(Duration::MAX);
        !job.refused && (!job.complete || job.response_time > deadline)
    });
    // The workload starts after 2 s, when the slot owner has completed its start-up.
    let end = Duration::from_secs(2) + BURST.1;
    let max_before = max_waiting_before(outcomes, Duration::from_secs(2) + BURST.0);
    let after = outcomes.counts.waiting.iter().filter(|(at, _)| *at >= end);
    let recovered_at = after
        .clone()
        .find(|(_, tasks)| *tasks <= max_before)
        .map(|(at, _)| *at);
    BurstResult {
        refused: refused.clone().count(),
        slowest_refusal: refused
            .map(|job| job.response_time)
            .max()
            .unwrap_or_default(),
        late: late.count(),
        recovery: recovered_at.map_or(Duration::MAX, |at| at.saturating_sub(end)),
    }
}

/// Returns the largest number of waiting tasks in a sample before `until`.
fn max_waiting_before(outcomes: &Outcomes, until: Duration) -> u64 {
    let before = outcomes.counts.waiting.iter().filter(|(at, _)| *at < until);
    before.map(|(_, tasks)| *tasks).max().unwrap_or(0)
}

/// Prints the rows as CSV on standard output. Peer traffic and measures of bursts go to standard
/// error.
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
