//! Duplicate connections to the same peer.

use cardamomslip::peers::{PeerAddress, PeerConfig, PeerHub, PeerMessage, PeerSink, WireError};
use cardamomslip::settings::Secret;
use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Time without a received frame after which a connection is considered dead.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit for events between hubs on the same machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// An event that a hub reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerEvent {
    Up(Incarnation, u64),
    Down(Incarnation),
    Message,
}

#[derive(Clone, Debug)]
struct EventSender(Sender<PeerEvent>);

impl<M> PeerSink<M> for EventSender {
    fn peer_up(&self, peer: Incarnation, link: u64) {
        self.0
            .send(PeerEvent::Up(peer, link))
            .expect("the test has ended");
    }

    fn peer_down(&self, peer: Incarnation) {
        // Sending fails if the test has ended.
        let _ = self.0.send(PeerEvent::Down(peer));
    }

    fn message_received(&self, _: Incarnation, _: M) {
        self.0.send(PeerEvent::Message).expect("the test has ended");
    }
}

struct TestPeer<M: PeerMessage = Message> {
    hub: PeerHub<M>,
    events: Receiver<PeerEvent>,
}

fn incarnation(vm: u64) -> Incarnation {
    Incarnation {
        data_centre: DataCentreId(1),
        vm: VmId(vm),
        nonce: vm,
    }
}

fn start_peer(runtime: &Runtime, vm: u64) -> TestPeer {
    start_peer_with(runtime, vm, IDLE_TIMEOUT)
}

fn start_peer_with<M: PeerMessage>(
    runtime: &Runtime,
    vm: u64,
    idle_timeout: Duration,
) -> TestPeer<M> {
    let secret = Secret::new("a secret of the peers".to_owned());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = PeerConfig::new(incarnation(vm), secret, idle_timeout, listen, Vec::new());
    let (tx, events) = channel();
    let hub = PeerHub::start(config, runtime.handle(), EventSender(tx)).expect("a hub");
    TestPeer { hub, events }
}

fn peer_address<M: PeerMessage>(test_peer: &TestPeer<M>, vm: u64) -> PeerAddress {
    PeerAddress {
        vm: VmId(vm),
        address: test_peer.hub.address(),
    }
}

/// A second process with the identity of VM 1 connects while the connection of the first one is
/// alive. The first connection must be kept, since messages in flight on it would be lost.
#[test]
fn a_second_connection_does_not_replace_a_live_one() {
    let runtime = Runtime::new().expect("a runtime");
    let one = start_peer(&runtime, 1);
    let two = start_peer(&runtime, 2);
    one.hub.set_peers(vec![peer_address(&two, 2)]);
    let up = two
        .events
        .recv_timeout(EVENT_TIMEOUT)
        .expect("a connection");
    assert!(matches!(up, PeerEvent::Up(peer, _) if peer == incarnation(1)));
    let duplicate = start_peer(&runtime, 1);
    duplicate.hub.set_peers(vec![peer_address(&two, 2)]);
    let event = two.events.recv_timeout(Duration::from_millis(500));
    assert_eq!(
        event.ok(),
        None,
        "VM 2 got an event after its first connection"
    );
    for test_peer in [one, two, duplicate] {
        test_peer.hub.close();
    }
}

/// Both sides connect at the same time, as after a network partition. Each side must end up with
/// exactly one connection.
#[test]
fn simultaneous_connections_leave_one() {
    let runtime = Runtime::new().expect("a runtime");
    for _ in 0..20 {
        let (one, two) = (start_peer(&runtime, 1), start_peer(&runtime, 2));
        let (one_address, two_address) = (peer_address(&one, 1), peer_address(&two, 2));
        // The VM with the larger identifier waits before it connects.
        two.hub.set_peers(vec![one_address]);
        std::thread::sleep(Duration::from_millis(250));
        one.hub.set_peers(vec![two_address]);
        for (test_peer, peer) in [(&one, 2), (&two, 1)] {
            let up = test_peer
                .events
                .recv_timeout(EVENT_TIMEOUT)
                .expect("a connection");
            assert!(matches!(up, PeerEvent::Up(up, _) if up == incarnation(peer)));
        }
        let deadline = Instant::now() + Duration::from_millis(150);
        let next_event = |test_peer: &TestPeer| {
            let wait = deadline.saturating_duration_since(Instant::now());
            test_peer.events.recv_timeout(wait).ok()
        };
        // Simultaneous connections may replace the first one once, but must leave one.
        for test_peer in [&one, &two] {
            if let Some(PeerEvent::Down(_)) = next_event(test_peer) {
                let again = test_peer
                    .events
                    .recv_timeout(EVENT_TIMEOUT)
                    .expect("the connection that replaces it");
                assert!(matches!(again, PeerEvent::Up(..)));
            }
        }
        one.hub.close();
        two.hub.close();
    }
}

/// A message that was sent for one connection must not be sent on a connection that has replaced
/// it.
#[test]
fn a_message_is_sent_only_on_its_connection() {
    let runtime = Runtime::new().expect("a runtime");
    let one = start_peer(&runtime, 1);
    let two = start_peer(&runtime, 2);
    one.hub.set_peers(vec![peer_address(&two, 2)]);
    let up = one
        .events
        .recv_timeout(EVENT_TIMEOUT)
        .expect("a connection");
    let PeerEvent::Up(peer, link) = up else {
        panic!("expected a connection, got {up:?}");
    };
    let up = two
        .events
        .recv_timeout(EVENT_TIMEOUT)
        .expect("a connection");
    assert!(matches!(up, PeerEvent::Up(..)));
    one.hub.send_on(peer, link + 1, Message::Drain);
    let event = two.events.recv_timeout(Duration::from_millis(300));
    assert_eq!(
        event.ok(),
        None,
        "received a message for another connection"
    );
    one.hub.send_on(peer, link, Message::Drain);
    let event = two.events.recv_timeout(EVENT_TIMEOUT);
    assert_eq!(event, Ok(PeerEvent::Message));
    one.hub.close();
    two.hub.close();
}

/// Size of a bulk message, in bytes.
const BULK_BYTES: usize = 64 * 1024;

/// A message of which the encoding takes no time.
struct Bulk;

impl PeerMessage for Bulk {
    fn encode(&self) -> Vec<u8> {
        vec![7; BULK_BYTES]
    }

    fn decode(_: &[u8]) -> Result<Self, WireError> {
        Ok(Self)
    }
}

/// Returns the number of bulk messages that the buffers of a connection certainly can't hold: twice the
/// maximum sizes to which the system enlarges them, also that of a receiver that reads nothing.
fn backlog() -> usize {
    let max = |name: &str| {
        let file = format!("/proc/sys/net/ipv4/{name}");
        let text = std::fs::read_to_string(file).expect("a limit");
        let last = text.split_whitespace().next_back();
        last.and_then(|text| text.parse::<usize>().ok())
            .expect("a limit")
    };
    2 * (max("tcp_rmem") + max("tcp_wmem")) / BULK_BYTES
}

/// Time limit, also for silence, that is longer than the hub takes for the backlog on a busy machine. The
/// close follows it.
const LONG_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a message after which a peer that reads again has read all that will arrive.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Guards against a job that is placed with a peer after its entry has given that peer up: what a closed
/// connection has not sent yet must not arrive once the peer reads again. The peer reads nothing until
/// the close has been reported, however long that takes.
#[test]
fn nothing_is_sent_on_a_connection_after_its_close() {
    let runtime = Runtime::new().expect("a runtime");
    let slow_runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let one = start_peer_with(&runtime, 1, LONG_IDLE_TIMEOUT);
    let two: TestPeer<Bulk> = start_peer_with(&slow_runtime, 2, LONG_IDLE_TIMEOUT);
    let (stall, stall_rx) = tokio::sync::oneshot::channel::<()>();
    let (stalled, stalled_rx) = channel::<()>();
    let (resume, resume_rx) = channel::<()>();
    let (end, end_rx) = tokio::sync::oneshot::channel::<()>();
    let thread = std::thread::spawn(move || {
        slow_runtime.block_on(async {
            stall_rx.await.expect("the test");
            stalled.send(()).expect("the test");
            resume_rx.recv().expect("the test");
            end_rx.await.expect("the test");
        });
    });
    one.hub.set_peers(vec![peer_address(&two, 2)]);
    let up = one.events.recv_timeout(EVENT_TIMEOUT);
    let Ok(PeerEvent::Up(peer, link)) = up else {
        panic!("expected a connection, got {up:?}");
    };
    let up = two.events.recv_timeout(EVENT_TIMEOUT);
    assert!(matches!(up, Ok(PeerEvent::Up(..))), "got {up:?}");
    stall.send(()).expect("the peer");
    stalled_rx.recv_timeout(EVENT_TIMEOUT).expect("a stall");
    let backlog = backlog();
    for _ in 0..backlog {
        one.hub.send_on(peer, link, Bulk);
    }
    one.hub.close_link(peer, link);
    let down = one.events.recv_timeout(LONG_IDLE_TIMEOUT);
    assert_eq!(down, Ok(PeerEvent::Down(peer)));
    resume.send(()).expect("the peer");
    let mut received = 0;
    while let Ok(event) = two.events.recv_timeout(QUIET_TIME) {
        received += usize::from(event == PeerEvent::Message);
    }
    end.send(()).expect("the peer");
    thread.join().expect("the peer");
    assert!(received < backlog, "all {received} messages arrived");
}
