//! What happens at the hub, and the way to it.

use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// This side.
    Outgoing,
    /// The peer.
    Incoming,
}

/// An entry VM and the address at which its peers reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// The VM.
    pub vm: VmId,
    /// Its address for peers.
    pub address: SocketAddr,
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
    /// The node sends a message, on any connection or on the one of a number.
    Send {
        to: Incarnation,
        link: Option<u64>,
        message: Box<M>,
    },
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
    /// Wraps the sending end of the hub's channel.
    pub fn new(tx: mpsc::UnboundedSender<HubEvent<M>>) -> Self {
        Self {
            tx,
            links: Arc::default(),
        }
    }

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
