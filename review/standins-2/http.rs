//! HTTP/1.1 for the stand-ins: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let row = self.headers.iter().find(|(key, _)| key == name);
        row.map_or("", |(_, value)| value)
    }

    /// Returns a query parameter with its percent-encoding undone.
    pub fn query(&self, name: &str) -> String {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let raw = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next();
        let bytes = raw.unwrap_or_default().as_bytes();
        let mut out = Vec::new();
        let mut i = 0;
        while i < bytes.len() {
            let hex = (bytes[i] == b'%')
                .then(|| bytes.get(i + 1..i + 3))
                .flatten();
            let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
            if let Some(byte) = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
                out.push(byte);
                i += 3;
            } else {
                out.push(bytes[i]);
                i += 1;
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut req = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        ..Request::default()
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((key, value)) = line.trim_end().split_once(':') else {
            break;
        };
        let (key, value) = (key.to_ascii_lowercase(), value.trim().to_owned());
        if key == "content-length" {
            length = value.parse().ok()?;
        }
        req.headers.push((key, value));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    req.body = String::from_utf8(body).ok()?;
    Some(req)
}

/// Writes a response with a JSON body.
pub fn write_response(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Serves connections until the process ends.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Request) -> (u16, String) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(req) = read_request(&mut reader) {
                    let (status, body) = handle(req);
                    if write_response(&mut out, status, &body).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a request on a new connection. Returns the status and the body, or `None` if there was no
/// complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}
