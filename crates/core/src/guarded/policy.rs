//! Times and limits of the dispatcher.

use std::time::Duration;

/// Times and limits of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Interval of heartbeats between peers.
    pub heartbeat: Duration,
    /// Silence after which a peer counts as gone.
    pub peer_silence: Duration,
    /// Silence after which a peer gets no new jobs.
    pub peer_doubt: Duration,
    /// Lease that each look and start asks for.
    pub lease: Duration,
    /// Time for which a look waits for an end.
    pub look_wait: Duration,
    /// Time that a worker takes to stop a run.
    pub stop_grace: Duration,
    /// Time without an answer after which a worker gets no new runs.
    pub worker_silence: Duration,
    /// Time for which a worker that left the registry may still be used, since a store that was
    /// away may have lost its entry.
    pub missing_grace: Duration,
    /// Time after which a client sends a job again whose answer it lost.
    pub client_resend: Duration,
    /// Time from the order to stop until the process must be gone.
    pub stop_timeout: Duration,
    /// Time after the start, or after a pause, in which no cell is claimed.
    pub settle: Duration,
    /// The same, once every other VM that the registry lists was heard.
    pub settle_heard: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(120),
            peer_silence: Duration::from_millis(400),
            peer_doubt: Duration::from_millis(260),
            lease: Duration::from_millis(800),
            look_wait: Duration::from_millis(250),
            stop_grace: Duration::from_millis(50),
            worker_silence: Duration::from_millis(250),
            missing_grace: Duration::from_secs(3),
            client_resend: Duration::from_millis(1_300),
            stop_timeout: Duration::from_millis(5_500),
            settle: Duration::from_millis(600),
            settle_heard: Duration::from_millis(200),
        }
    }
}

/// How much slower a worker's steady clock may be, as a factor on a span.
pub const CLOCK_SLACK: f64 = 1.02;

impl Policy {
    /// Returns the time after which no run of a job is left whose entry is lost and whose runner is
    /// lost right before it would stop the runs.
    #[must_use]
    pub fn worst_end_of_orphans(&self) -> Duration {
        self.peer_silence + self.lease.mul_f64(CLOCK_SLACK) + self.stop_grace
    }
}
