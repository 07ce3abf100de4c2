//! A hub goes on accepting peers after the process had no free descriptor.
//!
//! The test limits the descriptors of its whole process, so it is the only one of this file.

use cardamomslip::peers::{PeerAddress, PeerConfig, PeerHub, PeerSink};
use cardamomslip::settings::Secret;
use cardamomslip_core::model::ids::{DataCentreId, VmId};
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use std::fs::File;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use tokio::runtime::Runtime;

/// Time for which the process has no free descriptor.
const SHORTAGE: Duration = Duration::from_millis(300);
/// Time limit for a connection between hubs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
struct Connected(Sender<Incarnation>);

impl PeerSink<Message> for Connected {
    fn peer_up(&self, peer: Incarnation, _: u64) {
        // Sending fails if the test has ended.
        let _ = self.0.send(peer);
    }

    fn peer_down(&self, _: Incarnation) {}

    fn message_received(&self, _: Incarnation, _: Message) {}
}

fn start_hub(runtime: &Runtime, vm: u64, sink: Connected) -> PeerHub<Message> {
    let me = Incarnation {
        data_centre: DataCentreId(1),
        vm: VmId(vm),
        nonce: vm,
    };
    let secret = Secret::new("a secret of the peers".to_owned());
    let listen = "127.0.0.1:0".parse().expect("an address");
    let idle_timeout = Duration::from_secs(2);
    let config = PeerConfig::new(me, secret, idle_timeout, listen, Vec::new());
    PeerHub::start(config, runtime.handle(), sink).expect("a hub")
}

/// The listener ended for good at the first error, so that no peer could connect to the VM any more.
#[test]
fn peers_are_accepted_after_a_shortage_of_descriptors() {
    let runtime = Runtime::new().expect("a runtime");
    let (tx, rx) = channel();
    let first = start_hub(&runtime, 1, Connected(tx.clone()));
    let second = start_hub(&runtime, 2, Connected(tx));
    let free = File::open("/dev/null").expect("a file").as_raw_fd();
    let limit = getrlimit(Resource::Nofile);
    let shortage = Rlimit {
        current: Some(u64::try_from(free).expect("a descriptor") + 1),
        maximum: limit.maximum,
    };
    setrlimit(Resource::Nofile, shortage).expect("a lower limit");
    let client = TcpStream::connect(first.address()).expect("the last descriptor");
    std::thread::sleep(SHORTAGE);
    drop(client);
    setrlimit(Resource::Nofile, limit).expect("the limit of before");
    second.set_peers(vec![PeerAddress {
        vm: VmId(1),
        address: first.address(),
    }]);
    let peer = rx.recv_timeout(CONNECT_TIMEOUT).expect("a connection");
    assert!([VmId(1), VmId(2)].contains(&peer.vm));
    first.close();
    second.close();
}
