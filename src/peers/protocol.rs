//! What the hub needs to know of the messages that it carries.

use super::wire::{WireError, decode, encode};
use crate::input::InputSender;
use cardamomslip_core::Event;
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;

/// A message between peers.
pub trait PeerMessage: Sized + Send + 'static {
    /// Encodes the message as one frame.
    fn encode(&self) -> Vec<u8>;

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is not exactly one valid message.
    fn decode(frame: &[u8]) -> Result<Self, WireError>;
}

/// Where the hub reports what happens on its connections.
pub trait PeerSink<M>: Clone + Send + 'static {
    /// A connection to a peer is established; its number tells it from others to the same peer.
    fn peer_up(&self, peer: Incarnation, link: u64);

    /// The connection to a peer is lost.
    fn peer_down(&self, peer: Incarnation);

    /// A peer sent a message.
    fn message(&self, from: Incarnation, message: M);
}

impl PeerMessage for Message {
    fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    fn decode(frame: &[u8]) -> Result<Self, WireError> {
        decode(frame)
    }
}

impl PeerSink<Message> for InputSender {
    fn peer_up(&self, peer: Incarnation, _link: u64) {
        self.event(Event::PeerUp(peer));
    }

    fn peer_down(&self, peer: Incarnation) {
        self.event(Event::PeerDown(peer));
    }

    fn message(&self, from: Incarnation, message: Message) {
        self.event(Event::Message { from, message });
    }
}
