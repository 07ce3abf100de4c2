//! Connection pool of an HTTP client for one server.

use super::observed::{ObservedStream, ServerCloses};
use super::read_horizon::ReadHorizon;
use crate::time_limit::timeout_after_reading;
use http_body_util::Full;
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Maximum time between the close of a connection with a request in progress and the refusal of the next one that counts as the
/// end of the server's process.
const PROCESS_END_WINDOW: Duration = Duration::from_millis(300);

/// Request sender of a connection.
type Sender = SendRequest<Full<Bytes>>;

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum PoolError {
    /// No part of the request was sent.
    #[error("not connected: {0}")]
    Unsent(String),
    /// No part of the request was sent: the process of the server has ended. It closed a connection with
    /// a request in progress in order, and nothing listens at its address any more. A lost route, a reset,
    /// or a refusal after the close of an idle connection is a [`PoolError::Unsent`].
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
    /// Time of the last complete response on it.
    proven_at: Instant,
}

/// The idle connections of a pool.
#[derive(Debug, Default)]
struct IdleTable {
    idle: Vec<Idle>,
    /// When each distrusted connection was last proven alive, until it would not have been reused
    /// anyway.
    distrusted: Vec<Instant>,
}

impl IdleTable {
    fn remove_expired(&mut self, idle_timeout: Duration) {
        self.idle
            .retain(|row| row.proven_at.elapsed() < idle_timeout && !row.sender.is_closed());
        self.distrusted.retain(|at| at.elapsed() < idle_timeout);
    }
}

/// Number of connections that pools have opened, by reason. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct OpenedConnections(Arc<OpenedCounters>);

#[derive(Debug, Default)]
struct OpenedCounters {
    none_idle: AtomicU64,
    distrusted: AtomicU64,
}

impl OpenedConnections {
    /// Returns how many were opened because no connection was idle.
    #[must_use]
    pub fn none_idle(&self) -> u64 {
        self.0.none_idle.load(Ordering::Relaxed)
    }

    /// Returns how many were opened in place of idle ones that were closed after an unanswered
    /// request.
    #[must_use]
    pub fn distrusted(&self) -> u64 {
        self.0.distrusted.load(Ordering::Relaxed)
    }
}

/// A pool of connections to one server. Clones share the connections.
///
/// Open connections may go silent without a reset. An unanswered request on a reused connection
/// therefore closes the idle ones that have not answered since.
#[derive(Clone, Debug)]
pub struct Pool {
    address: Arc<str>,
    idle_timeout: Duration,
    connect_timeout: Duration,
    table: Arc<Mutex<IdleTable>>,
    opened: OpenedConnections,
    closes: ServerCloses,
}

/// A connection with a request in progress. If it is dropped before [`Pool::put_back`], the request
/// was not answered.
#[derive(Debug)]
pub struct Connection {
    sender: Option<Sender>,
    pool: Pool,
    /// Whether it was idle before the request.
    reused: bool,
    /// Time at which the server was to answer.
    due_at: Instant,
}

impl Connection {
    /// Sends a request. After an error, the connection has ended visibly, which says nothing about
    /// others.
    async fn try_send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<hyper::Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let sender = self.sender.as_mut().expect("it was not put back");
        let result = sender.try_send_request(req).await;
        if result.is_err() {
            self.sender = None;
        }
        result
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.reused && self.sender.is_some() {
            self.pool.distrust_idle(self.due_at);
        }
    }
}

/// A response and the connection that it was received on.
#[derive(Debug)]
pub struct PooledResponse {
    /// Response whose body has not been read yet.
    pub response: hyper::Response<Incoming>,
    connection: Connection,
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
            table: Arc::default(),
            opened: OpenedConnections::default(),
            closes: ServerCloses::default(),
        }
    }

    /// Counts the connections that this pool opens in `opened`.
    #[must_use]
    pub fn counted_in(self, opened: OpenedConnections) -> Self {
        Self { opened, ..self }
    }

    /// Takes the ages of what this pool reads from the `horizon` of the event loop.
    #[must_use]
    pub fn with_horizon(self, horizon: ReadHorizon) -> Self {
        let closes = self.closes.with_horizon(horizon);
        Self { closes, ..self }
    }

    /// Returns the address of the server as `ip:port`.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request, which the server may answer at once, on an idle connection or on a new one.
    ///
    /// If an idle connection fails and `hyper` returns the request, no part of it was written, so
    /// it is sent again on a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error for which [`PoolError::is_unsent`] holds only if no part of the request was
    /// written.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<PooledResponse, PoolError> {
        self.send_waiting(req, Duration::ZERO).await
    }

    /// Same as [`Pool::send`], for a request that the server may hold for `wait` before it answers.
    ///
    /// # Errors
    ///
    /// As those of [`Pool::send`].
    pub async fn send_waiting(
        &self,
        req: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<PooledResponse, PoolError> {
        let due_at = Instant::now() + wait;
        let req = match self.take_idle(due_at) {
            None => req,
            Some(mut connection) => match connection.try_send(req).await {
                Ok(response) => {
                    return Ok(PooledResponse {
                        response,
                        connection,
                    });
                }
                Err(mut e) => match e.take_message() {
                    Some(req) => req,
                    None => return Err(PoolError::from_sent(e.error())),
                },
            },
        };
        let mut connection = self.connect(due_at).await?;
        match connection.try_send(req).await {
            Ok(response) => Ok(PooledResponse {
                response,
                connection,
            }),
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
    pub fn put_back(&self, mut connection: Connection) {
        if let Some(sender) = connection.sender.take() {
            self.table().idle.push(Idle {
                sender,
                proven_at: Instant::now(),
            });
        }
    }

    /// Forgets that the server closed connections, after the end of its process was reported.
    pub fn forget_closes(&self) {
        self.closes.forget();
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.table().idle.clear();
    }

    fn table(&self) -> MutexGuard<'_, IdleTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used connection that is open and has not been idle for too long.
    fn take_idle(&self, due_at: Instant) -> Option<Connection> {
        let mut table = self.table();
        table.remove_expired(self.idle_timeout);
        let position = table.idle.iter().rposition(|row| row.sender.is_ready())?;
        Some(Connection {
            sender: Some(table.idle.remove(position).sender),
            pool: self.clone(),
            reused: true,
            due_at,
        })
    }

    /// Closes the idle connections that have not answered since a request that was due then and got
    /// no answer.
    fn distrust_idle(&self, due_at: Instant) {
        let mut table = self.table();
        let IdleTable { idle, distrusted } = &mut *table;
        let closed = idle.extract_if(.., |row| row.proven_at <= due_at);
        let closed: Vec<Instant> = closed.map(|row| row.proven_at).collect();
        let kept = idle.len();
        distrusted.extend(&closed);
        drop(table);
        if let Some(oldest) = closed.iter().min() {
            tracing::info!(
                address = &*self.address,
                overdue_ms = due_at.elapsed().as_millis(),
                closed = closed.len(),
                kept,
                oldest_answer_ms = oldest.elapsed().as_millis(),
                "closed idle connections after an unanswered request"
            );
        }
    }

    /// Counts a new connection.
    fn record_opened(&self) {
        let counters = &self.opened.0;
        let counter = if self.table().distrusted.pop().is_some() {
            &counters.distrusted
        } else {
            &counters.none_idle
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    async fn connect(&self, due_at: Instant) -> Result<Connection, PoolError> {
        let unsent = |e: String| PoolError::Unsent(e);
        let address: SocketAddr = self
            .address
            .parse()
            .map_err(|e: std::net::AddrParseError| unsent(e.to_string()))?;
        let connecting = ObservedStream::connect(address, self.closes.clone());
        let connecting = timeout_after_reading(self.connect_timeout, connecting);
        let stream = connecting.await.map_err(|e| unsent(e.to_string()))?;
        let stream = stream.map_err(|e| self.classify_connect(&e))?;
        self.record_opened();
        let handshaken = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshaken.map_err(|e| unsent(e.to_string()))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "connection to a server failed");
            }
        });
        Ok(Connection {
            sender: Some(sender),
            pool: self.clone(),
            reused: false,
            due_at,
        })
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
    pub fn into_parts(self) -> (hyper::Response<Incoming>, Connection) {
        (self.response, self.connection)
    }
}
