//! Tests of invalid input: request bodies, settings and platform responses that are truncated,
//! mutated, deeply nested or oversized must cause an error, not a panic.

use cardamomslip::Settings;
use cardamomslip::callers::JobBody;
use cardamomslip::config_wire::ConfigurationWire;
use cardamomslip::platform::{PlatformClient, PlatformError, VmListWire};
use cardamomslip_core::model::configuration::Configuration;
use cardamomslip_core::model::vm_list::VmList;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

const JOB: &str = include_str!("data/job.json");
const VMS: &str = include_str!("data/vms.json");
const CONFIG: &str = include_str!("data/configuration.json");
const SETTINGS: &str = include_str!("data/entry.yaml");

/// Passes a text to every parser and ignores the results; only a panic fails the test.
fn run_all_parsers(text: &str) {
    if let Ok(body) = serde_json::from_str::<JobBody>(text) {
        let _ = body.into_spec(1_500);
    }
    if let Ok(wire) = serde_json::from_str::<VmListWire>(text) {
        let _ = VmList::try_from(wire);
    }
    if let Ok(wire) = serde_json::from_str::<ConfigurationWire>(text) {
        let _ = Configuration::try_from(wire);
    }
    let _ = Settings::parse(text);
}

#[test]
fn samples_are_valid() {
    let body: JobBody = serde_json::from_str(JOB).expect("the sample job parses");
    assert!(body.into_spec(1_500).is_ok());
    let list: VmListWire = serde_json::from_str(VMS).expect("the sample VM list parses");
    assert!(VmList::try_from(list).is_ok());
    let config: ConfigurationWire =
        serde_json::from_str(CONFIG).expect("the sample configuration parses");
    assert!(Configuration::try_from(config).is_ok());
    assert!(Settings::parse(SETTINGS).is_ok());
}

#[rstest]
#[case::no_task(r#"{"tasks": []}"#, "tasks")]
#[case::empty_kind(r#"{"tasks": [{"kind": "", "run_ms": 1}]}"#, "kind")]
#[case::zero_run_time(r#"{"tasks": [{"kind": "a", "run_ms": 0}]}"#, "run_ms")]
#[case::run_time_too_long(
    r#"{"tasks": [{"kind": "a", "run_ms": 18446744073709551615}]}"#,
    "run_ms"
)]
#[case::zero_slots(r#"{"tasks": [{"kind": "a", "run_ms": 1, "slots": 0}]}"#, "slots")]
#[case::zero_deadline(
    r#"{"tasks": [{"kind": "a", "run_ms": 1}], "deadline_ms": 0}"#,
    "deadline_ms"
)]
fn errors_name_the_field_out_of_range(#[case] text: &str, #[case] named: &str) {
    let body: JobBody = serde_json::from_str(text).expect("the body has the right shape");
    let error = body
        .into_spec(1_500)
        .expect_err("the value is out of range");
    assert!(
        error.to_string().contains(named),
        "error does not name `{named}`: {error}"
    );
}

#[rstest]
#[case::zero_speed(r#""speed": 1.5"#, r#""speed": 0"#)]
#[case::negative_speed(r#""speed": 1.5"#, r#""speed": -1"#)]
#[case::zero_slots(r#""slots": 8"#, r#""slots": 0"#)]
fn vm_list_with_values_out_of_range_is_rejected(#[case] from: &str, #[case] to: &str) {
    assert!(VMS.contains(from), "`{from}` is not in the sample");
    let list: VmListWire = serde_json::from_str(&VMS.replacen(from, to, 1)).expect("valid shape");
    assert!(VmList::try_from(list).is_err());
}

#[rstest]
#[case::unknown_preset(r#""preset": "ordinary""#, r#""preset": "none""#)]
#[case::zero_weight(r#""weight": 1"#, r#""weight": 0"#)]
#[case::invalid_hash(r#""previous_hash": "0""#, r#""previous_hash": "x""#)]
fn invalid_configuration_is_rejected(#[case] from: &str, #[case] to: &str) {
    assert!(CONFIG.contains(from), "`{from}` is not in the sample");
    let wire = CONFIG.replacen(from, to, 1);
    let wire: ConfigurationWire = serde_json::from_str(&wire).expect("valid shape");
    assert!(Configuration::try_from(wire).is_err());
}

#[test]
fn deeply_nested_input_is_rejected() {
    let deep = "[".repeat(100_000);
    assert!(serde_json::from_str::<JobBody>(&deep).is_err());
    assert!(Settings::parse(&"{a: ".repeat(10_000)).is_err());
}

/// Starts a server that responds to one connection with these bytes, and returns its address.
fn serve_response(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf);
        let _ = stream.write_all(&response);
    });
    address
}

#[rstest]
#[case::connection_closed(b"".to_vec())]
#[case::not_http(b"\x00\xff garbage".to_vec())]
#[case::not_json(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{{{".to_vec())]
#[case::not_utf8(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n\xff\xfe".to_vec())]
#[case::truncated(b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{\"value\"".to_vec())]
#[case::wrong_type(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]".to_vec())]
#[case::error_status(b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n".to_vec())]
fn invalid_platform_responses_are_errors(#[case] response: Vec<u8>) {
    let client = PlatformClient::new(serve_response(response), Duration::from_secs(1));
    let result = client.get::<ConfigurationWire>("key");
    assert!(
        matches!(result, Err(PlatformError::Unavailable(_))),
        "unexpected result: {result:?}"
    );
}

#[test]
fn oversized_platform_response_is_an_error() {
    let mut response = b"HTTP/1.1 200 OK\r\ncontent-length: 40000000\r\n\r\n\"".to_vec();
    response.resize(40_000_000, b'a');
    let client = PlatformClient::new(serve_response(response), Duration::from_secs(1));
    assert!(client.get::<String>("key").is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        cases: 500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_texts_do_not_panic(text in ".{0,200}") {
        run_all_parsers(&text);
    }

    #[test]
    fn mutated_texts_do_not_panic(
        which in 0_usize..4,
        from in any::<prop::sample::Index>(),
        len in 0_usize..20,
        replacement in ".{0,10}",
    ) {
        let sample: Vec<char> = [JOB, VMS, CONFIG, SETTINGS][which].chars().collect();
        let from = from.index(sample.len());
        let to = (from + len).min(sample.len());
        let mut text: String = sample[..from].iter().collect();
        text += &replacement;
        text.extend(&sample[to..]);
        run_all_parsers(&text);
    }

    #[test]
    fn truncated_texts_do_not_panic(which in 0_usize..4, at in any::<prop::sample::Index>()) {
        let sample: Vec<char> = [JOB, VMS, CONFIG, SETTINGS][which].chars().collect();
        let text: String = sample[..at.index(sample.len())].iter().collect();
        run_all_parsers(&text);
    }
}
