//! A worker as the registry lists it.

use super::ids::{UpstreamId, WorkerId};
use super::resources::Resources;
use crate::model::ids::DataCentreId;
use std::sync::Arc;

/// What the registry says of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The worker.
    pub id: WorkerId,
    /// The upstream that it belongs to.
    pub upstream: UpstreamId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it can hold.
    pub capacity: Resources,
    /// Its kind, its rack and other labels.
    pub labels: Vec<Arc<str>>,
    /// Whether it leaves and must get no new runs.
    pub draining: bool,
}

impl WorkerEntry {
    /// Returns the label that names the hardware; workers of one kind are about equally fast.
    #[must_use]
    pub fn kind(&self) -> Option<&Arc<str>> {
        self.labels.first()
    }

    /// Tells whether it has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|own| **own == *label)
    }
}
