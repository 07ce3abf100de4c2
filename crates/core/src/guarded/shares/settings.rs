//! Weights and quotas of the queues.

use crate::guarded::model::ids::QueueId;
use std::collections::BTreeMap;

/// Weights and quotas of the queues, from the deployment's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareSettings {
    /// Weight of a queue that no other field names.
    pub default_weight: f64,
    /// Weights by queue.
    pub by_queue: BTreeMap<QueueId, f64>,
    /// Weights by the priority of the queue, for queues that `by_queue` does not name.
    pub by_priority: BTreeMap<u32, f64>,
    /// Maximum part of the room that a queue's share may reach, from 0 to 1, by queue.
    pub quotas: BTreeMap<QueueId, f64>,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            default_weight: 1.0,
            by_queue: BTreeMap::new(),
            by_priority: BTreeMap::new(),
            quotas: BTreeMap::new(),
        }
    }
}

impl ShareSettings {
    /// Returns the weight of a queue.
    #[must_use]
    pub fn weight(&self, queue: QueueId, priority: u32) -> f64 {
        let weight = self.by_queue.get(&queue);
        let weight = weight.or_else(|| self.by_priority.get(&priority));
        weight.copied().unwrap_or(self.default_weight)
    }

    /// Returns the maximum part of the room that a queue's share may reach.
    #[must_use]
    pub fn quota(&self, queue: QueueId) -> f64 {
        self.quotas.get(&queue).copied().unwrap_or(1.0)
    }
}
