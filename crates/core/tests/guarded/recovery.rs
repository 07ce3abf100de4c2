//! Fault scenarios: which runs and workers survive a fault, and how long recovery takes.

use crate::sim::{EQUAL, Shape, Sim};
use cardamomslip_core::guarded::model::answer::Answer;

/// Two data centres with two VMs and three workers each.
const TWO_DATA_CENTRES: Shape = Shape {
    vms: 4,
    data_centres: 2,
    workers: 6,
    weights: EQUAL,
};

/// Two data centres with six VMs and three workers each.
const TWELVE_VMS: Shape = Shape {
    vms: 12,
    data_centres: 2,
    workers: 6,
    weights: EQUAL,
};

/// Partitions the two data centres, including their workers.
fn cut_data_centres(sim: &mut Sim) {
    for vm in 0..4 {
        for peer in (0..4).filter(|peer| peer % 2 != vm % 2) {
            sim.cut(vm, peer);
        }
        for worker in (0..6).filter(|worker| worker % 2 != vm % 2) {
            sim.cut_worker(vm, worker);
        }
    }
}

/// Kills all VMs by loss of power and starts them again after 500 ms.
fn restart_all(sim: &mut Sim) {
    for vm in 0..4 {
        sim.kill(vm, true);
    }
    sim.advance(500);
    for vm in 0..4 {
        sim.boot(vm);
    }
}

simulation_tests! {
    /// After a partition in which each data centre considered the other one gone, neither acquires
    /// the workers that the other one holds.
    a_healed_partition_leaves_workers_with_their_holders(TWO_DATA_CENTRES) => |sim| {
        cut_data_centres(sim);
        sim.advance(3_000);
        let ids: Vec<_> = (0..4).map(|vm| sim.submit(vm, 1, 900, 0)).collect();
        sim.advance(100);
        let before = sim.acquisitions();
        sim.heal();
        sim.advance(3_000);
        assert_eq!(sim.acquisitions() - before, 0, "acquisitions after the partition");
        for id in ids {
            assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Completed));
            assert_eq!(sim.history.jobs[&id].submissions, 1);
            let took = sim.completed_in(id).expect("the job completes");
            assert!(took <= 920, "the job took {took} ms");
        }
    };

    /// After all VMs lost power and started again, each cell has a holder as soon as the VMs have
    /// received each other's heartbeats.
    all_workers_are_held_soon_after_a_cold_start(TWO_DATA_CENTRES) => |sim| {
        restart_all(sim);
        sim.advance(420);
        assert_eq!(sim.held_workers(), 6);
    };

    /// After a cold start, all workers are held soon even if their fencing tokens are 30 s ahead of
    /// the wall clock, as they are after VMs repeatedly acquired workers from each other.
    a_cold_start_exceeds_high_fencing_tokens_soon(TWO_DATA_CENTRES) => |sim| {
        sim.raise_tokens(30_000);
        restart_all(sim);
        sim.advance(440);
        assert_eq!(sim.held_workers(), 6);
    };

    /// The holder of a data centre's workers stops responding. Jobs submitted before it counts as
    /// gone run in the other data centre.
    an_unresponsive_holder_gets_no_new_jobs(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let entry = 2 - holder;
        sim.kill(holder, true);
        sim.advance(300);
        let ids: Vec<_> = (0..6).map(|_| sim.submit(entry, 2, 100, 0)).collect();
        sim.advance(2_000);
        for id in ids {
            assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Completed));
            assert_eq!(sim.history.jobs[&id].submissions, 1);
        }
    };

    /// The holder stops responding, and more jobs arrive than the other data centre can run. They
    /// wait for the next holder.
    jobs_wait_for_the_next_holder(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let entry = 2 - holder;
        sim.kill(holder, true);
        sim.advance(300);
        let ids: Vec<_> = (0..20).map(|_| sim.submit(entry, 2, 400, 0)).collect();
        sim.advance(3_000);
        for id in ids {
            let took = sim.completed_in(id).expect("the job completes");
            assert!(took <= 1_900, "the job took {took} ms");
        }
    };

    /// A data centre in which jobs wait loses two of its three workers. Jobs that it can't run in
    /// time any more run in the other one.
    jobs_move_to_the_other_data_centre_when_workers_crash(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let ids: Vec<_> = (0..12).map(|_| sim.submit(holder, 2, 600, 0)).collect();
        sim.advance(20);
        for worker in [0, 2] {
            sim.crash_worker(worker);
        }
        sim.advance(4_000);
        let refused = ids.iter().filter(|&&id| sim.refused_after(id).is_some()).count();
        assert_eq!(refused, 0, "number of refused jobs of {}", ids.len());
    };

    /// A VM is frozen for 2 s while its clock runs on. On resuming it has had no message from its
    /// peers for that time, but must not consider them gone.
    a_stalled_vm_acquires_no_workers_on_resuming(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        sim.freeze(holder, 2_000);
        sim.advance(1_900);
        let before = sim.acquisitions();
        let ids: Vec<_> = [1, 3].map(|vm| sim.submit(vm, 2, 600, 0)).into();
        sim.advance(3_000);
        assert_eq!(sim.acquisitions() - before, 0, "acquisitions after the stall");
        for id in ids {
            assert_eq!(sim.history.jobs[&id].submissions, 1);
            let took = sim.completed_in(id).expect("the job completes");
            assert!(took <= 620, "the job took {took} ms");
        }
    };

    /// A VM that is frozen for slightly less than the time after which peers consider it gone
    /// acquires no workers on resuming.
    a_short_stall_causes_no_acquisitions(TWO_DATA_CENTRES) => |sim| {
        for vm in 0..4 {
            let before = sim.acquisitions_of(vm);
            sim.freeze(vm, 350);
            sim.advance(1_500);
            assert_eq!(sim.acquisitions_of(vm) - before, 0, "acquisitions by VM {vm}");
        }
    };

    /// The store delivers a configuration, which may be large, to one VM only. The others receive
    /// it from peers within a second, each about once.
    a_configuration_spreads_without_the_store(TWELVE_VMS) => |sim| {
        sim.change_queues_at(&[0]);
        sim.advance(1_000);
        assert_eq!(sim.config_versions(), [2; 12]);
        assert!(sim.queues_sent <= 22, "the configuration was sent {} times", sim.queues_sent);
    };

    /// If the store delivers the configuration to all VMs, they don't send it to each other.
    a_configuration_from_the_store_is_not_sent_on(TWELVE_VMS) => |sim| {
        sim.change_queues();
        sim.advance(1_000);
        assert_eq!(sim.config_versions(), [2; 12]);
        assert_eq!(sim.queues_sent, 0);
    };
}
