//! What the hub knows of its connections, and which ones it makes.

use super::hub_event::{Direction, HubEvent, HubSender, ListedPeer};
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

/// Interval at which missing connections are looked for.
const DIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the VM with the larger identifier leaves the other to connect first, so that two
/// connections between one pair are rare.
const DIAL_DELAY: Duration = Duration::from_millis(250);

/// A connection in use.
#[derive(Debug)]
struct Link {
    number: u64,
    direction: Direction,
    frames: mpsc::Sender<Vec<u8>>,
    /// Time of its last message.
    heard: Instant,
}

/// A peer to connect to; one without a VM is a seed.
#[derive(Clone, Copy, Debug)]
struct Target {
    vm: Option<VmId>,
    address: SocketAddr,
    missing_since: Option<Instant>,
}

#[derive(Debug)]
pub struct HubState<M, S> {
    config: PeerConfig,
    tx: HubSender<M>,
    node: S,
    address: SocketAddr,
    links: FastMap<Incarnation, Link>,
    targets: Vec<Target>,
    dialing: FastSet<SocketAddr>,
    own: FastSet<SocketAddr>,
}

impl<M: PeerMessage, S: PeerSink<M>> HubState<M, S> {
    pub fn new(config: PeerConfig, tx: HubSender<M>, node: S, address: SocketAddr) -> Self {
        let seeds = config.seeds.iter();
        let targets = seeds.map(|&address| Target {
            vm: None,
            address,
            missing_since: None,
        });
        Self {
            targets: targets.collect(),
            config,
            tx,
            node,
            address,
            links: FastMap::default(),
            dialing: FastSet::default(),
            own: FastSet::default(),
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
                    heard: Instant::now(),
                };
                self.link_up(peer, link);
            }
            HubEvent::Incoming { peer, admit } => {
                // The connection may have been given up meanwhile.
                let _ = admit.send(!self.is_alive(peer));
            }
            HubEvent::Down { peer, number } => self.link_down(peer, number),
            HubEvent::Message {
                peer,
                number,
                message,
            } => {
                let link = self.links.get_mut(&peer);
                if let Some(link) = link.filter(|link| link.number == number) {
                    link.heard = Instant::now();
                    self.node.message(peer, *message);
                }
            }
            HubEvent::Send { to, link, message } => self.send(to, link, &message),
            HubEvent::Listed(peers) => self.take_list(&peers),
            HubEvent::Dialed(address) => {
                self.dialing.remove(&address);
            }
            HubEvent::Myself(address) => {
                self.own.insert(address);
            }
            HubEvent::Close(_) => {}
        }
    }

    fn is_current(&self, peer: Incarnation, number: u64) -> bool {
        self.links
            .get(&peer)
            .is_some_and(|link| link.number == number)
    }

    /// Tells whether a peer is connected and was heard a short time ago.
    fn is_alive(&self, peer: Incarnation) -> bool {
        let limit = self.config.link.silence / 2;
        let link = self.links.get(&peer);
        link.is_some_and(|link| link.heard.elapsed() < limit)
    }

    /// Tells whether a connection is the one that both sides keep of two that cross: the one that
    /// the VM with the smaller identifier opened.
    fn is_preferred(&self, peer: Incarnation, link: &Link) -> bool {
        (self.config.link.me.vm < peer.vm) == (link.direction == Direction::Outgoing)
    }

    /// Uses a new connection. It replaces an older one to the same peer, which may be dead without
    /// this side knowing.
    fn link_up(&mut self, peer: Incarnation, link: Link) {
        let kept = self.links.get(&peer).filter(|_| self.is_alive(peer));
        if kept.is_some_and(|kept| self.is_preferred(peer, kept) && !self.is_preferred(peer, &link))
        {
            tracing::info!(%peer, "a second connection is closed");
            return;
        }
        let number = link.number;
        tracing::info!(%peer, replaces = kept.is_some(), "peer connected");
        if self.links.insert(peer, link).is_some() {
            self.node.peer_down(peer);
        }
        self.node.peer_up(peer, number);
    }

    fn link_down(&mut self, peer: Incarnation, number: u64) {
        if self.is_current(peer, number) {
            tracing::info!(%peer, "peer disconnected");
            self.links.remove(&peer);
            self.node.peer_down(peer);
        }
    }

    fn send(&mut self, to: Incarnation, number: Option<u64>, message: &M) {
        let meant = |link: &&Link| number.is_none_or(|number| number == link.number);
        let Some(link) = self.links.get(&to).filter(meant) else {
            tracing::debug!(peer = %to, number, "a message for a connection that has ended is dropped");
            return;
        };
        // A link whose task ended reports that itself.
        if let Err(TrySendError::Full(_)) = link.frames.try_send(message.encode()) {
            tracing::warn!(peer = %to, "peer does not keep up; closing the connection");
            let number = link.number;
            self.link_down(to, number);
        }
    }

    fn take_list(&mut self, peers: &[ListedPeer]) {
        let me = self.config.link.me.vm;
        let listed: Vec<_> = peers.iter().filter(|peer| peer.vm != me).collect();
        let known = std::mem::take(&mut self.targets);
        let seeds = known.iter().filter(|target| target.vm.is_none()).copied();
        self.targets = listed
            .iter()
            .map(|&&ListedPeer { vm, address }| {
                let old = known.iter().find(|target| target.address == address);
                let missing_since = old.and_then(|target| target.missing_since);
                Target {
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

    /// Connects to the peers to which there is no connection.
    fn dial_missing(&mut self) {
        let me = self.config.link.me.vm;
        let linked: FastSet<VmId> = self.links.keys().map(|peer| peer.vm).collect();
        let now = Instant::now();
        let mut due = Vec::new();
        for target in &mut self.targets {
            let connected = match target.vm {
                Some(vm) => linked.contains(&vm),
                None => !linked.is_empty(),
            };
            if connected {
                target.missing_since = None;
                continue;
            }
            let since = *target.missing_since.get_or_insert(now);
            let first = target.vm.is_none_or(|vm| me < vm);
            if first || now.duration_since(since) >= DIAL_DELAY {
                due.push(target.address);
            }
        }
        for address in due {
            self.dial(address);
        }
    }

    fn dial(&mut self, address: SocketAddr) {
        if address == self.address || self.own.contains(&address) || !self.dialing.insert(address) {
            return;
        }
        let (config, tx) = (self.config.link.clone(), self.tx.clone());
        tokio::spawn(async move {
            match link::dial(config, address, tx.clone()).await {
                Ok(()) => {}
                Err(LinkError::Myself) => tx.send(HubEvent::Myself(address)),
                Err(e) => tracing::debug!(%address, error = %e, "peer not reached"),
            }
            tx.send(HubEvent::Dialed(address));
        });
    }

    /// Lets every connection write its queue, by dropping the sending ends, and waits until the
    /// connections ended.
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
        // The process that asked may have given up waiting.
        let _ = done.send(());
    }
}
