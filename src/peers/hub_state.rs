//! State of the hub: its connections, and the peers that it connects to.

use super::dial_target::DialTarget;
use super::hub_event::{DialOutcome, Direction, HubEvent, HubSender, PeerAddress};
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
/// Same as [`DIAL_DELAY`], after a connection was lost. It is short because other VMs wait to know
/// whether the peer is alive.
const REDIAL_DELAY: Duration = Duration::from_millis(30);

/// An established connection.
#[derive(Debug)]
struct Link {
    number: u64,
    direction: Direction,
    frames: mpsc::Sender<Vec<u8>>,
    reset: oneshot::Sender<()>,
    /// Time at which the last message was received, or the connection was established.
    last_received: Instant,
}

#[derive(Debug)]
pub struct HubState<M, S> {
    config: PeerConfig,
    tx: HubSender<M>,
    sink: S,
    address: SocketAddr,
    links: FastMap<Incarnation, Link>,
    targets: Vec<DialTarget>,
    /// VMs to connect to; `None` for all in the list.
    wanted: Option<FastSet<VmId>>,
    dialing: FastSet<SocketAddr>,
    own_addresses: FastSet<SocketAddr>,
}

impl<M: PeerMessage, S: PeerSink<M>> HubState<M, S> {
    pub fn new(config: PeerConfig, tx: HubSender<M>, sink: S, address: SocketAddr) -> Self {
        let seeds = config.seeds.iter();
        let targets = seeds.map(|&address| DialTarget::new(None, address));
        Self {
            targets: targets.collect(),
            config,
            tx,
            sink,
            address,
            links: FastMap::default(),
            wanted: None,
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
                reset,
            } => {
                let link = Link {
                    number,
                    direction,
                    frames,
                    reset,
                    last_received: Instant::now(),
                };
                self.add_link(peer, link);
            }
            HubEvent::ConnectionRequest { peer, accept } => {
                // Sending fails if the connection has been dropped in the meantime.
                let _ = accept.send(!self.is_alive(peer));
            }
            HubEvent::Down { peer, number } => {
                self.remove_link(peer, number);
                self.redial_later(peer);
            }
            HubEvent::CloseLink { peer, number } => self.remove_link(peer, number),
            HubEvent::WantedChanged(vms) => {
                self.wanted = Some(vms.into_iter().collect());
                self.dial_missing();
            }
            HubEvent::Redial(address) => self.dial(address),
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
            HubEvent::DialEnded { address, outcome } => self.handle_dial_end(address, outcome),
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
        let link = self.links.get(&peer);
        link.is_some_and(|link| link.last_received.elapsed() < self.config.alive_within)
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

    /// Removes a connection. What it has not sent yet is not sent any more: the jobs that depend on the
    /// peer are given up with it, so a job that is placed by a message sent late would run for nobody.
    fn remove_link(&mut self, peer: Incarnation, number: u64) {
        if !self.is_current(peer, number) {
            return;
        }
        tracing::info!(%peer, "peer disconnected");
        if let Some(link) = self.links.remove(&peer) {
            // Sending fails if the connection has ended.
            let _ = link.reset.send(());
        }
        self.sink.peer_down(peer);
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
        self.targets = listed
            .iter()
            .map(|&&PeerAddress { vm, address }| {
                let known = old_targets.iter().find(|target| target.address == address);
                known.map_or_else(
                    || DialTarget::new(Some(vm), address),
                    |known| known.with_vm(vm),
                )
            })
            .collect();
        let seeds = old_targets.into_iter().filter(|target| target.vm.is_none());
        let unlisted = seeds.filter(|seed| listed.iter().all(|peer| peer.address != seed.address));
        self.targets.extend(unlisted);
        self.dial_missing();
    }

    /// Connects to all wanted peers without a connection, except where the peer should connect
    /// first.
    fn dial_missing(&mut self) {
        let me = self.config.link.me.vm;
        let connected_vms: FastSet<VmId> = self.links.keys().map(|peer| peer.vm).collect();
        let now = Instant::now();
        let mut due = Vec::new();
        for target in &mut self.targets {
            let is_wanted = match (target.vm, &self.wanted) {
                (Some(vm), Some(wanted)) => wanted.contains(&vm),
                _ => true,
            };
            let is_connected = match target.vm {
                Some(vm) => connected_vms.contains(&vm),
                None => !connected_vms.is_empty(),
            };
            if is_connected || !is_wanted {
                target.reset();
                continue;
            }
            let is_first_dialer = target.vm.is_none_or(|vm| me < vm);
            let delay = if is_first_dialer {
                Duration::ZERO
            } else {
                DIAL_DELAY
            };
            if target.is_due(now, delay) {
                due.push(target.address);
            }
        }
        for address in due {
            self.dial(address);
        }
    }

    /// Connects to a peer again after its connection was lost, if it is still wanted.
    fn redial_later(&self, peer: Incarnation) {
        let is_wanted = self.wanted.as_ref();
        let is_wanted = is_wanted.is_none_or(|wanted| wanted.contains(&peer.vm));
        let target = self
            .targets
            .iter()
            .find(|target| target.vm == Some(peer.vm));
        let Some(target) = target.filter(|_| is_wanted) else {
            return;
        };
        let delay = if self.config.link.me.vm < peer.vm {
            Duration::ZERO
        } else {
            REDIAL_DELAY
        };
        let (tx, address) = (self.tx.clone(), target.address);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            tx.send(HubEvent::Redial(address));
        });
    }

    fn handle_dial_end(&mut self, address: SocketAddr, outcome: DialOutcome) {
        self.dialing.remove(&address);
        let mut targets = self.targets.iter_mut();
        let Some(target) = targets.find(|target| target.address == address) else {
            return;
        };
        target.record_attempt(Instant::now(), outcome == DialOutcome::Connected);
        if let Some(vm) = target.vm.filter(|_| outcome == DialOutcome::Refused) {
            self.sink.connection_refused(vm);
        }
    }

    /// Returns whether the VM at an address is connected.
    fn is_connected_to(&self, address: SocketAddr) -> bool {
        let mut targets = self.targets.iter();
        let target = targets.find(|target| target.address == address);
        let vm = target.and_then(|target| target.vm);
        vm.is_some_and(|vm| self.links.keys().any(|peer| peer.vm == vm))
    }

    fn dial(&mut self, address: SocketAddr) {
        let is_connected = self.is_connected_to(address);
        if address == self.address
            || is_connected
            || self.own_addresses.contains(&address)
            || !self.dialing.insert(address)
        {
            return;
        }
        let (config, tx) = (self.config.link.clone(), self.tx.clone());
        tokio::spawn(async move {
            let outcome = match link::dial(config, address, tx.clone()).await {
                Ok(()) => DialOutcome::Connected,
                Err(e) => {
                    tracing::debug!(%address, error = %e, "connecting to the peer failed");
                    if matches!(e, LinkError::SelfConnection) {
                        tx.send(HubEvent::SelfDialed(address));
                    }
                    if e.is_refused() {
                        DialOutcome::Refused
                    } else {
                        DialOutcome::Failed
                    }
                }
            };
            tx.send(HubEvent::DialEnded { address, outcome });
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
