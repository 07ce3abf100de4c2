//! End-to-end demo in one process: four entry daemons in two data centres, stand-ins for the
//! platform and eight executors, and two customers, connected by loopback sockets.
//!
//! Prints the counts of outcomes and of starts at the stand-ins, and exits with an error if one of
//! them is wrong.

use cardamomslip_cli::client::{Client, Response};
use cardamomslip_test::cluster::wait_until;
use cardamomslip_test::{Cluster, ClusterConfig, Customer};
use eyre::{Result, ensure, eyre};
use serde_json::{Value, json};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Number of tasks of each job that a customer submits.
const SIZES: [usize; 8] = [1, 3, 10, 30, 100, 300, 700, 1_500];
/// Number of tasks of each job that is in flight while a VM shuts down.
const SHUTDOWN_SIZES: [usize; 4] = [1, 20, 50, 200];
/// Time for which the daemon waits for a job to end before it responds, in milliseconds.
const WAIT_MS: u32 = 60_000;

/// Counts of the outcomes that the callers received.
#[derive(Debug, Default)]
struct Tally {
    complete: u64,
    failed: u64,
    cancelled: u64,
    /// Outcomes with wrong results, and requests with a wrong response.
    wrong: u64,
}

/// Returns a run time from 5 to 44 ms, which varies with the index of the task.
fn run_ms(i: usize) -> usize {
    5 + i * 7 % 40
}

fn job(label: &str, size: usize) -> Value {
    let tasks: Vec<_> = (0..size)
        .map(|i| {
            let payload = json!({"run_ms": run_ms(i), "echo": format!("{label}/{i}")});
            json!({"kind": "check", "run_ms": run_ms(i), "payload": payload})
        })
        .collect();
    json!({"tasks": tasks})
}

fn issue_id(client: &Client) -> Result<String> {
    let response = client.post("/v1/jobs", &json!({"count": 1}), None)?;
    let id = response.body["ids"][0].as_str();
    id.map(str::to_owned)
        .ok_or_else(|| eyre!("no id: {}", response.body))
}

/// Counts the outcome of a job and checks that each result matches the input of its task.
fn record_response(tally: &mut Tally, response: &Response, label: &str, size: usize) {
    let body = &response.body;
    if body["status"] == "complete" {
        tally.complete += 1;
        let results = body["results"].as_array().cloned().unwrap_or_default();
        let is_correct = |(i, result): (usize, &Value)| result["echo"] == format!("{label}/{i}");
        if results.len() != size || !results.iter().enumerate().all(is_correct) {
            tally.wrong += 1;
        }
    } else if body["reason"] == "cancelled" {
        tally.cancelled += 1;
    } else {
        eprintln!("demo: {label} failed: {body}");
        tally.failed += 1;
    }
}

/// Submits a job through one VM and again through another while it runs, and returns the response
/// of each.
fn submit_twice(
    first: &Client,
    second: &Client,
    label: &str,
    size: usize,
) -> Result<[Response; 2]> {
    let id = issue_id(first)?;
    let path = format!("/v1/jobs/{id}?wait_ms={WAIT_MS}");
    let body = job(label, size);
    let accepted = first.put(&format!("/v1/jobs/{id}"), &body)?;
    ensure!(accepted.is_success(), "{label} refused: {}", accepted.body);
    Ok([first.get(&path)?, second.put(&path, &body)?])
}

type Submission = JoinHandle<Result<(String, usize, [Response; 2])>>;

fn spawn_submissions(cluster: &Cluster) -> Vec<Submission> {
    let mut handles = Vec::new();
    for customer in Customer::ALL {
        for (i, size) in SIZES.into_iter().enumerate() {
            let first = cluster.caller(i % 4, customer);
            let second = cluster.caller((i + 2) % 4, customer);
            let label = format!("{}-{i}", customer.name());
            handles.push(std::thread::spawn(move || {
                let responses = submit_twice(&first, &second, &label, size)?;
                Ok((label, size, responses))
            }));
        }
    }
    handles
}

fn submit_jobs(cluster: &Cluster, tally: &mut Tally) -> Result<()> {
    println!("demo: jobs of 1 to 1500 tasks, each resubmitted through the other data centre");
    let submissions = spawn_submissions(cluster);
    change_preset(cluster)?;
    for submission in submissions {
        let joined: Result<_> = submission
            .join()
            .unwrap_or_else(|_| Err(eyre!("a caller panicked")));
        let (label, size, [first, second]) = joined?;
        record_response(tally, &first, &label, size);
        if first.body != second.body {
            eprintln!("demo: {label} has two answers");
            tally.wrong += 1;
        }
    }
    Ok(())
}

fn change_preset(cluster: &Cluster) -> Result<()> {
    println!("demo: preset `peak` in force while jobs run");
    let body = json!({"base": 1, "why": "demo", "name": "peak"});
    let response = cluster
        .operator(1)
        .post("/v1/operator/preset", &body, None)?;
    ensure!(
        response.is_success(),
        "the preset was refused: {}",
        response.body
    );
    let stale = cluster
        .operator(2)
        .post("/v1/operator/preset", &body, None)?;
    ensure!(
        stale.status == 409,
        "a change based on an old version was accepted: {}",
        stale.body
    );
    wait_until("the preset to be active on every daemon", || {
        (0..4).all(|i| {
            cluster
                .status(i)
                .is_ok_and(|status| status["preset"] == "peak")
        })
    })
}

fn cancel_one(cluster: &Cluster, tally: &mut Tally) -> Result<()> {
    println!("demo: a cancellation through the other data centre");
    let caller = cluster.caller(0, Customer::Karoo);
    let id = issue_id(&caller)?;
    let tasks =
        json!({"tasks": [{"kind": "slow", "run_ms": 30_000, "payload": {"run_ms": 30_000}}]});
    caller.put(&format!("/v1/jobs/{id}"), &tasks)?;
    wait_until("the slow task to run", || {
        cluster
            .executors
            .iter()
            .any(|executor| executor.standin.running() > 0)
    })?;
    let other = cluster.caller(3, Customer::Karoo);
    let response = other.delete(&format!("/v1/jobs/{id}?wait_ms={WAIT_MS}"))?;
    record_response(tally, &response, "cancelled", 1);
    Ok(())
}

fn submit_unrepeatable_and_keyed(cluster: &Cluster, tally: &mut Tally) -> Result<()> {
    println!("demo: an unrepeatable request, and a keyed job submitted twice");
    let payload = json!({"run_ms": 20, "echo": "bill/0"});
    let body = json!({"task": {"kind": "bill", "run_ms": 20, "payload": payload}});
    let response = cluster
        .caller(1, Customer::Bantay)
        .post("/v1/requests", &body, None)?;
    record_response(tally, &response, "bill", 1);
    let path = format!("/v1/jobs?wait_ms={WAIT_MS}");
    let body = job("keyed", 5);
    let first = cluster
        .caller(0, Customer::Bantay)
        .post(&path, &body, Some("household 7"))?;
    let second = cluster
        .caller(2, Customer::Bantay)
        .post(&path, &body, Some("household 7"))?;
    record_response(tally, &first, "keyed", 5);
    if first.body != second.body {
        eprintln!(
            "demo: the keyed job has two answers: {} {}",
            first.body, second.body
        );
        tally.wrong += 1;
    }
    Ok(())
}

/// Shuts down one VM while it has jobs in flight, whose outcomes are then fetched from another VM.
fn graceful_shutdown(cluster: &mut Cluster, tally: &mut Tally) -> Result<()> {
    println!("demo: a graceful stop under load");
    let leaving = cluster.caller(3, Customer::Karoo);
    let mut jobs = Vec::new();
    for size in SHUTDOWN_SIZES {
        let id = issue_id(&leaving)?;
        let label = format!("stop-{size}");
        leaving.put(&format!("/v1/jobs/{id}"), &job(&label, size))?;
        jobs.push((id, label, size));
    }
    let unused = issue_id(&leaving)?;
    let entry = cluster
        .daemons
        .pop()
        .ok_or_else(|| eyre!("no daemon left"))?;
    entry.daemon.close();
    let other = cluster.caller(0, Customer::Karoo);
    for (id, label, size) in jobs {
        let response = other.get(&format!("/v1/jobs/{id}?wait_ms={WAIT_MS}"))?;
        record_response(tally, &response, &label, size);
    }
    let response = other.put(&format!("/v1/jobs/{unused}"), &job("unused", 1))?;
    if response.body["ran"] != "not_run" {
        eprintln!(
            "demo: an id of a stopped VM was not refused as not run: {}",
            response.body
        );
        tally.wrong += 1;
    }
    Ok(())
}

/// Returns the difference between the slot time that the executors counted and the settled usage,
/// in microseconds, summed over the customers.
fn usage_gap(cluster: &Cluster) -> u64 {
    let counted = cluster.counts().slot_us;
    let settled = cluster.settled_usage();
    let gap = |customer: &str| {
        let counted = counted.get(customer).copied().unwrap_or(0);
        counted.abs_diff(settled.get(customer).copied().unwrap_or(0))
    };
    Customer::ALL
        .iter()
        .map(|customer| gap(customer.name()))
        .sum()
}

fn main() -> Result<()> {
    if std::env::var_os("DEMO_LOG").is_some() {
        tracing_subscriber::fmt()
            .with_writer(std::io::stderr)
            .init();
    }
    println!("demo: platform, 8 executors, 4 entry daemons in 2 data centres");
    let mut cluster = Cluster::start(ClusterConfig::default())?;
    let mut tally = Tally::default();
    submit_jobs(&cluster, &mut tally)?;
    cancel_one(&cluster, &mut tally)?;
    submit_unrepeatable_and_keyed(&cluster, &mut tally)?;
    graceful_shutdown(&mut cluster, &mut tally)?;
    cluster.close_daemons();
    let counts = Arc::new(cluster.counts());
    let double_starts = counts
        .starts_by_task
        .values()
        .filter(|&&starts| starts > 1)
        .count();
    let gap = usage_gap(&cluster);
    cluster.close();
    println!(
        "demo: {} starts, {} refused by executors",
        counts.starts, counts.refused
    );
    println!(
        "demo: complete={} failed={} cancelled={} double_starts={double_starts} wrong_answers={} usage_gap={gap}",
        tally.complete, tally.failed, tally.cancelled, tally.wrong
    );
    let expected = (Customer::ALL.len() * SIZES.len() + SHUTDOWN_SIZES.len() + 2) as u64;
    let complete = tally.complete == expected && tally.failed == 0 && tally.cancelled == 1;
    ensure!(
        complete,
        "wrong number of outcomes; expected {expected} complete, 0 failed and 1 cancelled"
    );
    ensure!(
        double_starts == 0 && tally.wrong == 0 && gap == 0,
        "there were double starts, wrong answers or a gap in the usage"
    );
    Ok(())
}
