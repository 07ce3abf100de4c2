//! HTTP server: body limits, concurrent connections and shutdown.

use cardamomslip::http::{Exchange, HttpConfig, HttpServer, Ingress, Reply};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use tokio::runtime::Runtime;

/// Number of connections that are opened at once.
const BURST: usize = 64;
/// Maximum body size of the test server in bytes.
const BODY_BYTES: usize = 1_024;

/// Defines tests that each run against their own server, which echoes request bodies.
macro_rules! http_tests {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let runtime = Runtime::new().expect("a runtime");
            let listen = "127.0.0.1:0".parse().expect("an address");
            let config = HttpConfig {
                listen,
                body_bytes: BODY_BYTES,
                ingress: Ingress::default(),
            };
            let server = HttpServer::start(config, runtime.handle(), echo).expect("a server");
            let body: fn(SocketAddr) = $body;
            body(server.address());
            server.close();
        })*
    };
}

fn echo(exchange: Exchange) {
    let reply = match exchange.body() {
        Ok(body) => Reply::text(200, body.to_owned()),
        Err(reply) => reply.clone(),
    };
    exchange.respond(reply);
}

fn send(stream: &mut TcpStream, head: &str, body: &[u8]) {
    stream.write_all(head.as_bytes()).expect("a connection");
    stream.write_all(body).expect("a connection");
}

/// Reads the status and the body of a response.
fn receive(stream: &mut TcpStream) -> (String, String) {
    let mut reader = BufReader::new(stream);
    let mut status = String::new();
    reader.read_line(&mut status).expect("a status line");
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header");
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().expect("a number");
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a body");
    (status, String::from_utf8(body).expect("UTF-8"))
}

http_tests! {
    /// Many connections that are opened at once and stay open must all be served. With tiny_http
    /// 0.12, most of them waited until others closed.
    many_open_connections_are_served => |address| {
        let mut streams: Vec<_> =
            (0..BURST).map(|_| TcpStream::connect(address).expect("a connection")).collect();
        for (i, stream) in streams.iter_mut().enumerate() {
            let body = i.to_string();
            let head =
                format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n", body.len());
            send(stream, &head, body.as_bytes());
        }
        for (i, stream) in streams.iter_mut().enumerate() {
            assert_eq!(receive(stream).1, i.to_string());
        }
    };

    /// A body whose declared length is over the limit is rejected before any of it is sent.
    declared_length_over_the_limit_is_rejected => |address| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        let length = BODY_BYTES + 1;
        send(
            &mut stream,
            &format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n"),
            b"",
        );
        assert!(receive(&mut stream).0.contains("413"));
    };

    /// A chunked body is rejected once it exceeds the limit.
    chunked_body_over_the_limit_is_rejected => |address| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        let chunk = vec![b'a'; BODY_BYTES + 1];
        let head = format!(
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n",
            chunk.len()
        );
        send(&mut stream, &head, &chunk);
        assert!(receive(&mut stream).0.contains("413"));
    };

    /// A body that is not valid UTF-8 is rejected.
    body_that_is_not_utf8_is_rejected => |address| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        send(&mut stream, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n", &[0xff, 0xfe]);
        assert!(receive(&mut stream).0.contains("400"));
    };

    /// Input that is not HTTP does not affect other connections.
    garbage_does_not_affect_other_connections => |address| {
        let mut garbage = TcpStream::connect(address).expect("a connection");
        send(&mut garbage, "\u{0}\u{1}\u{2} not http\r\n\r\n", &[0xff; 100]);
        let mut stream = TcpStream::connect(address).expect("a connection");
        send(&mut stream, "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 2\r\n\r\n", b"ok");
        assert_eq!(receive(&mut stream).1, "ok");
    };
}

/// Closing the server must not block the only thread of a single-threaded runtime. When it did, it
/// hung until the process was killed, and requests in the meantime were never answered.
#[test]
fn closes_on_a_runtime_of_one_thread() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let listen = "127.0.0.1:0".parse().expect("an address");
    let config = HttpConfig {
        listen,
        body_bytes: BODY_BYTES,
        ingress: Ingress::default(),
    };
    let server = HttpServer::start(config, runtime.handle(), echo).expect("a server");
    let closed = async {
        let limit = std::time::Duration::from_secs(5);
        tokio::time::timeout(limit, server.close_async()).await
    };
    runtime.block_on(closed).expect("the server closes");
}
