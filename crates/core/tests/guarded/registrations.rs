//! Entries that another writer leaves in the registry under the id of a live worker.

use crate::sim::{EQUAL, JobShape, Shape, Sim};
use cardamomslip_core::guarded::model::ids::{ClientJobId, UpstreamId};
use cardamomslip_core::guarded::model::worker::WorkerEntry;

/// One data centre with two VMs and three workers.
const THREE_WORKERS: Shape = Shape {
    vms: 2,
    data_centres: 1,
    workers: 3,
    weights: EQUAL,
};
/// The same with one worker.
const ONE_WORKER: Shape = Shape {
    workers: 1,
    ..THREE_WORKERS
};
/// Time between two entries that a worker writes.
const HEARTBEAT_MS: u64 = 1_500;
/// Time after which a worker without an entry of its own is removed.
const REMOVED_AFTER_MS: u64 = 3_100;

/// Submits a job whose tasks run for longer than an entry of another writer stands.
fn submit_long(sim: &mut Sim) -> ClientJobId {
    let shape = JobShape {
        tasks: 2,
        work_ms: 4_000,
        client_timeout_ms: 9_500,
        ..JobShape::default()
    };
    let id = sim.submit_shape(sim.holder(0), shape);
    sim.advance(200);
    id
}

/// Returns the first worker that runs a task, and another one.
fn busy_and_other(sim: &Sim) -> (usize, usize) {
    let mut workers = 0..sim.workers.len();
    let busy = workers.find(|&worker| sim.workers[worker].running() > 0);
    let busy = busy.expect("a worker with a run");
    (busy, (busy + 1) % sim.workers.len())
}

fn started(sim: &Sim) -> u64 {
    sim.workers.iter().map(|worker| worker.started).sum()
}

/// Leaves an entry under the id of a worker with runs that has the address of another worker, until the
/// next one of its own. Checks that each task runs once.
fn leave_entry(sim: &mut Sim, change: fn(&mut WorkerEntry)) {
    let id = submit_long(sim);
    let (busy, other) = busy_and_other(sim);
    let mut entry = sim.registry_entry(busy);
    entry.address = sim.registry_entry(other).address;
    change(&mut entry);
    sim.publish_entry(&entry);
    sim.advance(HEARTBEAT_MS);
    sim.publish_worker(busy);
    sim.advance(5_000);
    assert!(sim.completed_in(id).is_some(), "the job completes");
    assert_eq!(started(sim), 2);
    assert_eq!(sim.misdirected_requests, 0);
}

simulation_tests! {
    /// Guards against two runs at a time: another worker answered 421 at the address of an entry of another
    /// service, which counted as the end of the runs.
    an_entry_of_another_service_is_not_used(THREE_WORKERS) => |sim| {
        leave_entry(sim, |entry| entry.upstream = UpstreamId(99));
    };

    /// Guards against the same by an entry that names the service and the boot of the worker.
    a_boot_keeps_its_address(THREE_WORKERS) => |sim| leave_entry(sim, |_| {});

    /// Guards against the same by an entry without the boot.
    an_entry_without_the_boot_is_not_used(THREE_WORKERS) => |sim| {
        leave_entry(sim, |entry| entry.boot = None);
    };

    /// Guards against the same by an entry that seems to be of the next boot: what answers at its address
    /// says nothing of the runs at the former one.
    runs_stay_at_their_address(THREE_WORKERS) => |sim| {
        leave_entry(sim, |entry| entry.boot = entry.boot.map(|boot| boot + 1));
    };

    /// Guards against a worker that stays lost after entries of another writer.
    a_worker_returns_after_an_entry_of_another_writer(ONE_WORKER) => |sim| {
        for change in [
            |entry: &mut WorkerEntry| entry.upstream = UpstreamId(99),
            |entry: &mut WorkerEntry| entry.boot = None,
        ] {
            sim.advance(1_000);
            let mut entry = sim.registry_entry(0);
            change(&mut entry);
            sim.publish_entry(&entry);
            sim.advance(REMOVED_AFTER_MS);
            sim.publish_worker(0);
            sim.advance(1_500);
            let id = sim.submit(0, 1, 100, 0);
            sim.advance(1_000);
            assert!(sim.completed_in(id).is_some(), "the worker is used");
        }
    };

    /// Guards against a worker that is never used at the address of its next boot: the entry that was set
    /// aside is used once the former address is of no use.
    a_worker_moves_when_its_runs_have_ended(THREE_WORKERS) => |sim| {
        let id = submit_long(sim);
        let (busy, other) = busy_and_other(sim);
        let mut entry = sim.registry_entry(busy);
        entry.address = sim.registry_entry(other).address;
        entry.boot = entry.boot.map(|boot| boot + 1);
        sim.publish_entry(&entry);
        sim.advance(2_000);
        assert_eq!(sim.misdirected_requests, 0);
        sim.advance(4_000);
        assert!(sim.completed_in(id).is_some(), "the job completes");
        sim.advance(1_000);
        assert!(sim.misdirected_requests > 0, "the worker is polled at its new address");
    };
}
