//! The queues that clients submit to.

use super::job::Terms;
use crate::collections::FastMap;
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
    /// Queues by host, the ones with longer prefixes first.
    queues: FastMap<Arc<str>, Vec<Queue>>,
    /// Longest body of a request, in bytes; 0 for no limit of its own.
    pub max_body_bytes: u64,
}

impl QueueTable {
    /// Builds a table.
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

    /// Returns the queue whose prefix is the longest that `path` begins with, and the rest of the
    /// path.
    #[must_use]
    pub fn find<'t, 'p>(&'t self, host: &str, path: &'p str) -> Option<(&'t Queue, &'p str)> {
        let mut queues = self.queues.get(&*host.to_ascii_lowercase())?.iter();
        queues.find_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)))
    }

    /// Iterates over the queues.
    pub fn iter(&self) -> impl Iterator<Item = &Queue> {
        self.queues.values().flatten()
    }
}
