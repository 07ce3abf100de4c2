//! HTTP/1.1 over loopback connections: a server with a thread for each connection, and a client with
//! a connection for each request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request, as a server received it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// Returns a parameter of the query, without percent-decoding; empty if it is absent.
    pub fn query(&self, name: &str) -> &str {
        let query = self.path.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value)
    }

    /// Returns the path without the query.
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }
}

fn find<'h>(headers: &'h [(String, String)], name: &str) -> &'h str {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Response {
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        let body = body.into();
        Self { status, body }
    }
}

/// Serves requests on a listener until this process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(&Request) -> Response + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve_connection(&stream, &*handle));
        }
    });
}

fn serve_connection(stream: &TcpStream, handle: &impl Fn(&Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Response { status, body } = handle(&request);
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut writer = stream;
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<&TcpStream>) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let length = reader.read_line(&mut line).ok()?;
    (length > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Sends a request on a new connection and waits for the complete response.
///
/// # Errors
///
/// Returns what went wrong if there was none within `limit`.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Result<Response, String> {
    let end = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&to, limit).map_err(|e| e.to_string())?;
    let left = end.saturating_duration_since(Instant::now());
    let left = left.max(Duration::from_millis(1));
    stream
        .set_read_timeout(Some(left))
        .map_err(|e| e.to_string())?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    let mut writer = &stream;
    writer
        .write_all(text.as_bytes())
        .map_err(|e| e.to_string())?;
    let mut reader = BufReader::new(&stream);
    read_response(&mut reader).ok_or_else(|| "no complete response".to_owned())
}

fn read_response(reader: &mut BufReader<&TcpStream>) -> Option<Response> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Response { status, body })
}
