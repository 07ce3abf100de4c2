//! All connections to peers.

use super::hub_event::{HubEvent, HubSender, ListedPeer};
use super::hub_state::HubState;
use super::link::{self, LinkConfig, LinkError};
use super::peer_config::PeerConfig;
use super::protocol::{PeerMessage, PeerSink};
use crate::error::{Error, ErrorKind};
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// Time for which the last frames are written when the process stops.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

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
        let tx = HubSender::new(tx);
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
            link: None,
            message: Box::new(message),
        });
    }

    /// Sends a message on the connection of a number. It is dropped if that one has ended, also if
    /// another one has replaced it: the node does not know of that one yet.
    pub fn send_on(&self, to: Incarnation, link: u64, message: M) {
        self.tx.send(HubEvent::Send {
            to,
            link: Some(link),
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
            match link::accept(config, stream, tx).await {
                Ok(()) => {}
                Err(LinkError::Duplicate) => {
                    tracing::info!(%address, "a second connection of a peer is refused");
                }
                Err(e) => {
                    tracing::warn!(%address, error = %e, "incoming peer connection failed");
                }
            }
        });
    }
}
