//! Counters of one dispatcher.

/// Counters since the start of the process, and a few present figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Jobs submitted by clients of this VM.
    pub submitted: u64,
    /// Jobs answered as completed.
    pub completed: u64,
    /// Jobs answered as failed.
    pub failed: u64,
    /// Jobs refused before any start.
    pub refused: u64,
    /// Jobs given up after starts.
    pub lost: u64,
    /// Jobs whose client left.
    pub abandoned: u64,
    /// Jobs placed with a peer.
    pub placed_remote: u64,
    /// Starts ordered.
    pub starts: u64,
    /// Starts that a worker refused.
    pub starts_refused: u64,
    /// Orders without an answer.
    pub silent_orders: u64,
    /// Runs stopped by order.
    pub stops: u64,
    /// Looks at workers.
    pub looks: u64,
    /// Workers taken over.
    pub takeovers: u64,
    /// Leases that lapsed on workers held here.
    pub lapses: u64,
    /// Times that a worker was set aside for failures.
    pub ejections: u64,
    /// Workers held at present.
    pub held_workers: u64,
    /// Tasks that wait at present.
    pub waiting_tasks: u64,
    /// Runs at present.
    pub running: u64,
}
