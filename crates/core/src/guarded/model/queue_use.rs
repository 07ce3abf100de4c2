//! What a queue uses of the workers of a holder.

use super::ids::QueueId;

/// Maximum number of queues that a heartbeat reports.
pub const MAX_QUEUE_USES: usize = 32;
/// Maximum of each amount of CPU, in thousandths of a core.
const MAX_MILLI: u64 = 1 << 50;

/// What a queue uses of the workers of a holder whose room is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueUse {
    /// The queue.
    pub queue: QueueId,
    /// Priority of its last job.
    pub priority: u32,
    /// CPU that it uses, in thousandths of a core.
    pub held_milli: u64,
    /// CPU that it uses in the mean over a longer time, in thousandths of a core.
    pub usual_milli: u64,
    /// CPU that its waiting tasks will use, spread over a second, in thousandths of a core.
    pub waiting_milli: u64,
}

impl QueueUse {
    /// Cuts the values to their maximums, so that sums do not overflow.
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            held_milli: self.held_milli.min(MAX_MILLI),
            usual_milli: self.usual_milli.min(MAX_MILLI),
            waiting_milli: self.waiting_milli.min(MAX_MILLI),
            ..self
        }
    }
}
