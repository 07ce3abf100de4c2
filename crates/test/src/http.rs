//! HTTP server of the stand-ins.

use cardamomslip::http::{Exchange, HttpConfig, HttpServer, Ingress, Reply};
use eyre::Result;
use std::net::SocketAddr;
use tokio::runtime::Runtime;

/// Largest accepted request body, in bytes.
const MAX_BODY_LEN: usize = 4 * 1024 * 1024;
/// Number of threads that serve connections.
const WORKER_THREADS: usize = 1;

/// An HTTP server that runs on its own threads.
#[derive(Debug)]
pub struct StandInServer {
    server: HttpServer,
    runtime: Runtime,
}

impl StandInServer {
    /// Binds `listen` and calls `handle` with each request. `handle` must not block.
    ///
    /// # Errors
    ///
    /// Returns an error if `listen` is not a valid address or can't be bound.
    pub fn start(
        listen: &str,
        handle: impl Fn(Exchange) + Clone + Send + Sync + 'static,
    ) -> Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        let config = HttpConfig {
            listen: listen.parse()?,
            body_bytes: MAX_BODY_LEN,
            ingress: Ingress::default(),
        };
        let server = HttpServer::start(config, runtime.handle(), handle)?;
        Ok(Self { server, runtime })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the server and drops requests in progress.
    pub fn close(self) {
        drop(self.server);
        self.runtime.shutdown_background();
    }

    /// Serves forever.
    pub fn wait(self) {
        loop {
            std::thread::park();
        }
    }
}

/// Responds with a JSON body and closes the exchange.
pub fn respond(request: Exchange, status: u16, body: &str) {
    request.respond(Reply::json(status, body.to_owned()));
}
