//! Timeouts and intervals of the dispatcher.

use std::time::Duration;

/// Timeouts and intervals of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Interval of heartbeats between peers.
    pub heartbeat_interval: Duration,
    /// Time without a message after which the jobs that depend on a peer are given up.
    pub peer_timeout: Duration,
    /// Time without a message after which a peer counts as gone and others may take its cells. A
    /// heartbeat interval longer than `peer_timeout`, since the last heartbeat before a stall may
    /// have been that long ago.
    pub peer_gone_after: Duration,
    /// Time without a message after which a peer gets no new jobs.
    pub peer_suspect_after: Duration,
    /// Lease that each poll and start requests.
    pub lease: Duration,
    /// Maximum time that a poll waits at the worker for a run to end.
    pub poll_wait: Duration,
    /// Time that a worker needs to stop a run.
    pub stop_grace: Duration,
    /// Time without an answer after which a worker gets no new runs.
    pub worker_stale_after: Duration,
    /// Time for which a worker that disappeared from the registry may still be used. A store that
    /// was unavailable may have lost its entry.
    pub missing_grace: Duration,
    /// Time after which a client submits a job again whose answer was lost.
    pub client_resend: Duration,
    /// Time after which a request to a worker that was not answered is no longer carried out.
    pub max_request_delay: Duration,
    /// Time from the stop request until the process must exit.
    pub stop_timeout: Duration,
    /// Time after the start or a stall in which no cell is claimed, so that the holders of cells
    /// become known first.
    pub claim_delay: Duration,
    /// Shorter delay, used once every other VM in the registry has sent a heartbeat.
    pub claim_delay_peers_known: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(120),
            peer_timeout: Duration::from_millis(400),
            peer_gone_after: Duration::from_millis(520),
            peer_suspect_after: Duration::from_millis(260),
            lease: Duration::from_millis(800),
            poll_wait: Duration::from_millis(250),
            stop_grace: Duration::from_millis(50),
            worker_stale_after: Duration::from_millis(250),
            missing_grace: Duration::from_secs(3),
            client_resend: Duration::from_millis(1_300),
            max_request_delay: Duration::from_secs(15),
            stop_timeout: Duration::from_millis(5_500),
            claim_delay: Duration::from_millis(600),
            claim_delay_peers_known: Duration::from_millis(200),
        }
    }
}

/// Interval at which a VM that runs jobs checks for silent peers.
pub const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Largest factor by which a worker's steady clock may run slower than this VM's.
pub const CLOCK_SLACK: f64 = 1.02;

impl Policy {
    /// Returns the maximum time that a run outlives its job if the entry is lost and the runner is
    /// lost just before it would have stopped the run.
    #[must_use]
    pub fn max_orphan_duration(&self) -> Duration {
        let detection = self.peer_timeout + PEER_CHECK_INTERVAL;
        detection + self.lease.mul_f64(CLOCK_SLACK) + self.stop_grace
    }
}
