//! How the client pool tells the end of a server's process from a lost route.

use cardamomslip::http::{Pool, PoolError};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;

const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that the pool needs to notice the end of an idle connection.
const NOTICE_TIME: Duration = Duration::from_millis(100);

/// Sends a request and reads the whole response.
async fn send(pool: &Pool) -> Result<(), PoolError> {
    let req = Request::builder().uri("/").header("host", "server");
    let req = req.body(Full::new(Bytes::new())).expect("a request");
    let (response, sender) = pool.send(req).await?.into_parts();
    let body = response.into_body().collect().await;
    body.expect("a response body");
    pool.put_back(sender);
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
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(response).expect("a connection");
}

/// Runs a server for one connection, which then ends with its listener, while the body uses the
/// pool.
fn with_server<F>(server: fn(&mut TcpStream), body: impl FnOnce(Pool) -> F)
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
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(body(pool));
    thread.join().expect("the server");
}

/// Guards against the end of a process that is taken for silence: it closes the connection of a
/// request in progress.
#[test]
fn a_process_that_ends_during_a_request_is_reported() {
    with_server(read_request, async |pool| {
        assert!(matches!(send(&pool).await, Err(PoolError::Closed(_))));
        assert!(matches!(send(&pool).await, Err(PoolError::Ended(_))));
        pool.forget_closes();
        assert!(matches!(send(&pool).await, Err(PoolError::Unsent(_))));
    });
}

/// Guards against the end of a process that is taken for silence: it closes an idle connection.
#[test]
fn a_process_that_ends_between_requests_is_reported() {
    let server = |stream: &mut TcpStream| {
        read_request(stream);
        respond(stream);
    };
    with_server(server, async |pool| {
        send(&pool).await.expect("a response");
        tokio::time::sleep(NOTICE_TIME).await;
        assert!(matches!(send(&pool).await, Err(PoolError::Ended(_))));
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
