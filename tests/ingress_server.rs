//! A server with a small ingress budget.

use cardamomslip::http::{Exchange, HttpConfig, HttpServer, Ingress, IngressLimits, Reply};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const LIMITS: IngressLimits = IngressLimits {
    bytes: 1024 * 1024,
    connections: 16,
    head_bytes: 24 * 1024,
    head_timeout: Duration::from_secs(60),
    idle_timeout: Duration::from_secs(60),
};
/// Size of a body of which two fit into the budget.
const LARGE_BODY_BYTES: usize = 400 * 1024;
/// Time limit for what the server does by itself.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A server, its budget, and the requests that it has not answered.
struct Case {
    server: HttpServer,
    ingress: Ingress,
    pending: Arc<Mutex<Vec<Exchange>>>,
    _runtime: Runtime,
}

impl Case {
    fn new(limits: IngressLimits) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let ingress = Ingress::new(limits);
        let config = HttpConfig {
            listen: "127.0.0.1:0".parse().expect("an address"),
            body_bytes: limits.bytes,
            ingress: ingress.clone(),
        };
        let pending = Arc::<Mutex<Vec<Exchange>>>::default();
        let kept = Arc::clone(&pending);
        let serve = move |exchange: Exchange| match exchange.body() {
            Ok(_) if exchange.path() == "/kept" => kept.lock().expect("a lock").push(exchange),
            Ok(body) => {
                let reply = Reply::text(200, body.len().to_string());
                exchange.respond(reply);
            }
            Err(reply) => {
                let reply = reply.clone();
                exchange.respond(reply);
            }
        };
        Self {
            server: HttpServer::start(config, runtime.handle(), serve).expect("a server"),
            ingress,
            pending,
            _runtime: runtime,
        }
    }

    fn address(&self) -> SocketAddr {
        self.server.address()
    }

    fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < end, "{what}: {:?}", self.ingress.stats());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn send(address: SocketAddr, path: &str, head: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let length = body.len();
    let text =
        format!("POST {path} HTTP/1.1\r\nhost: x\r\n{head}content-length: {length}\r\n\r\n{body}");
    // The server may answer and close before it has read all.
    let _ = stream.write_all(text.as_bytes());
    stream
}

/// Returns the response of a request after which the connection is closed.
fn request(address: SocketAddr, head: &str, body: &str) -> String {
    let head = format!("connection: close\r\n{head}");
    let mut response = String::new();
    let result = send(address, "/", &head, body).read_to_string(&mut response);
    result.expect("a response");
    response
}

/// Defines tests that each run against a server of their own.
macro_rules! server_tests {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let body: fn(&Case) = $body;
            body(&Case::new(LIMITS));
        })*
    };
}

/// Reads the head of a response.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a response");
        head.extend(byte);
    }
    String::from_utf8_lossy(&head).into_owned()
}

server_tests! {
    /// What requests were charged is released after the response, and the rest at the end of the
    /// connection; else the server would refuse more and more.
    all_is_released => |case| {
        let body = " ".repeat(LARGE_BODY_BYTES);
        for _ in 0..10 {
            assert!(request(case.address(), "", &body).ends_with(&body.len().to_string()));
            let stream = send(case.address(), "/kept", "", &body);
            case.wait_until("the request is kept", |case| {
                !case.pending.lock().expect("a lock").is_empty()
            });
            drop(stream);
            case.pending.lock().expect("a lock").clear();
        }
        case.wait_until("nothing is held", |case| {
            (case.ingress.stats().connections, case.ingress.stats().bytes) == (0, 0)
        });
        assert_eq!(case.ingress.stats().refusals(), 0);
    };

    /// Requests sent at once on one connection are all served, and are charged once each.
    pipelined_requests_are_served => |case| {
        let mut stream = TcpStream::connect(case.address()).expect("a connection");
        let requests = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello".repeat(50);
        let last = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream.write_all(format!("{requests}{last}").as_bytes()).expect("a connection");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("responses");
        assert_eq!(text.matches("HTTP/1.1 200").count(), 51);
        case.wait_until("nothing is held", |case| case.ingress.stats().bytes == 0);
    };

    /// Heads of the size that the platform allows are served; larger ones are refused.
    heads_are_limited => |case| {
        let head = |bytes| format!("x-long: {}\r\n", "a".repeat(bytes));
        assert!(request(case.address(), &head(16_200), "").starts_with("HTTP/1.1 200"));
        let mut stream = send(case.address(), "/", &head(LIMITS.head_bytes), "");
        let mut status = [0; 12];
        stream.read_exact(&mut status).expect("a response");
        assert_eq!(&status, b"HTTP/1.1 431");
    };

    /// Complete requests that have not been answered fill the budget: another body is refused with
    /// the time to retry, nothing of the others is given up, and a small request is still served.
    a_request_without_room_is_refused => |case| {
        let body = " ".repeat(LARGE_BODY_BYTES);
        let kept = [(); 2].map(|()| send(case.address(), "/kept", "", &body));
        case.wait_until("the requests are kept", |case| {
            case.pending.lock().expect("a lock").len() == 2
        });
        let mut refused = send(case.address(), "/", "", &body);
        let text = read_head(&mut refused);
        assert!(text.starts_with("HTTP/1.1 503"), "{text}");
        assert!(text.contains("retry-after: 1"), "{text}");
        assert!(request(case.address(), "", "small").starts_with("HTTP/1.1 200"));
        for exchange in case.pending.lock().expect("a lock").drain(..) {
            assert!(!exchange.is_abandoned());
            exchange.respond(Reply::text(200, String::new()));
        }
        for mut stream in kept {
            let mut status = [0; 12];
            stream.read_exact(&mut status).expect("a response");
            assert_eq!(&status, b"HTTP/1.1 200");
        }
    };
}

/// A head that has begun is closed in time, also if bytes go on arriving, while a connection between two
/// requests stays open.
#[test]
fn a_slow_head_is_closed() {
    let case = Case::new(IngressLimits {
        head_timeout: Duration::from_millis(100),
        ..LIMITS
    });
    let mut idle = send(case.address(), "/", "", "");
    let mut status = [0; 12];
    idle.read_exact(&mut status).expect("a response");
    let slow = TcpStream::connect(case.address()).expect("a connection");
    case.wait_until("the head is closed", |case| {
        // Writing fails once the connection is closed.
        let _ = (&slow).write_all(b"\r\n");
        case.ingress.stats().closed_by_head_timeout == 1
    });
    case.wait_until("one connection is left", |case| {
        case.ingress.stats().connections == 1
    });
    idle.write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("an open connection");
    let mut rest = String::new();
    idle.read_to_string(&mut rest).expect("a response");
    assert!(rest.contains("HTTP/1.1 200"), "{rest}");
}
