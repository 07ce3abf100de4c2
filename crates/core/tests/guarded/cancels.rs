//! Jobs that a client cancels while they are in progress.

use crate::sim::{EQUAL, JobShape, Shape, Sim};
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::model::ids::ClientJobId;

const ONE_DATA_CENTRE: Shape = Shape {
    vms: 4,
    data_centres: 1,
    workers: 4,
    weights: EQUAL,
};
/// More VMs than a VM that is neither relay nor standby connects to.
const MANY_VMS: Shape = Shape {
    vms: 12,
    ..ONE_DATA_CENTRE
};
/// The only worker is in the first data centre, so that jobs of the second one run there. Most VMs of
/// a data centre are not connected to each other.
const WORKER_ELSEWHERE: Shape = Shape {
    vms: 24,
    data_centres: 2,
    workers: 1,
    weights: EQUAL,
};
/// Time from a cancellation until the runs have ended, in milliseconds: messages and the stop.
const CANCEL_TIME: u64 = 200;

/// Submits a job of more tasks than the workers have room for.
fn submit(sim: &mut Sim, vm: usize) -> ClientJobId {
    let shape = JobShape {
        tasks: 60,
        work_ms: 700,
        client_timeout_ms: 30_000,
        ..JobShape::default()
    };
    let id = sim.submit_shape(vm, shape);
    // A connection to a holder elsewhere may have to be opened first.
    for _ in 0..20 {
        sim.advance(50);
        if running(sim) > 0 {
            return id;
        }
    }
    panic!("the job did not start");
}

fn running(sim: &Sim) -> usize {
    sim.workers
        .iter()
        .map(crate::worker::ModelWorker::running)
        .sum()
}

fn starts(sim: &Sim) -> u64 {
    sim.workers.iter().map(|worker| worker.started).sum()
}

/// Checks that nothing of a job is left and that its client has the final answer.
fn assert_cancelled(sim: &mut Sim, id: ClientJobId) {
    sim.advance(CANCEL_TIME);
    assert_eq!(running(sim), 0, "runs");
    assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Cancelled));
    let before = starts(sim);
    sim.advance(3_000);
    assert_eq!(starts(sim), before, "starts after the cancellation");
    assert_eq!(sim.history.jobs[&id].submissions, 1);
}

simulation_tests! {
    /// Guards against a job that goes on after its entry acknowledged its cancellation.
    a_job_is_cancelled_at_its_entry(ONE_DATA_CENTRE) => |sim| {
        for vm in 0..4 {
            let id = submit(sim, vm);
            let call = sim.cancel(id, vm);
            assert_cancelled(sim, id);
            assert!(sim.cancel_acks[&call]);
        }
    };

    /// Guards against a job that goes on because another VM was told of its cancellation.
    a_job_is_cancelled_at_any_vm(MANY_VMS) => |sim| {
        for vm in 0..12 {
            let entry = (vm + 5) % 12;
            let id = submit(sim, entry);
            sim.cancel(id, vm);
            assert_cancelled(sim, id);
        }
    };

    /// Guards against a job that runs in another data centre and goes on because a VM was told of its
    /// cancellation that is connected neither to its entry nor to its runner.
    a_job_that_runs_elsewhere_is_cancelled_at_any_vm(WORKER_ELSEWHERE) => |sim| {
        for pair in 0..12 {
            let (vm, entry) = (2 * pair + 1, (2 * pair + 11) % 24);
            let id = submit(sim, entry);
            sim.cancel(id, vm);
            assert_cancelled(sim, id);
        }
    };

    /// Guards against an answer lost in transit that starts a cancelled job again.
    a_cancelled_job_is_not_started_again(ONE_DATA_CENTRE) => |sim| {
        let id = submit(sim, 0);
        sim.cancel(id, 1);
        sim.advance(CANCEL_TIME);
        let before = starts(sim);
        for vm in 0..4 {
            sim.submit_again(id, vm);
            sim.advance(500);
            assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Cancelled));
        }
        assert_eq!(starts(sim), before);
    };

    /// Guards against the cancellation of a job that has ended: its outcome stays as it was.
    a_job_that_has_ended_is_not_cancelled(ONE_DATA_CENTRE) => |sim| {
        let id = sim.submit(0, 2, 100, 0);
        sim.advance(1_000);
        assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Completed));
        let call = sim.cancel(id, 0);
        sim.advance(CANCEL_TIME);
        assert!(!sim.cancel_acks[&call]);
    };
}
