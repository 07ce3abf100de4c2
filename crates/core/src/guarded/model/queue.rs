//! Queues that clients submit jobs to.

use super::ids::QueueId;
use super::job::QueueSettings;
use crate::collections::FastMap;
use std::sync::Arc;

/// A queue, selected by the host and path of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name in the configuration.
    pub name: Arc<str>,
    /// Host name of its requests.
    pub host: Arc<str>,
    /// Prefix of the paths of its requests.
    pub prefix: Arc<str>,
    /// Settings that apply to its jobs.
    pub settings: QueueSettings,
}

/// All queues of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct QueueTable {
    /// Version of the configuration; later ones are higher.
    pub version: u64,
    /// Queues by lower-case host, longest prefix first.
    queues: FastMap<Arc<str>, Vec<Queue>>,
    /// Maximum size of a request body in bytes; 0 if the configuration sets no limit.
    pub max_body_bytes: u64,
}

impl QueueTable {
    /// Creates a table from queues in any order.
    #[must_use]
    pub fn new(version: u64, queues: Vec<Queue>, max_body_bytes: u64) -> Self {
        let mut by_host: FastMap<Arc<str>, Vec<Queue>> = FastMap::default();
        for queue in queues {
            let host = queue.host.to_ascii_lowercase();
            by_host.entry(Arc::from(host)).or_default().push(queue);
        }
        for queues in by_host.values_mut() {
            queues.sort_by_key(|queue| std::cmp::Reverse(queue.prefix.len()));
        }
        Self {
            version,
            queues: by_host,
            max_body_bytes,
        }
    }

    /// Returns the queue of `host` with the longest prefix that `path` starts with, and the rest of
    /// the path.
    #[must_use]
    pub fn find<'t, 'p>(&'t self, host: &str, path: &'p str) -> Option<(&'t Queue, &'p str)> {
        let mut queues = self.queues.get(&*host.to_ascii_lowercase())?.iter();
        queues.find_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)))
    }

    /// Returns the name of a queue.
    #[must_use]
    pub fn name(&self, id: QueueId) -> Option<Arc<str>> {
        let mut queues = self.iter();
        let queue = queues.find(|queue| queue.settings.queue == id)?;
        Some(Arc::clone(&queue.name))
    }

    /// Iterates over all queues in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Queue> {
        self.queues.values().flatten()
    }
}
