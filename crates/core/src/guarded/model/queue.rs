//! The queues that clients submit to.

use super::ids::UpstreamId;
use super::job::Terms;
use crate::model::ids::DataCentreId;
use std::sync::Arc;

/// A queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// Host that requests for it name.
    pub host: Arc<str>,
    /// What the paths of its requests begin with.
    pub prefix: Arc<str>,
    /// What applies to its jobs.
    pub terms: Terms,
}

/// All queues of one version of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct QueueTable {
    /// Version; later ones are higher.
    pub version: u64,
    /// Queues, the ones with longer prefixes first.
    queues: Vec<Queue>,
    /// Longest body of a request, in bytes; 0 for no limit of its own.
    pub max_body_bytes: u64,
}

impl QueueTable {
    /// Builds a table.
    #[must_use]
    pub fn new(version: u64, mut queues: Vec<Queue>, max_body_bytes: u64) -> Self {
        queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        Self {
            version,
            queues,
            max_body_bytes,
        }
    }

    /// Returns the queue whose prefix is the longest that `path` begins with, and the rest of the
    /// path.
    #[must_use]
    pub fn find<'t, 'p>(&'t self, host: &str, path: &'p str) -> Option<(&'t Queue, &'p str)> {
        let mut queues = self.queues.iter();
        queues.find_map(|queue| {
            if !queue.host.eq_ignore_ascii_case(host) {
                return None;
            }
            Some((queue, path.strip_prefix(&*queue.prefix)?))
        })
    }

    /// Iterates over the queues.
    pub fn iter(&self) -> impl Iterator<Item = &Queue> {
        self.queues.iter()
    }

    /// Returns the upstreams that a queue sends work to.
    #[must_use]
    pub fn uses(&self, upstream: UpstreamId) -> bool {
        self.iter().any(|queue| queue.terms.upstream == upstream)
    }
}

/// Where an entry VM is and how large it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Site {
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Size relative to other VMs.
    pub weight: u32,
}
