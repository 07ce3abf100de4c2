//! All connections to peers.

use super::link::{self, Direction, LinkConfig, LinkError};
use super::protocol::{PeerMessage, PeerSink};
use crate::error::{Error, ErrorKind};
use cardamomslip_core::collections::{FastMap, FastSet};
use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

/// Interval at which missing connections are looked for.
const DIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the VM with the larger identifier leaves the other to connect first, so that two
/// connections between one pair are rare.
const DIAL_DELAY: Duration = Duration::from_millis(250);
/// Time for which the last frames are written when the process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// How the hub is set up.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// This process and its secret.
    pub link: LinkConfig,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Peers to connect to before any are listed.
    pub seeds: Vec<SocketAddr>,
}

impl PeerConfig {
    /// Builds a config.
    #[must_use]
    pub const fn new(
        me: Incarnation,
        secret: crate::settings::Secret,
        silence: Duration,
        listen: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            link: LinkConfig {
                me,
                secret,
                silence,
            },
            listen,
            seeds,
        }
    }
}

/// What happens at the hub.
#[derive(Debug)]
pub enum HubEvent<M> {
    /// A connection is established.
    Up {
        peer: Incarnation,
        number: u64,
        direction: Direction,
        frames: mpsc::Sender<Vec<u8>>,
    },
    /// A peer connects; may it?
    Incoming {
        peer: Incarnation,
        admit: oneshot::Sender<bool>,
    },
    /// A connection ended.
    Down { peer: Incarnation, number: u64 },
    /// A message came.
    Message {
        peer: Incarnation,
        number: u64,
        message: Box<M>,
    },
    /// The node sends a message.
    Send { to: Incarnation, message: Box<M> },
    /// A newer list of the peers.
    Listed(Vec<ListedPeer>),
    /// A dial attempt ended.
    Dialed(SocketAddr),
    /// A dial attempt met this process itself.
    Myself(SocketAddr),
    /// The process stops.
    Close(oneshot::Sender<()>),
}

/// The way to the hub. Sending never fails: an event for a hub that ended is dropped.
#[derive(Debug)]
pub struct HubSender<M> {
    tx: mpsc::UnboundedSender<HubEvent<M>>,
    links: Arc<AtomicU64>,
}

impl<M> Clone for HubSender<M> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            links: Arc::clone(&self.links),
        }
    }
}

impl<M> HubSender<M> {
    /// Sends an event.
    pub fn send(&self, event: HubEvent<M>) {
        drop(self.tx.send(event));
    }

    /// Sends a message that came on a connection.
    pub fn message(&self, peer: Incarnation, number: u64, message: M) {
        self.send(HubEvent::Message {
            peer,
            number,
            message: Box::new(message),
        });
    }

    /// Asks whether a peer that connects may: not if it is connected already and alive. A hub that
    /// has ended admits nobody.
    pub async fn admits(&self, peer: Incarnation) -> bool {
        let (tx, rx) = oneshot::channel();
        self.send(HubEvent::Incoming { peer, admit: tx });
        rx.await.unwrap_or(false)
    }

    /// Numbers a new connection.
    pub fn next_link(&self) -> u64 {
        self.links.fetch_add(1, Ordering::Relaxed)
    }
}

/// All connections to peers. Clones share them.
#[derive(Debug)]
pub struct PeerHub<M> {
    tx: HubSender<M>,
    address: SocketAddr,
    runtime: Handle,
}

impl<M> Clone for PeerHub<M> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            address: self.address,
            runtime: self.runtime.clone(),
        }
    }
}

impl<M: PeerMessage> PeerHub<M> {
    /// Binds the listener and starts the hub on `runtime`.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Listen`] if the socket can't be opened.
    pub fn start(
        config: PeerConfig,
        runtime: &Handle,
        node: impl PeerSink<M>,
    ) -> Result<Self, Error> {
        let failed =
            |e: std::io::Error| Error::new(ErrorKind::Listen, format!("{}: {e}", config.listen));
        let listener = std::net::TcpListener::bind(config.listen).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let (tx, rx) = mpsc::unbounded_channel();
        let tx = HubSender {
            tx,
            links: Arc::default(),
        };
        let guard = runtime.enter();
        let listener = TcpListener::from_std(listener).map_err(failed)?;
        drop(guard);
        runtime.spawn(listen(listener, config.link.clone(), tx.clone()));
        let state = HubState::new(config, tx.clone(), node, address);
        runtime.spawn(state.run(rx));
        Ok(Self {
            tx,
            address,
            runtime: runtime.clone(),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message to a peer. It is dropped if the peer is not connected.
    pub fn send(&self, to: Incarnation, message: M) {
        self.tx.send(HubEvent::Send {
            to,
            message: Box::new(message),
        });
    }

    /// Takes in a newer list of the peers.
    pub fn take_list(&self, peers: Vec<ListedPeer>) {
        self.tx.send(HubEvent::Listed(peers));
    }

    /// Writes what is queued and closes all connections. Blocks, so it needs a runtime with threads
    /// of its own; elsewhere see [`PeerHub::close_async`].
    pub fn close(self) {
        let runtime = self.runtime.clone();
        runtime.block_on(self.close_async());
    }

    /// Does the same as [`PeerHub::close`] on the runtime that polls it.
    pub async fn close_async(self) {
        let (tx, rx) = oneshot::channel();
        self.tx.send(HubEvent::Close(tx));
        drop(tokio::time::timeout(CLOSE_TIMEOUT, rx).await);
    }
}

async fn listen<M: PeerMessage>(listener: TcpListener, config: LinkConfig, tx: HubSender<M>) {
    while let Ok((stream, address)) = listener.accept().await {
        let (config, tx) = (config.clone(), tx.clone());
        tokio::spawn(async move {
            if let Err(e) = link::accept(config, stream, tx).await {
                tracing::warn!(%address, error = %e, "incoming peer connection failed");
            }
        });
    }
}

/// A connection in use.
#[derive(Debug)]
struct Link {
    number: u64,
    direction: Direction,
    frames: mpsc::Sender<Vec<u8>>,
    /// Time of its last message.
    heard: Instant,
}

/// An entry VM and the address at which its peers reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// The VM.
    pub vm: VmId,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// A peer to connect to; one without a VM is a seed.
#[derive(Clone, Copy, Debug)]
struct Target {
    vm: Option<VmId>,
    address: SocketAddr,
    missing_since: Option<Instant>,
}

#[derive(Debug)]
struct HubState<M, S> {
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
    fn new(config: PeerConfig, tx: HubSender<M>, node: S, address: SocketAddr) -> Self {
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

    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<HubEvent<M>>) {
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
            HubEvent::Send { to, message } => self.send(to, &message),
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
        tracing::info!(%peer, replaces = kept.is_some(), "peer connected");
        if self.links.insert(peer, link).is_some() {
            self.node.peer_down(peer);
        }
        self.node.peer_up(peer);
    }

    fn link_down(&mut self, peer: Incarnation, number: u64) {
        if self.is_current(peer, number) {
            tracing::info!(%peer, "peer disconnected");
            self.links.remove(&peer);
            self.node.peer_down(peer);
        }
    }

    fn send(&mut self, to: Incarnation, message: &M) {
        let Some(link) = self.links.get(&to) else {
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
