//! The whole path in one process: stand-ins and four entry daemons in two data centres over real
//! loopback sockets, two customers, and counts taken at the stand-ins.
//!
//! Ends with one line of counts and exits non-zero if one is wrong.

use cardamomslip_cli::client::{Answer, Client};
use cardamomslip_test::cluster::wait_until;
use cardamomslip_test::{Cluster, ClusterConfig, Customer};
use eyre::{Result, ensure, eyre};
use serde_json::{Value, json};
use std::sync::Arc;
use std::thread::JoinHandle;

/// Tasks of the jobs that each customer submits.
const SIZES: [usize; 8] = [1, 3, 10, 30, 100, 300, 700, 1_500];
/// Tasks of the jobs that are in flight while a VM stops.
const STOP_SIZES: [usize; 4] = [1, 20, 50, 200];
/// Longest wait of one request, in milliseconds.
const WAIT_MS: u32 = 60_000;

/// What the callers saw.
#[derive(Debug, Default)]
struct Seen {
    complete: u64,
    failed: u64,
    cancelled: u64,
    wrong: u64,
}

/// Run times from 5 to 44 ms, different from task to task.
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

fn take_id(client: &Client) -> Result<String> {
    let answer = client.post("/v1/jobs", &json!({"count": 1}), None)?;
    let id = answer.body["ids"][0].as_str();
    id.map(str::to_owned)
        .ok_or_else(|| eyre!("no id: {}", answer.body))
}

/// Counts an answer and compares each result with the input of its task.
fn note(seen: &mut Seen, answer: &Answer, label: &str, size: usize) {
    let body = &answer.body;
    if body["status"] == "complete" {
        seen.complete += 1;
        let results = body["results"].as_array().cloned().unwrap_or_default();
        let right = |(i, result): (usize, &Value)| result["echo"] == format!("{label}/{i}");
        if results.len() != size || !results.iter().enumerate().all(right) {
            seen.wrong += 1;
        }
    } else if body["reason"] == "cancelled" {
        seen.cancelled += 1;
    } else {
        eprintln!("demo: {label} failed: {body}");
        seen.failed += 1;
    }
}

/// Submits a job through one VM and again through another while it runs.
fn submit_twice(first: &Client, second: &Client, label: &str, size: usize) -> Result<[Answer; 2]> {
    let id = take_id(first)?;
    let path = format!("/v1/jobs/{id}?wait_ms={WAIT_MS}");
    let body = job(label, size);
    let accepted = first.put(&format!("/v1/jobs/{id}"), &body)?;
    ensure!(accepted.is_success(), "{label} refused: {}", accepted.body);
    Ok([first.get(&path)?, second.put(&path, &body)?])
}

type Submission = JoinHandle<Result<(String, usize, [Answer; 2])>>;

fn spawn_submissions(cluster: &Cluster) -> Vec<Submission> {
    let mut handles = Vec::new();
    for customer in Customer::ALL {
        for (i, size) in SIZES.into_iter().enumerate() {
            let first = cluster.caller(i % 4, customer);
            let second = cluster.caller((i + 2) % 4, customer);
            let label = format!("{}-{i}", customer.name());
            handles.push(std::thread::spawn(move || {
                let answers = submit_twice(&first, &second, &label, size)?;
                Ok((label, size, answers))
            }));
        }
    }
    handles
}

fn main_load(cluster: &Cluster, seen: &mut Seen) -> Result<()> {
    println!("demo: jobs of 1 to 1500 tasks, each resubmitted through the other data centre");
    let submissions = spawn_submissions(cluster);
    change_preset(cluster)?;
    for submission in submissions {
        let joined: Result<_> = submission
            .join()
            .unwrap_or_else(|_| Err(eyre!("a caller panicked")));
        let (label, size, [first, second]) = joined?;
        note(seen, &first, &label, size);
        if first.body != second.body {
            eprintln!("demo: {label} has two answers");
            seen.wrong += 1;
        }
    }
    Ok(())
}

fn change_preset(cluster: &Cluster) -> Result<()> {
    println!("demo: preset `peak` in force while jobs run");
    let body = json!({"base": 1, "why": "demo", "name": "peak"});
    let answer = cluster
        .operator(1)
        .post("/v1/operator/preset", &body, None)?;
    ensure!(
        answer.is_success(),
        "the preset was refused: {}",
        answer.body
    );
    let stale = cluster
        .operator(2)
        .post("/v1/operator/preset", &body, None)?;
    ensure!(
        stale.status == 409,
        "a change based on an old version was taken: {}",
        stale.body
    );
    wait_until("the preset in force everywhere", || {
        (0..4).all(|i| {
            cluster
                .status(i)
                .is_ok_and(|status| status["preset"] == "peak")
        })
    })
}

fn cancel_one(cluster: &Cluster, seen: &mut Seen) -> Result<()> {
    println!("demo: a cancellation through the other data centre");
    let caller = cluster.caller(0, Customer::Karoo);
    let id = take_id(&caller)?;
    let tasks =
        json!({"tasks": [{"kind": "slow", "run_ms": 30_000, "payload": {"run_ms": 30_000}}]});
    caller.put(&format!("/v1/jobs/{id}"), &tasks)?;
    wait_until("the slow task runs", || {
        cluster
            .executors
            .iter()
            .any(|row| row.standin.running() > 0)
    })?;
    let other = cluster.caller(3, Customer::Karoo);
    let answer = other.delete(&format!("/v1/jobs/{id}?wait_ms={WAIT_MS}"))?;
    note(seen, &answer, "cancelled", 1);
    Ok(())
}

fn unrepeatable(cluster: &Cluster, seen: &mut Seen) -> Result<()> {
    println!("demo: an unrepeatable request, and a keyed job submitted twice");
    let payload = json!({"run_ms": 20, "echo": "bill/0"});
    let body = json!({"task": {"kind": "bill", "run_ms": 20, "payload": payload}});
    let answer = cluster
        .caller(1, Customer::Bantay)
        .post("/v1/requests", &body, None)?;
    note(seen, &answer, "bill", 1);
    let path = format!("/v1/jobs?wait_ms={WAIT_MS}");
    let body = job("keyed", 5);
    let first = cluster
        .caller(0, Customer::Bantay)
        .post(&path, &body, Some("household 7"))?;
    let second = cluster
        .caller(2, Customer::Bantay)
        .post(&path, &body, Some("household 7"))?;
    note(seen, &first, "keyed", 5);
    if first.body != second.body {
        eprintln!(
            "demo: the keyed job has two answers: {} {}",
            first.body, second.body
        );
        seen.wrong += 1;
    }
    Ok(())
}

/// Stops one VM while it has jobs in flight; their answers are fetched from another one later.
fn graceful_stop(cluster: &mut Cluster, seen: &mut Seen) -> Result<()> {
    println!("demo: a graceful stop under load");
    let leaving = cluster.caller(3, Customer::Karoo);
    let mut jobs = Vec::new();
    for size in STOP_SIZES {
        let id = take_id(&leaving)?;
        let label = format!("stop-{size}");
        leaving.put(&format!("/v1/jobs/{id}"), &job(&label, size))?;
        jobs.push((id, label, size));
    }
    let unused = take_id(&leaving)?;
    let row = cluster
        .daemons
        .pop()
        .ok_or_else(|| eyre!("no daemon left"))?;
    row.daemon.close();
    let other = cluster.caller(0, Customer::Karoo);
    for (id, label, size) in jobs {
        let answer = other.get(&format!("/v1/jobs/{id}?wait_ms={WAIT_MS}"))?;
        note(seen, &answer, &label, size);
    }
    let answer = other.put(&format!("/v1/jobs/{unused}"), &job("unused", 1))?;
    if answer.body["ran"] != "not_run" {
        eprintln!(
            "demo: an id of a stopped VM was not refused as not run: {}",
            answer.body
        );
        seen.wrong += 1;
    }
    Ok(())
}

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
    let mut seen = Seen::default();
    main_load(&cluster, &mut seen)?;
    cancel_one(&cluster, &mut seen)?;
    unrepeatable(&cluster, &mut seen)?;
    graceful_stop(&mut cluster, &mut seen)?;
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
        seen.complete, seen.failed, seen.cancelled, seen.wrong
    );
    let expected = (Customer::ALL.len() * SIZES.len() + STOP_SIZES.len() + 2) as u64;
    let complete = seen.complete == expected && seen.failed == 0 && seen.cancelled == 1;
    ensure!(
        complete,
        "wrong number of answers; {expected} complete ones were expected"
    );
    ensure!(
        double_starts == 0 && seen.wrong == 0 && gap == 0,
        "a count is wrong"
    );
    Ok(())
}
