//! How the hub is set up.

use super::link::LinkConfig;
use cardamomslip_core::model::incarnation::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;

/// How the hub is set up.
#[derive(Clone, Debug)]
pub struct PeerConfig {
    /// This process and its secret.
    pub link: LinkConfig,
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Peers to connect to before any are listed.
    pub seeds: Vec<SocketAddr>,
}

impl PeerConfig {
    /// Builds a config.
    #[must_use]
    pub const fn new(
        me: Incarnation,
        secret: crate::settings::Secret,
        silence: Duration,
        listen: SocketAddr,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self {
            link: LinkConfig {
                me,
                secret,
                silence,
            },
            listen,
            seeds,
        }
    }
}
