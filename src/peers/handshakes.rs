//! Limit on the connections that haven't proved to come from a peer.

use super::handshake_stats::HandshakeStats;
use super::handshake_table::{HandshakeDecision, HandshakeTable};
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::sync::{Notify, oneshot};

/// The handshakes of a listener. Clones share them.
#[derive(Clone, Debug)]
pub struct Handshakes(Arc<State>);

#[derive(Debug)]
struct State {
    table: Mutex<HandshakeTable<oneshot::Sender<()>>>,
    ended: Notify,
}

/// The right to a handshake, which ends when this value is dropped.
#[derive(Debug)]
pub struct HandshakePermit {
    handshakes: Handshakes,
    number: u64,
}

impl Drop for HandshakePermit {
    fn drop(&mut self) {
        self.handshakes.lock().end(self.number);
        self.handshakes.0.ended.notify_one();
    }
}

impl Handshakes {
    /// Allows at most `limit` connections at the same time.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(State {
            table: Mutex::new(HandshakeTable::new(limit)),
            ended: Notify::new(),
        }))
    }

    /// Returns the numbers of connections, without those that were rejected.
    pub fn stats(&self) -> HandshakeStats {
        let table = self.lock();
        HandshakeStats {
            open: table.len(),
            displaced: table.displaced(),
            rejected: 0,
        }
    }

    /// Waits until there is room for a connection of a client. Returns its permit, and what resolves to
    /// a value if the connection has to be closed.
    pub async fn admit(&self, client: IpAddr) -> (HandshakePermit, oneshot::Receiver<()>) {
        loop {
            let decision = self.lock().decide(Instant::now(), client);
            match decision {
                HandshakeDecision::Admit => return self.begin(client),
                HandshakeDecision::Close(number) => self.close(number),
                HandshakeDecision::WaitUntil(at) => {
                    // Whether the time has passed or a handshake has ended, there may be room.
                    let ended = self.0.ended.notified();
                    let _ = tokio::time::timeout_at(at.into(), ended).await;
                }
            }
        }
    }

    fn begin(&self, client: IpAddr) -> (HandshakePermit, oneshot::Receiver<()>) {
        let (closer, closed) = oneshot::channel();
        let number = self.lock().begin(Instant::now(), client, closer);
        let permit = HandshakePermit {
            handshakes: self.clone(),
            number,
        };
        (permit, closed)
    }

    fn close(&self, number: u64) {
        if let Some(closer) = self.lock().close(number) {
            // Sending fails if the handshake has just ended.
            let _ = closer.send(());
        }
    }

    fn lock(&self) -> MutexGuard<'_, HandshakeTable<oneshot::Sender<()>>> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
