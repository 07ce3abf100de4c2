//! The cases.

use crate::fleet::{Fleet, job, submit};
use crate::record::{note, now_ms};
use crate::worker::{RunRecord, Server, Worker};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
        let runs_on = row.ended_ms.is_none_or(|ended| ended > limit + STOP_GRACE_MS);
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

/// A VM is killed and started again; a client cancels its jobs there, which other VMs run.
pub fn cancel_at_a_restarted_vm(trouble: bool) -> Option<bool> {
    let vms = ["sutherland"; 3];
    let workers = ["sutherland"; 6];
    let mut fleet = Fleet::start(&vms, &workers, Server::default())?;
    let ids: Vec<String> = (0..4).map(|i| format!("5c0e7a21d94b36f{i}")).collect();
    let mut clients = Vec::new();
    for id in &ids {
        let (name, address, id) = (fleet.vms[0].name.clone(), fleet.vms[0].callers, id.clone());
        clients.push(std::thread::spawn(move || {
            let job = job(&[(1, 1_500), (1, 1_500), (1, 1_500), (1, 1_500)]);
            submit(&name, address, &id, &job, Duration::from_secs(10))
        }));
    }
    std::thread::sleep(Duration::from_millis(700));
    if fleet.running() == 0 {
        return None;
    }
    // Neither the entry of the jobs nor their runner.
    let other = (1..3).find(|&vm| fleet.held_workers(vm) == Some(0))?;
    if trouble {
        fleet.kill(other);
        std::thread::sleep(Duration::from_millis(500));
        fleet.launch(other);
    }
    let mut acked = Vec::new();
    for id in &ids {
        // As long as the VM can't be reached or has no configuration (503), the client tries again.
        let end = now_ms() + 4_000;
        while now_ms() < end {
            let status = fleet.cancel(other, id);
            if status.is_some_and(|status| (200..300).contains(&status) || status == 410) {
                acked.push((id.clone(), now_ms()));
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
    std::thread::sleep(Duration::from_millis(6_500));
    for client in clients {
        let _ = client.join();
    }
    let records = fleet.records();
    let broken = acked.iter().map(|(id, at)| outlives_cancel(&records, id, *at));
    Some(broken.fold(false, |all, one| all | one))
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
        submit(&name, address, id, &job(&[(2, 900)]), Duration::from_secs(3))
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
                    first.task, first.run, first.worker, first.began_ms, first.ended_ms,
                    second.run, second.worker, second.began_ms
                ));
                broken = true;
            }
        }
    }
    broken
}

/// Executors close each connection in order after 100 requests. A share of them is cut off, so that new
/// connections are refused, and runs on.
pub fn refused_after_a_close(trouble: bool) -> Option<bool> {
    let server = Server { idle_timeout: Some(Duration::from_millis(5_000)), ..Server::default() };
    let vms = ["sutherland"; 2];
    let workers = ["sutherland"; 48];
    let fleet = Fleet::start(&vms, &workers, server)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = (0..CLIENTS).map(|client| {
        let callers: Vec<_> = fleet.vms.iter().map(|vm| (vm.name.clone(), vm.callers)).collect();
        let is_over = Arc::clone(&is_over);
        std::thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                let (name, address) = &callers[client % callers.len()];
                let id = format!("{:08x}{number:08x}", 0x5c0e_0000 + client);
                let shape = [(8, 60), (4, 900), (2, 200)][(client + number) % 3];
                submit(name, *address, &id, &job(&[shape]), Duration::from_millis(2_500));
                number += 1;
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(Duration::from_millis(9_000));
    // 17 in a hundred, for 5.5 s.
    let cut = &fleet.workers[20..28];
    if trouble {
        cut.iter().for_each(Worker::cut);
        std::thread::sleep(Duration::from_millis(5_500));
        cut.iter().for_each(Worker::heal);
    } else {
        std::thread::sleep(Duration::from_millis(5_500));
    }
    std::thread::sleep(Duration::from_millis(2_000));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    Some(runs_twice(&fleet.records()))
}

/// Number of clients that submit one job after the other.
const CLIENTS: usize = 60;
