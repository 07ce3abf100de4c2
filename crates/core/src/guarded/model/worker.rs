//! Registry entries of workers.

use super::ids::{UpstreamId, WorkerId};
use super::resources::Resources;
use crate::model::ids::DataCentreId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Registry entry of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Id of the worker.
    pub id: WorkerId,
    /// Address of its server.
    pub address: SocketAddr,
    /// Upstream that it belongs to.
    pub upstream: UpstreamId,
    /// Data centre that it is in.
    pub data_centre: DataCentreId,
    /// Resources that its runs may occupy.
    pub capacity: Resources,
    /// Labels; the first names the kind of hardware, others name the rack and further properties.
    pub labels: Vec<Arc<str>>,
    /// Whether it is draining and must get no new runs.
    pub draining: bool,
    /// Time for which it is slower than usual after its start, from when the entry was written.
    pub cold_left: Duration,
    /// Boot that the entry is of, as in replies to polls; `None` if the entry does not say.
    pub boot: Option<u64>,
}

impl WorkerEntry {
    /// Returns the label that names the kind of hardware. Workers of one kind are about equally
    /// fast.
    #[must_use]
    pub fn kind(&self) -> Option<&Arc<str>> {
        self.labels.first()
    }

    /// Returns whether it has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }
}
