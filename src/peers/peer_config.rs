//! Configuration of the hub.

use super::link::LinkConfig;
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// Default of [`PeerConfig::max_handshakes`].
const DEFAULT_MAX_HANDSHAKES: usize = 64;

/// Configuration of a [`PeerHub`](super::PeerHub).
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// Configuration of each connection.
    pub link: LinkConfig,
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Time without a message within which a connection counts as alive: another connection from
    /// its peer is then rejected.
    pub alive_within: Duration,
    /// Limit on the incoming connections whose handshake is not complete.
    pub max_handshakes: usize,
    /// Addresses to connect to as long as no peer is connected.
    pub seeds: Vec<SocketAddr>,
}

impl PeerConfig {
    /// Creates a configuration. A connection is considered dead after `idle_timeout` without a
    /// received frame.
    #[must_use]
    pub fn new(
        me: Incarnation,
        secret: crate::settings::Secret,
        idle_timeout: Duration,
        listen: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            link: LinkConfig {
                me,
                secret,
                idle_timeout,
            },
            listen,
            alive_within: idle_timeout / 2,
            max_handshakes: DEFAULT_MAX_HANDSHAKES,
            seeds,
        }
    }
}
