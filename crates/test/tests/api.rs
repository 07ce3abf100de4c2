//! Tests of the callers' and operators' HTTP APIs on a small cluster in this process.

use cardamomslip_cli::client::{Client, Response};
use cardamomslip_cli::commands::{self, CommandOptions, Exit};
use cardamomslip_test::{Cluster, ClusterConfig, Customer};
use serde_json::{Value, json};

/// Generates one test per case, each with its own cluster of two entry VMs.
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

fn issue_id(client: &Client) -> String {
    let response = client
        .post("/v1/jobs", &json!({}), None)
        .expect("a response");
    response.body["ids"][0].as_str().expect("an id").to_owned()
}

fn job(run_ms: u64, slots: u16) -> Value {
    let payload = json!({"run_ms": run_ms, "echo": 7});
    json!({"tasks": [{"kind": "a", "run_ms": run_ms, "slots": slots, "payload": payload}]})
}

fn assert_refused(response: &Response, status: u16, kind: &str, ran: &str) {
    let body = &response.body;
    assert_eq!(response.status, status, "{body}");
    assert_eq!(body["type"], format!("urn:cardamomslip:{kind}"), "{body}");
    assert_eq!(body["ran"], ran, "{body}");
}

cluster_tests! {
    /// Wrong tokens are rejected, and customers and operators can't use each other's resources.
    access_control => |cluster| {
        let address = cluster.daemons[0].daemon.caller_address().to_string();
        let nobody = Client::new(&address, "wrong").post("/v1/jobs", &json!({}), None);
        assert_refused(&nobody.expect("a response"), 401, "unauthorized", "unknown");
        let operator = cluster.operator(0).post("/v1/jobs", &json!({}), None);
        assert_refused(&operator.expect("a response"), 403, "not_for_operators", "unknown");
        let customer = cluster.caller(0, Customer::Karoo).get("/v1/operator/status");
        assert_refused(&customer.expect("a response"), 404, "no_such_resource", "unknown");
    };

    /// A customer can't see, cancel or submit the job of another one.
    jobs_of_other_customers => |cluster| {
        let (owner, other) =
            (cluster.caller(0, Customer::Karoo), cluster.caller(1, Customer::Bantay));
        let path = format!("/v1/jobs/{}", issue_id(&owner));
        owner.put(&path, &job(50, 1)).expect("a response");
        for response in [other.get(&path), other.delete(&path), other.put(&path, &job(50, 1))] {
            assert_refused(&response.expect("a response"), 404, "no_such_job", "unknown");
        }
        let response = owner.get(&format!("{path}?wait_ms=20000")).expect("a response");
        assert_eq!(response.body["results"], json!([{"echo": 7}]));
    };

    /// A request beyond a limit is refused with the status and problem type of that limit.
    limits => |cluster| {
        let caller = cluster.caller(0, Customer::Karoo);
        let batch = caller.post("/v1/jobs", &json!({"count": 11}), None).expect("a response");
        assert_refused(&batch, 400, "batch_too_large", "not_run");
        let path = format!("/v1/jobs/{}", issue_id(&caller));
        let large = json!({"tasks": [{"kind": "a", "run_ms": 1, "payload": "x".repeat(5_000)}]});
        assert_refused(
            &caller.put(&path, &large).expect("a response"),
            413,
            "body_too_large",
            "unknown",
        );
        let too_many_slots = caller.put(&path, &job(50, 9)).expect("a response");
        assert_refused(&too_many_slots, 422, "impossible", "not_run");
        let again = caller.put(&path, &job(50, 1)).expect("a response");
        assert_refused(&again, 422, "impossible", "not_run");
        let not_a_list = caller.put(&path, &json!({"tasks": 1})).expect("a response");
        assert_refused(&not_a_list, 400, "invalid_body", "unknown");
        let query = caller.get(&format!("{path}?wait_ms=soon")).expect("a response");
        assert_refused(&query, 400, "invalid_query", "unknown");
        let not_an_id = caller.get("/v1/jobs/none").expect("a response");
        assert_refused(&not_an_id, 404, "no_such_job", "unknown");
    };

    /// An unused id that is cancelled can't be submitted any more, and nothing is started for it.
    cancellation => |cluster| {
        let caller = cluster.caller(0, Customer::Karoo);
        let unused = format!("/v1/jobs/{}", issue_id(&caller));
        let cancelled = caller.delete(&unused).expect("a response");
        assert_eq!(
            (&cancelled.body["reason"], &cancelled.body["ran"]),
            (&json!("cancelled"), &json!("not_run"))
        );
        let again = caller.put(&unused, &job(50, 1)).expect("a response");
        assert_eq!(again.body, cancelled.body);
        assert_eq!(cluster.counts().starts, 0);
    };

    /// Guards against an audit trail and usage reports that can't be read for one odd record.
    an_odd_record_costs_only_itself => |cluster| {
        let opts = CommandOptions { why: Some("test".to_owned()), ..CommandOptions::default() };
        let operator = cluster.operator(0);
        let exit = commands::run(&operator, &["preset", "apply", "maintenance"], &opts);
        assert_eq!(exit.expect("a response"), Exit::Success);
        let count = |path: &str| {
            let response = operator.get(path).expect("a response");
            assert_eq!(response.status, 200, "{path}: {}", response.body);
            response.body.as_array().map(Vec::len)
        };
        let before = count("/v1/operator/audit");
        let address = cluster.platform.address();
        for prefix in ["cardamomslip/audit/", "cardamomslip/usage/"] {
            for (number, odd) in [json!(7), json!({}), json!([[[[[]]]]]), json!("x")].iter().enumerate() {
                let url = format!("http://{address}/kv/{prefix}odd-{number}");
                ureq::put(url).send(odd.to_string()).expect("a write");
            }
        }
        assert_eq!(count("/v1/operator/audit"), before);
        count("/v1/operator/usage");
    };

    /// Under the preset `maintenance` jobs are refused as not run, and `/readyz` reports the VM as
    /// not ready, so that load balancers stop using it.
    maintenance => |cluster| {
        let opts = CommandOptions { why: Some("test".to_owned()), ..CommandOptions::default() };
        let exit = commands::run(&cluster.operator(0), &["preset", "apply", "maintenance"], &opts);
        assert_eq!(exit.expect("a response"), Exit::Success);
        let caller = cluster.caller(0, Customer::Karoo);
        let path = format!("/v1/jobs/{}", issue_id(&caller));
        let refused = caller.put(&path, &job(50, 1)).expect("a response");
        assert_refused(&refused, 503, "not_serving", "not_run");
        assert_eq!(caller.get("/readyz").expect("a response").status, 503);
    };

    /// Commands of the command line end with the right exit code.
    exit_codes => |cluster| {
        let operator = cluster.operator(0);
        let run = |words: &[&str], opts: &CommandOptions| {
            commands::run(&operator, words, opts).expect("a response")
        };
        let default = CommandOptions::default();
        for words in [&["status"][..], &["preset", "list"], &["preset", "show"], &["config", "get"],
            &["config", "history"], &["audit"], &["usage"]] {
            assert_eq!(run(words, &default), Exit::Success, "{words:?}");
        }
        assert_eq!(run(&["preset", "show", "none"], &default), Exit::Refused);
        assert_eq!(run(&["drain", "no-such-vm"], &default), Exit::Refused);
        let why = Some("test".to_owned());
        let stale = CommandOptions { base: Some(7), why: why.clone(), ..default.clone() };
        assert_eq!(run(&["preset", "apply", "peak"], &stale), Exit::Conflict);
        let opts = CommandOptions { why, ..default.clone() };
        assert_eq!(run(&["preset", "apply", "none"], &opts), Exit::Refused);
        assert!(commands::run(&operator, &["preset", "apply", "peak"], &default).is_err());
        assert!(commands::run(&operator, &["no-such-command"], &default).is_err());
    };
}
