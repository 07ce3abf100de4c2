//! The cases.

use crate::fleet::{Fleet, job, submit};
use crate::record::{note, now_ms};
use crate::worker::{RunRecord, Server, Worker};
use std::ops::Range;
use std::time::Duration;

/// `cancel_ms` of the pages.
const CANCEL_MS: u64 = 3_000;
/// `StopGraceMs` of the pages.
const STOP_GRACE_MS: u64 = 50;

/// Returns whether a task of a job started, or ran on, later than the pages allow after its cancelling
/// was acknowledged.
fn outlives_cancel(records: &[RunRecord], id: &str, acked_ms: u64) -> bool {
    let limit = acked_ms + CANCEL_MS;
    let mut broken = false;
    for row in records.iter().filter(|row| row.task.starts_with(id)) {
        let runs_on = row
            .ended_ms
            .is_none_or(|ended| ended > limit + STOP_GRACE_MS);
        if row.began_ms > limit || runs_on {
            note(format!(
                "UNASKED: run {} of {} on {} from {} to {:?}, cancelled and acknowledged at {acked_ms}",
                row.run, row.task, row.worker, row.began_ms, row.ended_ms
            ));
            broken = true;
        }
    }
    broken
}

/// A client submits a job in one zone, moves to another one and cancels the job there.
pub fn cancel_in_another_zone(trouble: bool) -> Option<bool> {
    let vms = ["sutherland", "sutherland", "laingsburg", "laingsburg"];
    let workers = ["sutherland", "sutherland", "laingsburg", "laingsburg"];
    let fleet = Fleet::start(&vms, &workers, Server::default())?;
    let id = "5c0e7a21d94b36f8";
    let (name, address) = (fleet.vms[0].name.clone(), fleet.vms[0].callers);
    let client = std::thread::spawn(move || {
        let job = job(&[(2, 1_200); 6]);
        submit(&name, address, id, &job, Duration::from_secs(10))
    });
    std::thread::sleep(Duration::from_millis(700));
    if fleet.running() == 0 {
        return None;
    }
    let vm = if trouble { 2 } else { 1 };
    let status = fleet.cancel(vm, id)?;
    if !(200..300).contains(&status) && status != 410 {
        return None;
    }
    let acked_ms = now_ms();
    std::thread::sleep(Duration::from_millis(6_500));
    let _ = client.join();
    Some(outlives_cancel(&fleet.records(), id, acked_ms))
}

/// A VM freezes; a client cancels there, and is answered when it wakes, jobs that other VMs run.
pub fn cancel_at_a_frozen_vm(trouble: bool) -> Option<bool> {
    let vms = ["sutherland"; 3];
    let workers = ["sutherland"; 6];
    let fleet = Fleet::start(&vms, &workers, Server::default())?;
    let id = "5c0e7a21d94b36f8";
    let (name, address) = (fleet.vms[0].name.clone(), fleet.vms[0].callers);
    let client = std::thread::spawn(move || {
        let job = job(&[(2, 1_200); 6]);
        submit(&name, address, id, &job, Duration::from_secs(10))
    });
    std::thread::sleep(Duration::from_millis(500));
    if fleet.running() == 0 {
        return None;
    }
    // Neither the entry of the job nor its runner.
    let other = (1..3).find(|&vm| fleet.held_workers(vm) == Some(0))?;
    let status = std::thread::scope(|scope| {
        if trouble {
            fleet.signal(other, "STOP");
            std::thread::sleep(Duration::from_millis(200));
        }
        let status = scope.spawn(|| fleet.cancel(other, id));
        if trouble {
            std::thread::sleep(Duration::from_millis(800));
            fleet.signal(other, "CONT");
        }
        status.join().ok().flatten()
    })?;
    if !(200..300).contains(&status) && status != 410 {
        return None;
    }
    let acked_ms = now_ms();
    std::thread::sleep(Duration::from_millis(6_500));
    let _ = client.join();
    Some(outlives_cancel(&fleet.records(), id, acked_ms))
}

/// A client cancels its job. Seconds after its submission was answered with 2xx, a copy of it arrives at
/// another node.
pub fn late_copy_of_a_cancelled_job(trouble: bool) -> Option<bool> {
    let vms = ["sutherland", "sutherland", "laingsburg", "laingsburg"];
    let workers = ["sutherland", "sutherland", "laingsburg", "laingsburg"];
    let fleet = Fleet::start(&vms, &workers, Server::default())?;
    let id = "5c0e7a21d94b36f8";
    let (name, address) = (fleet.vms[0].name.clone(), fleet.vms[0].callers);
    let client = std::thread::spawn(move || {
        submit(
            &name,
            address,
            id,
            &job(&[(2, 900)]),
            Duration::from_secs(3),
        )
    });
    std::thread::sleep(Duration::from_millis(300));
    if fleet.running() == 0 {
        return None;
    }
    let status = fleet.cancel(0, id)?;
    let acked_ms = now_ms();
    let (answer, _) = client.join().ok().flatten()?;
    if !(200..300).contains(&status) || !(200..300).contains(&answer) {
        return None;
    }
    std::thread::sleep(Duration::from_millis(4_000));
    if trouble {
        fleet.submit(2, id, &job(&[(2, 900)]), Duration::from_secs(3));
    }
    Some(outlives_cancel(&fleet.records(), id, acked_ms))
}

/// Returns whether two runs of a task were in progress at the same time.
fn runs_twice(records: &[RunRecord]) -> bool {
    let mut broken = false;
    for (i, first) in records.iter().enumerate() {
        for second in &records[i + 1..] {
            let overlaps = first.ended_ms.is_none_or(|ended| second.began_ms < ended);
            if first.task == second.task && overlaps {
                note(format!(
                    "TWICE: {} as run {} on {} from {} to {:?}, and as run {} on {} from {}",
                    first.task,
                    first.run,
                    first.worker,
                    first.began_ms,
                    first.ended_ms,
                    second.run,
                    second.worker,
                    second.began_ms
                ));
                broken = true;
            }
        }
    }
    broken
}

/// Executors close connections in order that have been idle for 5 s. Just after that some of them are cut off, so
/// that new connections are refused, and run on.
pub fn refused_after_a_close(trouble: bool) -> Option<bool> {
    in_rounds(|| refused_once(trouble))
}

/// Plays a case again, with a new deployment, until the rule is broken, three times at most. Returns whether
/// it was; `None` if the case could not run in any round.
fn in_rounds(play: impl Fn() -> Option<bool>) -> Option<bool> {
    let mut verdict = None;
    for round in 1..=3 {
        note(format!("round {round}"));
        verdict = play().or(verdict);
        if verdict == Some(true) {
            break;
        }
    }
    verdict
}

fn refused_once(trouble: bool) -> Option<bool> {
    let server = Server {
        idle_timeout: Some(Duration::from_millis(5_000)),
    };
    let vms = ["sutherland"; 2];
    let workers = ["sutherland"; 24];
    let fleet = Fleet::start(&vms, &workers, server)?;
    // Short jobs first, which end at different times, so that the polls of the executors do, too.
    let submit_all = |first: u64, count: u64, ms: fn(u64) -> u64| -> Vec<_> {
        let numbers = first..first + count;
        let clients = numbers.map(|i| {
            let (name, address) = (fleet.vms[0].name.clone(), fleet.vms[0].callers);
            std::thread::spawn(move || {
                let id = format!("5c0e7a21d94b{i:04x}");
                submit(
                    &name,
                    address,
                    &id,
                    &job(&[(2, ms(i))]),
                    Duration::from_secs(12),
                )
            })
        });
        clients.collect()
    };
    for client in submit_all(0, 24, |i| 100 + 37 * i) {
        let _ = client.join();
    }
    let clients = submit_all(100, 4, |_| 7_500);
    std::thread::sleep(Duration::from_millis(4_500));
    let closed: Vec<u64> = fleet
        .workers
        .iter()
        .map(|worker| worker.idle_closes())
        .collect();
    // At most 17 in a hundred of the executors.
    let in_use = fleet
        .workers
        .iter()
        .zip(closed)
        .filter(|(worker, _)| worker.running() > 0);
    let in_use: Vec<_> = in_use.take(4).collect();
    let waits = || {
        in_use
            .iter()
            .any(|(worker, closed)| worker.idle_closes() == *closed)
    };
    let end = now_ms() + 1_500;
    while now_ms() < end && waits() {
        std::thread::sleep(Duration::from_millis(5));
    }
    if waits() {
        return None;
    }
    std::thread::sleep(Duration::from_millis(20));
    if trouble {
        in_use.iter().for_each(|(worker, _)| worker.cut());
        std::thread::sleep(Duration::from_millis(2_000));
        in_use.iter().for_each(|(worker, _)| worker.heal());
    }
    for client in clients {
        let _ = client.join();
    }
    Some(runs_twice(&fleet.records()))
}

/// A start gets no answer, is sent again and ends; its first copy is carried out seconds later, by the next boot of
/// the executor, while the task runs on another executor.
pub fn late_start_after_a_crash(trouble: bool) -> Option<bool> {
    in_rounds(|| late_start_once(trouble))
}

fn late_start_once(trouble: bool) -> Option<bool> {
    let fleet = Fleet::start(&["sutherland"; 2], &["sutherland"; 4], Server::default())?;
    let shape = job(&[(2, 2_500)]);
    let id = |i: usize| format!("5c0e7a21d94b36f{i}");
    let submit_all = |vm: usize, ids: Range<usize>, limit: u64| -> Vec<_> {
        let jobs = ids.map(|i| {
            let (name, address) = (fleet.vms[vm].name.clone(), fleet.vms[vm].callers);
            let (id, shape) = (id(i), shape.clone());
            std::thread::spawn(move || {
                submit(&name, address, &id, &shape, Duration::from_millis(limit))
            })
        });
        jobs.collect()
    };
    if trouble {
        fleet
            .workers
            .iter()
            .for_each(|worker| worker.withhold_start());
    }
    for client in submit_all(0, 0..2, 700) {
        let _ = client.join();
    }
    // The clients had no answer in their time, and send their jobs again, to the other node. Meanwhile other
    // jobs have taken the executors.
    std::thread::sleep(Duration::from_millis(1_000));
    let others = submit_all(0, 2..4, 6_000);
    std::thread::sleep(Duration::from_millis(300));
    let clients = submit_all(1, 0..2, 6_000);
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        let records = fleet.records();
        let runs_elsewhere = |worker: &&Worker| {
            let task = worker.withheld();
            let runs = records
                .iter()
                .filter(|row| row.ended_ms.is_none() && Some(&row.task) == task.as_ref());
            let mut others = runs.filter(|row| row.worker != worker.id);
            others.next().is_some()
        };
        let worker = fleet.workers.iter().find(runs_elsewhere)?;
        worker.crash(Duration::from_millis(200));
    }
    for client in clients.into_iter().chain(others) {
        let _ = client.join();
    }
    Some(runs_twice(&fleet.records()))
}

/// Same, but the holder is killed 40 ms after it sent the start, so that it tells nobody of it.
pub fn late_start_of_a_killed_holder(trouble: bool) -> Option<bool> {
    let mut fleet = Fleet::start(&["sutherland"; 2], &["sutherland"; 4], Server::default())?;
    let shape = job(&[(2, 2_500)]);
    let holder = (0..2).find(|&vm| fleet.held_workers(vm) == Some(4))?;
    let submit_all = |fleet: &Fleet, vm: usize, limit: u64| -> Vec<_> {
        let jobs = (0..2).map(|i| {
            let (name, address) = (fleet.vms[vm].name.clone(), fleet.vms[vm].callers);
            let (id, shape) = (format!("5c0e7a21d94b36f{i}"), shape.clone());
            std::thread::spawn(move || {
                submit(&name, address, &id, &shape, Duration::from_millis(limit))
            })
        });
        jobs.collect()
    };
    if trouble {
        fleet
            .workers
            .iter()
            .for_each(|worker| worker.withhold_start());
    }
    let clients = submit_all(&fleet, holder, 700);
    if trouble {
        std::thread::sleep(Duration::from_millis(40));
        fleet.kill(holder);
    }
    for client in clients {
        let _ = client.join();
    }
    // The clients had no answer, and send their jobs again, to the other node.
    std::thread::sleep(Duration::from_millis(1_300));
    let clients = submit_all(&fleet, 1 - holder, 6_000);
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        let records = fleet.records();
        let runs_elsewhere = |worker: &&Worker| {
            let task = worker.withheld();
            let runs = records
                .iter()
                .filter(|row| row.ended_ms.is_none() && Some(&row.task) == task.as_ref());
            let mut others = runs.filter(|row| row.worker != worker.id);
            others.next().is_some()
        };
        let worker = fleet.workers.iter().find(runs_elsewhere)?;
        worker.crash(Duration::from_millis(200));
    }
    for client in clients {
        let _ = client.join();
    }
    Some(runs_twice(&fleet.records()))
}
