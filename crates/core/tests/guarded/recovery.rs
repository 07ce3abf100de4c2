//! Named faults and what comes after them: who keeps its work, and how soon all are served again.

use crate::sim::{Shape, Sim};
use cardamomslip_core::guarded::model::answer::Answer;

/// Two data centres with two VMs and three workers each.
const TWO_DATA_CENTRES: Shape = Shape {
    vms: 4,
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

loads! {
    /// Two data centres were cut off from each other, and each believed the other one to be gone.
    /// When they meet again, neither takes the workers that the other one uses.
    a_healed_cut_leaves_workers_with_their_holders(TWO_DATA_CENTRES) => |sim| {
        cut_data_centres(sim);
        sim.advance(3_000);
        let ids: Vec<_> = (0..4).map(|vm| sim.submit(vm, 1, 900, 0)).collect();
        sim.advance(100);
        let before = sim.takeovers();
        sim.heal();
        sim.advance(3_000);
        assert_eq!(sim.takeovers() - before, 0, "take-overs after the cut");
        for id in ids {
            assert_eq!(sim.ledger.jobs[&id].answer, Some(Answer::Completed));
            assert_eq!(sim.ledger.jobs[&id].attempts, 1);
            let took = sim.completed_in(id).expect("it completes");
            assert!(took <= 920, "{took} ms");
        }
    };
}
