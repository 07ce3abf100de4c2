//! Evacuations of data centres: what starts there, where jobs go, and who learns of them.

use crate::sim::{EQUAL, JobShape, Shape, Sim};
use cardamomslip_core::guarded::model::answer::{Answer, RefusalCause};

/// Two data centres with three VMs and four workers each. VMs and workers with even numbers are in the
/// first one.
const TWO_DATA_CENTRES: Shape = Shape {
    vms: 6,
    data_centres: 2,
    workers: 8,
    weights: EQUAL,
};
/// All VMs of `TWO_DATA_CENTRES`.
const ALL: &[usize] = &[0, 1, 2, 3, 4, 5];
/// Time in which an evacuation may take effect, in milliseconds.
const EVACUATION_TIME: u64 = 5_000;
/// Time in which jobs that have begun may start their remaining tasks, and messages, in milliseconds.
const SETTLING_TIME: u64 = 1_100;

/// Returns the number of starts in a data centre.
fn starts(sim: &Sim, data_centre: usize) -> u64 {
    let workers = sim.workers.iter().skip(data_centre).step_by(2);
    workers.map(|worker| worker.started).sum()
}

/// Submits jobs of two tasks of 100 ms through the VMs in turn, one each 30 ms. One data centre has room for
/// them.
fn load(sim: &mut Sim, ms: u64) -> Vec<cardamomslip_core::guarded::model::ids::ClientJobId> {
    let rounds = 0..usize::try_from(ms / 30).expect("a small number");
    let jobs = rounds.map(|round| {
        let id = sim.submit(round % 6, 2, 100, 0);
        sim.advance(30);
        id
    });
    jobs.collect()
}

simulation_tests! {
    /// Guards against starts in an evacuated data centre while clients go on calling its VMs. Their jobs
    /// complete elsewhere, and in both data centres once the evacuation has ended.
    an_evacuated_data_centre_gets_no_new_runs(TWO_DATA_CENTRES) => |sim| {
        load(sim, 500);
        assert!(starts(sim, 0) > 0);
        sim.set_evacuated(0, true, ALL);
        sim.advance(SETTLING_TIME);
        let before = starts(sim, 0);
        let jobs = load(sim, 4_000);
        sim.advance(1_000);
        assert_eq!(starts(sim, 0), before);
        let completed = jobs.iter().filter(|&&id| sim.completed_in(id).is_some()).count();
        assert_eq!(completed, jobs.len());
        sim.set_evacuated(0, false, ALL);
        load(sim, 1_000);
        assert!(starts(sim, 0) > before);
    };

    /// Guards against jobs that wait for workers of an evacuated data centre: they run elsewhere at
    /// once, though their own data centre was full.
    jobs_that_wait_move(TWO_DATA_CENTRES) => |sim| {
        let long = JobShape { tasks: 8, work_ms: 900, client_timeout_ms: 3_000, ..JobShape::default() };
        sim.submit_shape(0, long);
        sim.submit_shape(1, long);
        sim.advance(20);
        let waiting: Vec<_> = (0..2).map(|_| sim.submit(0, 2, 100, 0)).collect();
        sim.set_evacuated(0, true, ALL);
        sim.advance(3_000);
        for id in waiting {
            assert!(sim.completed_in(id).is_some(), "answer: {:?}", sim.history.jobs[&id].answer);
        }
    };

    /// Guards against a job that is left half done: its remaining tasks may start for a moment.
    a_job_that_has_begun_ends(TWO_DATA_CENTRES) => |sim| {
        let shape = JobShape { tasks: 12, work_ms: 200, client_timeout_ms: 3_000, ..JobShape::default() };
        let id = sim.submit_shape(0, shape);
        sim.advance(50);
        sim.set_evacuated(0, true, ALL);
        sim.advance(2_000);
        assert!(sim.completed_in(id).is_some(), "answer: {:?}", sim.history.jobs[&id].answer);
        assert_eq!(sim.history.jobs[&id].submissions, 1);
    };

    /// Guards against VMs without the store that go on starting tasks: their peers tell them.
    vms_without_the_store_learn_it_from_peers(TWO_DATA_CENTRES) => |sim| {
        load(sim, 500);
        sim.set_evacuated(0, true, &[5]);
        sim.advance(EVACUATION_TIME);
        let before = starts(sim, 0);
        load(sim, 1_000);
        assert_eq!(starts(sim, 0), before);
        sim.set_evacuated(0, false, &[5]);
        load(sim, 2_000);
        assert!(starts(sim, 0) > before);
    };

    /// Guards against a restarted VM that can't read the store and begins to use the workers again.
    a_restarted_vm_learns_it_from_peers(TWO_DATA_CENTRES) => |sim| {
        sim.set_evacuated(0, true, ALL);
        sim.advance(SETTLING_TIME);
        sim.configuration_unavailable = true;
        for vm in [0, 2, 4] {
            sim.kill(vm, false);
            sim.boot(vm);
            sim.advance(200);
        }
        let before = starts(sim, 0);
        load(sim, 3_000);
        assert_eq!(starts(sim, 0), before);
    };

    /// Guards against an old state that a VM read before it was cut off from the store and passes on
    /// after the evacuation has ended.
    an_older_state_does_not_replace_a_newer_one(TWO_DATA_CENTRES) => |sim| {
        sim.set_evacuated(0, true, ALL);
        sim.advance(SETTLING_TIME);
        sim.set_evacuated(0, false, &[0, 1, 2, 3, 4]);
        sim.advance(EVACUATION_TIME);
        let before = starts(sim, 0);
        load(sim, 1_000);
        assert!(starts(sim, 0) > before);
    };

    /// Guards against a wrong answer when no data centre is left: the job is refused and has not run.
    a_job_is_refused_if_all_data_centres_are_evacuated(TWO_DATA_CENTRES) => |sim| {
        sim.set_evacuated(0, true, ALL);
        sim.set_evacuated(1, true, ALL);
        sim.advance(SETTLING_TIME);
        let before = starts(sim, 0) + starts(sim, 1);
        let id = sim.submit(0, 2, 100, 0);
        sim.advance(900);
        let answer = sim.history.jobs[&id].answer;
        let causes = [RefusalCause::Evacuated, RefusalCause::NoRunner];
        assert!(matches!(answer, Some(Answer::Refused { cause, .. }) if causes.contains(&cause)), "{answer:?}");
        assert_eq!(starts(sim, 0) + starts(sim, 1), before);
    };
}
