//! Crowds of clients that keep their connections open.

use rustix::net::sockopt::{
    Timeout, set_socket_linger, set_socket_send_buffer_size, set_socket_timeout,
};
use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, connect, socket_with};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread::ScopedJoinHandle;
use std::time::Duration;

/// Size of the send buffer of a client, in bytes.
const SEND_BUFFER_BYTES: usize = 4 * 1024;
/// Time for which a client waits until it is connected, or the server has read what it sent before.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Number of threads that send at the same time.
const SENDERS: u32 = 20;

/// What each client of a crowd sends.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Sent once.
    pub opening: Vec<u8>,
    /// Sent repeatedly after the opening.
    pub piece: Vec<u8>,
    /// Number of times that the piece is sent.
    pub pieces: usize,
}

/// Addresses from which the clients of a crowd connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sources {
    /// All from one address.
    Shared,
    /// Each from a loopback address of its own.
    Own,
}

/// Open connections of a crowd.
#[derive(Debug)]
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Opens `clients` connections and sends the script on each, a piece at a time in turns. A client
    /// whose connection is closed, or not read from, sends nothing more.
    ///
    /// # Panics
    ///
    /// Panics if a socket can't be configured.
    pub fn send(
        address: SocketAddr,
        clients: u32,
        sources: Sources,
        script: impl Fn(u64) -> Script + Sync,
    ) -> Self {
        let script = &script;
        let streams = std::thread::scope(|scope| {
            let senders = (0..SENDERS).map(|first| {
                let clients = (first..clients).step_by(SENDERS as usize);
                scope.spawn(move || send_in_turns(address, clients, sources, script))
            });
            let senders: Vec<_> = senders.collect();
            let streams = senders.into_iter().map(ScopedJoinHandle::join);
            streams
                .flat_map(|streams| streams.expect("a sender"))
                .collect()
        });
        Self { streams }
    }

    /// Sends bytes on each connection, until the server reads no more.
    pub fn send_more(&mut self, bytes: &[u8]) {
        let part = self.streams.len().div_ceil(SENDERS as usize).max(1);
        std::thread::scope(|scope| {
            for streams in self.streams.chunks_mut(part) {
                scope.spawn(move || {
                    for stream in streams {
                        // The connection may have been closed.
                        drop(stream.write_all(bytes));
                    }
                });
            }
        });
    }

    /// Resets all connections.
    ///
    /// # Panics
    ///
    /// Panics if a socket can't be configured.
    pub fn reset(self) {
        for stream in &self.streams {
            set_socket_linger(stream, Some(Duration::ZERO)).expect("a socket");
        }
        self.close();
    }

    /// Closes all connections.
    pub fn close(self) {
        drop(self.streams);
    }
}

/// Opens the connections of some clients and sends their scripts. Returns the connections.
fn send_in_turns(
    address: SocketAddr,
    clients: impl Iterator<Item = u32>,
    sources: Sources,
    script: impl Fn(u64) -> Script,
) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    let mut senders = Vec::new();
    for client in clients {
        // A connection may be refused.
        let Ok(mut stream) = open(address, client, sources) else {
            continue;
        };
        let script = script(u64::from(client));
        if stream.write_all(&script.opening).is_ok() {
            senders.push((stream.try_clone().expect("a socket"), script));
        }
        streams.push(stream);
    }
    while !senders.is_empty() {
        senders.retain_mut(|(stream, script)| {
            if script.pieces == 0 {
                return false;
            }
            script.pieces -= 1;
            stream.write_all(&script.piece).is_ok()
        });
    }
    streams
}

/// Opens a connection whose send buffer is small, so that what is not received is not sent either.
fn open(address: SocketAddr, client: u32, sources: Sources) -> io::Result<TcpStream> {
    // A daemon that is started meanwhile must not inherit the connection.
    let flags = SocketFlags::CLOEXEC;
    let fd = socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
    // This also limits the time for connecting.
    set_socket_timeout(&fd, Timeout::Send, Some(WRITE_TIMEOUT))?;
    set_socket_send_buffer_size(&fd, SEND_BUFFER_BYTES)?;
    if sources == Sources::Own {
        bind(&fd, &SocketAddr::new(own_address(client).into(), 0))?;
    }
    connect(&fd, &address)?;
    Ok(TcpStream::from(fd))
}

/// Returns the loopback address of a client.
fn own_address(client: u32) -> Ipv4Addr {
    const FIRST: u32 = Ipv4Addr::new(127, 200, 0, 1).to_bits();
    Ipv4Addr::from_bits(FIRST + client)
}
