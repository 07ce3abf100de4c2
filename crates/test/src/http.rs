//! Small helpers around the HTTP server library.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use tiny_http::{Header, Request, Response, Server};

/// Longest body that a stand-in reads, in bytes.
const MAX_BODY: u64 = 4 * 1024 * 1024;

/// An HTTP server on a thread of its own.
#[derive(Debug)]
pub struct HttpThread {
    server: Arc<ServerCell>,
    address: SocketAddr,
    thread: JoinHandle<()>,
}

struct ServerCell(Server);

impl std::fmt::Debug for ServerCell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ServerCell")
    }
}

impl HttpThread {
    /// Binds `listen` and calls `handle` with each request.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn start(listen: &str, handle: impl Fn(Request) + Send + 'static) -> eyre::Result<Self> {
        let server =
            Server::http(listen).map_err(|e| eyre::eyre!("can't listen on {listen}: {e}"))?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| eyre::eyre!("not an IP socket"))?;
        let server = Arc::new(ServerCell(server));
        let shared = Arc::clone(&server);
        let thread = std::thread::spawn(move || {
            for request in shared.0.incoming_requests() {
                handle(request);
            }
        });
        Ok(Self {
            server,
            address,
            thread,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting requests.
    pub fn close(self) {
        self.server.0.unblock();
        // A panic of the handler was printed by the panic hook already.
        drop(self.thread.join());
    }

    /// Serves until the process ends.
    pub fn wait(self) {
        drop(self.thread.join());
    }
}

/// Reads the body of a request as text.
///
/// # Errors
///
/// Returns an error if it is too long or not UTF-8.
pub fn read_body(request: &mut Request) -> std::io::Result<String> {
    let mut body = String::new();
    request
        .as_reader()
        .take(MAX_BODY)
        .read_to_string(&mut body)?;
    Ok(body)
}

/// Answers with a JSON body. A caller that went away is no fault.
pub fn respond(request: Request, status: u16, body: &str) {
    let header = Header::from_bytes("Content-Type", "application/json").expect("a valid header");
    let response = Response::from_string(body)
        .with_status_code(status)
        .with_header(header);
    drop(request.respond(response));
}

/// Returns the value of `name` in the query of `url`.
#[must_use]
pub fn query<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns `url` without its query.
#[must_use]
pub fn path(url: &str) -> &str {
    url.split('?').next().unwrap_or(url)
}
