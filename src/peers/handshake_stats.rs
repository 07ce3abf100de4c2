//! Numbers of connections that haven't proved to come from a peer.

use metrics::{counter, gauge};

/// Incoming connections whose handshake is not complete, and those that were rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HandshakeStats {
    /// Number of open connections.
    pub open: usize,
    /// Connections that were closed in favour of others.
    pub displaced: u64,
    /// Connections that did not complete their handshake, also those that were closed for others.
    pub rejected: u64,
}

impl HandshakeStats {
    /// Sets the metrics of the recorder that is in use.
    #[allow(clippy::cast_precision_loss, reason = "the limit is far below 2^52")]
    pub(crate) fn record(&self) {
        gauge!("cardamomslip_peer_handshakes").set(self.open as f64);
        counter!("cardamomslip_peer_handshakes_displaced_total").absolute(self.displaced);
        counter!("cardamomslip_peer_handshakes_rejected_total").absolute(self.rejected);
    }
}
