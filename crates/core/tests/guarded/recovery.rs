//! Named faults and what comes after them: who keeps its work, and how soon all are served again.

use crate::sim::{Shape, Sim};
use cardamomslip_core::guarded::model::answer::Answer;

/// Two data centres with two VMs and three workers each.
const TWO_DATA_CENTRES: Shape = Shape {
    vms: 4,
    data_centres: 2,
    workers: 6,
};

/// Two data centres with six VMs and three workers each.
const TWELVE_VMS: Shape = Shape {
    vms: 12,
    data_centres: 2,
    workers: 6,
};

/// Cuts the two data centres off from each other, workers included.
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

/// Lets all VMs lose power at once and start anew after half a second.
fn restart_all(sim: &mut Sim) {
    for vm in 0..4 {
        sim.kill(vm, true);
    }
    sim.advance(500);
    for vm in 0..4 {
        sim.boot(vm);
    }
}

loads! {
    /// Two data centres were cut off from each other, and each believed the other one to be gone.
    /// When they meet again, neither takes the workers that the other one uses.
    a_healed_cut_leaves_workers_with_their_holders(TWO_DATA_CENTRES) => |sim| {
        cut_data_centres(sim);
        sim.advance(3_000);
        let ids: Vec<_> = (0..4).map(|vm| sim.submit(vm, 1, 900, 0)).collect();
        sim.advance(100);
        let before = sim.acquisitions();
        sim.heal();
        sim.advance(3_000);
        assert_eq!(sim.acquisitions() - before, 0, "take-overs after the cut");
        for id in ids {
            assert_eq!(sim.ledger.jobs[&id].answer, Some(Answer::Completed));
            assert_eq!(sim.ledger.jobs[&id].attempts, 1);
            let took = sim.completed_in(id).expect("it completes");
            assert!(took <= 920, "{took} ms");
        }
    };

    /// All VMs lose power and start anew: as soon as they have heard each other, each cell has its
    /// holder.
    a_cold_start_is_over_soon(TWO_DATA_CENTRES) => |sim| {
        restart_all(sim);
        sim.advance(420);
        assert_eq!(sim.held_workers(), 6);
    };

    /// The same with fencing tokens that are half a minute ahead of the time of day, as after VMs
    /// fought over workers.
    a_cold_start_passes_high_tokens_soon(TWO_DATA_CENTRES) => |sim| {
        sim.raise_tokens(30_000);
        restart_all(sim);
        sim.advance(440);
        assert_eq!(sim.held_workers(), 6);
    };

    /// The VM that holds the workers of a data centre falls silent: jobs that come before that is
    /// certain go elsewhere.
    a_silent_holder_gets_no_new_jobs(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let entry = 2 - holder;
        sim.kill(holder, true);
        sim.advance(300);
        let ids: Vec<_> = (0..6).map(|_| sim.submit(entry, 2, 100, 0)).collect();
        sim.advance(2_000);
        for id in ids {
            assert_eq!(sim.ledger.jobs[&id].answer, Some(Answer::Completed));
            assert_eq!(sim.ledger.jobs[&id].attempts, 1);
        }
    };

    /// More jobs come meanwhile than the other data centre can serve: they wait for the next holder.
    jobs_wait_for_the_next_holder(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let entry = 2 - holder;
        sim.kill(holder, true);
        sim.advance(300);
        let ids: Vec<_> = (0..20).map(|_| sim.submit(entry, 2, 400, 0)).collect();
        sim.advance(3_000);
        for id in ids {
            let took = sim.completed_in(id).expect("it completes");
            assert!(took <= 1_900, "{took} ms");
        }
    };

    /// Jobs wait in a data centre that loses most of its workers: those that it can't serve in time
    /// any more are served by the other one.
    a_job_refused_here_is_served_elsewhere(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let ids: Vec<_> = (0..12).map(|_| sim.submit(holder, 2, 600, 0)).collect();
        sim.advance(20);
        for worker in [0, 2] {
            sim.crash_worker(worker);
        }
        sim.advance(4_000);
        let refused = ids.iter().filter(|&&id| sim.refused_after(id).is_some()).count();
        assert_eq!(refused, 0, "refused of {}", ids.len());
    };

    /// A VM stands still for two seconds while its clock goes on, and its peers have been silent
    /// for as long when it wakes up: it does not take that for their end.
    a_vm_that_stood_still_takes_nothing_over(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        sim.freeze(holder, 2_000);
        sim.advance(1_900);
        let before = sim.acquisitions();
        let ids: Vec<_> = [1, 3].map(|vm| sim.submit(vm, 2, 600, 0)).into();
        sim.advance(3_000);
        assert_eq!(sim.acquisitions() - before, 0, "take-overs when it woke up");
        for id in ids {
            assert_eq!(sim.ledger.jobs[&id].attempts, 1);
            let took = sim.completed_in(id).expect("it completes");
            assert!(took <= 620, "{took} ms");
        }
    };

    /// The same for a little less time than its peers take to give it up.
    a_short_standstill_takes_nothing_over(TWO_DATA_CENTRES) => |sim| {
        for vm in 0..4 {
            let before = sim.takeovers_of(vm);
            sim.freeze(vm, 350);
            sim.advance(1_500);
            assert_eq!(sim.takeovers_of(vm) - before, 0, "take-overs of VM {vm}");
        }
    };

    /// The store brings a large configuration to one VM only: the others get it from a peer within a
    /// second, each about once.
    a_configuration_spreads_without_the_store(TWELVE_VMS) => |sim| {
        sim.change_queues_at(&[0]);
        sim.advance(1_000);
        assert_eq!(sim.versions(), [2; 12]);
        assert!(sim.queues_sent <= 22, "sent {} times", sim.queues_sent);
    };

    /// It brings it to all: none is sent between VMs.
    a_configuration_from_the_store_is_not_sent_on(TWELVE_VMS) => |sim| {
        sim.change_queues();
        sim.advance(1_000);
        assert_eq!(sim.versions(), [2; 12]);
        assert_eq!(sim.queues_sent, 0);
    };
}
