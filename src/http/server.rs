//! HTTP server whose handler may respond at any time after it has returned.

use super::body::read_body;
use super::exchange::{Exchange, Reply};
use super::ingress::{Ingress, Permit};
use super::ingress_stream::IngressStream;
use crate::accept_failures::AcceptFailures;
use crate::error::{Error, ErrorKind};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

/// Interval between checks for connections whose time has run out.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that the kernel may receive for a connection before they are read; it keeps twice as many
/// for its own needs.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;
/// Time limit for requests in progress to finish when the server closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration of an [`HttpServer`].
#[derive(Clone, Debug)]
pub struct HttpConfig {
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Maximum size of a request body in bytes. If a request declares a larger body, it is rejected
    /// before the body is read.
    pub body_bytes: usize,
    /// Budget that the server's clients are charged to.
    pub ingress: Ingress,
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    stopped: oneshot::Receiver<()>,
    runtime: Handle,
}

impl HttpServer {
    /// Binds the address and passes each request to `handle`, which must not block.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Listen`] if the socket can't be opened.
    pub fn start(
        config: HttpConfig,
        runtime: &Handle,
        handle: impl Fn(Exchange) + Clone + Send + Sync + 'static,
    ) -> Result<Self, Error> {
        let failed =
            |e: std::io::Error| Error::new(ErrorKind::Listen, format!("{}: {e}", config.listen));
        let guard = runtime.enter();
        let backlog = config.ingress.limits().backlog();
        let listener = listen(config.listen, backlog).map_err(failed)?;
        drop(guard);
        let address = listener.local_addr().map_err(failed)?;
        let server = Server { config, handle };
        let (stop, stop_rx) = oneshot::channel();
        let (stopped_tx, stopped) = oneshot::channel();
        runtime.spawn(async move {
            server.accept(listener, stop_rx).await;
            // Sending fails if the server was dropped without being closed.
            let _ = stopped_tx.send(());
        });
        Ok(Self {
            address,
            stop,
            stopped,
            runtime: runtime.clone(),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits a limited time for requests in progress. Blocks the
    /// calling thread, so the runtime must run on other threads; on a single-threaded runtime use
    /// [`HttpServer::close_async`].
    pub fn close(self) {
        let runtime = self.runtime.clone();
        runtime.block_on(self.close_async());
    }

    /// Same as [`HttpServer::close`], but asynchronous.
    pub async fn close_async(self) {
        // Sending fails if the accept loop has ended already.
        let _ = self.stop.send(());
        let _ = self.stopped.await;
    }
}

/// Opens a listener with at most `backlog` connections that have not been accepted. Its connections have
/// small receive buffers, as these count towards the memory of the machine.
fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// What the connections of a server share.
#[derive(Clone, Debug)]
struct Server<H> {
    config: HttpConfig,
    handle: H,
}

impl<H: Fn(Exchange) + Clone + Send + Sync + 'static> Server<H> {
    /// Accepts connections until `stop` resolves.
    async fn accept(self, listener: TcpListener, mut stop: oneshot::Receiver<()>) {
        let graceful = GracefulShutdown::new();
        let mut expiry = tokio::time::interval(EXPIRY_INTERVAL);
        expiry.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut refusals = 0;
        let mut failures = AcceptFailures::default();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = expiry.tick() => {
                    self.config.ingress.close_expired();
                    self.log_refusals(&mut refusals);
                    continue;
                }
                _ = &mut stop => break,
            };
            let (stream, address) = match accepted {
                Ok(accepted) => accepted,
                Err(e) => {
                    failures.wait(&e).await;
                    continue;
                }
            };
            let admitted = tokio::select! {
                admitted = self.config.ingress.admit(address.ip()) => admitted,
                _ = &mut stop => break,
            };
            // Dropping the stream closes a connection that is not admitted.
            if let Ok((permit, closed)) = admitted {
                self.spawn(stream, permit, closed, &graceful);
            }
        }
        drop(listener);
        drop(tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await);
    }

    /// Serves a connection until its end, or until `closed` resolves.
    fn spawn(
        &self,
        stream: TcpStream,
        permit: Arc<Permit>,
        closed: oneshot::Receiver<()>,
        graceful: &GracefulShutdown,
    ) {
        // If this fails, the connection still works, with higher latency.
        let _ = stream.set_nodelay(true);
        let (handle, body_bytes) = (self.handle.clone(), self.config.body_bytes);
        let service_permit = Arc::clone(&permit);
        let service = service_fn(move |req| {
            serve(req, body_bytes, Arc::clone(&service_permit), handle.clone())
        });
        let connection = http1::Builder::new()
            .max_buf_size(self.config.ingress.limits().head_bytes)
            .serve_connection(TokioIo::new(IngressStream::new(stream, permit)), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                biased;
                result = connection => if let Err(e) = result {
                    tracing::debug!(error = %e, "connection of a client failed");
                },
                _ = closed => tracing::debug!("the server closed a client's connection to make room or because a time limit had passed"),
            }
        });
    }

    /// Logs whether clients were refused since the last time.
    fn log_refusals(&self, known: &mut u64) {
        let stats = self.config.ingress.stats();
        if stats.refusals() == *known {
            return;
        }
        *known = stats.refusals();
        tracing::warn!(
            listen = %self.config.listen,
            connections = stats.connections,
            bytes = stats.bytes,
            refused_connections = stats.refused_connections,
            refused_requests = stats.refused_requests,
            closed_for_connections = stats.closed_for_connections,
            closed_for_bytes = stats.closed_for_bytes,
            closed_by_head_timeout = stats.closed_by_head_timeout,
            closed_by_idle_timeout = stats.closed_by_idle_timeout,
            "clients were refused or their connections closed; the numbers are totals"
        );
    }
}

async fn serve(
    req: Request<Incoming>,
    body_bytes: usize,
    permit: Arc<Permit>,
    handle: impl Fn(Exchange),
) -> Result<Response<String>, Infallible> {
    let (head, body) = req.into_parts();
    let body = read_body(body, body_bytes, &permit).await;
    if !permit.begin_service() {
        // The connection is about to be dropped, and this future with it.
        std::future::pending::<()>().await;
    }
    // The rest of a rejected body is not read, so the connection can't be reused.
    let rejected = body.is_err();
    let (tx, rx) = oneshot::channel();
    handle(Exchange::new(head, body, tx, Arc::clone(&permit)));
    let reply = rx
        .await
        .unwrap_or_else(|_| Reply::text(500, "internal error\n".to_owned()));
    permit.begin_reply();
    let close = reply.close || rejected;
    Ok(Response::from(Reply { close, ..reply }))
}
