//! Free ports for daemons that tests start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Finds `count` different addresses of `ip` with free ports. All are bound at the same time, since a
/// port that was released may be found again.
///
/// # Errors
///
/// Returns the error of the socket that can't be bound.
pub fn free_addresses(ip: Ipv4Addr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners = (0..count).map(|_| TcpListener::bind((ip, 0)));
    let listeners: Vec<TcpListener> = listeners.collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
