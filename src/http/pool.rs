//! Connections of a client to one server.

use http_body_util::Full;
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The sending end of a connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// Why a request has no response.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// Nothing of the request was sent.
    #[error("not connected: {0}")]
    Unsent(String),
    /// The request may have arrived.
    #[error("{0}")]
    Lost(String),
}

/// A connection that no request uses.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Connections to one server. Clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    address: Arc<str>,
    idle_age: Duration,
    connect_timeout: Duration,
    idle: Arc<Mutex<Vec<Idle>>>,
}

/// A response and the connection that it came on.
#[derive(Debug)]
pub struct PooledResponse {
    /// The response; its body is still to be read.
    pub response: hyper::Response<Incoming>,
    sender: Sender,
}

impl Pool {
    /// Builds a pool without connections. A connection that was idle for `idle_age` is not used
    /// again, since a start on a dead one would have an ambiguous outcome.
    #[must_use]
    pub fn new(address: Arc<str>, idle_age: Duration, connect_timeout: Duration) -> Self {
        Self {
            address,
            idle_age,
            connect_timeout,
            idle: Arc::default(),
        }
    }

    /// Returns the address of the server.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request on an idle connection or on a new one.
    ///
    /// A request that the library hands back was not written at all, so it is sent again on a new
    /// connection.
    ///
    /// # Errors
    ///
    /// Returns [`PoolError::Unsent`] only if nothing was written.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<PooledResponse, PoolError> {
        let req = match self.take_idle() {
            None => req,
            Some(mut sender) => match sender.try_send_request(req).await {
                Ok(response) => return Ok(PooledResponse { response, sender }),
                Err(mut e) => match e.take_message() {
                    Some(req) => req,
                    None => return Err(PoolError::Lost(e.error().to_string())),
                },
            },
        };
        let mut sender = self.connect().await?;
        match sender.try_send_request(req).await {
            Ok(response) => Ok(PooledResponse { response, sender }),
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                let cause = e.error().to_string();
                Err(if unsent {
                    PoolError::Unsent(cause)
                } else {
                    PoolError::Lost(cause)
                })
            }
        }
    }

    /// Keeps the connection of a response whose body was read.
    pub fn put_back(&self, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push(Idle {
            sender,
            since: Instant::now(),
        });
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Takes the connection that was used last, if it is young enough and stands.
    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|row| row.since.elapsed() < self.idle_age && !row.sender.is_closed());
        let position = idle.iter().rposition(|row| row.sender.is_ready())?;
        Some(idle.remove(position).sender)
    }

    async fn connect(&self) -> Result<Sender, PoolError> {
        let unsent = |e: String| PoolError::Unsent(e);
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|e: std::net::AddrParseError| unsent(e.to_string()))?;
        let connecting = timeout(self.connect_timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(|e| unsent(e.to_string()))?;
        let stream = stream.map_err(|e| unsent(e.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|e| unsent(e.to_string()))?;
        let shaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|e| unsent(e.to_string()))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "connection to a server broke");
            }
        });
        Ok(sender)
    }
}

impl PooledResponse {
    /// Splits the response from its connection.
    #[must_use]
    pub fn into_parts(self) -> (hyper::Response<Incoming>, Sender) {
        (self.response, self.sender)
    }
}
