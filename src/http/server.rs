//! HTTP server whose handler may respond at any time after it has returned.

use super::exchange::{Exchange, Reply};
use crate::error::{Error, ErrorKind};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Time limit for receiving the head of a request; also limits the idle time of a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for requests in progress to finish when the server closes.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Configuration of an [`HttpServer`].
#[derive(Clone, Copy, Debug)]
pub struct HttpConfig {
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Maximum size of a request body in bytes. If a request declares a larger body, it is rejected
    /// before the body is read.
    pub body_bytes: usize,
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
        let listener = std::net::TcpListener::bind(config.listen).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let guard = runtime.enter();
        let listener = TcpListener::from_std(listener).map_err(failed)?;
        drop(guard);
        let (stop, stop_rx) = oneshot::channel();
        let (stopped_tx, stopped) = oneshot::channel();
        runtime.spawn(async move {
            accept(listener, config.body_bytes, handle, stop_rx).await;
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

async fn accept(
    listener: TcpListener,
    body_bytes: usize,
    handle: impl Fn(Exchange) + Clone + Send + Sync + 'static,
    mut stop: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!(error = %e, "accepting a connection failed");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                    continue;
                }
            },
            _ = &mut stop => break,
        };
        // If this fails, the connection still works, with higher latency.
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let service = service_fn(move |req| serve(req, body_bytes, handle.clone()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(error = %e, "connection of a client failed");
            }
        });
    }
    drop(listener);
    drop(tokio::time::timeout(CLOSE_TIMEOUT, graceful.shutdown()).await);
}

async fn serve(
    req: Request<Incoming>,
    body_bytes: usize,
    handle: impl Fn(Exchange),
) -> Result<Response<String>, Infallible> {
    let (head, body) = req.into_parts();
    let body = read_body(body, body_bytes).await;
    // The rest of a rejected body is not read, so the connection can't be reused.
    let rejected = body.is_err();
    let (tx, rx) = oneshot::channel();
    handle(Exchange::new(head, body, tx));
    let reply = rx
        .await
        .unwrap_or_else(|_| Reply::text(500, "internal error\n".to_owned()));
    let close = reply.close || rejected;
    Ok(Response::from(Reply { close, ..reply }))
}

/// Reads a request body. A body whose declared length is over the limit is rejected before it is
/// read.
async fn read_body(body: Incoming, limit: usize) -> Result<String, Reply> {
    let too_large = || Reply::text(413, format!("at most {limit} bytes"));
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let read = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect());
    let bytes = match read.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => return Err(too_large()),
        Ok(Err(e)) => return Err(Reply::text(400, e.to_string())),
        Err(e) => return Err(Reply::text(408, e.to_string())),
    };
    String::from_utf8(bytes.into()).map_err(|e| Reply::text(400, e.to_string()))
}
