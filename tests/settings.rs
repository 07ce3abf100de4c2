//! Tests of the validation of settings.

use cardamomslip::Settings;
use rstest::rstest;

/// Sample of valid settings, which the test cases modify.
const VALID: &str = include_str!("data/entry.yaml");

#[test]
fn valid_settings_are_accepted() {
    let settings = Settings::parse(VALID).expect("valid settings");
    assert_eq!(settings.name, "sutherland-1");
    assert_eq!(settings.limits.tasks_per_job, 1_500);
}

#[rstest]
#[case::unknown_field("weight: 1", "wieght: 1", "wieght")]
#[case::wrong_type("weight: 1", "weight: heavy", "line")]
#[case::zero_weight("weight: 1", "weight: 0", "weight")]
#[case::empty_name("name: sutherland-1", "name: \"\"", "name")]
#[case::invalid_address("127.0.0.1:7100", "somewhere", "line")]
#[case::short_secret("a secret of the peers", "short", "peer_secret")]
#[case::bad_hash("token_sha256: \"", "token_sha256: \"zz", "token_sha256")]
#[case::unknown_limit("body_bytes: 1048576", "body_byte: 1", "body_byte")]
#[case::small_limit("body_bytes: 1048576", "body_bytes: 1", "limits.body_bytes")]
#[case::ingress("body_bytes: 1048576", "ingress_bytes: 1", "limits.ingress_bytes")]
#[case::connections("body_bytes: 1048576", "connections: 1", "limits.connections")]
#[case::job_bytes("body_bytes: 1048576", "job_bytes: 1", "limits.job_bytes")]
#[case::handshakes("body_bytes: 1048576", "handshakes: 0", "limits.handshakes")]
#[case::threads(
    "body_bytes: 1048576",
    "blocking_threads: 1",
    "limits.blocking_threads"
)]
#[case::short_silence("peer_silence_ms: 3500", "peer_silence_ms: 1500", "peer_silence_ms")]
#[case::unknown_format("format: json", "format: xml", "line")]
fn invalid_settings_are_rejected(#[case] from: &str, #[case] to: &str, #[case] named: &str) {
    assert!(VALID.contains(from), "`{from}` is not in the sample");
    let error = Settings::parse(&VALID.replacen(from, to, 1)).expect_err("invalid settings");
    let message = error.to_string();
    assert!(
        message.contains(named),
        "error does not name `{named}`: {message}"
    );
}

#[test]
fn debug_output_hides_secrets() {
    let settings = Settings::parse(VALID).expect("valid settings");
    assert!(!format!("{settings:?}").contains("a secret of the peers"));
}

#[test]
fn load_error_names_the_file() {
    let error = Settings::load("no-such-file.yaml".as_ref()).expect_err("no file");
    assert!(error.to_string().contains("no-such-file.yaml"));
}
