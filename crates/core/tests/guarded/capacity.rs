//! Workers whose capacity changes while they run, and workers that start whatever they are told to.

use crate::sim::{EQUAL, Shape, Sim};

/// One data centre with two VMs and four workers.
const FOUR_WORKERS: Shape = Shape {
    vms: 2,
    data_centres: 1,
    workers: 4,
    weights: EQUAL,
};

/// Lets the workers start whatever they are told to; each start beyond the capacity then fails the
/// test.
fn unguard(sim: &mut Sim) {
    for worker in &mut sim.workers {
        worker.guards_capacity = false;
    }
}

/// Submits more work than the workers can do, for a while.
fn overload(sim: &mut Sim, ms: u64) {
    for round in 0..ms / 50 {
        let vm = usize::try_from(round % 2).expect("a small number");
        if sim.is_up(vm) {
            sim.submit(vm, 3, 400, 0);
        }
        sim.advance(50);
    }
}

simulation_tests! {
    /// Guards against starts beyond the capacity of a worker that has shrunk: its size is followed
    /// while it runs, and what is being stopped still counts.
    a_shrunk_worker_gets_no_more_than_it_holds(FOUR_WORKERS) => |sim| {
        unguard(sim);
        overload(sim, 1_000);
        for worker in 0..4 {
            sim.resize_worker(worker, 45);
        }
        overload(sim, 8_000);
        for worker in 0..4 {
            sim.resize_worker(worker, 100);
        }
        let before: u64 = sim.workers.iter().map(|worker| worker.started).sum();
        overload(sim, 2_000);
        let after: u64 = sim.workers.iter().map(|worker| worker.started).sum();
        assert!(after - before >= 24, "{} starts after the workers grew again", after - before);
    };

    /// Guards against a new holder that uses the former size of the workers it acquires.
    a_new_holder_uses_the_present_size(FOUR_WORKERS) => |sim| {
        unguard(sim);
        for worker in 0..4 {
            sim.resize_worker(worker, 45);
        }
        overload(sim, 6_000);
        let holder = sim.holder(0);
        sim.stop(holder);
        overload(sim, 3_000);
        sim.boot(holder);
        sim.kill(1 - holder, true);
        overload(sim, 6_000);
    };

    /// Guards against starts on a new boot by the kind and the size of the boot before.
    a_new_boot_gets_no_tasks_before_its_entry(FOUR_WORKERS) => |sim| {
        overload(sim, 1_000);
        sim.reboot_unlisted(0);
        let before = sim.workers[0].started;
        overload(sim, 1_500);
        assert_eq!(sim.workers[0].started, before, "starts without an entry of the boot");
        sim.publish_worker(0);
        overload(sim, 1_500);
        assert!(sim.workers[0].started > before, "no start after the entry");
    };
}
