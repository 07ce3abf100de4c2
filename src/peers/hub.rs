//! Handle to all connections to peers.

use super::handshake_stats::HandshakeStats;
use super::handshakes::Handshakes;
use super::hub_event::{HubEvent, HubSender, PeerAddress};
use super::hub_state::HubState;
use super::link::{self, LinkConfig, LinkError};
use super::peer_config::PeerConfig;
use super::protocol::{PeerMessage, PeerSink};
use super::rejections::Rejections;
use crate::accept_failures::AcceptFailures;
use crate::error::{Error, ErrorKind};
use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// Time limit for sending queued frames when the hub closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections that have not been accepted. While the process stalls, the kernel holds
/// what they send.
const BACKLOG: u32 = 128;

/// All connections to peers. Clones share them.
#[derive(Debug)]
pub struct PeerHub<M> {
    tx: HubSender<M>,
    address: SocketAddr,
    runtime: Handle,
    handshakes: Handshakes,
    rejections: Rejections,
}

impl<M> Clone for PeerHub<M> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            address: self.address,
            runtime: self.runtime.clone(),
            handshakes: self.handshakes.clone(),
            rejections: self.rejections.clone(),
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
        sink: impl PeerSink<M>,
    ) -> Result<Self, Error> {
        let failed =
            |e: std::io::Error| Error::new(ErrorKind::Listen, format!("{}: {e}", config.listen));
        let guard = runtime.enter();
        let listener = bind(config.listen).map_err(failed)?;
        drop(guard);
        let address = listener.local_addr().map_err(failed)?;
        let (tx, rx) = mpsc::unbounded_channel();
        let tx = HubSender::new(tx);
        let handshakes = Handshakes::new(config.max_handshakes);
        let listen = Listen {
            config: config.link.clone(),
            handshakes: handshakes.clone(),
            rejections: Rejections::default(),
            tx: tx.clone(),
        };
        let rejections = listen.rejections.clone();
        runtime.spawn(listen.run(listener));
        let state = HubState::new(config, tx.clone(), sink, address);
        runtime.spawn(state.run(rx));
        Ok(Self {
            tx,
            address,
            runtime: runtime.clone(),
            handshakes,
            rejections,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the numbers of connections that haven't proved to come from a peer.
    #[must_use]
    pub fn handshake_stats(&self) -> HandshakeStats {
        HandshakeStats {
            rejected: self.rejections.total(),
            ..self.handshakes.stats()
        }
    }

    /// Sends a message to a peer. The message is dropped if the peer is not connected.
    pub fn send(&self, to: Incarnation, message: M) {
        self.tx.send(HubEvent::Send {
            to,
            number: None,
            message: Box::new(message),
        });
    }

    /// Sends a message on the connection with the number `link`. The message is dropped if that
    /// connection has ended, even if a new one has replaced it: the sender may not know of the new
    /// connection yet.
    pub fn send_on(&self, to: Incarnation, link: u64, message: M) {
        self.tx.send(HubEvent::Send {
            to,
            number: Some(link),
            message: Box::new(message),
        });
    }

    /// Replaces the list of peers to connect to.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        self.tx.send(HubEvent::PeersChanged(peers));
    }

    /// Replaces the set of VMs to connect to. Until the first call, all peers in the list are
    /// connected to.
    pub fn set_wanted(&self, vms: Vec<VmId>) {
        self.tx.send(HubEvent::WantedChanged(vms));
    }

    /// Closes the connection with the number `link`. Does nothing if it has ended.
    pub fn close_link(&self, peer: Incarnation, link: u64) {
        self.tx.send(HubEvent::CloseLink { peer, number: link });
    }

    /// Sends all queued frames and closes all connections. Blocks the calling thread, so the
    /// runtime must run on other threads; on a single-threaded runtime use
    /// [`PeerHub::close_async`].
    pub fn close(self) {
        let runtime = self.runtime.clone();
        runtime.block_on(self.close_async());
    }

    /// Same as [`PeerHub::close`], but asynchronous.
    pub async fn close_async(self) {
        let (tx, rx) = oneshot::channel();
        self.tx.send(HubEvent::Close(tx));
        drop(tokio::time::timeout(CLOSE_TIMEOUT, rx).await);
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The listener of a hub.
struct Listen<M> {
    config: LinkConfig,
    handshakes: Handshakes,
    rejections: Rejections,
    tx: HubSender<M>,
}

impl<M: PeerMessage> Listen<M> {
    /// Accepts connections. One that hasn't proved to come from a peer is closed if others need its
    /// place.
    async fn run(self, listener: TcpListener) {
        let mut failures = AcceptFailures::default();
        loop {
            match listener.accept().await {
                Ok((stream, address)) => self.admit(stream, address).await,
                Err(e) => failures.wait(&e).await,
            }
        }
    }

    /// Waits until there is room for a connection, and runs it in a task of its own.
    async fn admit(&self, stream: TcpStream, address: SocketAddr) {
        let (permit, closed) = self.handshakes.admit(address.ip()).await;
        let link = link::accept(self.config.clone(), stream, permit, self.tx.clone());
        let rejections = self.rejections.clone();
        tokio::spawn(async move {
            let result = tokio::select! {
                biased;
                result = link => result,
                Ok(()) = closed => Err(LinkError::Displaced),
            };
            if let Err(e) = result {
                rejections.log(address, &e);
            }
        });
    }
}
