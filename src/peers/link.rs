//! One connection to a peer.

use super::hello::{self, Hello};
use super::hub_event::{Direction, HubEvent, HubSender};
use super::protocol::PeerMessage;
use cardamomslip_core::model::incarnation::Incarnation;
use futures_util::{SinkExt, StreamExt};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

/// Largest frame, in bytes.
const MAX_FRAME: usize = 16 * 1024 * 1024;
/// Time for opening the TCP connection. The next attempt finds a network that has healed sooner than
/// the retransmissions of an old one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for the whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for writing one frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Frames that wait to be written; a peer that is further behind is disconnected.
const MAX_QUEUE: usize = 10_000;

/// What a connection needs to know of this process.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// This incarnation.
    pub me: Incarnation,
    /// The shared secret.
    pub secret: crate::settings::Secret,
    /// Silence after which the connection counts as dead.
    pub silence: Duration,
}

/// Why a connection could not be made. The causes go to the log only.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection was refused or broke.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// The other side refused the handshake or is no peer.
    #[error("{0}")]
    Handshake(#[from] Box<tokio_tungstenite::tungstenite::Error>),
    /// The first frame was no hello.
    #[error("{0}")]
    Hello(#[from] super::wire::WireError),
    /// The handshake took too long, or the connection ended in it.
    #[error("no handshake in time")]
    Silent,
    /// The process at the address is this one.
    #[error("the peer is this process")]
    Myself,
    /// Another connection to the peer is in use and alive.
    #[error("connected already")]
    Duplicate,
}

type Socket = WebSocketStream<TcpStream>;

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
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
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting
            .await
            .unwrap_or(Err(ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{address}/");
        let mut req = url.into_client_request().map_err(Box::new)?;
        hello::sign(&mut req, config.secret.reveal());
        let client = client_async_with_config(req, stream, Some(socket_config()));
        let (mut socket, _) = client.await.map_err(Box::new)?;
        send_hello(&mut socket, config.me).await?;
        let peer = read_hello(&mut socket, config.me).await?;
        Ok((socket, peer))
    };
    join(connect, Direction::Outgoing, &config, tx).await
}

/// Accepts a connection and runs it until it ends. A second connection to a peer that is connected
/// and alive is refused, so that nothing in flight on the first one is lost.
///
/// # Errors
///
/// Returns an error if the handshake fails.
pub async fn accept<M: PeerMessage>(
    config: LinkConfig,
    stream: TcpStream,
    tx: HubSender<M>,
) -> Result<(), LinkError> {
    let secret = config.secret.clone();
    let connect = async {
        stream.set_nodelay(true)?;
        #[allow(clippy::result_large_err, reason = "the type is the library's")]
        let check = move |req: &_, response| hello::check(req, response, secret.reveal());
        let server = accept_hdr_async_with_config(stream, check, Some(socket_config()));
        let mut socket = server.await.map_err(Box::new)?;
        let peer = read_hello(&mut socket, config.me).await?;
        if !tx.admits(peer).await {
            return Err(LinkError::Duplicate);
        }
        send_hello(&mut socket, config.me).await?;
        Ok((socket, peer))
    };
    join(connect, Direction::Incoming, &config, tx.clone()).await
}

/// Waits for a handshake and runs the connection until it ends.
async fn join<M: PeerMessage>(
    connect: impl Future<Output = Result<(Socket, Incarnation), LinkError>>,
    direction: Direction,
    config: &LinkConfig,
    tx: HubSender<M>,
) -> Result<(), LinkError> {
    let shaken = timeout(HANDSHAKE_TIMEOUT, connect).await;
    let (socket, peer) = shaken.unwrap_or(Err(LinkError::Silent))?;
    run(socket, peer, direction, config, tx).await;
    Ok(())
}

async fn send_hello(socket: &mut Socket, me: Incarnation) -> Result<(), LinkError> {
    let frame = Frame::Binary(Hello::encode(me).into());
    socket.send(frame).await.map_err(Box::new)?;
    Ok(())
}

async fn read_hello(socket: &mut Socket, me: Incarnation) -> Result<Incarnation, LinkError> {
    let frame = socket.next().await.ok_or(LinkError::Silent)?;
    let peer = Hello::decode(&frame.map_err(Box::new)?.into_data())?;
    if peer == me {
        return Err(LinkError::Myself);
    }
    Ok(peer)
}

/// Carries messages until the connection breaks, falls silent or is replaced.
async fn run<M: PeerMessage>(
    socket: Socket,
    peer: Incarnation,
    direction: Direction,
    config: &LinkConfig,
    tx: HubSender<M>,
) {
    let (frames_tx, mut frames_rx) = mpsc::channel::<Vec<u8>>(MAX_QUEUE);
    let number = tx.next_link();
    tx.send(HubEvent::Up {
        peer,
        number,
        direction,
        frames: frames_tx,
    });
    let (mut sink, mut stream) = socket.split();
    let write = async {
        while let Some(frame) = frames_rx.recv().await {
            let sent = timeout(WRITE_TIMEOUT, sink.send(Frame::Binary(frame.into()))).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
        // The hub dropped its end: all frames are written, so the connection can be closed.
        drop(timeout(WRITE_TIMEOUT, sink.close()).await);
    };
    let read = async {
        while let Ok(Some(Ok(frame))) = timeout(config.silence, stream.next()).await {
            if !frame.is_binary() {
                continue;
            }
            match M::decode(&frame.into_data()) {
                Ok(message) => tx.message(peer, number, message),
                Err(e) => {
                    tracing::error!(%peer, error = %e, "invalid frame; closing the connection");
                    return;
                }
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
    tx.send(HubEvent::Down { peer, number });
}
