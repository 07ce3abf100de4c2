//! A proxy of a channel from a client, which can lose the answer and reset the channel.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Forwards channels to a machine. While it loses answers, the first byte of an answer resets the
/// channel: neither side receives any more on it.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    pub loses_answers: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(ip: Ipv4Addr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port for the proxy");
        let address = listener.local_addr().expect("a local address");
        let proxy = Self { address, loses_answers: Arc::default() };
        let shared = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else {
                    continue;
                };
                let (up, down) = (client.try_clone(), server.try_clone());
                if let (Ok(up), Ok(down)) = (up, down) {
                    std::thread::spawn(move || copy(up, down, None));
                    let loses = Arc::clone(&shared.loses_answers);
                    std::thread::spawn(move || copy(server, client, Some(&loses)));
                }
            }
        });
        proxy
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, loses: Option<&AtomicBool>) {
    let mut buf = [0; 16 * 1024];
    loop {
        let count = from.read(&mut buf).unwrap_or(0);
        let is_lost = loses.is_some_and(|loses| loses.load(Ordering::Relaxed));
        if count == 0 || is_lost || to.write_all(&buf[..count]).is_err() {
            let _ = from.shutdown(Shutdown::Both);
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
    }
}
