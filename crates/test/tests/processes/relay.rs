//! A TCP relay that can break connections, or stop forwarding data on the open ones while new ones
//! work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Size of the buffer for one direction, in bytes.
const BUF_LEN: usize = 16 * 1024;

#[derive(Debug, Default)]
struct Shared {
    partitioned: AtomicBool,
    /// Connections with a smaller number stay open but forward no data.
    blackholed_below: AtomicU64,
    next_number: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let shared = Arc::new(Shared::default());
        let acceptor = Arc::clone(&shared);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                acceptor.forward(client, target);
            }
        });
        Self { address, shared }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and drops new ones (`partitioned`), or accepts connections again.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.shared.partitioned.store(partitioned, Ordering::SeqCst);
        if partitioned {
            let mut open = self
                .shared
                .open
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            for stream in open.drain(..) {
                drop(stream.shutdown(Shutdown::Both));
            }
        }
    }

    /// Returns the number of connections that were forwarded so far.
    pub fn connection_count(&self) -> u64 {
        self.shared.next_number.load(Ordering::SeqCst)
    }

    /// Stops forwarding data on the open connections without closing them.
    pub fn blackhole(&self) {
        let next_number = self.shared.next_number.load(Ordering::SeqCst);
        self.shared
            .blackholed_below
            .store(next_number, Ordering::SeqCst);
    }
}

impl Shared {
    fn forward(self: &Arc<Self>, client: TcpStream, target: SocketAddr) {
        if self.partitioned.load(Ordering::SeqCst) {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for stream in [&client, &server] {
            drop(stream.set_nodelay(true));
            open.extend(stream.try_clone());
        }
        drop(open);
        let pairs = (client.try_clone(), server.try_clone());
        if let (Ok(client_out), Ok(server_out)) = pairs {
            self.spawn_copy(client, server_out, number);
            self.spawn_copy(server, client_out, number);
        }
    }

    fn spawn_copy(self: &Arc<Self>, mut from: TcpStream, mut to: TcpStream, number: u64) {
        let shared = Arc::clone(self);
        std::thread::spawn(move || {
            let mut buf = vec![0; BUF_LEN];
            while let Ok(len) = from.read(&mut buf) {
                if len == 0 {
                    break;
                }
                let is_blackholed = number < shared.blackholed_below.load(Ordering::SeqCst);
                if !is_blackholed && to.write_all(&buf[..len]).is_err() {
                    break;
                }
            }
            drop(to.shutdown(Shutdown::Both));
        });
    }
}
