//! A TCP relay that can cut connections, or make the open ones silent while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Size of the buffer of one direction, in bytes.
const BUF_LEN: usize = 16 * 1024;

#[derive(Debug, Default)]
struct Shared {
    cut: AtomicBool,
    /// Connections with a smaller number carry nothing any more.
    silent_below: AtomicU64,
    next: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
}

/// The relay.
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
        let accepting = Arc::clone(&shared);
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                accepting.join(client, target);
            }
        });
        Self { address, shared }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks all connections and refuses new ones, or lets them through again.
    pub fn set_cut(&self, cut: bool) {
        self.shared.cut.store(cut, Ordering::SeqCst);
        if cut {
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

    /// Lets the open connections stand and carry nothing any more.
    pub fn silence_open(&self) {
        let next = self.shared.next.load(Ordering::SeqCst);
        self.shared.silent_below.store(next, Ordering::SeqCst);
    }
}

impl Shared {
    fn join(self: &Arc<Self>, client: TcpStream, target: SocketAddr) {
        if self.cut.load(Ordering::SeqCst) {
            return;
        }
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let number = self.next.fetch_add(1, Ordering::SeqCst);
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
                let silent = number < shared.silent_below.load(Ordering::SeqCst);
                if !silent && to.write_all(&buf[..len]).is_err() {
                    break;
                }
            }
            drop(to.shutdown(Shutdown::Both));
        });
    }
}
