//! The HTTP server of the stand-ins.

use cardamomslip::http::{Exchange, HttpConfig, HttpServer, Reply};
use eyre::Result;
use std::net::SocketAddr;
use tokio::runtime::Runtime;

/// Longest body that a stand-in reads, in bytes.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Threads that serve connections.
const WORKER_THREADS: usize = 1;

/// An HTTP server on threads of its own.
#[derive(Debug)]
pub struct StandInServer {
    server: HttpServer,
    runtime: Runtime,
}

impl StandInServer {
    /// Binds `listen` and calls `handle` with each request; it must not block.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
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
            body_bytes: MAX_BODY,
        };
        let server = HttpServer::start(config, runtime.handle(), handle)?;
        Ok(Self { server, runtime })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the server; requests in progress are cut off.
    pub fn close(self) {
        drop(self.server);
        self.runtime.shutdown_background();
    }

    /// Serves until the process ends.
    pub fn wait(self) {
        loop {
            std::thread::park();
        }
    }
}

/// Answers with a JSON body.
pub fn respond(request: Exchange, status: u16, body: &str) {
    request.close_with(Reply::json(status, body.to_owned()));
}
