//! How the client pool tells the end of a server's process from a lost route, and which idle
//! connections it trusts.

use cardamomslip::http::{OpenedConnections, Pool, PoolError, ReadHorizon};
use cardamomslip::platform::PlatformClient;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::time::timeout;

const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that the pool needs to notice the end of an idle connection.
const NOTICE_TIME: Duration = Duration::from_millis(100);
/// Time that a server needs for a request.
const SERVICE_TIME: Duration = Duration::from_millis(40);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Body of each response: a value of the product's own store.
const BODY: &str = r#"{"value":7,"version":1}"#;

/// Sends a request and reads the whole response.
async fn send(pool: &Pool) -> Result<(), PoolError> {
    send_waiting(pool, Duration::ZERO).await
}

/// Sends a request that the server may hold for `wait`, and reads the whole response.
async fn send_waiting(pool: &Pool, wait: Duration) -> Result<(), PoolError> {
    let req = Request::builder().uri("/").header("host", "server");
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let (response, connection) = pool.send_waiting(req, wait).await?.into_parts();
    let body = response.into_body().collect().await;
    body.expect("a response body");
    pool.put_back(connection);
    Ok(())
}

/// Reads a request up to the end of its head.
fn read_request(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
}

fn respond(stream: &mut TcpStream) {
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    stream.write_all(response.as_bytes()).expect("a connection");
}

/// Runs a server for one connection, which then ends with its listener, while the body uses the
/// pool.
fn with_server<F>(server: fn(&mut TcpStream), body: impl FnOnce(Pool) -> F)
where
    F: Future<Output = ()>,
{
    with_server_on(&Runtime::new().expect("a runtime"), server, body);
}

/// Same as [`with_server`], on another runtime.
fn with_server_on<F>(runtime: &Runtime, server: fn(&mut TcpStream), body: impl FnOnce(Pool) -> F)
where
    F: Future<Output = ()>,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address").to_string();
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        drop(listener);
        server(&mut stream);
    });
    let pool = Pool::new(Arc::from(address), IDLE_TIMEOUT, CONNECT_TIMEOUT);
    runtime.block_on(body(pool));
    thread.join().expect("the server");
}

/// Reads a request and holds it for a while.
fn read_request_and_work(stream: &mut TcpStream) {
    read_request(stream);
    std::thread::sleep(SERVICE_TIME);
}

/// Guards against the end of a process that is taken for silence: it closes the connection of a
/// request in progress.
#[test]
fn a_process_that_ends_during_a_request_is_reported() {
    with_server(read_request_and_work, async |pool| {
        assert!(matches!(send(&pool).await, Err(PoolError::Closed(_))));
        assert!(matches!(send(&pool).await, Err(PoolError::Ended(_))));
        pool.forget_closes();
        assert!(matches!(send(&pool).await, Err(PoolError::Unsent(_))));
    });
}

/// Guards against a live worker that closes an idle connection and is cut off, so that new connections are
/// refused, and whose runs are taken to have ended.
#[test]
fn the_close_of_an_idle_connection_is_not_the_end_of_a_process() {
    let server = |stream: &mut TcpStream| {
        read_request(stream);
        respond(stream);
    };
    with_server(server, async |pool| {
        send(&pool).await.expect("a response");
        tokio::time::sleep(NOTICE_TIME).await;
        assert!(matches!(send(&pool).await, Err(PoolError::Unsent(_))));
    });
}

/// Guards against the same if the close crosses the next request, which then lies unread here for a while.
#[test]
fn a_close_that_crosses_a_request_is_not_the_end_of_a_process() {
    let server = |stream: &mut TcpStream| {
        read_request(stream);
        respond(stream);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    with_server_on(&runtime, server, async |pool| {
        send(&pool).await.expect("a response");
        // The event loop does not read the close before it sends the next request.
        std::thread::sleep(NOTICE_TIME);
        let first = {
            let request = std::pin::pin!(send(&pool));
            let stalled = async {
                tokio::task::yield_now().await;
                std::thread::sleep(NOTICE_TIME);
            };
            tokio::join!(request, stalled).0
        };
        assert!(first.is_err());
        assert!(!matches!(first, Err(PoolError::Ended(_))), "{first:?}");
        let second = send(&pool).await;
        assert!(matches!(second, Err(PoolError::Unsent(_))), "{second:?}");
    });
}

/// Guards against the end of a process that is not reported while the event loop reads the sockets.
#[test]
fn a_process_that_ends_is_reported_while_its_close_is_new() {
    with_server(read_request_and_work, async |pool| {
        let horizon = ReadHorizon::default();
        let pool = pool.with_horizon(horizon.clone());
        let passes = async {
            for _ in 0..10 {
                horizon.advance();
                tokio::time::sleep(NOTICE_TIME / 10).await;
            }
        };
        let (first, ()) = tokio::join!(send(&pool), passes);
        assert!(matches!(first, Err(PoolError::Closed(_))), "{first:?}");
        assert!(matches!(send(&pool).await, Err(PoolError::Ended(_))));
    });
}

/// Guards against a worker that closes the connection of a request and is cut off later, both while this
/// process stalls, and whose runs are taken to have ended.
#[test]
fn a_close_that_lay_unread_is_not_the_end_of_a_process() {
    let server = |stream: &mut TcpStream| {
        read_request(stream);
        respond(stream);
        read_request(stream);
        std::thread::sleep(NOTICE_TIME);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    with_server_on(&runtime, server, async |pool| {
        let horizon = ReadHorizon::default();
        let pool = pool.with_horizon(horizon.clone());
        send(&pool).await.expect("a response");
        let stalled = async {
            tokio::time::sleep(NOTICE_TIME / 10).await;
            horizon.advance();
            std::thread::sleep(NOTICE_TIME * 4);
        };
        let (first, ()) = tokio::join!(send(&pool), stalled);
        assert!(matches!(first, Err(PoolError::Closed(_))), "{first:?}");
        assert!(matches!(send(&pool).await, Err(PoolError::Unsent(_))));
    });
}

/// Guards against a lost route that is taken for the end of a process: connections are reset, and
/// new ones are refused.
#[test]
fn a_reset_is_not_the_end_of_a_process() {
    // A connection that is closed with unread data is reset.
    let server = |stream: &mut TcpStream| {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
    };
    with_server(server, async |pool| {
        assert!(matches!(send(&pool).await, Err(PoolError::NoResponse(_))));
        assert!(matches!(send(&pool).await, Err(PoolError::Unsent(_))));
    });
}

/// A server whose connections can be made to go silent. New connections always work.
struct SilencingServer {
    address: String,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    /// Number of accepted connections.
    accepted: AtomicUsize,
    /// Numbers of the connections that answer no more.
    silent: Mutex<BTreeSet<usize>>,
    /// Connection that the last request arrived on, from 1.
    last_used: AtomicUsize,
}

impl SilencingServer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address").to_string();
        let shared = Arc::<Shared>::default();
        let serving = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = Arc::clone(&serving);
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst) + 1;
                std::thread::spawn(move || {
                    shared.serve(number, &mut stream.expect("a connection"));
                });
            }
        });
        Self { address, shared }
    }

    fn pool(&self) -> Pool {
        let address = Arc::from(self.address.as_str());
        Pool::new(address, IDLE_TIMEOUT, CONNECT_TIMEOUT)
    }

    fn accepted(&self) -> usize {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Makes all open connections go silent.
    fn silence_all(&self) {
        let open = 1..=self.accepted();
        self.shared.silent.lock().expect("a lock").extend(open);
    }

    /// Makes the connection of the last request go silent, before that request is answered.
    async fn silence_last_used(&self) {
        tokio::time::sleep(SERVICE_TIME / 4).await;
        let number = self.shared.last_used.load(Ordering::SeqCst);
        self.shared.silent.lock().expect("a lock").insert(number);
    }
}

impl Shared {
    fn serve(&self, number: usize, stream: &mut TcpStream) {
        let mut byte = [0];
        // The pool closes the connection.
        while stream.peek(&mut byte).is_ok_and(|count| count > 0) {
            read_request(stream);
            self.last_used.store(number, Ordering::SeqCst);
            std::thread::sleep(SERVICE_TIME);
            if !self.silent.lock().expect("a lock").contains(&number) {
                respond(stream);
            }
        }
    }
}

/// Opens this many idle connections.
async fn open_idle(pool: &Pool, count: usize) {
    let sends: Vec<_> = (0..count)
        .map(|_| {
            let pool = pool.clone();
            tokio::spawn(async move { send(&pool).await })
        })
        .collect();
    for send in sends {
        send.await.expect("a task").expect("a response");
    }
    // Until the connections are ready again.
    tokio::time::sleep(SERVICE_TIME).await;
}

/// Guards against a retry that is lost on one silent idle connection after the other.
#[test]
fn an_unanswered_request_discredits_older_idle_connections() {
    let server = SilencingServer::start();
    Runtime::new().expect("a runtime").block_on(async {
        let opened = OpenedConnections::default();
        let pool = server.pool().counted_in(opened.clone());
        open_idle(&pool, 4).await;
        assert_eq!(server.accepted(), 4);
        server.silence_all();
        let lost = timeout(REQUEST_TIMEOUT, send(&pool)).await;
        assert!(lost.is_err(), "the connections are silent");
        let retried = timeout(REQUEST_TIMEOUT, send(&pool)).await;
        assert!(
            retried.is_ok_and(|sent| sent.is_ok()),
            "the retry was lost too"
        );
        assert_eq!(server.accepted(), 5);
        assert_eq!((opened.none_idle(), opened.distrusted()), (4, 1));
    });
}

/// Guards against connections that are opened for nothing: requests are answered, and one that is
/// not says nothing about a connection that answered after it was sent.
#[test]
fn connections_that_answered_since_are_kept() {
    let server = SilencingServer::start();
    Runtime::new().expect("a runtime").block_on(async {
        let pool = server.pool();
        open_idle(&pool, 2).await;
        for _ in 0..10 {
            send(&pool).await.expect("a response");
            tokio::time::sleep(SERVICE_TIME / 4).await;
        }
        assert_eq!(server.accepted(), 2);
        let (lost, answered) = tokio::join!(timeout(REQUEST_TIMEOUT, send(&pool)), async {
            server.silence_last_used().await;
            send(&pool).await
        });
        assert!(lost.is_err() && answered.is_ok(), "{lost:?}, {answered:?}");
        send(&pool).await.expect("a response");
        assert_eq!(server.accepted(), 2);
    });
}

/// Guards against a second loss after a lost long poll: an idle connection answered after the poll
/// was sent, and went silent with it before the poll was due.
#[test]
fn a_lost_long_poll_discredits_connections_that_answered_before_it_was_due() {
    let server = SilencingServer::start();
    Runtime::new().expect("a runtime").block_on(async {
        let pool = server.pool();
        open_idle(&pool, 2).await;
        let wait = SERVICE_TIME * 5;
        let poll = timeout(wait + REQUEST_TIMEOUT, send_waiting(&pool, wait));
        let (lost, answered) = tokio::join!(poll, async {
            server.silence_last_used().await;
            send(&pool).await
        });
        assert!(lost.is_err() && answered.is_ok(), "{lost:?}, {answered:?}");
        server.silence_all();
        let retried = timeout(REQUEST_TIMEOUT, send(&pool)).await;
        assert!(
            retried.is_ok_and(|sent| sent.is_ok()),
            "the retry was lost too"
        );
    });
}

/// Guards against a call of the product's own interface that is lost on one silent idle connection
/// after the other, for three seconds each.
#[test]
fn a_platform_call_that_timed_out_discredits_idle_connections() {
    let server = SilencingServer::start();
    let address = server.address.parse().expect("an address");
    let client = PlatformClient::new(address, CONNECT_TIMEOUT);
    let read = |client: &PlatformClient| {
        let row = client.get::<u32>("key");
        row.map(|row| row.map(|row| row.value))
    };
    std::thread::scope(|scope| {
        let calls = [(); 3].map(|()| scope.spawn(|| read(&client)));
        for call in calls {
            assert_eq!(call.join().expect("a thread").expect("a response"), Some(7));
        }
    });
    assert_eq!(server.accepted(), 3);
    server.silence_all();
    assert!(read(&client).is_err(), "the connections are silent");
    let retried = read(&client);
    assert!(matches!(retried, Ok(Some(7))), "the retry was lost too");
    assert_eq!(server.accepted(), 4);
}
