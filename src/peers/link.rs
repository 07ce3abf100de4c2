//! A single connection to a peer.

use super::handshakes::HandshakePermit;
use super::hello::{self, Hello};
use super::hub_event::{Direction, HubEvent, HubSender};
use super::protocol::PeerMessage;
use crate::time_limit::timeout_after_reading;
use cardamomslip_core::model::incarnation::Incarnation;
use futures_util::{SinkExt, StreamExt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

/// Maximum size of a frame, in bytes.
const MAX_FRAME: usize = 16 * 1024 * 1024;
/// Time limit for opening a TCP connection. It is short because, once a network failure is over, a
/// new attempt succeeds sooner than the retransmissions of an old one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for the whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the read buffer of a connection, in bytes. Each read clears it, and most frames are a few
/// hundred bytes long.
const READ_BUFFER: usize = 4 * 1024;
/// Maximum number of frames queued for a peer. A peer that falls further behind is disconnected.
const MAX_QUEUE: usize = 10_000;

/// Configuration of the connections of this process.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Incarnation of this process.
    pub me: Incarnation,
    /// Secret shared by all peers.
    pub secret: crate::settings::Secret,
    /// Time without a received frame after which a connection is considered dead.
    pub idle_timeout: Duration,
}

/// Reason why a connection could not be established. Used only in logs.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The TCP connection was refused or failed.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// The WebSocket handshake failed, because the peer rejected it or does not speak the protocol.
    #[error("{0}")]
    Handshake(#[from] Box<tokio_tungstenite::tungstenite::Error>),
    /// The first frame of the peer was not a hello.
    #[error("{0}")]
    Hello(#[from] super::wire::WireError),
    /// The handshake timed out, or the connection ended during it.
    #[error("handshake timed out or connection closed during the handshake")]
    HandshakeIncomplete,
    /// The address belongs to this process.
    #[error("the address belongs to this process")]
    SelfConnection,
    /// Another incoming connection needed the place of this one before its handshake was complete.
    #[error("closed in its handshake in favour of another connection")]
    Displaced,
    /// A live connection to the peer exists already.
    #[error("already connected to this peer")]
    Duplicate,
}

impl LinkError {
    /// Returns whether no process listens at the address.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Socket(e) if e.kind() == ErrorKind::ConnectionRefused)
    }
}

type Socket = WebSocketStream<TcpStream>;

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
}

/// Connects to `address` and runs the connection until it ends.
///
/// # Errors
///
/// Returns an error if the handshake fails.
pub async fn dial<M: PeerMessage>(
    config: LinkConfig,
    address: SocketAddr,
    tx: HubSender<M>,
) -> Result<(), LinkError> {
    let connect = async {
        let connecting = timeout_after_reading(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting
            .await
            .unwrap_or(Err(ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        let mut req = url.into_client_request().map_err(Box::new)?;
        hello::add_headers(&mut req, config.secret.reveal());
        let client = client_async_with_config(req, stream, Some(socket_config()));
        let (mut socket, _) = client.await.map_err(Box::new)?;
        send_hello(&mut socket, config.me).await?;
        let peer = receive_hello(&mut socket, config.me).await?;
        Ok((socket, peer))
    };
    run_after_handshake(connect, Direction::Outgoing, &config, tx).await
}

/// Accepts a connection and runs it until it ends. The connection is rejected if a live one to the
/// same peer exists, so that no message in flight on that one is lost. `permit` is held until the end of
/// the handshake.
///
/// # Errors
///
/// Returns an error if the handshake fails.
pub async fn accept<M: PeerMessage>(
    config: LinkConfig,
    stream: TcpStream,
    permit: HandshakePermit,
    tx: HubSender<M>,
) -> Result<(), LinkError> {
    let secret = config.secret.clone();
    let connect = async {
        stream.set_nodelay(true)?;
        #[allow(
            clippy::result_large_err,
            reason = "the type is defined by the library"
        )]
        let check = move |req: &_, response| hello::check_headers(req, response, secret.reveal());
        let server = accept_hdr_async_with_config(stream, check, Some(socket_config()));
        let mut socket = server.await.map_err(Box::new)?;
        let peer = receive_hello(&mut socket, config.me).await?;
        if !tx.should_accept(peer).await {
            return Err(LinkError::Duplicate);
        }
        send_hello(&mut socket, config.me).await?;
        drop(permit);
        Ok((socket, peer))
    };
    run_after_handshake(connect, Direction::Incoming, &config, tx.clone()).await
}

/// Completes a handshake within its time limit and runs the connection until it ends.
async fn run_after_handshake<M: PeerMessage>(
    connect: impl Future<Output = Result<(Socket, Incarnation), LinkError>>,
    direction: Direction,
    config: &LinkConfig,
    tx: HubSender<M>,
) -> Result<(), LinkError> {
    let handshake = timeout(HANDSHAKE_TIMEOUT, connect).await;
    let (socket, peer) = handshake.unwrap_or(Err(LinkError::HandshakeIncomplete))?;
    run(socket, peer, direction, config, tx).await;
    Ok(())
}

async fn send_hello(socket: &mut Socket, me: Incarnation) -> Result<(), LinkError> {
    let frame = Frame::Binary(Hello::encode(me).into());
    socket.send(frame).await.map_err(Box::new)?;
    Ok(())
}

async fn receive_hello(socket: &mut Socket, me: Incarnation) -> Result<Incarnation, LinkError> {
    let frame = socket.next().await.ok_or(LinkError::HandshakeIncomplete)?;
    let peer = Hello::decode(&frame.map_err(Box::new)?.into_data())?;
    if peer == me {
        return Err(LinkError::SelfConnection);
    }
    Ok(peer)
}

/// Sends and receives messages until the connection fails, is idle for too long or is replaced.
async fn run<M: PeerMessage>(
    socket: Socket,
    peer: Incarnation,
    direction: Direction,
    config: &LinkConfig,
    tx: HubSender<M>,
) {
    let (frames_tx, mut frames_rx) = mpsc::channel::<Vec<u8>>(MAX_QUEUE);
    let (reset, reset_rx) = oneshot::channel();
    let number = tx.next_link_number();
    tx.send(HubEvent::Up {
        peer,
        number,
        direction,
        frames: frames_tx,
        reset,
    });
    let (mut sink, mut stream) = socket.split();
    let write = async {
        while let Some(frame) = frames_rx.recv().await {
            let sent = timeout(WRITE_TIMEOUT, sink.send(Frame::Binary(frame.into()))).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
        // The hub has dropped its sender and all frames are written, so the connection is closed.
        drop(timeout(WRITE_TIMEOUT, sink.close()).await);
    };
    let read = async {
        while let Ok(Some(Ok(frame))) = timeout(config.idle_timeout, stream.next()).await {
            if !frame.is_binary() {
                continue;
            }
            match M::decode(&frame.into_data()) {
                Ok(message) => tx.report_message(peer, number, message),
                Err(e) => {
                    tracing::error!(%peer, error = %e, "invalid frame; closing the connection");
                    return;
                }
            }
        }
    };
    let mut is_reset = false;
    tokio::select! {
        () = write => {}
        () = read => {}
        Ok(()) = reset_rx => is_reset = true,
    }
    if is_reset && let Ok(socket) = sink.reunite(stream) {
        // Otherwise the system would go on sending what its buffer holds. If this fails, it does.
        let _ = socket.get_ref().set_zero_linger();
    }
    tx.send(HubEvent::Down { peer, number });
}
