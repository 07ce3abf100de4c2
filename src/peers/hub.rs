//! All connections to peers.

use super::hub_state::{HubState, ListedPeer};
use super::link::{self, Direction, LinkConfig};
use super::protocol::{PeerMessage, PeerSink};
use crate::error::{Error, ErrorKind};
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

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
