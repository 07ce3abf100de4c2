//! The callers' and operators' interfaces, over a small cluster in this process.

use cardamomslip_cli::client::{Answer, Client};
use cardamomslip_cli::commands::{self, CommandOptions, Exit};
use cardamomslip_test::{Cluster, ClusterConfig, Customer};
use serde_json::{Value, json};

/// Names each case and gives it a cluster of two entry VMs.
macro_rules! cluster_tests {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let config = ClusterConfig {
                data_centres: vec!["metro"],
                speeds: vec![1.0],
                settings: "limits: {body_bytes: 4096, ids_per_batch: 10, wait_ms: 30000}",
                ..ClusterConfig::default()
            };
            let cluster = Cluster::start(config).expect("a cluster");
            let body: fn(&Cluster) = $body;
            body(&cluster);
            cluster.close();
        })*
    };
}

fn take_id(client: &Client) -> String {
    let answer = client
        .post("/v1/jobs", &json!({}), None)
        .expect("an answer");
    answer.body["ids"][0].as_str().expect("an id").to_owned()
}

fn job(run_ms: u64, slots: u16) -> Value {
    let payload = json!({"run_ms": run_ms, "echo": 7});
    json!({"tasks": [{"kind": "a", "run_ms": run_ms, "slots": slots, "payload": payload}]})
}

fn assert_refused(answer: &Answer, status: u16, kind: &str, ran: &str) {
    let body = &answer.body;
    assert_eq!(answer.status, status, "{body}");
    assert_eq!(body["type"], format!("urn:cardamomslip:{kind}"), "{body}");
    assert_eq!(body["ran"], ran, "{body}");
}

cluster_tests! {
    /// Tokens are checked, and customers and operators are kept apart.
    access => |cluster| {
        let address = cluster.daemons[0].daemon.caller_address().to_string();
        let nobody = Client::new(&address, "wrong").post("/v1/jobs", &json!({}), None);
        assert_refused(&nobody.expect("an answer"), 401, "unauthorized", "unknown");
        let operator = cluster.operator(0).post("/v1/jobs", &json!({}), None);
        assert_refused(&operator.expect("an answer"), 403, "not_for_operators", "unknown");
        let customer = cluster.caller(0, Customer::Karoo).get("/v1/operator/status");
        assert_refused(&customer.expect("an answer"), 404, "no_such_resource", "unknown");
    };

    /// One customer can't see, cancel or submit the job of another.
    jobs_of_others => |cluster| {
        let (owner, other) = (cluster.caller(0, Customer::Karoo), cluster.caller(1, Customer::Bantay));
        let path = format!("/v1/jobs/{}", take_id(&owner));
        owner.put(&path, &job(50, 1)).expect("an answer");
        for answer in [other.get(&path), other.delete(&path), other.put(&path, &job(50, 1))] {
            assert_refused(&answer.expect("an answer"), 404, "no_such_job", "unknown");
        }
        let answer = owner.get(&format!("{path}?wait_ms=20000")).expect("an answer");
        assert_eq!(answer.body["results"], json!([{"echo": 7}]));
    };

    /// Beyond each limit there is a clear refusal.
    limits => |cluster| {
        let caller = cluster.caller(0, Customer::Karoo);
        let batch = caller.post("/v1/jobs", &json!({"count": 11}), None).expect("an answer");
        assert_refused(&batch, 400, "batch_too_large", "not_run");
        let path = format!("/v1/jobs/{}", take_id(&caller));
        let large = json!({"tasks": [{"kind": "a", "run_ms": 1, "payload": "x".repeat(5_000)}]});
        assert_refused(&caller.put(&path, &large).expect("an answer"), 413, "body_too_large", "unknown");
        let wide = caller.put(&path, &job(50, 9)).expect("an answer");
        assert_refused(&wide, 422, "impossible", "not_run");
        let again = caller.put(&path, &job(50, 1)).expect("an answer");
        assert_refused(&again, 422, "impossible", "not_run");
        let text = caller.put(&path, &json!({"tasks": 1})).expect("an answer");
        assert_refused(&text, 400, "invalid_body", "unknown");
        let query = caller.get(&format!("{path}?wait_ms=soon")).expect("an answer");
        assert_refused(&query, 400, "invalid_query", "unknown");
        let id = caller.get("/v1/jobs/none").expect("an answer");
        assert_refused(&id, 404, "no_such_job", "unknown");
    };

    /// A cancelled id never runs, and a cancelled job ends as failed.
    cancellation => |cluster| {
        let caller = cluster.caller(0, Customer::Karoo);
        let unused = format!("/v1/jobs/{}", take_id(&caller));
        let burnt = caller.delete(&unused).expect("an answer");
        assert_eq!((&burnt.body["reason"], &burnt.body["ran"]), (&json!("cancelled"), &json!("not_run")));
        let again = caller.put(&unused, &job(50, 1)).expect("an answer");
        assert_eq!(again.body, burnt.body);
        assert_eq!(cluster.counts().starts, 0);
    };

    /// The preset `maintenance` refuses work as not run; the balancer sees it.
    maintenance => |cluster| {
        let opts = CommandOptions { why: Some("test".to_owned()), ..CommandOptions::default() };
        let exit = commands::run(&cluster.operator(0), &["preset", "apply", "maintenance"], &opts);
        assert_eq!(exit.expect("an answer"), Exit::Success);
        let caller = cluster.caller(0, Customer::Karoo);
        let path = format!("/v1/jobs/{}", take_id(&caller));
        let refused = caller.put(&path, &job(50, 1)).expect("an answer");
        assert_refused(&refused, 503, "not_serving", "not_run");
        assert_eq!(caller.get("/readyz").expect("an answer").status, 503);
    };

    /// The command line's exit codes.
    exit_codes => |cluster| {
        let operator = cluster.operator(0);
        let run = |words: &[&str], opts: &CommandOptions| {
            commands::run(&operator, words, opts).expect("an answer")
        };
        let plain = CommandOptions::default();
        for words in [&["status"][..], &["preset", "list"], &["preset", "show"], &["config", "get"],
            &["config", "history"], &["audit"], &["usage"]] {
            assert_eq!(run(words, &plain), Exit::Success, "{words:?}");
        }
        assert_eq!(run(&["preset", "show", "none"], &plain), Exit::Refused);
        assert_eq!(run(&["drain", "no-such-vm"], &plain), Exit::Refused);
        let why = Some("test".to_owned());
        let stale = CommandOptions { base: Some(7), why: why.clone(), ..plain.clone() };
        assert_eq!(run(&["preset", "apply", "peak"], &stale), Exit::Conflict);
        let opts = CommandOptions { why, ..plain.clone() };
        assert_eq!(run(&["preset", "apply", "none"], &opts), Exit::Refused);
        assert!(commands::run(&operator, &["preset", "apply", "peak"], &plain).is_err());
        assert!(commands::run(&operator, &["dance"], &plain).is_err());
    };
}
