//! Connection pool of an HTTP client for one server.

use super::observed::{ObservedStream, ServerCloses};
use http_body_util::Full;
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Maximum time between the close of a connection and the refusal of the next one that counts as the
/// end of the server's process.
const PROCESS_END_WINDOW: Duration = Duration::from_millis(300);

/// Request sender of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// No part of the request was sent.
    #[error("not connected: {0}")]
    Unsent(String),
    /// No part of the request was sent: the process of the server has ended. It closed connections
    /// in order, and nothing listens at its address any more. A lost route or a reset is a
    /// [`PoolError::Unsent`].
    #[error("not connected, the process has ended: {0}")]
    Ended(String),
    /// The request may have reached the server, but no response was received.
    #[error("{0}")]
    NoResponse(String),
    /// The request may have reached the server, which closed the connection in order without a
    /// response.
    #[error("{0}")]
    Closed(String),
}

impl PoolError {
    /// Returns whether no part of the request was sent.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent(_) | Self::Ended(_))
    }

    /// Classifies the failure of a request of which some part may have been sent.
    fn from_sent(e: &hyper::Error) -> Self {
        if e.is_incomplete_message() {
            Self::Closed(e.to_string())
        } else {
            Self::NoResponse(e.to_string())
        }
    }
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// A pool of connections to one server. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool {
    address: Arc<str>,
    idle_timeout: Duration,
    connect_timeout: Duration,
    idle: Arc<Mutex<Vec<Idle>>>,
    closes: ServerCloses,
}

/// A response and the connection that it was received on.
#[derive(Debug)]
pub struct PooledResponse {
    /// Response whose body has not been read yet.
    pub response: hyper::Response<Incoming>,
    sender: Sender,
}

impl Pool {
    /// Creates a pool without connections. A connection that was idle for `idle_timeout` is not
    /// reused, because after a request on a dead connection it is unknown whether it was received.
    #[must_use]
    pub fn new(address: Arc<str>, idle_timeout: Duration, connect_timeout: Duration) -> Self {
        Self {
            address,
            idle_timeout,
            connect_timeout,
            idle: Arc::default(),
            closes: ServerCloses::default(),
        }
    }

    /// Returns the address of the server as `ip:port`.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request on an idle connection or on a new one.
    ///
    /// If an idle connection fails and `hyper` returns the request, no part of it was written, so
    /// it is sent again on a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error for which [`PoolError::is_unsent`] holds only if no part of the request was
    /// written.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<PooledResponse, PoolError> {
        let req = match self.take_idle() {
            None => req,
            Some(mut sender) => match sender.try_send_request(req).await {
                Ok(response) => return Ok(PooledResponse { response, sender }),
                Err(mut e) => match e.take_message() {
                    Some(req) => req,
                    None => return Err(PoolError::from_sent(e.error())),
                },
            },
        };
        let mut sender = self.connect().await?;
        match sender.try_send_request(req).await {
            Ok(response) => Ok(PooledResponse { response, sender }),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                Err(if unsent {
                    PoolError::Unsent(e.error().to_string())
                } else {
                    PoolError::from_sent(e.error())
                })
            }
        }
    }

    /// Returns the connection of a response to the pool. The body of the response must have been
    /// read to its end.
    pub fn put_back(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(Idle {
            sender,
            since: Instant::now(),
        });
    }

    /// Forgets that the server closed connections, after the end of its process was reported.
    pub fn forget_closes(&self) {
        self.closes.forget();
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Takes the most recently used connection that is open and has not been idle for too long.
    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|row| row.since.elapsed() < self.idle_timeout && !row.sender.is_closed());
        let position = idle.iter().rposition(|row| row.sender.is_ready())?;
        Some(idle.remove(position).sender)
    }

    async fn connect(&self) -> Result<Sender, PoolError> {
        let unsent = |e: String| PoolError::Unsent(e);
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|e: std::net::AddrParseError| unsent(e.to_string()))?;
        let connecting = ObservedStream::connect(address, self.closes.clone());
        let connecting = timeout(self.connect_timeout, connecting);
        let stream = connecting.await.map_err(|e| unsent(e.to_string()))?;
        let stream = stream.map_err(|e| self.classify_connect(&e))?;
        let handshaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshaken.map_err(|e| unsent(e.to_string()))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "connection to a server failed");
            }
        });
        Ok(sender)
    }

    /// Classifies the failure of a connection attempt.
    fn classify_connect(&self, e: &std::io::Error) -> PoolError {
        let is_refused = e.kind() == ErrorKind::ConnectionRefused;
        if is_refused && self.closes.closed_within(PROCESS_END_WINDOW) {
            PoolError::Ended(e.to_string())
        } else {
            PoolError::Unsent(e.to_string())
        }
    }
}

impl PooledResponse {
    /// Returns the response and its connection.
    #[must_use]
    pub fn into_parts(self) -> (hyper::Response<Incoming>, Sender) {
        (self.response, self.sender)
    }
}
