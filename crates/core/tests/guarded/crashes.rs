//! Workers that crash: under a task that crashes each worker, by themselves, or many at once.

use crate::sim::{EQUAL, JobShape, MS, Shape, Sim};
use cardamomslip_core::guarded::model::answer::Answer;
use cardamomslip_core::guarded::model::ids::ClientJobId;

/// One data centre with three VMs and twelve workers.
const TWELVE_WORKERS: Shape = Shape {
    vms: 3,
    data_centres: 1,
    workers: 12,
    weights: EQUAL,
};
/// A job whose first task crashes each worker that starts it. Its client waits for long.
const DEADLY: JobShape = JobShape {
    tasks: 4,
    work_ms: 100,
    cpu_milli: 6_800,
    priority: 0,
    queue: 2,
    client_timeout_ms: 30_000,
    is_deadly: true,
};

/// Returns the number of workers that crashed under the tasks of a job.
fn crashes(sim: &Sim, id: ClientJobId) -> u32 {
    let records = sim.history.crashes.iter();
    let of_job = records.filter(|(task, _)| task.job == id);
    of_job.map(|(_, record)| record.crashes).sum()
}

/// Returns the time from the submission of a job to its answer, in milliseconds.
fn answered_in(sim: &Sim, id: ClientJobId) -> Option<u64> {
    let record = &sim.history.jobs[&id];
    let answered_at = record.answered_at?;
    Some((answered_at - record.submitted_at) / MS)
}

simulation_tests! {
    /// Guards against a task that crashes worker after worker: ends by a crash were not counted.
    a_task_that_crashed_two_workers_is_not_started_again(TWELVE_WORKERS) => |sim| {
        let id = sim.submit_shape(0, DEADLY);
        sim.advance(20_000);
        assert_eq!(crashes(sim, id), 2, "crashed workers");
        assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Failed));
        let took = answered_in(sim, id).expect("the job is answered");
        assert!(took <= 500, "the job was answered after {took} ms");
    };

    /// Guards against jobs that wait for the restart of a crashed worker: the end of its process was
    /// taken for silence.
    runs_on_a_crashed_worker_start_again_at_once(TWELVE_WORKERS) => |sim| {
        let ids: Vec<_> = (0..8).map(|_| sim.submit(0, 2, 200, 0)).collect();
        sim.advance(50);
        for worker in 0..2 {
            sim.crash_and_restart(worker);
            sim.advance(20);
        }
        sim.advance(2_000);
        for id in ids {
            let took = sim.completed_in(id).expect("the job completes");
            assert!(took <= 700, "the job took {took} ms");
        }
    };
}

/// Requests a second of the two kinds in `kinds_under_load`, and the part of the second kind that is
/// deadly: one in this many.
const KIND_INTERVAL_MS: u64 = 50;
const DEADLY_ONE_IN: u64 = 2;
/// Part of the workers that a kind that crashes workers may take, as a divisor.
const CONTAINED_PART: usize = 3;

/// Submits jobs of two kinds for a while, of which the second is partly deadly if `deadly` is set.
/// Returns the jobs of both kinds that are not deadly, and the most workers that were down at once.
fn kinds_under_load(
    sim: &mut Sim,
    rounds: u64,
    deadly: bool,
) -> (Vec<ClientJobId>, Vec<ClientJobId>, usize) {
    let (mut sound, mut mixed) = (Vec::new(), Vec::new());
    let mut most_down = 0;
    let vms = sim.shape().vms;
    for round in 0..rounds {
        let vm = usize::try_from(round).expect("a small number") % vms;
        let shape = JobShape {
            tasks: 2,
            client_timeout_ms: 1_500,
            ..JobShape::default()
        };
        sound.push(sim.submit_shape(vm, shape));
        let is_deadly = deadly && round % DEADLY_ONE_IN == 0;
        let shape = JobShape {
            queue: 2,
            is_deadly,
            ..shape
        };
        let id = sim.submit_shape(vm, shape);
        if !is_deadly {
            mixed.push(id);
        }
        sim.advance(KIND_INTERVAL_MS);
        most_down = most_down.max(sim.crashed_workers());
    }
    (sound, mixed, most_down)
}

fn completed(sim: &Sim, ids: &[ClientJobId]) -> usize {
    let completed = ids.iter().filter(|&&id| sim.completed_in(id).is_some());
    completed.count()
}

simulation_tests! {
    /// Guards against a deadly task that crashes workers anew at another VM: its crashes were known
    /// to one VM only, and lost with it.
    crashes_are_counted_after_the_holder_is_lost(TWELVE_WORKERS) => |sim| {
        for _ in 0..4 {
            let holder = sim.holder(0);
            let entry = (holder + 1) % 3;
            let id = sim.submit_shape(entry, DEADLY);
            sim.advance(14);
            while crashes(sim, id) == 0 {
                sim.advance(1);
            }
            sim.advance(3);
            sim.kill(holder, true);
            sim.advance(9_000);
            assert!(crashes(sim, id) <= 2, "{} workers crashed", crashes(sim, id));
            assert_eq!(sim.history.jobs[&id].answer, Some(Answer::Failed));
            sim.boot(holder);
            sim.advance(2_000);
        }
    };

    /// Guards against a kind of job that takes all workers with it: its crashes were not counted by
    /// kind. The other kind is served, and what is not served of the first one is refused at once.
    a_kind_that_crashes_workers_takes_a_share_of_them(TWELVE_WORKERS) => |sim| {
        let (sound, _, most_down) = kinds_under_load(sim, 200, true);
        sim.advance(4_000);
        let share = sim.shape().workers / CONTAINED_PART;
        assert!(most_down <= share + 1, "{most_down} workers down at once");
        let served = completed(sim, &sound);
        assert!(served * 100 >= sound.len() * 95, "{served} of {} completed", sound.len());
    };

    /// Guards against a contained kind that stays contained: the share opens again when its tasks
    /// end well.
    a_contained_kind_is_released_when_its_tasks_end_well(TWELVE_WORKERS) => |sim| {
        kinds_under_load(sim, 100, true);
        kinds_under_load(sim, 120, false);
        let (_, recovered, _) = kinds_under_load(sim, 60, false);
        sim.advance(2_000);
        let served = completed(sim, &recovered);
        assert_eq!(served, recovered.len(), "jobs of the released kind that completed");
    };
}
