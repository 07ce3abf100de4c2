//! Connections to the peers' listener that don't come from peers.

use cardamomslip::peers::{
    HandshakeDecision, HandshakeTable, PeerAddress, PeerConfig, PeerHub, PeerSink,
};
use cardamomslip::settings::Secret;
use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Limit on the connections in their handshake.
const MAX_HANDSHAKES: usize = 4;
/// Number of strangers.
const STRANGERS: usize = 50;
/// Time limit for a connection between hubs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(30);
const SECOND: Duration = Duration::from_secs(1);

/// A peer that has connected or gone.
#[derive(Debug, PartialEq, Eq)]
enum Change {
    Up(VmId),
    Down(VmId),
}

#[derive(Clone, Debug)]
struct Changes(Sender<Change>);

impl PeerSink<Message> for Changes {
    fn peer_up(&self, peer: Incarnation, _: u64) {
        // Sending fails if the test has ended.
        let _ = self.0.send(Change::Up(peer.vm));
    }

    fn peer_down(&self, peer: Incarnation) {
        let _ = self.0.send(Change::Down(peer.vm));
    }

    fn message_received(&self, _: Incarnation, _: Message) {}
}

fn start_hub(runtime: &Runtime, vm: u64, sink: Changes) -> PeerHub<Message> {
    let me = Incarnation {
        data_centre: DataCentreId(1),
        vm: VmId(vm),
        nonce: vm,
    };
    let secret = Secret::new("a secret of the peers".to_owned());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = PeerConfig {
        max_handshakes: MAX_HANDSHAKES,
        ..PeerConfig::new(me, secret, 60 * SECOND, listen, Vec::new())
    };
    PeerHub::start(config, runtime.handle(), sink).expect("a hub")
}

/// While strangers hold all places for handshakes and more wait for one, a peer that has connected
/// stays, and another one connects.
#[test]
fn strangers_do_not_keep_peers_away() {
    let runtime = Runtime::new().expect("a runtime");
    let (tx, rx) = channel();
    let (other_tx, _other_rx) = channel();
    let first = start_hub(&runtime, 1, Changes(tx));
    let second = start_hub(&runtime, 2, Changes(other_tx.clone()));
    let third = start_hub(&runtime, 3, Changes(other_tx));
    let peers = vec![PeerAddress {
        vm: VmId(1),
        address: first.address(),
    }];
    second.set_peers(peers.clone());
    assert_eq!(rx.recv_timeout(CONNECT_TIMEOUT), Ok(Change::Up(VmId(2))));
    let strangers = (0..STRANGERS).map(|_| TcpStream::connect(first.address()));
    let strangers: Vec<_> = strangers.collect();
    third.set_peers(peers);
    assert_eq!(rx.recv_timeout(CONNECT_TIMEOUT), Ok(Change::Up(VmId(3))));
    drop(strangers);
    first.close();
    second.close();
    third.close();
}

/// A table of handshakes, and the time.
struct Case {
    table: HandshakeTable<&'static str>,
    now: Instant,
}

impl Case {
    fn begin(&mut self, name: &'static str, client: IpAddr) -> u64 {
        assert_eq!(self.decide(client), HandshakeDecision::Admit);
        self.table.begin(self.now, client, name)
    }

    fn decide(&self, client: IpAddr) -> HandshakeDecision {
        self.table.decide(self.now, client)
    }
}

const fn client(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

/// Defines tests that each run on a table of their own.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let body: fn(&mut Case) = $body;
            let table = HandshakeTable::new(MAX_HANDSHAKES);
            body(&mut Case { table, now: Instant::now() });
        })*
    };
}

cases! {
    /// A handshake that has just begun is that of a peer perhaps, and is not ended for another one.
    a_young_handshake_is_waited_for => |case| {
        for name in ["a", "b", "c", "d"] {
            case.begin(name, client(1));
        }
        let HandshakeDecision::WaitUntil(at) = case.decide(client(2)) else {
            panic!("{:?}", case.decide(client(2)));
        };
        assert!(at > case.now);
        case.now = at;
        assert!(matches!(case.decide(client(2)), HandshakeDecision::Close(_)));
    };

    /// The place of a handshake is free once it has ended, not when its end begins.
    the_oldest_makes_room => |case| {
        let oldest = case.begin("a", client(1));
        case.now += SECOND;
        for (number, name) in [(2, "b"), (3, "c"), (4, "d")] {
            case.begin(name, client(number));
        }
        assert_eq!(case.decide(client(5)), HandshakeDecision::Close(oldest));
        assert_eq!(case.table.close(oldest), Some("a"));
        assert!(matches!(case.decide(client(5)), HandshakeDecision::WaitUntil(_)));
        case.table.end(oldest);
        assert_eq!(case.decide(client(5)), HandshakeDecision::Admit);
    };

    /// The client with most handshakes makes room, also for itself.
    the_client_with_most_makes_room => |case| {
        case.begin("a", client(1));
        case.now += SECOND;
        let oldest_of_most = case.begin("b", client(2));
        case.begin("c", client(2));
        case.begin("d", client(3));
        case.now += SECOND;
        assert_eq!(case.decide(client(2)), HandshakeDecision::Close(oldest_of_most));
        assert_eq!(case.decide(client(4)), HandshakeDecision::Close(oldest_of_most));
    };
}
