//! Clients that exhaust the memory or the descriptors of a daemon whose settings have no limits.
//!
//! A target of its own, whose tests run one at a time, as they load the machine. The limits of the
//! daemon have to follow from its machine.

mod daemon;

use cardamomslip_test::flood::{Crowd, Machine, Script, Sources, Usage};
use daemon::{DaemonUnderTest, Listener};
use serde_json::{Value, json};
use std::sync::{Mutex, PoisonError};

/// Number of clients of a crowd.
const CLIENTS: u32 = 200;
/// Size of the bodies, within the limit on bodies.
const LEGAL_BODY_BYTES: usize = 1024 * 1024;
/// Run time of tasks that don't end within a test, in milliseconds.
const LONG_RUN_MS: u64 = 600_000;
/// Number of descriptors that the daemon may open beside half of those of its machine.
const OTHER_DESCRIPTORS: u64 = 16;
/// A machine with fewer descriptors than a crowd has clients.
const FEW_DESCRIPTORS: Machine = Machine {
    descriptors: 128,
    ..Machine::SMALLEST
};

/// A machine with half of the memory of the smallest VM, for a crowd that is half of what that admits.
const HALF_OF_SMALLEST: Machine = Machine {
    memory_bytes: Machine::SMALLEST.memory_bytes / 2,
    ..Machine::SMALLEST
};

/// Only one flood runs at a time.
static LOCK: Mutex<()> = Mutex::new(());

/// Sends a crowd to a daemon, and checks that it stays within its machine and answers an ordinary
/// request while the crowd's connections stay open.
fn flood(name: &str, listener: Listener, machine: Machine, script: impl Fn(u64) -> Script + Sync) {
    let _guard = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut daemon = DaemonUnderTest::start(name, machine);
    let before = Usage::read_settled(daemon.pid());
    let crowd = Crowd::send(daemon.address(listener), CLIENTS, Sources::Shared, script);
    assert!(!daemon.has_exited(), "the daemon has ended");
    let after = Usage::read_settled(daemon.pid());
    eprintln!("{before:?}, then {after:?}");
    daemon.wait_served();
    assert!(!daemon.has_exited(), "the daemon has ended");
    let max_kib = machine.memory_bytes / 1024;
    assert!(after.peak_kib <= max_kib, "{} KiB", after.peak_kib);
    let more = after.descriptors.saturating_sub(before.descriptors) as u64;
    let max_more = machine.descriptors / 2 + OTHER_DESCRIPTORS;
    assert!(more <= max_more, "{more} more descriptors");
    crowd.close();
    daemon.close();
}

/// Defines a test for each script, which the clients of a crowd send to a daemon on a machine.
macro_rules! floods {
    ($($(#[$doc:meta])* $name:ident($listener:ident, $machine:expr) => $script:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            flood(stringify!($name), Listener::$listener, $machine, $script);
        })*
    };
}

/// Returns a submission with the given header about its body.
fn submission(body_header: &str) -> Vec<u8> {
    let head = format!("POST /v1/requests HTTP/1.1\r\nHost: entry\r\n{body_header}\r\n\r\n");
    head.into_bytes()
}

/// Returns a submission of legal size without its last `missing` bytes.
fn legal_body(missing: usize) -> Script {
    let mut opening = submission(&format!("Content-Length: {LEGAL_BODY_BYTES}"));
    opening.resize(opening.len() + LEGAL_BODY_BYTES - missing, b' ');
    Script {
        opening,
        ..Script::default()
    }
}

/// Returns a submission in `pieces` chunks of 64 KiB.
fn chunked_body(pieces: usize) -> Script {
    const CHUNK: usize = 64 * 1024;
    let piece = format!("{CHUNK:x}\r\n{}\r\n", " ".repeat(CHUNK));
    Script {
        opening: submission("Transfer-Encoding: chunked"),
        piece: piece.into_bytes(),
        pieces,
    }
}

/// Returns a submission in chunks of one byte that stops short.
fn tiny_chunks() -> Script {
    Script {
        opening: submission("Transfer-Encoding: chunked"),
        piece: b"1\r\n \r\n".repeat(512),
        pieces: 8,
    }
}

/// Returns a submission that announces a gigabyte and sends megabytes of it.
fn announced_body() -> Script {
    Script {
        opening: submission(&format!("Content-Length: {}", 1 << 30)),
        piece: vec![b' '; 64 * 1024],
        pieces: 96,
    }
}

/// Returns a head that stops short within all limits.
fn short_head() -> Script {
    Script {
        opening: b"GET / HTTP/1.1\r\nHost: entry\r\nX-Short: ".to_vec(),
        ..Script::default()
    }
}

/// Returns a head or empty lines without end, in pieces of 16 KiB.
fn endless_head(opening: &[u8], piece: &[u8]) -> Script {
    Script {
        opening: opening.to_vec(),
        piece: piece.repeat(16 * 1024 / piece.len()),
        pieces: 64,
    }
}

floods! {
    /// Bodies of legal size that stop one byte short of their end: each was kept for 20 s.
    legal_bodies_that_stop_short(Callers, Machine::SMALLEST) => |_| legal_body(1);

    /// Bodies of legal size, which the daemon reads whole before it looks at their token.
    legal_bodies_sent_whole(Callers, Machine::SMALLEST) => |_| legal_body(0);

    /// Bodies that are not announced and stop short of the limit.
    chunked_bodies_that_stop_short(Callers, Machine::SMALLEST) => |_| chunked_body(16);

    /// Bodies that are not announced, far over the limit.
    chunked_bodies_over_the_limit(Callers, Machine::SMALLEST) => |_| chunked_body(96);

    /// Heads without end.
    heads_without_end(Callers, Machine::SMALLEST) => |_| endless_head(b"GET / HTTP/1.1\r\nX-Long: ", b"a");

    /// Empty lines before a request, without end.
    empty_lines_without_end(Callers, Machine::SMALLEST) => |_| endless_head(b"", b"\r\n");

    /// More connections than the process may have descriptors.
    idle_connections(Callers, FEW_DESCRIPTORS) => |_| Script::default();

    /// More heads that stop short than the process may have descriptors.
    heads_that_stop_short(Callers, FEW_DESCRIPTORS) => |_| short_head();

    /// Bodies of legal size in chunks of one byte.
    legal_bodies_in_tiny_chunks(Callers, Machine::SMALLEST) => |_| tiny_chunks();

    /// Bodies that are announced to be far over the limit.
    announced_bodies_over_the_limit(Callers, Machine::SMALLEST) => |_| announced_body();

    /// More connections to the listener of the peers than the process may have descriptors.
    idle_connections_at_the_peers(Peers, FEW_DESCRIPTORS) => |_| Script::default();
    heads_that_stop_short_at_the_peers(Peers, FEW_DESCRIPTORS) => |_| short_head();
    heads_without_end_at_the_peers(Peers, Machine::SMALLEST) => |_| {
        endless_head(b"GET / HTTP/1.1\r\nX-Long: ", b"a")
    };
    empty_lines_at_the_peers(Peers, Machine::SMALLEST) => |_| endless_head(b"", b"\r\n");
    whole_bodies_at_the_peers(Peers, Machine::SMALLEST) => |_| legal_body(0);
    bodies_that_stop_short_at_the_peers(Peers, Machine::SMALLEST) => |_| legal_body(1);
    bodies_in_tiny_chunks_at_the_peers(Peers, Machine::SMALLEST) => |_| tiny_chunks();
    announced_bodies_at_the_peers(Peers, Machine::SMALLEST) => |_| announced_body();
    chunked_bodies_at_the_peers(Peers, Machine::SMALLEST) => |_| chunked_body(96);

    /// Requests that are served on threads of their own, without a token, whose answers are not read.
    requests_for_metrics(Callers, HALF_OF_SMALLEST) => |_| Script {
        opening: b"GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n".repeat(200),
        ..Script::default()
    };
}

/// Jobs of legal size that are accepted one after the other and run for long: the payload of each was
/// kept until its tasks had started.
#[test]
fn accepted_jobs_of_legal_size() {
    let _guard = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let machine = Machine::SMALLEST;
    let mut daemon = DaemonUnderTest::start("accepted_jobs_of_legal_size", machine);
    let before = Usage::read_settled(daemon.pid());
    daemon.submit_each(CLIENTS, &long_job());
    assert!(!daemon.has_exited(), "the daemon has ended");
    let after = Usage::read_settled(daemon.pid());
    eprintln!("{before:?}, then {after:?}");
    assert!(!daemon.has_exited(), "the daemon has ended");
    let max_kib = machine.memory_bytes / 1024;
    assert!(after.peak_kib <= max_kib, "{} KiB", after.peak_kib);
    daemon.wait_answered();
    daemon.close();
}

/// What is limited is seen in the metrics.
#[test]
fn limits_are_seen_in_the_metrics() {
    let _guard = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let daemon = DaemonUnderTest::start("limits_are_seen_in_the_metrics", Machine::SMALLEST);
    let crowds = [Listener::Callers, Listener::Peers].map(|listener| {
        let address = daemon.address(listener);
        Crowd::send(address, CLIENTS, Sources::Shared, |_| short_head())
    });
    daemon.submit_each(1, &long_job());
    for name in [
        "cardamomslip_ingress_connections{listener=\"callers\"}",
        "cardamomslip_ingress_bytes{listener=\"callers\"}",
        "cardamomslip_open_job_bytes",
        "cardamomslip_peer_handshakes",
        "cardamomslip_peer_handshakes_displaced_total",
        "cardamomslip_peer_handshakes_rejected_total",
        "cardamomslip_blocking_calls",
    ] {
        daemon.wait_above_zero(name);
    }
    for crowd in crowds {
        crowd.close();
    }
    daemon.close();
}

/// Returns a job of legal size that is declared short and runs for longer than a test.
fn long_job() -> Value {
    let payload = json!({"run_ms": LONG_RUN_MS, "pad": " ".repeat(LEGAL_BODY_BYTES - 200)});
    let task = json!({"kind": "long", "run_ms": 1, "payload": payload});
    json!({"tasks": [task]})
}
