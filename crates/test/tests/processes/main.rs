//! Fault tests with real daemon processes: killed and frozen processes, network partitions,
//! connections that stop carrying data, platform outages and graceful shutdowns. Starts are counted
//! by the executors. Tests wait for conditions rather than for fixed times.

mod fleet;
mod relay;

use cardamomslip_test::cluster::wait_until;
use cardamomslip_test::executor::ExecutorFaults;
use cardamomslip_test::platform::PlatformFaults;
use fleet::{Fleet, VMS, assert_complete, job};
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;

/// Additional time for which a process stays frozen: longer than any of its timeouts.
const FREEZE_TIME: Duration = Duration::from_millis(3_500);

/// Generates one test per case, each with its own fleet, and checks at its end that no task was
/// started twice. The name of the test is part of the VMs' names, from which their ids are hashed.
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
    /// When an entry VM is killed, the jobs with ids that it issued fail once it is replaced; other
    /// jobs are not affected.
    killed_issuer_fails_only_its_jobs => |fleet| {
        let (lost, kept) = (fleet.issue_id(0), fleet.issue_id(1));
        fleet.submit(0, &lost, &job(4, 2_000));
        fleet.submit(1, &kept, &job(4, 2_000));
        fleet.wait_running(8);
        fleet.signal(0, Signal::KILL);
        fleet.wait_exit(0);
        let unknown = fleet.submit(2, &lost, &job(4, 2_000));
        assert_eq!(unknown.body["ran"], "unknown", "{}", unknown.body);
        fleet.launch(0);
        let response = fleet.final_response(3, &lost);
        assert_eq!(response["reason"], "issuer_lost", "{response}");
        assert_eq!(response["ran"], "may_have_run", "{response}");
        assert_complete(&fleet.final_response(3, &kept), 4);
    };

    /// A VM that resumes after being frozen for longer than every timeout starts no task twice, and
    /// all VMs report the same outcome for its jobs.
    frozen_issuer_wakes_up => |fleet| {
        let id = fleet.issue_id(0);
        fleet.submit(0, &id, &job(6, 300));
        fleet.wait_running(1);
        fleet.signal(0, Signal::STOP);
        let others = |fleet: &Fleet| (1..VMS).all(|i| fleet.peers(i) == Some(VMS - 2));
        wait_until("the other VMs to drop the frozen VM", || others(fleet))
            .expect("the frozen VM is dropped");
        let unknown = fleet.submit(2, &id, &job(6, 300));
        assert_eq!(unknown.body["ran"], "unknown", "{}", unknown.body);
        let other = fleet.issue_id(1);
        fleet.submit(1, &other, &job(20, 50));
        assert_complete(&fleet.final_response(2, &other), 20);
        // All timeouts of the frozen process expire, including those of its start requests.
        std::thread::sleep(FREEZE_TIME);
        fleet.signal(0, Signal::CONT);
        fleet.wait_connected();
        let response = fleet.final_response(3, &id);
        assert_eq!(response, fleet.final_response(1, &id));
        if response["status"] == "complete" {
            assert_complete(&response, 6);
        } else {
            assert_eq!(response["reason"], "outcome_lost", "{response}");
            assert_eq!(response["ran"], "may_have_run", "{response}");
        }
    };

    /// VMs that are partitioned from each other serve the jobs that they issue, and reconnect when
    /// the partition ends.
    cut_between_data_centres => |fleet| {
        let id = fleet.issue_id(0);
        for i in 0..VMS {
            fleet.relay(i).set_partitioned(true);
        }
        wait_until("all VMs to lose their peers", || (0..VMS).all(|i| fleet.peers(i) == Some(0)))
            .expect("all VMs are partitioned");
        let unknown = fleet.submit(2, &id, &job(5, 20));
        assert_eq!(unknown.body["ran"], "unknown", "{}", unknown.body);
        for i in 0..VMS {
            let own = fleet.issue_id(i);
            fleet.submit(i, &own, &job(30, 20));
            assert_complete(&fleet.final_response(i, &own), 30);
        }
        for i in 0..VMS {
            fleet.relay(i).set_partitioned(false);
        }
        fleet.wait_connected();
        fleet.submit(2, &id, &job(5, 20));
        assert_complete(&fleet.final_response(3, &id), 5);
    };

    /// Connections between peers that stay open but carry no data are replaced by new ones.
    silent_peer_connections => |fleet| {
        let id = fleet.issue_id(0);
        fleet.submit(0, &id, &job(20, 100));
        let connections = |fleet: &Fleet| -> u64 {
            (0..VMS).map(|i| fleet.relay(i).connection_count()).sum()
        };
        let before = connections(fleet);
        let pairs = (VMS * (VMS - 1) / 2) as u64;
        for i in 0..VMS {
            fleet.relay(i).blackhole();
        }
        // The lost connections are replaced within milliseconds, so their number is not seen to drop.
        wait_until("each pair of VMs to connect again", || connections(fleet) >= before + pairs)
            .expect("a new connection for each pair");
        fleet.wait_connected();
        assert_complete(&fleet.final_response(3, &id), 20);
    };

    /// During an outage of the platform jobs are served; requests that need its store are refused
    /// with 503, keyed jobs with `ran: unknown`.
    platform_outage => |fleet| {
        fleet.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
        let id = fleet.issue_id(0);
        fleet.submit(1, &id, &job(40, 20));
        assert_complete(&fleet.final_response(2, &id), 40);
        let keyed = fleet.caller(0).post("/v1/jobs?wait_ms=1000", &job(2, 20), Some("key"));
        let keyed = keyed.expect("a response");
        assert_eq!((keyed.status, &keyed.body["ran"]), (503, &json!("unknown")), "{}", keyed.body);
        let change = json!({"base": 1, "why": "test", "name": "peak"});
        let refused = fleet.operator(0).post("/v1/operator/preset", &change, None);
        assert_eq!(refused.expect("a response").status, 503);
        fleet.platform.set_faults(PlatformFaults::default());
        let keyed = fleet.caller(1).post("/v1/jobs?wait_ms=20000", &job(2, 20), Some("key"));
        assert_complete(&keyed.expect("a response").body, 2);
        let applied = fleet.operator(0).post("/v1/operator/preset", &change, None);
        let applied = applied.expect("a response");
        assert!(applied.is_success(), "{}", applied.body);
        wait_until("the preset to be active on every VM", || {
            (0..VMS).all(|i| {
                let status = fleet.operator(i).get("/v1/operator/status");
                status.is_ok_and(|status| status.body["preset"] == "peak")
            })
        })
        .expect("the preset is active");
    };

    /// When the store's response to a write is lost, reading the value back shows that the write
    /// took effect.
    lost_store_replies => |fleet| {
        let lose = PlatformFaults { lose_replies: 1, ..PlatformFaults::default() };
        fleet.platform.set_faults(lose);
        let body = json!({"base": 1, "why": "test", "name": "peak"});
        let applied = fleet.operator(0).post("/v1/operator/preset", &body, None);
        let applied = applied.expect("a response");
        assert_eq!(applied.body["version"], 2, "{}", applied.body);
        fleet.platform.set_faults(lose);
        let first = fleet.caller(0).post("/v1/jobs?wait_ms=20000", &job(3, 20), Some("key"));
        let second = fleet.caller(2).post("/v1/jobs?wait_ms=20000", &job(3, 20), Some("key"));
        let (first, second) = (first.expect("a response"), second.expect("a response"));
        assert_complete(&first.body, 3);
        assert_eq!(first.body, second.body);
    };

    /// SIGTERM under load: running tasks are not interrupted, outcomes stay available, the usage
    /// report is complete and the exit code is 0.
    graceful_stop_under_load => |fleet| {
        let jobs: Vec<_> = (0..6).map(|_| fleet.issue_id(0)).collect();
        let unused = fleet.issue_id(0);
        for id in &jobs {
            fleet.submit(0, id, &job(10, 200));
        }
        fleet.wait_running(1);
        fleet.signal(0, Signal::TERM);
        assert!(fleet.wait_exit(0).success());
        for id in &jobs {
            assert_complete(&fleet.final_response(3, id), 10);
        }
        let refused = fleet.submit(2, &unused, &job(1, 20));
        assert_eq!(refused.body["ran"], "not_run", "{}", refused.body);
        let counted: u64 =
            fleet.executors.iter().flat_map(|row| row.counts().slot_us.into_values()).sum();
        let reports = fleet.platform.values("cardamomslip/usage/");
        let lines = reports.iter().flat_map(|report| report["lines"].as_array().cloned());
        let settled = lines.flatten().filter_map(|line| line["settled_us"].as_u64()).sum::<u64>();
        assert_eq!(counted, settled);
        assert!(reports.iter().any(|report| report["closed"] == true));
    };

    /// A second SIGTERM ends a process whose graceful shutdown waits for a long task.
    second_signal_ends_at_once => |fleet| {
        let id = fleet.issue_id(0);
        fleet.submit(0, &id, &job(1, 600_000));
        fleet.wait_running(1);
        fleet.signal(0, Signal::TERM);
        wait_until("the shutdown to begin", || {
            let status = fleet.operator(0).get("/v1/operator/status");
            status.is_ok_and(|status| status.body["phase"] == "draining")
        })
        .expect("the daemon drains");
        fleet.signal(0, Signal::TERM);
        fleet.wait_exit(0);
    };

    /// Jobs with tasks on an executor that does not respond fail as a whole; later jobs complete.
    silent_executor => |fleet| {
        let faults = ExecutorFaults { silent: true, ..ExecutorFaults::default() };
        fleet.executors[0].set_faults(faults);
        let id = fleet.issue_id(0);
        fleet.submit(0, &id, &job(32, 100));
        let response = fleet.final_response(2, &id);
        assert_eq!(response["reason"], "outcome_lost", "{response}");
        assert_eq!(response["ran"], "may_have_run", "{response}");
        fleet.executors[0].set_faults(ExecutorFaults::default());
        let next = fleet.issue_id(1);
        fleet.submit(1, &next, &job(10, 20));
        assert_complete(&fleet.final_response(3, &next), 10);
    };

    /// Each VM stops sending start requests to an executor after a response that says that it is
    /// leaving; until then each VM sends at most 8, one per slot.
    leaving_executor => |fleet| {
        let leaving = ExecutorFaults { leaving: true, ..ExecutorFaults::default() };
        fleet.executors[0].set_faults(leaving);
        for round in 0..4 {
            for i in 0..VMS {
                let id = fleet.issue_id(i);
                fleet.submit(i, &id, &job(32, 10));
                assert_complete(&fleet.final_response((i + round) % VMS, &id), 32);
            }
        }
        let counts = fleet.executors[0].counts();
        let max_refused = 8 * VMS as u64;
        assert!(counts.refused_leaving <= max_refused, "{} starts refused", counts.refused_leaving);
        assert_eq!(counts.starts, 0);
    };
}
