//! Checks of the secret and the protocol version in the handshake between peers.

use cardamomslip::input::InputSender;
use cardamomslip::peers::{PeerConfig, PeerHub};
use cardamomslip::settings::Secret;
use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;
use rstest::rstest;
use sha2::{Digest, Sha256};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use tokio::runtime::Runtime;

const SECRET: &str = "a secret of the peers";

#[rstest]
#[case::right(SECRET, "cardamomslip.6", "101")]
#[case::wrong_secret("another secret", "cardamomslip.6", "401")]
#[case::other_version(SECRET, "cardamomslip.1", "426")]
#[case::former_version(SECRET, "cardamomslip.3", "426")]
fn secret_and_version_are_checked(
    #[case] secret: &str,
    #[case] version: &str,
    #[case] status: &str,
) {
    let runtime = Runtime::new().expect("a runtime");
    let me = Incarnation {
        data_centre: DataCentreId(1),
        vm: VmId(1),
        nonce: 1,
    };
    let listen = "127.0.0.1:0".parse().expect("an address");
    let own_secret = Secret::new(SECRET.to_owned());
    let config = PeerConfig::new(me, own_secret, Duration::from_secs(1), listen, Vec::new());
    let (tx, _rx) = std::sync::mpsc::channel();
    let hub: PeerHub<Message> =
        PeerHub::start(config, runtime.handle(), InputSender::new(tx)).expect("a hub");
    let mut stream = TcpStream::connect(hub.address()).expect("a connection");
    let request = format!(
        "GET / HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
         sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\
         sec-websocket-protocol: {version}\r\nauthorization: Bearer {:x}\r\n\r\n",
        Sha256::digest(secret.as_bytes())
    );
    stream.write_all(request.as_bytes()).expect("a connection");
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("a status line");
    assert_eq!(String::from_utf8_lossy(&head[9..]), status);
    hub.close();
}
