//! Peers: other entry VMs, over WebSocket with CBOR.
//!
//! One connection joins two processes. The opening request shows the shared secret and names the
//! protocol version; the first frame of each side names its incarnation. Frames are bounded.

mod hello;
mod hub;
mod hub_event;
mod hub_state;
mod link;
mod peer_config;
mod protocol;
mod wire;

pub use hub::PeerHub;
pub use hub_event::ListedPeer;
pub use peer_config::PeerConfig;
pub use protocol::{PeerMessage, PeerSink};
pub use wire::{WireError, decode, encode};
