//! Parts of the daemon, beside the node, that metrics are read from.

use crate::blocking_pool::BlockingPool;
use crate::http::Ingress;
use crate::peers::PeerHub;
use cardamomslip_core::model::message::Message;

/// Parts of the daemon that metrics are read from. Clones share them.
#[derive(Clone, Debug)]
pub struct MetricSources {
    /// Budget of the callers.
    pub ingress: Ingress,
    /// Connections to peers.
    pub peers: PeerHub<Message>,
    /// Threads for blocking calls.
    pub blocking: BlockingPool,
}
