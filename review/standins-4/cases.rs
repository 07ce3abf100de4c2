//! The cases. Each returns what broke the rule, or `None` if it held.

use crate::fleet::{Fleet, HOST, PREFIX};
use crate::http;
use crate::proxy::Proxy;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// `ResendMs` of the small sites.
const RESEND: Duration = Duration::from_millis(1_300);
/// `cancel_ms` of the small sites.
const CANCEL_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 20_000;

pub fn run(case: &str, record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    match case {
        "cancelled" => cancelled(record, has_trouble),
        "all-killed" => all_killed(record, has_trouble),
        "tiny" => tiny(record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

/// Submits a job and waits for the answer. Returns its status and body, or why there is none.
fn submit(
    record: &Record,
    to: (&str, SocketAddr),
    id: &str,
    body: &str,
) -> Result<(u16, String), String> {
    let path = format!("{PREFIX}{id}");
    record.note(&format!("client: POST {path} to {}", to.0));
    let sent = http::send(to.1, "POST", &path, HOST, Some(DEADLINE_MS), body);
    let sent = sent.map_err(|e| e.to_string());
    let answer = sent.and_then(|sent| sent.answer(Duration::from_millis(DEADLINE_MS)));
    record.note(&format!("client: the answer to POST {path} from {}: {answer:?}", to.0));
    answer
}

fn cancel(record: &Record, to: (&str, SocketAddr), id: &str) -> Result<(u16, String), String> {
    let path = format!("{PREFIX}{id}");
    record.note(&format!("client: DELETE {path} to {}", to.0));
    let sent = http::send(to.1, "DELETE", &path, HOST, None, "").map_err(|e| e.to_string());
    let answer = sent.and_then(|sent| sent.answer(Duration::from_secs(4)));
    record.note(&format!("client: the answer to DELETE {path} from {}: {answer:?}", to.0));
    answer
}

/// A best-effort job of steps of one task each, one after the other.
fn chain(task_ms: &[u64]) -> String {
    let spec: Vec<String> = task_ms.iter().map(u64::to_string).collect();
    let steps = task_ms.iter().enumerate().map(|(step, ms)| {
        let after = step.checked_sub(1).map(|earlier| format!(r#","After":[{earlier}]"#));
        let after = after.unwrap_or_default();
        format!(r#"{{"Count":1,"Cpu":2000,"MemMb":64,"EstimateMs":{ms}{after}}}"#)
    });
    let steps: Vec<String> = steps.collect();
    format!(
        r#"{{"Spec":"{}","Steps":[{}],"BestEffort":true}}"#,
        spec.join(" "),
        steps.join(",")
    )
}

/// The answer to a job is lost; the client sends the job again to another machine and cancels it at the
/// first one.
fn cancelled(record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let fleet = Fleet::start(record, &["sutherland", "laingsburg"], 1, 2);
    fleet.wait_until_ready()?;
    let proxy = Proxy::start([127, 0, 0, 1].into(), fleet.vms[0].callers);
    proxy.loses_answers.store(has_trouble, Ordering::Relaxed);
    let first = (fleet.vms[0].name.as_str(), fleet.vms[0].callers);
    let second = (fleet.vms[1].name.as_str(), fleet.vms[1].callers);
    let id = "5c0e7a21d94b36f8";
    let job = chain(&[600; 8]);
    let answer = submit(record, (first.0, proxy.address), id, &job);
    let is_again = answer.is_err();
    if is_again != has_trouble {
        return Err(format!("the first answer was {answer:?}"));
    }
    std::thread::scope(|scope| {
        if is_again {
            std::thread::sleep(RESEND);
            scope.spawn(|| submit(record, second, id, &job));
        }
        std::thread::sleep(Duration::from_millis(500));
        let answer = cancel(record, first, id)?;
        let acked_ms = acknowledged(record, &answer)?;
        std::thread::sleep(Duration::from_millis(8_000));
        Ok(started_after_cancel(record, acked_ms))
    })
}

/// Returns what broke UNASKED if a task started later than `cancel_ms` after the acknowledgement.
fn started_after_cancel(record: &Record, acked_ms: u64) -> Option<String> {
    let late = record.events().into_iter().filter(|event| {
        event.what == "started" && event.at_ms > acked_ms + CANCEL_MS
    });
    let late: Vec<String> =
        late.map(|event| format!("{} at {} ms", event.task, event.at_ms)).collect();
    let what = format!(
        "UNASKED: the cancelling was acknowledged at {acked_ms} ms; later than {CANCEL_MS} ms after it started {}",
        late.join(", ")
    );
    (!late.is_empty()).then_some(what)
}

/// Returns the time of the acknowledgement of a cancelling.
fn acknowledged(record: &Record, answer: &(u16, String)) -> Result<u64, String> {
    if !(200..300).contains(&answer.0) && answer.0 != 410 {
        return Err(format!("the cancelling was not acknowledged: {answer:?}"));
    }
    Ok(record.now_ms())
}

/// A job is cancelled; then all machines are killed and start again, and a copy of its request arrives.
fn all_killed(record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let mut fleet = Fleet::start(record, &["sutherland", "laingsburg"], 2, 2);
    fleet.wait_until_ready()?;
    let first = (fleet.vms[0].name.clone(), fleet.vms[0].callers);
    let second = (fleet.vms[2].name.clone(), fleet.vms[2].callers);
    let id = "5c0e7a21d94b36f8";
    let job = &chain(&[900]);
    std::thread::scope(|scope| {
        let to = (first.0.as_str(), first.1);
        let pending = scope.spawn(move || submit(record, to, id, job));
        std::thread::sleep(Duration::from_millis(300));
        let answer = cancel(record, (&second.0, second.1), id)?;
        let acked_ms = acknowledged(record, &answer)?;
        let _ = pending.join();
        if has_trouble {
            std::thread::sleep(Duration::from_millis(100));
            (0..4).for_each(|number| fleet.kill(number));
            std::thread::sleep(Duration::from_millis(1_000));
            (0..4).for_each(|number| fleet.restart(number));
        }
        std::thread::sleep(Duration::from_millis(4_500));
        let _ = submit(record, to, id, job);
        std::thread::sleep(Duration::from_millis(500));
        Ok(started_after_cancel(record, acked_ms))
    })
}

/// Many small tasks at once.
fn tiny(record: &Record, has_trouble: bool) -> Result<Option<String>, String> {
    let record = &record.clone().quiet();
    let fleet = Fleet::start(record, &["sutherland", "laingsburg"], 1, 12);
    fleet.wait_until_ready()?;
    let jobs: u64 = std::env::var("JOBS").ok().and_then(|t| t.parse().ok()).unwrap_or(20);
    let count: u64 = std::env::var("COUNT").ok().and_then(|t| t.parse().ok()).unwrap_or(1500);
    let jobs = if has_trouble { jobs } else { 1 };
    std::thread::scope(|scope| {
        for number in 0..jobs {
            let vm = &fleet.vms[0];
            scope.spawn(move || {
                let job = format!(r#"{{"Spec":"200","Steps":[{{"Count":{count},"Cpu":10,"MemMb":1,"EstimateMs":200}}],"BestEffort":true}}"#);
                submit(record, (&vm.name, vm.callers), &format!("{:016x}", 0xabc000 + number), &job)
            });
        }
        for _ in 0..40 {
            std::thread::sleep(Duration::from_millis(250));
            for vm in &fleet.vms {
                record.note(&format!("{} {}", vm.name, vm.memory()));
            }
        }
    });
    Ok(None)
}
