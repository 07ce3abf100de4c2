//! Faults of real processes: kills, freezes, cuts, silent connections, outages of the platform and
//! graceful stops. Starts are counted at the executors; every wait is for a condition.

mod fleet;
mod relay;

use cardamomslip_test::cluster::wait_until;
use cardamomslip_test::executor::ExecutorFaults;
use cardamomslip_test::platform::PlatformFaults;
use fleet::{Fleet, VMS, assert_complete, job};
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;

/// Time for which a process is frozen on top of all else: more than any of its timeouts.
const FREEZE: Duration = Duration::from_millis(3_500);

/// Names each test and gives it a fleet of its own.
macro_rules! process_tests {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let body: fn(&mut Fleet) = $body;
            let mut fleet = Fleet::start(stringify!($name));
            body(&mut fleet);
            assert_eq!(fleet.double_starts(), Vec::<String>::new(), "double starts");
        })*
    };
}

process_tests! {
    /// The death of an entry VM fails the jobs that it issued, once it is replaced, and no others.
    killed_issuer_fails_only_its_jobs => |fleet| {
        let (lost, kept) = (fleet.take_id(0), fleet.take_id(1));
        fleet.submit(0, &lost, &job(4, 2_000));
        fleet.submit(1, &kept, &job(4, 2_000));
        fleet.wait_running(8);
        fleet.signal(0, Signal::KILL);
        fleet.wait_exit(0);
        let unknown = fleet.submit(2, &lost, &job(4, 2_000));
        assert_eq!(unknown.body["ran"], "unknown", "{}", unknown.body);
        fleet.spawn(0);
        let answer = fleet.final_answer(3, &lost);
        assert_eq!(answer["reason"], "issuer_lost", "{answer}");
        assert_eq!(answer["ran"], "may_have_run", "{answer}");
        assert_complete(&fleet.final_answer(3, &kept), 4);
    };

    /// A VM that is frozen past every timeout and wakes up starts nothing twice, and its jobs get
    /// one answer.
    frozen_issuer_wakes_up => |fleet| {
        let id = fleet.take_id(0);
        fleet.submit(0, &id, &job(6, 300));
        fleet.wait_running(1);
        fleet.signal(0, Signal::STOP);
        let others = |fleet: &Fleet| (1..VMS).all(|i| fleet.peers(i) == Some(VMS - 2));
        wait_until("the frozen VM left out", || others(fleet)).expect("a smaller fleet");
        let unknown = fleet.submit(2, &id, &job(6, 300));
        assert_eq!(unknown.body["ran"], "unknown", "{}", unknown.body);
        let other = fleet.take_id(1);
        fleet.submit(1, &other, &job(20, 50));
        assert_complete(&fleet.final_answer(2, &other), 20);
        // Every timeout of the frozen process lapses, that of its starts included.
        std::thread::sleep(FREEZE);
        fleet.signal(0, Signal::CONT);
        fleet.wait_connected();
        let answer = fleet.final_answer(3, &id);
        assert_eq!(answer, fleet.final_answer(1, &id));
        if answer["status"] == "complete" {
            assert_complete(&answer, 6);
        } else {
            assert_eq!(answer["reason"], "outcome_lost", "{answer}");
            assert_eq!(answer["ran"], "may_have_run", "{answer}");
        }
    };

    /// Data centres that are cut off from each other serve what they can and find together again.
    cut_between_data_centres => |fleet| {
        let id = fleet.take_id(0);
        for i in 0..VMS {
            fleet.relay(i).set_cut(true);
        }
        wait_until("all VMs alone", || (0..VMS).all(|i| fleet.peers(i) == Some(0)))
            .expect("a cut fleet");
        let unknown = fleet.submit(2, &id, &job(5, 20));
        assert_eq!(unknown.body["ran"], "unknown", "{}", unknown.body);
        for i in 0..VMS {
            let own = fleet.take_id(i);
            fleet.submit(i, &own, &job(30, 20));
            assert_complete(&fleet.final_answer(i, &own), 30);
        }
        for i in 0..VMS {
            fleet.relay(i).set_cut(false);
        }
        fleet.wait_connected();
        fleet.submit(2, &id, &job(5, 20));
        assert_complete(&fleet.final_answer(3, &id), 5);
    };

    /// Open connections between peers that carry nothing any more are replaced by new ones.
    silent_peer_connections => |fleet| {
        let id = fleet.take_id(0);
        fleet.submit(0, &id, &job(20, 100));
        for i in 0..VMS {
            fleet.relay(i).silence_open();
        }
        wait_until("the silence noticed", || (0..VMS).any(|i| fleet.peers(i) != Some(VMS - 1)))
            .expect("fewer peers");
        fleet.wait_connected();
        assert_complete(&fleet.final_answer(3, &id), 20);
    };

    /// Without the platform jobs are served; what needs its store is refused as unknown.
    platform_outage => |fleet| {
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        let id = fleet.take_id(0);
        fleet.submit(1, &id, &job(40, 20));
        assert_complete(&fleet.final_answer(2, &id), 40);
        let keyed = fleet.caller(0).post("/v1/jobs?wait_ms=1000", &job(2, 20), Some("key"));
        let keyed = keyed.expect("an answer");
        assert_eq!((keyed.status, &keyed.body["ran"]), (503, &json!("unknown")), "{}", keyed.body);
        let change = json!({"base": 1, "why": "test", "name": "peak"});
        let refused = fleet.operator(0).post("/v1/operator/preset", &change, None);
        assert_eq!(refused.expect("an answer").status, 503);
        fleet.platform.set_faults(PlatformFaults::default());
        let keyed = fleet.caller(1).post("/v1/jobs?wait_ms=20000", &job(2, 20), Some("key"));
        assert_complete(&keyed.expect("an answer").body, 2);
        let applied = fleet.operator(0).post("/v1/operator/preset", &change, None);
        let applied = applied.expect("an answer");
        assert!(applied.is_success(), "{}", applied.body);
        wait_until("the preset in force everywhere", || {
            (0..VMS).all(|i| {
                let status = fleet.operator(i).get("/v1/operator/status");
                status.is_ok_and(|status| status.body["preset"] == "peak")
            })
        })
        .expect("the preset");
    };

    /// A reply of the store that is lost after its effect is settled by reading back.
    lost_store_replies => |fleet| {
        let lose = PlatformFaults { lose_replies: 1, ..PlatformFaults::default() };
        fleet.platform.set_faults(lose);
        let body = json!({"base": 1, "why": "test", "name": "peak"});
        let applied = fleet.operator(0).post("/v1/operator/preset", &body, None);
        let applied = applied.expect("an answer");
        assert_eq!(applied.body["version"], 2, "{}", applied.body);
        fleet.platform.set_faults(lose);
        let first = fleet.caller(0).post("/v1/jobs?wait_ms=20000", &job(3, 20), Some("key"));
        let second = fleet.caller(2).post("/v1/jobs?wait_ms=20000", &job(3, 20), Some("key"));
        let (first, second) = (first.expect("an answer"), second.expect("an answer"));
        assert_complete(&first.body, 3);
        assert_eq!(first.body, second.body);
    };

    /// SIGTERM under load: nothing in flight is cut off, the outcomes stay available, the usage
    /// report is complete and the exit code is 0.
    graceful_stop_under_load => |fleet| {
        let jobs: Vec<_> = (0..6).map(|_| fleet.take_id(0)).collect();
        let unused = fleet.take_id(0);
        for id in &jobs {
            fleet.submit(0, id, &job(10, 200));
        }
        fleet.wait_running(1);
        fleet.signal(0, Signal::TERM);
        assert!(fleet.wait_exit(0).success());
        for id in &jobs {
            assert_complete(&fleet.final_answer(3, id), 10);
        }
        let refused = fleet.submit(2, &unused, &job(1, 20));
        assert_eq!(refused.body["ran"], "not_run", "{}", refused.body);
        let counted: u64 = fleet.executors.iter().flat_map(|row| row.counts().slot_us.into_values()).sum();
        let reports = fleet.platform.values("cardamomslip/usage/");
        let lines = reports.iter().flat_map(|report| report["lines"].as_array().cloned());
        let settled = lines.flatten().filter_map(|line| line["settled_us"].as_u64()).sum::<u64>();
        assert_eq!(counted, settled);
        assert!(reports.iter().any(|report| report["closed"] == true));
    };

    /// A second signal ends a stop that waits for a long task.
    second_signal_ends_at_once => |fleet| {
        let id = fleet.take_id(0);
        fleet.submit(0, &id, &job(1, 600_000));
        fleet.wait_running(1);
        fleet.signal(0, Signal::TERM);
        wait_until("the stop begun", || {
            let status = fleet.operator(0).get("/v1/operator/status");
            status.is_ok_and(|status| status.body["phase"] == "draining")
        })
        .expect("a draining daemon");
        fleet.signal(0, Signal::TERM);
        fleet.wait_exit(0);
    };

    /// A silent executor costs its tasks, whose jobs fail as a whole; the rest goes on.
    silent_executor => |fleet| {
        let silent = ExecutorFaults { silent: true, ..ExecutorFaults::default() };
        fleet.executors[0].set_faults(silent);
        let id = fleet.take_id(0);
        fleet.submit(0, &id, &job(32, 100));
        let answer = fleet.final_answer(2, &id);
        assert_eq!(answer["reason"], "outcome_lost", "{answer}");
        assert_eq!(answer["ran"], "may_have_run", "{answer}");
        fleet.executors[0].set_faults(ExecutorFaults::default());
        let next = fleet.take_id(1);
        fleet.submit(1, &next, &job(10, 20));
        assert_complete(&fleet.final_answer(3, &next), 10);
    };

    /// An executor that is leaving gets no start after it said so once to each VM.
    leaving_executor => |fleet| {
        let leaving = ExecutorFaults { leaving: true, ..ExecutorFaults::default() };
        fleet.executors[0].set_faults(leaving);
        for round in 0..4 {
            for i in 0..VMS {
                let id = fleet.take_id(i);
                fleet.submit(i, &id, &job(32, 10));
                assert_complete(&fleet.final_answer((i + round) % VMS, &id), 32);
            }
        }
        let counts = fleet.executors[0].counts();
        let most = 8 * VMS as u64;
        assert!(counts.refused_leaving <= most, "{} starts refused", counts.refused_leaving);
        assert_eq!(counts.starts, 0);
    };
}
