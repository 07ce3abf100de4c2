//! Several connections to one peer.

use cardamomslip::peers::{ListedPeer, PeerConfig, PeerHub, PeerSink};
use cardamomslip::settings::Secret;
use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Silence after which a connection counts as dead.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Time within which hubs on one machine find each other.
const SOON: Duration = Duration::from_secs(5);

/// What a node hears of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    Up(Incarnation, u64),
    Down(Incarnation),
    Message,
}

#[derive(Clone, Debug)]
struct Node(Sender<Heard>);

impl PeerSink<Message> for Node {
    fn peer_up(&self, peer: Incarnation, link: u64) {
        self.0
            .send(Heard::Up(peer, link))
            .expect("the test listens");
    }

    fn peer_down(&self, peer: Incarnation) {
        // The test may have ended.
        let _ = self.0.send(Heard::Down(peer));
    }

    fn message(&self, _: Incarnation, _: Message) {
        self.0.send(Heard::Message).expect("the test listens");
    }
}

struct Side {
    hub: PeerHub<Message>,
    heard: Receiver<Heard>,
}

fn incarnation(vm: u64) -> Incarnation {
    Incarnation {
        data_centre: DataCentreId(1),
        vm: VmId(vm),
        nonce: vm,
    }
}

fn side(runtime: &Runtime, vm: u64) -> Side {
    let secret = Secret::new("a secret of the peers".to_owned());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = PeerConfig::new(incarnation(vm), secret, SILENCE, listen, Vec::new());
    let (tx, heard) = channel();
    let hub = PeerHub::start(config, runtime.handle(), Node(tx)).expect("a hub");
    Side { hub, heard }
}

fn listed(side: &Side, vm: u64) -> ListedPeer {
    ListedPeer {
        vm: VmId(vm),
        address: side.hub.address(),
    }
}

/// A process that takes itself for VM 1 connects again while its first connection stands: the
/// first one is kept, and nothing that is in flight on it is lost.
#[test]
fn a_second_connection_does_not_replace_a_live_one() {
    let runtime = Runtime::new().expect("a runtime");
    let one = side(&runtime, 1);
    let two = side(&runtime, 2);
    one.hub.take_list(vec![listed(&two, 2)]);
    let up = two.heard.recv_timeout(SOON).expect("a connection");
    assert!(matches!(up, Heard::Up(peer, _) if peer == incarnation(1)));
    let twin = side(&runtime, 1);
    twin.hub.take_list(vec![listed(&two, 2)]);
    let next = two.heard.recv_timeout(Duration::from_millis(500));
    assert_eq!(
        next.ok(),
        None,
        "what VM 2 heard after its first connection"
    );
    for side in [one, two, twin] {
        side.hub.close();
    }
}

/// Both sides connect at the same moment, as after a cut: each ends with one connection that stays.
#[test]
fn connections_that_cross_leave_one() {
    let runtime = Runtime::new().expect("a runtime");
    for _ in 0..20 {
        let (one, two) = (side(&runtime, 1), side(&runtime, 2));
        let (of_one, of_two) = (listed(&one, 1), listed(&two, 2));
        // The one with the larger identifier waits before it connects.
        two.hub.take_list(vec![of_one]);
        std::thread::sleep(Duration::from_millis(250));
        one.hub.take_list(vec![of_two]);
        for (side, peer) in [(&one, 2), (&two, 1)] {
            let up = side.heard.recv_timeout(SOON).expect("a connection");
            assert!(matches!(up, Heard::Up(up, _) if up == incarnation(peer)));
        }
        let settled = Instant::now() + Duration::from_millis(150);
        let rest = |side: &Side| {
            let wait = settled.saturating_duration_since(Instant::now());
            side.heard.recv_timeout(wait).ok()
        };
        // A crossing may replace the first connection once, never leave none.
        for side in [&one, &two] {
            if let Some(Heard::Down(_)) = rest(side) {
                let again = side
                    .heard
                    .recv_timeout(SOON)
                    .expect("the connection that is kept");
                assert!(matches!(again, Heard::Up(..)));
            }
        }
        one.hub.close();
        two.hub.close();
    }
}

/// A message is meant for the connection that its sender knew: it does not go over one that has
/// replaced it.
#[test]
fn a_message_keeps_to_its_connection() {
    let runtime = Runtime::new().expect("a runtime");
    let one = side(&runtime, 1);
    let two = side(&runtime, 2);
    one.hub.take_list(vec![listed(&two, 2)]);
    let up = one.heard.recv_timeout(SOON).expect("a connection");
    let Heard::Up(peer, link) = up else {
        panic!("{up:?}");
    };
    let up = two.heard.recv_timeout(SOON).expect("a connection");
    assert!(matches!(up, Heard::Up(..)));
    one.hub.send_on(peer, link + 1, Message::Drain);
    let heard = two.heard.recv_timeout(Duration::from_millis(300));
    assert_eq!(heard.ok(), None, "a message for another connection");
    one.hub.send_on(peer, link, Message::Drain);
    let heard = two.heard.recv_timeout(SOON);
    assert_eq!(heard, Ok(Heard::Message));
    one.hub.close();
    two.hub.close();
}
