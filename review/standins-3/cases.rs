//! The cases. Each returns whether its rule held.

use crate::executor::{Run, Shape};
use crate::lab::{Answer, Lab, SERVICE, chain, spec, step};
use std::path::Path;
use std::time::{Duration, Instant};

/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3_000);
/// `AckMs` of the settings.
const ACK: Duration = Duration::from_millis(4_000);
/// `StopGraceMs` of the settings.
const STOP_GRACE: Duration = Duration::from_millis(50);
/// CPU that a task takes, in thousandths of a core, as at the site kwt-sched.
const TASK_CPU: u64 = 6_800;
/// Two zones of the site kwt-sched.
const ZONES: [&str; 2] = ["sutherland", "laingsburg"];
/// Ids that the clients choose.
const ID: &str = "5c0e7a21d94b36f8";

/// Outcome of a case: whether the rule held, or why it could not run.
pub type Outcome = Result<bool, String>;

/// Returns an executor of 16 cores.
const fn executor(id: &'static str, zone: &'static str, kind: &'static str) -> Shape {
    Shape {
        id,
        service: SERVICE,
        zone,
        labels: [kind, "r1-1"],
        cpu: 16_000,
    }
}

/// Two executors in each of two zones.
fn two_zones() -> [Shape; 4] {
    [
        executor("i-a1", ZONES[0], "a"),
        executor("i-a2", ZONES[0], "a"),
        executor("i-b1", ZONES[1], "a"),
        executor("i-b2", ZONES[1], "a"),
    ]
}

/// A client cancels its job after it has moved to another zone.
pub fn cancel_elsewhere(folder: &Path, trouble: bool) -> Outcome {
    let vms = [ZONES[0], ZONES[0], ZONES[1], ZONES[1]];
    let lab = Lab::start(folder, &two_zones(), &vms)?;
    let patience = Duration::from_secs(20);
    let steps = chain(10, 1_000, TASK_CPU);
    let answer = lab.submit(0, ID, &steps, &spec(1_000, TASK_CPU), patience);
    if !lab.wait_running(ID, 1, Duration::from_secs(2)) {
        return Err("the job did not start".to_owned());
    }
    std::thread::sleep(Duration::from_millis(500));
    // New channels of the client go to the zone where it is now.
    let vm = if trouble { 2 } else { 1 };
    lab.cancel(vm, ID);
    // Its job is still unanswered, so it asks once more.
    std::thread::sleep(Duration::from_millis(500));
    let ack = lab.cancel(vm, ID);
    let answered = answer.recv_timeout(patience + Duration::from_secs(1));
    let answered = answered.map_err(|e| e.to_string())?;
    lab.record
        .line(&format!("the job's answer: {:?}", answered.status()));
    std::thread::sleep(Duration::from_millis(500));
    let held = check_cancelled(&lab, ID, &ack);
    lab.close(folder);
    held
}

/// The operator drops a queue whose job is at work, and its client cancels the job then.
pub fn cancel_in_dropped_queue(folder: &Path, trouble: bool) -> Outcome {
    let shapes = [
        executor("i-a1", ZONES[0], "a"),
        executor("i-a2", ZONES[0], "a"),
    ];
    let lab = Lab::start(folder, &shapes, &[ZONES[0], ZONES[0]])?;
    let patience = Duration::from_secs(25);
    let steps = chain(14, 1_000, TASK_CPU);
    let answer = lab.submit(0, ID, &steps, &spec(1_000, TASK_CPU), patience);
    if !lab.wait_running(ID, 1, Duration::from_secs(2)) {
        return Err("the job did not start".to_owned());
    }
    if trouble {
        lab.drop_queue();
    }
    std::thread::sleep(Duration::from_millis(2_500));
    let sent_at = Instant::now();
    let mut ack = lab.cancel(0, ID);
    while !is_ack(&ack) && sent_at.elapsed() < ACK {
        std::thread::sleep(Duration::from_millis(500));
        ack = lab.cancel(0, ID);
    }
    if !is_ack(&ack) {
        lab.record.line("the cancel has waited AckMs for its ack");
        ack.at = sent_at + ACK;
    }
    let answered = answer.recv_timeout(patience + Duration::from_secs(1));
    let answered = answered.map_err(|e| e.to_string())?;
    lab.record
        .line(&format!("the job's answer: {:?}", answered.status()));
    let held = check_waited(&lab, ID, &ack);
    lab.close(folder);
    held
}

/// Another writer leaves an entry of a service that isn't configured under the id of an executor.
pub fn foreign_service(folder: &Path, trouble: bool) -> Outcome {
    let shapes = [
        executor("i-a1", ZONES[0], "a"),
        executor("i-a2", ZONES[0], "a"),
        executor("i-a3", ZONES[0], "a"),
    ];
    let lab = Lab::start(folder, &shapes, &[ZONES[0], ZONES[0]])?;
    let patience = Duration::from_secs(9);
    let (steps, text) = (step(2, 4_000, TASK_CPU, ""), spec(4_000, TASK_CPU));
    let answer = lab.submit(0, ID, &steps, &text, patience);
    if !lab.wait_running(ID, 2, Duration::from_secs(2)) {
        return Err("the job did not start".to_owned());
    }
    let at_work = lab.runs(ID)[0].executor;
    let worker = lab
        .executors
        .iter()
        .find(|executor| executor.id() == at_work);
    let other = lab
        .executors
        .iter()
        .find(|executor| executor.id() != at_work);
    let (Some(worker), Some(other)) = (worker, other) else {
        return Err("there is no other executor".to_owned());
    };
    worker.wait_beat();
    if trouble {
        let entry = format!(
            "{{\"Service\":\"trial-of-others\",\"Addr\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\"Capacity\":{{\"Cpu\":16000,\
             \"MemMb\":65536,\"Gpu\":0}},\"Labels\":[\"a\",\"r1-1\"],\"ClockMs\":1,\"Seq\":1,\
             \"born\":1790000000000}}",
            other.address(),
            ZONES[0]
        );
        lab.store.put(&worker.key(), &entry);
        lab.record
            .line(&format!("another writer: {} = {entry}", worker.key()));
    }
    let answered = answer.recv_timeout(patience + Duration::from_secs(1));
    let answered = answered.map_err(|e| e.to_string())?;
    lab.record
        .line(&format!("the job's answer: {:?}", answered.status()));
    std::thread::sleep(Duration::from_millis(1_500));
    let held = check_twice(&lab, &lab.runs(ID));
    lab.close(folder);
    Ok(held)
}

/// Another writer leaves an entry without most of the fields under the id of an executor.
pub fn foreign_fields(folder: &Path, trouble: bool) -> Outcome {
    let shapes = [
        executor("i-a1", ZONES[0], "a"),
        executor("i-a2", ZONES[0], "a"),
        executor("i-b1", ZONES[0], "b"),
    ];
    let lab = Lab::start(folder, &shapes, &[ZONES[0], ZONES[0]])?;
    let plain = &lab.executors[0];
    plain.wait_beat();
    if trouble {
        let entry = format!(
            "{{\"Service\":\"{SERVICE}\",\"Addr\":\"{}\",\"Zone\":\"{}\",\"State\":\"ready\",\
             \"Capacity\":{{\"Cpu\":16000,\"MemMb\":65536}},\"Labels\":[\"b\"]}}",
            plain.address(),
            ZONES[0]
        );
        lab.store.put(&plain.key(), &entry);
        lab.record
            .line(&format!("another writer: {} = {entry}", plain.key()));
    }
    let mut held = true;
    let patience = Duration::from_millis(1_500);
    let steps = step(4, 100, TASK_CPU, ",\"Constraints\":\"b\"");
    for number in 0..10 {
        let id = format!("{number:016x}");
        let answer = lab.submit(0, &id, &steps, &spec(100, TASK_CPU), patience);
        std::thread::sleep(Duration::from_millis(200));
        let _ = answer.recv_timeout(patience);
        for run in lab.runs(&id) {
            let at = lab
                .executors
                .iter()
                .find(|executor| executor.id() == run.executor);
            if !at.is_some_and(|executor| executor.has_label("b")) {
                let Run { task, executor, .. } = run;
                let line = format!("ROUTE: {task} began on {executor}, which has no label b");
                lab.record.line(&line);
                held = false;
            }
        }
    }
    lab.close(folder);
    Ok(held)
}

fn is_ack(answer: &Answer) -> bool {
    answer
        .status()
        .is_some_and(|status| status / 100 == 2 || status == 410)
}

/// Checks that no task of a job began `cancel_ms` after the ack of its cancelling, or ran on
/// `StopGraceMs` after that.
fn check_cancelled(lab: &Lab, id: &str, ack: &Answer) -> Outcome {
    if !is_ack(ack) {
        return Err(format!("the cancel was answered with {:?}", ack.status()));
    }
    check_waited(lab, id, ack)
}

fn check_waited(lab: &Lab, id: &str, ack: &Answer) -> Outcome {
    let (last_start, last_end) = (ack.at + CANCEL, ack.at + CANCEL + STOP_GRACE);
    let mut held = true;
    for run in lab.runs(id) {
        let (task, number) = (&run.task, run.number);
        let since = |at: Instant| at.saturating_duration_since(ack.at).as_millis();
        if run.began > last_start {
            let ms = since(run.began);
            let line = format!("UNASKED: run {number} of {task} began {ms} ms after the ack");
            lab.record.line(&line);
            held = false;
        }
        let ended = run.ended.unwrap_or_else(Instant::now);
        if ended > last_end {
            let ms = since(ended);
            let line = format!("UNASKED: run {number} of {task} was at work {ms} ms after the ack");
            lab.record.line(&line);
            held = false;
        }
    }
    Ok(held)
}

/// Checks that no task had two runs at the same time.
fn check_twice(lab: &Lab, runs: &[Run]) -> bool {
    let mut held = true;
    for (position, first) in runs.iter().enumerate() {
        for second in &runs[position + 1..] {
            let end = first.ended.unwrap_or_else(Instant::now);
            if first.task != second.task || second.began >= end {
                continue;
            }
            let ms = (end - second.began).as_millis();
            let line = format!(
                "TWICE: {} ran on {} and on {}, {ms} ms of it at the same time",
                first.task, first.executor, second.executor
            );
            lab.record.line(&line);
            held = false;
        }
    }
    held
}
