//! Connections to peers, which are the other entry VMs. Messages are CBOR over WebSocket.
//!
//! Two processes share one connection. The upgrade request carries the shared secret and the
//! protocol version, and the first frame of each side carries its incarnation. The size of frames
//! is limited, and so is the number of connections whose handshake is not complete.

mod dial_target;
mod handshake_stats;
mod handshake_table;
mod handshakes;
mod hello;
mod hub;
mod hub_event;
mod hub_state;
mod link;
mod peer_config;
mod protocol;
mod rejections;
mod wire;

pub use handshake_stats::HandshakeStats;
pub use handshake_table::{HandshakeDecision, HandshakeTable};
pub use hub::PeerHub;
pub use hub_event::PeerAddress;
pub use peer_config::PeerConfig;
pub use protocol::{PeerMessage, PeerSink};
pub(crate) use wire::IncarnationWire;
pub use wire::{WireError, decode, encode};
