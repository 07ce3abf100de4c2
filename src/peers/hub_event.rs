//! Events of the hub and their sender.

use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// Direction in which a connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Opened by this process.
    Outgoing,
    /// Opened by the peer.
    Incoming,
}

/// How a connection attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialOutcome {
    /// The connection was established, and has ended since.
    Connected,
    /// No process listens at the address.
    Refused,
    /// It failed in another way.
    Failed,
}

/// An entry VM and its address for connections from peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Identifier of the VM.
    pub vm: VmId,
    /// Address for connections from peers.
    pub address: SocketAddr,
}

/// An event that the hub handles.
#[derive(Debug)]
pub enum HubEvent<M> {
    /// A connection was established.
    Up {
        peer: Incarnation,
        number: u64,
        direction: Direction,
        frames: mpsc::Sender<Vec<u8>>,
        /// Ends the connection at once when it is used.
        reset: oneshot::Sender<()>,
    },
    /// A peer is connecting; the answer says whether to accept the connection.
    ConnectionRequest {
        peer: Incarnation,
        accept: oneshot::Sender<bool>,
    },
    /// A connection ended.
    Down { peer: Incarnation, number: u64 },
    /// A message was received.
    Message {
        peer: Incarnation,
        number: u64,
        message: Box<M>,
    },
    /// A message is to be sent; `number` restricts it to the connection with that number.
    Send {
        to: Incarnation,
        number: Option<u64>,
        message: Box<M>,
    },
    /// The list of peers has changed.
    PeersChanged(Vec<PeerAddress>),
    /// The VMs to connect to have changed; before the first such event these are all in the list.
    WantedChanged(Vec<VmId>),
    /// A connection is to be closed, unless it has been replaced.
    CloseLink { peer: Incarnation, number: u64 },
    /// A connection attempt, or the connection that it opened, has ended.
    DialEnded {
        address: SocketAddr,
        outcome: DialOutcome,
    },
    /// A peer whose connection was lost is to be connected to again.
    Redial(SocketAddr),
    /// A connection attempt has reached this process itself.
    SelfDialed(SocketAddr),
    /// The hub is to close all connections; the reply is sent once they have ended.
    Close(oneshot::Sender<()>),
}

/// Sends events to the hub. Sending never fails: events are dropped after the hub has ended.
#[derive(Debug)]
pub struct HubSender<M> {
    tx: mpsc::UnboundedSender<HubEvent<M>>,
    next_link: Arc<AtomicU64>,
}

impl<M> Clone for HubSender<M> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            next_link: Arc::clone(&self.next_link),
        }
    }
}

impl<M> HubSender<M> {
    /// Creates a sender from the sending half of the hub's channel.
    pub fn new(tx: mpsc::UnboundedSender<HubEvent<M>>) -> Self {
        Self {
            tx,
            next_link: Arc::default(),
        }
    }

    /// Sends an event.
    pub fn send(&self, event: HubEvent<M>) {
        drop(self.tx.send(event));
    }

    /// Reports a message that was received on a connection.
    pub fn report_message(&self, peer: Incarnation, number: u64, message: M) {
        self.send(HubEvent::Message {
            peer,
            number,
            message: Box::new(message),
        });
    }

    /// Asks the hub whether to accept a connection from a peer. The hub rejects it if a live
    /// connection to the peer exists; false is also returned if the hub has ended.
    pub async fn should_accept(&self, peer: Incarnation) -> bool {
        let (tx, rx) = oneshot::channel();
        self.send(HubEvent::ConnectionRequest { peer, accept: tx });
        rx.await.unwrap_or(false)
    }

    /// Returns the number for a new connection.
    pub fn next_link_number(&self) -> u64 {
        self.next_link.fetch_add(1, Ordering::Relaxed)
    }
}
