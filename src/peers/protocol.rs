//! Traits for the messages that the hub sends and for the receiver of its events.

use super::wire::{WireError, decode, encode};
use crate::input::InputSender;
use cardamomslip_core::Event;
use cardamomslip_core::model::ids::VmId;
use cardamomslip_core::model::incarnation::Incarnation;
use cardamomslip_core::model::message::Message;

/// A message that is sent between peers.
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

/// Receives the events of the hub's connections.
pub trait PeerSink<M>: Clone + Send + 'static {
    /// Called when a connection to a peer is established. The number `link` distinguishes it from
    /// other connections to the same peer.
    fn peer_up(&self, peer: Incarnation, link: u64);

    /// Called when the connection to a peer has ended or is being replaced.
    fn peer_down(&self, peer: Incarnation);

    /// Called when a VM refuses a connection, since no process listens there.
    fn connection_refused(&self, vm: VmId) {
        let _ = vm;
    }

    /// Called when a message from a peer is received.
    fn message_received(&self, from: Incarnation, message: M);
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
        self.send_event(Event::PeerUp(peer));
    }

    fn peer_down(&self, peer: Incarnation) {
        self.send_event(Event::PeerDown(peer));
    }

    fn message_received(&self, from: Incarnation, message: Message) {
        self.send_event(Event::Message { from, message });
    }
}
