//! Load and fault scenarios: which jobs complete, wait or are refused, and where they run.

use crate::sim::{CatchUp, EQUAL, MS, Shape, Sim};
use crate::worker::Behaviour;
use cardamomslip_core::guarded::model::answer::{Answer, LossCause, RefusalCause};
use cardamomslip_core::guarded::model::ids::ClientJobId;
use cardamomslip_core::guarded::policy::Policy;

/// One VM with four workers: eight tasks at a time.
const ONE_VM: Shape = Shape {
    vms: 1,
    data_centres: 1,
    workers: 4,
    weights: EQUAL,
};
/// One data centre with two VMs and three workers.
const TWO_VMS: Shape = Shape {
    vms: 2,
    data_centres: 1,
    workers: 3,
    weights: EQUAL,
};
/// Two VMs and one worker.
const ONE_WORKER: Shape = Shape {
    vms: 2,
    data_centres: 1,
    workers: 1,
    weights: EQUAL,
};
/// Two data centres with two VMs and three workers each.
const TWO_DATA_CENTRES: Shape = Shape {
    vms: 4,
    data_centres: 2,
    workers: 6,
    weights: EQUAL,
};

fn answer(sim: &Sim, id: ClientJobId) -> Option<Answer> {
    sim.history.jobs[&id].answer
}

fn starts(sim: &Sim) -> u64 {
    sim.workers.iter().map(|worker| worker.started).sum()
}

simulation_tests! {
    /// Without other load, a job of 100 ms is answered within 110 ms.
    an_idle_system_adds_little_latency(ONE_VM) => |sim| {
        let id = sim.submit(0, 8, 100, 0);
        sim.advance(1_000);
        let took = sim.completed_in(id).expect("the job completes");
        assert!(took <= 110, "the job took {took} ms");
    };

    /// In a burst of six times the capacity, short urgent jobs run first although they arrive last.
    a_burst_serves_jobs_with_little_slack_first(ONE_VM) => |sim| {
        for _ in 0..6 {
            sim.submit(0, 8, 300, 2);
        }
        let urgent: Vec<_> = (0..4).map(|_| sim.submit(0, 2, 60, 0)).collect();
        sim.advance(2_400);
        for id in urgent {
            let took = sim.completed_in(id).expect("the job completes");
            assert!(took <= 500, "the job took {took} ms");
        }
    };

    /// A job whose estimate exceeds its client's timeout starts on idle workers, also if it arrives
    /// during a stall that ends with a sweep. Guards against a refusal as overloaded by a sweep that
    /// comes before the first dispatch.
    a_job_is_not_refused_before_its_first_dispatch(ONE_VM) => |sim| {
        let id = sim.submit(0, 1, 60_000, 0);
        sim.freeze(0, 40);
        sim.catch_up = Some(CatchUp::BeforeTick);
        sim.advance(60);
        assert_eq!(answer(sim, id), None);
        assert_eq!(starts(sim), 1);
    };

    /// A burst of 60 jobs amounts to 30 s of work. Jobs that can't end within the client's timeout
    /// are refused immediately, with a time after which to try again.
    jobs_that_cannot_end_in_time_are_refused_at_once(ONE_VM) => |sim| {
        let ids: Vec<_> = (0..60).map(|_| sim.submit(0, 8, 500, 1)).collect();
        sim.advance(50);
        let refused = |sim: &Sim| ids.iter().filter(|&&id| matches!(
            answer(sim, id),
            Some(Answer::Refused { cause: RefusalCause::Overloaded, .. })
        )).count();
        let at_once = refused(sim);
        assert!(at_once >= 40, "{at_once} jobs refused within 50 ms");
        sim.advance(4_000);
        let completed = ids.iter().filter(|&&id| sim.completed_in(id).is_some()).count();
        assert!(completed >= 3, "{completed} jobs completed");
    };

    /// While the load exceeds the capacity, jobs that are not going to run are refused early rather
    /// than at their client's timeout.
    a_long_burst_is_refused_early(ONE_VM) => |sim| {
        let mut ids = Vec::new();
        for _ in 0..60 {
            ids.push(sim.submit(0, 4, 300, 1));
            sim.advance(50);
        }
        sim.advance(4_000);
        let refused: Vec<u64> = ids.iter().filter_map(|&id| sim.refused_after(id)).collect();
        let late = refused.iter().filter(|&&after| after > 1_600).count();
        assert!(refused.len() >= 10, "{} jobs refused", refused.len());
        assert!(late * 4 <= refused.len(), "{late} of {} refusals were late", refused.len());
    };

    /// A steady stream of short jobs takes all free capacity, and a partly executed job falls
    /// behind its target. It still completes within its client's timeout.
    a_started_job_behind_its_target_is_not_starved(ONE_VM) => |sim| {
        let late = sim.submit(0, 24, 200, 2);
        for _ in 0..300 {
            sim.submit(0, 2, 60, 0);
            sim.advance(10);
        }
        assert_eq!(answer(sim, late), Some(Answer::Completed));
    };

    /// With one reply in ten lost, the ends of runs still become known soon.
    lost_replies_add_little_latency(ONE_VM) => |sim| {
        sim.lost_reply_ratio = 0.1;
        let ids: Vec<_> = (0..150).map(|_| {
            let id = sim.submit(0, 3, 100, 0);
            sim.advance(70);
            id
        }).collect();
        sim.advance(3_000);
        let mut took: Vec<u64> = ids.iter().filter_map(|&id| sim.completed_in(id)).collect();
        took.sort_unstable();
        assert_eq!(took.len(), ids.len(), "jobs that completed");
        let (median, p90) = (took[took.len() / 2], took[took.len() * 9 / 10]);
        assert!(median <= 130 && p90 <= 350, "median {median} ms, 90% {p90} ms");
    };

    /// A job whose task exceeds the capacity of every worker is refused without a start.
    an_impossible_job_is_refused(ONE_VM) => |sim| {
        let id = sim.submit_sized(0, 1, 100, 17_000);
        sim.advance(20);
        let cause = RefusalCause::Impossible;
        assert!(matches!(answer(sim, id), Some(Answer::Refused { cause: c, .. }) if c == cause));
        assert_eq!(starts(sim), 0);
    };

    /// A worker on which every run fails gets at most 14 runs, and no job fails because of it.
    a_failing_worker_is_ejected(ONE_VM) => |sim| {
        sim.set_behaviour(1, Behaviour::FailAll);
        let ids: Vec<_> = (0..40).map(|_| {
            let id = sim.submit(0, 4, 100, 0);
            sim.advance(80);
            id
        }).collect();
        sim.advance(3_000);
        for id in ids {
            assert!(sim.completed_in(id).is_some(), "answer: {:?}", answer(sim, id));
        }
        let tried = sim.workers[1].started;
        assert!(tried <= 14, "{tried} starts on the failing worker");
    };

    /// Tasks that hang are started on another worker before their client's timeout.
    a_hanging_worker_does_not_block_jobs(ONE_VM) => |sim| {
        sim.set_behaviour(2, Behaviour::Hang);
        let ids: Vec<_> = (0..10).map(|_| {
            let id = sim.submit(0, 4, 100, 0);
            sim.advance(150);
            id
        }).collect();
        sim.advance(3_000);
        for id in ids {
            assert!(sim.completed_in(id).is_some(), "answer: {:?}", answer(sim, id));
        }
    };

    /// A draining worker gets no new runs and completes those in progress.
    a_draining_worker_completes_its_runs(ONE_VM) => |sim| {
        let id = sim.submit(0, 8, 300, 0);
        sim.advance(50);
        sim.drain_worker(0);
        let before = sim.workers[0].started;
        let later = sim.submit(0, 8, 100, 0);
        sim.advance(2_000);
        assert!(sim.completed_in(id).is_some());
        assert!(sim.completed_in(later).is_some());
        assert_eq!(sim.workers[0].started, before);
    };

    /// A worker is replaced by another one at the same address while it is still in the registry.
    /// Its tasks start on other workers, and few further requests are sent to that address.
    a_worker_replaced_at_its_address_gets_few_requests(ONE_VM) => |sim| {
        let id = sim.submit(0, 8, 300, 0);
        sim.advance(100);
        sim.replace_worker(3);
        sim.advance(3_000);
        assert!(sim.completed_in(id).is_some(), "answer: {:?}", answer(sim, id));
        assert!(
            sim.misdirected_requests <= 12,
            "{} requests to worker 3",
            sim.misdirected_requests
        );
    };

    /// A crashed worker refuses connections immediately. A stop that can't be delivered is retried
    /// at intervals, not in a tight loop.
    stops_to_a_crashed_worker_are_retried_at_intervals(ONE_VM) => |sim| {
        let id = sim.submit(0, 8, 900, 0);
        sim.advance(100);
        sim.crash_worker(2);
        sim.abandon(id);
        sim.advance(1_000);
        assert!(
            sim.misdirected_requests <= 60,
            "{} requests to worker 2",
            sim.misdirected_requests
        );
    };

    /// Two VMs that can't reach each other both claim a cell. They don't keep acquiring its workers
    /// from each other.
    partitioned_vms_do_not_keep_acquiring_the_same_workers(TWO_VMS) => |sim| {
        sim.cut(0, 1);
        sim.cut(1, 0);
        sim.advance(6_000);
        assert!(sim.acquisitions() <= 40, "{} acquisitions of 3 workers", sim.acquisitions());
    };

    /// When the entry of a job is lost, the runs of the job end before the client submits it again.
    runs_end_when_their_entry_is_lost(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let entry = 2 - holder;
        sim.submit(entry, 2, 2_000, 0);
        sim.advance(100);
        sim.kill(entry, true);
        let limit = Policy::default().max_orphan_duration().as_millis();
        sim.advance(u64::try_from(limit).expect("the time fits in 64 bits"));
        let running: usize = sim.workers.iter().map(|worker| worker.tasks().count()).sum();
        assert_eq!(running, 0);
    };

    /// When the runner is lost, the client is told immediately, and the first run of the task has
    /// ended before the second one starts.
    a_lost_runner_is_reported_at_once(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let entry = 2 - holder;
        let id = sim.submit(entry, 2, 800, 0);
        sim.advance(100);
        sim.kill(holder, false);
        sim.advance(10);
        assert_eq!(answer(sim, id), Some(Answer::Lost(LossCause::RunnerLost)));
        sim.advance(5_000);
        assert!(sim.completed_in(id).is_some(), "answer: {:?}", answer(sim, id));
    };

    /// When a holder stops gracefully, no job is lost, and its workers continue under the next
    /// holder.
    a_graceful_stop_hands_workers_over(TWO_DATA_CENTRES) => |sim| {
        let holder = sim.holder(0);
        let entry = 2 - holder;
        let mut ids = Vec::new();
        for round in 0..60 {
            if round == 10 {
                sim.stop(holder);
            }
            ids.push(sim.submit(entry, 2, 150, 0));
            sim.advance(60);
        }
        sim.advance(4_000);
        for id in ids {
            assert_eq!(answer(sim, id), Some(Answer::Completed));
            assert_eq!(sim.history.jobs[&id].submissions, 1);
        }
        assert_eq!(sim.holder(0), entry);
    };

    /// A stopping VM accepts short jobs on its open client connections until shortly before it
    /// exits.
    a_stopping_vm_serves_short_jobs(TWO_DATA_CENTRES) => |sim| {
        let vm = sim.holder(0);
        sim.stop(vm);
        let mut ids = Vec::new();
        for _ in 0..90 {
            ids.push(sim.submit(vm, 2, 60, 0));
            sim.advance(50);
        }
        sim.advance(2_000);
        for id in ids {
            assert_eq!(answer(sim, id), Some(Answer::Completed));
        }
    };

    /// The holder of all workers stops. Jobs that arrive at the other VM while the workers are
    /// handed over wait and complete.
    jobs_wait_during_a_cell_handover(TWO_VMS) => |sim| {
        let holder = sim.holder(0);
        let entry = 1 - holder;
        let mut ids = Vec::new();
        for round in 0..40 {
            if round == 10 {
                sim.stop(holder);
            }
            ids.push(sim.submit(entry, 2, 150, 0));
            sim.advance(60);
        }
        sim.advance(4_000);
        for id in ids {
            assert_eq!(answer(sim, id), Some(Answer::Completed));
        }
    };

    /// When all VMs start at the same time, each worker is acquired exactly once.
    a_cold_start_acquires_each_worker_once(TWO_DATA_CENTRES) => |sim| {
        sim.advance(3_000);
        assert_eq!(sim.acquisitions(), 6);
    };

    /// A resubmitted job runs on the worker that stopped its first run: the worker accepts only
    /// higher run numbers for the task.
    a_resubmitted_job_runs_on_the_worker_that_stopped_it(ONE_WORKER) => |sim| {
        let holder = sim.holder(0);
        let id = sim.submit(holder, 1, 600, 0);
        sim.advance(100);
        sim.kill(holder, false);
        sim.boot(holder);
        sim.advance(4_000);
        assert!(sim.completed_in(id).is_some(), "answer: {:?}", answer(sim, id));
    };

    /// Jobs beyond the capacity of one data centre run in another one.
    a_full_data_centre_overflows_to_another(TWO_DATA_CENTRES) => |sim| {
        let ids: Vec<_> = (0..6).map(|_| sim.submit(0, 4, 300, 0)).collect();
        sim.advance(2_400);
        for id in ids {
            assert!(sim.completed_in(id).is_some(), "answer: {:?}", answer(sim, id));
        }
        let elsewhere: u64 = [1, 3, 5].iter().map(|&w| sim.workers[w].started).sum();
        assert!(elsewhere >= 4, "{elsewhere} starts elsewhere");
    };

    /// When a client disconnects, the capacity that its job used is freed immediately.
    an_abandoned_job_frees_its_capacity(ONE_VM) => |sim| {
        let id = sim.submit(0, 8, 2_000, 0);
        sim.advance(50);
        sim.abandon(id);
        sim.advance(100);
        let next = sim.submit(0, 8, 100, 0);
        sim.advance(1_000);
        let took = sim.completed_in(next).expect("the job completes");
        assert!(took <= 200, "the job took {took} ms");
    };
}

#[test]
fn orphans_end_before_the_client_submits_again() {
    let policy = Policy::default();
    assert!(policy.max_orphan_duration() < policy.client_resend);
    assert!(
        MS < u64::try_from(policy.client_resend.as_micros()).expect("the time fits in 64 bits")
    );
}
