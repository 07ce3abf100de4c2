//! State of the hub: its connections, and the peers that it connects to.

use super::hub_event::{Direction, HubEvent, HubSender, PeerAddress};
use super::link::{self, LinkError};
use super::peer_config::PeerConfig;
use super::protocol::{PeerMessage, PeerSink};
use cardamomslip_core::collections::{FastMap, FastSet};
use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// Interval between checks for peers without a connection.
const DIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the VM with the larger identifier waits for the other one to connect first, so that
/// two VMs rarely open two connections to each other.
const DIAL_DELAY: Duration = Duration::from_millis(250);

/// An established connection.
#[derive(Debug)]
struct Link {
    number: u64,
    direction: Direction,
    frames: mpsc::Sender<Vec<u8>>,
    /// Time at which the last message was received, or the connection was established.
    last_received: Instant,
}

/// A peer to connect to. Seeds have no VM.
#[derive(Clone, Copy, Debug)]
struct DialTarget {
    vm: Option<VmId>,
    address: SocketAddr,
    missing_since: Option<Instant>,
}

#[derive(Debug)]
pub struct HubState<M, S> {
    config: PeerConfig,
    tx: HubSender<M>,
    sink: S,
    address: SocketAddr,
    links: FastMap<Incarnation, Link>,
    targets: Vec<DialTarget>,
    dialing: FastSet<SocketAddr>,
    own_addresses: FastSet<SocketAddr>,
}

impl<M: PeerMessage, S: PeerSink<M>> HubState<M, S> {
    pub fn new(config: PeerConfig, tx: HubSender<M>, sink: S, address: SocketAddr) -> Self {
        let seeds = config.seeds.iter();
        let targets = seeds.map(|&address| DialTarget {
            vm: None,
            address,
            missing_since: None,
        });
        Self {
            targets: targets.collect(),
            config,
            tx,
            sink,
            address,
            links: FastMap::default(),
            dialing: FastSet::default(),
            own_addresses: FastSet::default(),
        }
    }

    pub async fn run(mut self, mut rx: mpsc::UnboundedReceiver<HubEvent<M>>) {
        let mut dial_timer = tokio::time::interval(DIAL_INTERVAL);
        loop {
            tokio::select! {
                event = rx.recv() => match event {
                    Some(HubEvent::Close(done)) => {
                        self.close(rx, done).await;
                        return;
                    }
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = dial_timer.tick() => self.dial_missing(),
            }
        }
    }

    fn handle(&mut self, event: HubEvent<M>) {
        match event {
            HubEvent::Up {
                peer,
                number,
                direction,
                frames,
            } => {
                let link = Link {
                    number,
                    direction,
                    frames,
                    last_received: Instant::now(),
                };
                self.add_link(peer, link);
            }
            HubEvent::ConnectionRequest { peer, accept } => {
                // Sending fails if the connection has been dropped in the meantime.
                let _ = accept.send(!self.is_alive(peer));
            }
            HubEvent::Down { peer, number } => self.remove_link(peer, number),
            HubEvent::Message {
                peer,
                number,
                message,
            } => {
                let link = self.links.get_mut(&peer);
                if let Some(link) = link.filter(|link| link.number == number) {
                    link.last_received = Instant::now();
                    self.sink.message_received(peer, *message);
                }
            }
            HubEvent::Send {
                to,
                number,
                message,
            } => self.send(to, number, &message),
            HubEvent::PeersChanged(peers) => self.set_peers(&peers),
            HubEvent::DialEnded(address) => {
                self.dialing.remove(&address);
            }
            HubEvent::SelfDialed(address) => {
                self.own_addresses.insert(address);
            }
            HubEvent::Close(_) => {}
        }
    }

    fn is_current(&self, peer: Incarnation, number: u64) -> bool {
        self.links
            .get(&peer)
            .is_some_and(|link| link.number == number)
    }

    /// Returns whether a peer is connected and has sent a message recently.
    fn is_alive(&self, peer: Incarnation) -> bool {
        let limit = self.config.link.idle_timeout / 2;
        let link = self.links.get(&peer);
        link.is_some_and(|link| link.last_received.elapsed() < limit)
    }

    /// Returns whether a connection was opened by the VM with the smaller identifier. If both VMs
    /// connect to each other at the same time, both keep this connection.
    fn is_preferred(&self, peer: Incarnation, link: &Link) -> bool {
        (self.config.link.me.vm < peer.vm) == (link.direction == Direction::Outgoing)
    }

    /// Adds a new connection. It replaces an older one to the same peer, which may be dead without
    /// this side having noticed.
    fn add_link(&mut self, peer: Incarnation, link: Link) {
        let current = self.links.get(&peer).filter(|_| self.is_alive(peer));
        if current.is_some_and(|current| {
            self.is_preferred(peer, current) && !self.is_preferred(peer, &link)
        }) {
            tracing::info!(%peer, "closing a duplicate peer connection");
            return;
        }
        let number = link.number;
        tracing::info!(%peer, replaces = current.is_some(), "peer connected");
        if self.links.insert(peer, link).is_some() {
            self.sink.peer_down(peer);
        }
        self.sink.peer_up(peer, number);
    }

    fn remove_link(&mut self, peer: Incarnation, number: u64) {
        if self.is_current(peer, number) {
            tracing::info!(%peer, "peer disconnected");
            self.links.remove(&peer);
            self.sink.peer_down(peer);
        }
    }

    fn send(&mut self, to: Incarnation, number: Option<u64>, message: &M) {
        let matches_number = |link: &&Link| number.is_none_or(|number| number == link.number);
        let Some(link) = self.links.get(&to).filter(matches_number) else {
            tracing::debug!(peer = %to, number, "dropped a message: the connection has ended");
            return;
        };
        // If the channel is closed, the task of the link has ended and reports that itself.
        if let Err(TrySendError::Full(_)) = link.frames.try_send(message.encode()) {
            tracing::warn!(peer = %to, "send queue of the peer is full; closing the connection");
            let number = link.number;
            self.remove_link(to, number);
        }
    }

    fn set_peers(&mut self, peers: &[PeerAddress]) {
        let me = self.config.link.me.vm;
        let listed: Vec<_> = peers.iter().filter(|peer| peer.vm != me).collect();
        let old_targets = std::mem::take(&mut self.targets);
        let seeds = old_targets
            .iter()
            .filter(|target| target.vm.is_none())
            .copied();
        self.targets = listed
            .iter()
            .map(|&&PeerAddress { vm, address }| {
                let old_target = old_targets.iter().find(|target| target.address == address);
                let missing_since = old_target.and_then(|target| target.missing_since);
                DialTarget {
                    vm: Some(vm),
                    address,
                    missing_since,
                }
            })
            .collect();
        let unlisted = seeds.filter(|seed| listed.iter().all(|peer| peer.address != seed.address));
        self.targets.extend(unlisted);
        self.dial_missing();
    }

    /// Connects to all peers without a connection, except where the peer should connect first.
    fn dial_missing(&mut self) {
        let me = self.config.link.me.vm;
        let connected_vms: FastSet<VmId> = self.links.keys().map(|peer| peer.vm).collect();
        let now = Instant::now();
        let mut due = Vec::new();
        for target in &mut self.targets {
            let connected = match target.vm {
                Some(vm) => connected_vms.contains(&vm),
                None => !connected_vms.is_empty(),
            };
            if connected {
                target.missing_since = None;
                continue;
            }
            let missing_since = *target.missing_since.get_or_insert(now);
            let is_first_dialer = target.vm.is_none_or(|vm| me < vm);
            if is_first_dialer || now.duration_since(missing_since) >= DIAL_DELAY {
                due.push(target.address);
            }
        }
        for address in due {
            self.dial(address);
        }
    }

    fn dial(&mut self, address: SocketAddr) {
        if address == self.address
            || self.own_addresses.contains(&address)
            || !self.dialing.insert(address)
        {
            return;
        }
        let (config, tx) = (self.config.link.clone(), self.tx.clone());
        tokio::spawn(async move {
            match link::dial(config, address, tx.clone()).await {
                Ok(()) => {}
                Err(LinkError::SelfConnection) => tx.send(HubEvent::SelfDialed(address)),
                Err(e) => tracing::debug!(%address, error = %e, "connecting to the peer failed"),
            }
            tx.send(HubEvent::DialEnded(address));
        });
    }

    /// Drops the sending halves of all connections, which lets them write their queues and close,
    /// and waits until they have ended.
    async fn close(
        mut self,
        mut rx: mpsc::UnboundedReceiver<HubEvent<M>>,
        done: oneshot::Sender<()>,
    ) {
        let links = std::mem::take(&mut self.links);
        let mut open: FastSet<u64> = links.values().map(|link| link.number).collect();
        drop(links);
        while !open.is_empty()
            && let Some(event) = rx.recv().await
        {
            if let HubEvent::Down { number, .. } = event {
                open.remove(&number);
            }
        }
        // Sending fails if the caller has stopped waiting.
        let _ = done.send(());
    }
}
