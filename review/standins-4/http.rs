//! A small HTTP/1.1 server with a thread for each connection, and a client for one request.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

pub struct Reply {
    pub status: u16,
    pub body: String,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self { status, body: body.into() }
    }
}

fn decode_query(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|&n| n > 0)?;
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|&n| n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<String> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Serves requests at an address; `None` from the handler closes the connection without an answer.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(Request) -> Option<Reply> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("an address to listen on");
    let local = listener.local_addr().expect("a local address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
    local
}

fn serve_connection(stream: TcpStream, handle: &impl Fn(Request) -> Option<Reply>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query = pairs.map(|(name, value)| (name.to_owned(), decode_query(value)));
        let body = read_body(&mut reader, &headers)?;
        let req = Request { method, path: path.to_owned(), query: query.collect(), headers, body };
        let reply = handle(req)?;
        let text = format!(
            "HTTP/1.1 {} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{}",
            reply.status,
            reply.body.len(),
            reply.body
        );
        writer.write_all(text.as_bytes()).ok()?;
    }
}

/// A request of a client that has been sent.
pub struct Sent {
    reader: BufReader<TcpStream>,
}

/// Sends a request on a connection of its own.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    deadline_ms: Option<u64>,
    body: &str,
) -> std::io::Result<Sent> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    let deadline = deadline_ms.map(|ms| format!("X-Deadline-Ms: {ms}\r\n")).unwrap_or_default();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n{deadline}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    Ok(Sent { reader: BufReader::new(stream) })
}

impl Sent {
    /// Waits for the answer. Returns its status and body, or why there is none.
    pub fn answer(mut self, limit: Duration) -> Result<(u16, String), String> {
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(limit)).map_err(|e| e.to_string())?;
        let broken = || "the channel was broken".to_owned();
        let (first, headers) = read_head(&mut self.reader).ok_or_else(broken)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let body = read_body(&mut self.reader, &headers).ok_or_else(broken)?;
        Ok((status.ok_or_else(broken)?, body))
    }
}

/// Returns an address at `ip` whose port is free.
pub fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a local address")
}
