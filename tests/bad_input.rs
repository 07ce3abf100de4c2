//! Bodies of callers, settings and replies of the platform that are truncated, changed, deep or
//! huge: no panic, and a clear error.

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

/// Feeds a text to every parser.
fn parse_everything(text: &str) {
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
fn the_samples_are_valid() {
    let body: JobBody = serde_json::from_str(JOB).expect("a job");
    assert!(body.into_spec(1_500).is_ok());
    let list: VmListWire = serde_json::from_str(VMS).expect("a VM list");
    assert!(VmList::try_from(list).is_ok());
    let config: ConfigurationWire = serde_json::from_str(CONFIG).expect("a configuration");
    assert!(Configuration::try_from(config).is_ok());
    assert!(Settings::parse(SETTINGS).is_ok());
}

#[rstest]
#[case::no_task(r#"{"tasks": []}"#, "tasks")]
#[case::no_kind(r#"{"tasks": [{"kind": "", "run_ms": 1}]}"#, "kind")]
#[case::no_time(r#"{"tasks": [{"kind": "a", "run_ms": 0}]}"#, "run_ms")]
#[case::endless(
    r#"{"tasks": [{"kind": "a", "run_ms": 18446744073709551615}]}"#,
    "run_ms"
)]
#[case::no_slot(r#"{"tasks": [{"kind": "a", "run_ms": 1, "slots": 0}]}"#, "slots")]
#[case::deadline(
    r#"{"tasks": [{"kind": "a", "run_ms": 1}], "deadline_ms": 0}"#,
    "deadline_ms"
)]
fn values_out_of_range_are_named(#[case] text: &str, #[case] named: &str) {
    let body: JobBody = serde_json::from_str(text).expect("the form is right");
    let error = body.into_spec(1_500).expect_err("a value out of range");
    assert!(error.to_string().contains(named), "{error}");
}

#[rstest]
#[case::no_speed(r#""speed": 1.5"#, r#""speed": 0"#)]
#[case::negative_speed(r#""speed": 1.5"#, r#""speed": -1"#)]
#[case::no_slots(r#""slots": 8"#, r#""slots": 0"#)]
fn a_vm_list_out_of_range_is_refused(#[case] from: &str, #[case] to: &str) {
    assert!(VMS.contains(from), "the case changes something");
    let list: VmListWire = serde_json::from_str(&VMS.replacen(from, to, 1)).expect("the form");
    assert!(VmList::try_from(list).is_err());
}

#[rstest]
#[case::unknown_preset(r#""preset": "ordinary""#, r#""preset": "none""#)]
#[case::zero_weight(r#""weight": 1"#, r#""weight": 0"#)]
#[case::bad_hash(r#""previous_hash": "0""#, r#""previous_hash": "x""#)]
fn an_invalid_configuration_is_refused(#[case] from: &str, #[case] to: &str) {
    assert!(CONFIG.contains(from), "the case changes something");
    let wire = CONFIG.replacen(from, to, 1);
    let wire: ConfigurationWire = serde_json::from_str(&wire).expect("the form is right");
    assert!(Configuration::try_from(wire).is_err());
}

#[test]
fn deep_bodies_are_refused() {
    let deep = "[".repeat(100_000);
    assert!(serde_json::from_str::<JobBody>(&deep).is_err());
    assert!(Settings::parse(&"{a: ".repeat(10_000)).is_err());
}

/// Answers one request with these bytes.
fn answer_with(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut buf = [0; 4_096];
        let _ = stream.read(&mut buf);
        let _ = stream.write_all(&response);
    });
    address
}

#[rstest]
#[case::closed(b"".to_vec())]
#[case::not_http(b"\x00\xff garbage".to_vec())]
#[case::not_json(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{{{".to_vec())]
#[case::not_utf8(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n\xff\xfe".to_vec())]
#[case::cut_off(b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{\"value\"".to_vec())]
#[case::other_type(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]".to_vec())]
#[case::error(b"HTTP/1.1 500 X\r\ncontent-length: 0\r\n\r\n".to_vec())]
fn bad_replies_of_the_platform_are_errors(#[case] response: Vec<u8>) {
    let client = PlatformClient::new(answer_with(response), Duration::from_secs(1));
    let result = client.get::<ConfigurationWire>("key");
    assert!(
        matches!(result, Err(PlatformError::Unavailable(_))),
        "{result:?}"
    );
}

#[test]
fn a_huge_reply_of_the_platform_is_not_taken_in() {
    let mut response = b"HTTP/1.1 200 OK\r\ncontent-length: 40000000\r\n\r\n\"".to_vec();
    response.resize(40_000_000, b'a');
    let client = PlatformClient::new(answer_with(response), Duration::from_secs(1));
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
        parse_everything(&text);
    }

    #[test]
    fn changed_texts_do_not_panic(
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
        parse_everything(&text);
    }

    #[test]
    fn truncated_texts_do_not_panic(which in 0_usize..4, at in any::<prop::sample::Index>()) {
        let sample: Vec<char> = [JOB, VMS, CONFIG, SETTINGS][which].chars().collect();
        let text: String = sample[..at.index(sample.len())].iter().collect();
        parse_everything(&text);
    }
}
