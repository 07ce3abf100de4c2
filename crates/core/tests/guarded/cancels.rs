//! Jobs that a client cancels while they are in progress.

use crate::sim::{EQUAL, JobShape, MS, Shape, Sim};
use cardamomslip_core::guarded::model::answer::{Answer, RefusalCause};
use cardamomslip_core::guarded::model::cancel::CancelOutcome;
use cardamomslip_core::guarded::model::ids::ClientJobId;
use cardamomslip_core::model::ids::CallId;

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
/// As many VMs as the largest deployments have, in four data centres. Most are not connected to each
/// other.
const LARGE: Shape = Shape {
    vms: 43,
    data_centres: 4,
    workers: 12,
    weights: EQUAL,
};
/// Time within which each cancellation must be answered, in milliseconds.
const ACK_LIMIT: u64 = 4_000;
/// Time for which late copies of a cancelled submission arrive, in milliseconds.
const COPY_TIME: u64 = 6_000;
/// Upper bounds of the rows in messages about a cancellation: of a job that no VM knows, so that all are
/// asked once, and of a job whose entry is asked.
const MAX_ROWS: u64 = 120;
const MAX_KNOWN_ROWS: u64 = 80;
/// Number of DELETEs of unknown ids that one VM gets within a second.
const FLOOD: u64 = 4_000;
/// Number of times that a VM may ask all others within a second: 1,024 at once, and 512 a second.
const MAX_ASKED: u64 = 1_024 + 512;
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

/// Cancels a job, waits for the acknowledgement, and returns the outcome and the time that it took.
fn cancel_and_wait(sim: &mut Sim, id: ClientJobId, vm: usize) -> (CancelOutcome, u64) {
    let (call, began) = (sim.cancel(id, vm), sim.now);
    wait_for_ack(sim, call, began)
}

fn wait_for_ack(sim: &mut Sim, call: CallId, began: u64) -> (CancelOutcome, u64) {
    while !sim.cancel_acks.contains_key(&call) {
        assert!(sim.now < began + ACK_LIMIT * MS, "no acknowledgement");
        sim.advance(1);
    }
    let (outcome, at) = sim.cancel_acks[&call];
    (outcome, (at - began) / MS)
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
            let (outcome, ms) = cancel_and_wait(sim, id, vm);
            assert_eq!(outcome, CancelOutcome::Cancelled);
            assert!(ms < 10, "acknowledged after {ms} ms");
            assert_cancelled(sim, id);
        }
    };

    /// Guards against a job that goes on because another VM was told of its cancellation.
    a_job_is_cancelled_at_any_vm(MANY_VMS) => |sim| {
        for vm in 0..12 {
            let entry = (vm + 5) % 12;
            let id = submit(sim, entry);
            let (outcome, ms) = cancel_and_wait(sim, id, vm);
            assert_eq!(outcome, CancelOutcome::Cancelled, "at VM {vm}");
            assert!(ms < 10, "acknowledged after {ms} ms");
            assert_cancelled(sim, id);
        }
    };

    /// Guards against a job that runs in another data centre and goes on because a VM was told of its
    /// cancellation that is connected neither to its entry nor to its runner.
    a_job_that_runs_elsewhere_is_cancelled_at_any_vm(WORKER_ELSEWHERE) => |sim| {
        for pair in 0..12 {
            let (vm, entry) = (2 * pair + 1, (2 * pair + 11) % 24);
            let id = submit(sim, entry);
            let (outcome, ms) = cancel_and_wait(sim, id, vm);
            assert_eq!(outcome, CancelOutcome::Cancelled, "at VM {vm}");
            assert!(ms < 10, "acknowledged after {ms} ms");
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
        assert_eq!(cancel_and_wait(sim, id, 0).0, CancelOutcome::Unknown);
    };

    /// Guards against a job that goes on because its client had moved to another data centre, where no VM
    /// is connected to its entry.
    a_job_is_cancelled_in_any_data_centre(LARGE) => |sim| {
        for vm in (0..43).step_by(5) {
            let id = submit(sim, (vm + 1 + vm % 3) % 43);
            let (outcome, ms) = cancel_and_wait(sim, id, vm);
            assert_eq!(outcome, CancelOutcome::Cancelled, "at VM {vm}");
            assert!(ms < 10, "acknowledged after {ms} ms");
            assert_cancelled(sim, id);
        }
    };

    /// Guards against a second cancellation that is acknowledged although no VM cancelled the job.
    an_unknown_job_is_unknown_each_time(LARGE) => |sim| {
        for vm in [0, 9, 22, 41, 42] {
            for _ in 0..2 {
                let (outcome, ms) = cancel_and_wait(sim, ClientJobId(9_000), vm);
                assert_eq!(outcome, CancelOutcome::Unknown, "at VM {vm}");
                assert!(ms < 100, "acknowledged after {ms} ms");
            }
        }
    };

    /// Guards against a repeated cancellation that is answered as if the job had not been known, because
    /// the first acknowledgement was lost.
    a_second_cancellation_has_the_same_outcome(LARGE) => |sim| {
        let id = submit(sim, 3);
        sim.cancel(id, 9);
        sim.advance(CANCEL_TIME);
        for vm in [9, 3, 0, 14, 42] {
            let (outcome, _) = cancel_and_wait(sim, id, vm);
            assert_eq!(outcome, CancelOutcome::Cancelled, "at VM {vm}");
        }
    };

    /// Guards against a copy of a cancelled submission that starts at a VM of any data centre.
    a_late_copy_does_not_start(LARGE) => |sim| {
        let id = submit(sim, 3);
        cancel_and_wait(sim, id, 3);
        sim.advance(CANCEL_TIME);
        let before = starts(sim);
        for vm in 0..43 {
            sim.submit_again(id, vm);
            sim.advance(COPY_TIME / 43);
            assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Cancelled), "at VM {vm}");
        }
        assert_eq!(starts(sim), before);
    };

    /// Guards against a submission that starts after its cancellation, which overtook it, was answered
    /// as unknown. It is not answered as a job that was ended.
    a_submission_after_its_cancellation_is_refused(LARGE) => |sim| {
        let next = ClientJobId(1);
        assert_eq!(cancel_and_wait(sim, next, 9).0, CancelOutcome::Unknown);
        for vm in [9, 3, 0, 14, 42] {
            if sim.history.jobs.is_empty() {
                assert_eq!(sim.submit(vm, 2, 100, 0), next);
            } else {
                sim.submit_again(next, vm);
            }
            sim.advance(500);
            let answer = sim.history.jobs[&next].answer;
            let is_refused = |cause| cause == RefusalCause::CancelledBefore;
            assert!(
                matches!(answer, Some(Answer::Refused { cause, .. }) if is_refused(cause)),
                "{answer:?} at VM {vm}"
            );
        }
        assert_eq!(starts(sim), 0);
    };

    /// Guards against marks that outlive the time of late copies: ids may be used again.
    a_mark_expires(ONE_DATA_CENTRE) => |sim| {
        let next = ClientJobId(1);
        cancel_and_wait(sim, next, 2);
        sim.advance(COPY_TIME + ACK_LIMIT);
        assert_eq!(sim.submit(1, 2, 100, 0), next);
        sim.advance(1_000);
        assert_eq!(sim.history.jobs[&next].answer, Some(Answer::Completed));
    };

    /// Guards against a cancellation that is answered as unknown while a data centre that may know the
    /// job is cut off, and against waiting for that data centre if the job was found.
    a_job_in_a_data_centre_that_is_cut_off_is_not_unknown(LARGE) => |sim| {
        let far = submit(sim, 3);
        for other in 0..3 {
            sim.cut_data_centres(3, other);
        }
        let began = sim.now;
        let (outcome, _) = cancel_and_wait(sim, far, 8);
        assert_eq!(outcome, CancelOutcome::Incomplete);
        assert!(sim.now < began + 3_000 * MS);
        sim.advance(1_000);
        let near = submit(sim, 1);
        let (outcome, ms) = cancel_and_wait(sim, near, 8);
        assert_eq!(outcome, CancelOutcome::Cancelled);
        assert!(ms < 100, "acknowledged after {ms} ms");
        sim.heal();
        sim.advance(2_000);
        // The VMs there have learned of the cancellation since.
        sim.submit_again(near, 7);
        sim.advance(500);
        assert_eq!(sim.history.jobs[&near].answer, Some(Answer::Cancelled));
    };

    /// Guards against a VM that was frozen and answers that a job is unknown before its connections are
    /// up again.
    a_job_is_cancelled_at_a_frozen_vm(LARGE) => |sim| {
        for (vm, ms) in [(9, 1_000), (0, 1_000), (14, 300), (42, 1_000), (1, 600)] {
            let id = submit(sim, 3);
            sim.freeze(vm, ms);
            sim.advance(200);
            let (outcome, _) = cancel_and_wait(sim, id, vm);
            assert_eq!(outcome, CancelOutcome::Cancelled, "at VM {vm}");
            assert_cancelled(sim, id);
            sim.advance(2_000);
        }
    };

    /// Guards against a cancellation that is lost with the relay that passes it on.
    a_cancellation_outlives_a_relay(LARGE) => |sim| {
        for (rank, data_centre) in [(0, 1), (1, 1), (0, 3), (1, 3)] {
            for after in [1, 3] {
                let id = submit(sim, 7);
                let (call, began) = (sim.cancel(id, 37), sim.now);
                sim.advance(after);
                let relay = sim.ranked_vm(data_centre, rank).expect("a relay");
                sim.kill(relay, true);
                let (outcome, _) = wait_for_ack(sim, call, began);
                // The job may have ended with the relay, if that was its runner.
                let is_lost = matches!(sim.history.jobs[&id].answer, Some(Answer::Lost(_)));
                assert!(outcome == CancelOutcome::Cancelled || is_lost, "{outcome:?}");
                sim.advance(CANCEL_TIME);
                let before = starts(sim);
                sim.advance(2_000);
                assert_eq!(starts(sim), before, "starts after the cancellation");
                sim.boot(relay);
                sim.advance(2_500);
            }
        }
    };

    /// Guards against an acknowledgement while the runner may still start tasks: it is given when the
    /// leases of a runner that does not answer have ended.
    a_silent_runner_is_waited_for(WORKER_ELSEWHERE) => |sim| {
        let id = submit(sim, 1);
        let holders = sim.holders();
        sim.kill(holders[0], true);
        let (outcome, ms) = cancel_and_wait(sim, id, 1);
        assert_eq!(outcome, CancelOutcome::Cancelled);
        assert!((1_000..1_500).contains(&ms), "acknowledged after {ms} ms");
        assert_eq!(running(sim), 0);
    };

    /// Guards against messages that grow with the square of the number of VMs. Load: up to 900 jobs per
    /// second of which 40% are cancelled, for 6 s, in the largest deployments.
    cancellations_cost_a_bounded_number_of_rows(LARGE) => |sim| {
        let jobs = 360;
        let before = sim.cancel_rows;
        for i in 0..jobs {
            sim.cancel(ClientJobId(9_000 + i), i as usize % 43);
            sim.advance(2);
        }
        sim.advance(1_000);
        let rows = (sim.cancel_rows - before) / jobs;
        assert!(rows < MAX_ROWS, "{rows} rows per cancellation of an unknown job");
        assert_eq!(sim.cancel_acks.len() as u64, jobs);
        let mut rows = 0;
        for vm in 0..8 {
            let id = submit(sim, vm);
            let before = sim.cancel_rows;
            cancel_and_wait(sim, id, vm);
            sim.advance(CANCEL_TIME);
            rows += sim.cancel_rows - before;
        }
        let rows = rows / 8;
        assert!(rows < MAX_KNOWN_ROWS, "{rows} rows per cancellation of a known job");
    };

    /// Guards against a client that makes the whole system work by DELETEs of unknown ids at one VM. A
    /// job that a VM near knows is cancelled meanwhile, and so is any job at another VM.
    a_flood_of_cancellations_asks_a_bounded_number_of_times(LARGE) => |sim| {
        for i in 0..FLOOD {
            sim.cancel(ClientJobId(9_000 + i), 9);
            if i % 4 == 3 {
                sim.advance(1);
            }
        }
        let asked = sim.stats_of(9).cancels_passed_on;
        assert!(asked <= MAX_ASKED, "{asked} times");
        for (entry, vm) in [(5, 9), (3, 10)] {
            let id = submit(sim, entry);
            for i in 0..FLOOD / 40 {
                sim.cancel(ClientJobId(20_000 + i), 9);
            }
            assert_eq!(cancel_and_wait(sim, id, vm).0, CancelOutcome::Cancelled);
        }
        sim.advance(ACK_LIMIT);
        assert_eq!(sim.cancel_acks.len() as u64, FLOOD + FLOOD / 20 + 2);
        // One that all VMs can be asked for again.
        assert_eq!(cancel_and_wait(sim, ClientJobId(8_000), 9).0, CancelOutcome::Unknown);
    };
}
