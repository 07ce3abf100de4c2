//! Timeouts and intervals of the dispatcher.

use std::time::Duration;

/// What the expected waits of jobs are derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ForecastMode {
    /// The sum of the CPU of the workers.
    #[default]
    Sum,
    /// A forecast from the room on each worker.
    Room,
}

/// Timeouts and intervals of the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Interval of heartbeats between peers.
    pub heartbeat_interval: Duration,
    /// Time without a message after which the jobs that depend on a peer are given up.
    pub peer_timeout: Duration,
    /// Maximum age of what a runner knows of the clients of a job, for it to renew leases for the job for
    /// their whole length or to start its tasks. The age counts from the moment that the job's entry answers
    /// for. On older knowledge a lease is shorter by the excess.
    pub max_origin_age: Duration,
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
    /// What the expected waits of jobs are derived from.
    pub forecast: ForecastMode,
    /// Number of times a second that clients may make this VM ask all others for a job, at least 1.
    /// Twice as many may come at once.
    pub lookups_per_second: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(120),
            peer_timeout: Duration::from_millis(400),
            max_origin_age: Duration::from_millis(400),
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
            forecast: ForecastMode::Sum,
            lookups_per_second: 512,
        }
    }
}

/// Interval at which a VM that runs jobs checks for silent peers.
pub const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Largest factor by which a worker's steady clock may run slower than this VM's.
pub const CLOCK_SLACK: f64 = 1.02;

/// Time past the client's timeout at which the runner ends a job whose entry did not withdraw it.
pub const CLIENT_TIMEOUT_SLACK: Duration = Duration::from_millis(100);

/// Time by which a job may seem late although neither its submission nor its placement was: what a VM
/// knows of each counts from the last call of its dispatcher, up to 125 ms before. The rest of twice
/// that is within `CLIENT_TIMEOUT_SLACK`, so that no job ends before its client's timeout.
pub const MAX_LAG: Duration = Duration::from_millis(150);

/// What is lost while a run of a job is in progress, so that the job may start again at a VM that knows
/// nothing of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// The client closes its connection.
    Client,
    /// The client's timeout passes and nothing tells the runner.
    ClientSilently,
    /// The entry of the job.
    Entry,
    /// The runner of the job.
    Runner,
    /// The entry, then the runner just before it would have stopped the run.
    EntryThenRunner,
}

impl Lost {
    /// All losses.
    pub const ALL: [Self; 5] = [
        Self::Client,
        Self::ClientSilently,
        Self::Entry,
        Self::Runner,
        Self::EntryThenRunner,
    ];
}

/// What becomes of the stop of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopFate {
    /// It is carried out.
    CarriedOut,
    /// The worker refuses it, each time.
    Refused,
    /// It reaches the worker, which neither answers nor stops the run.
    Unanswered,
    /// It is lost on its way, on one connection after the other.
    Lost,
    /// It is carried out when the run has long ended.
    Late,
}

impl StopFate {
    /// All fates.
    pub const ALL: [Self; 5] = [
        Self::CarriedOut,
        Self::Refused,
        Self::Unanswered,
        Self::Lost,
        Self::Late,
    ];
}

impl Policy {
    /// Returns the maximum time from a loss to the end of the run, if no VM stalls meanwhile. A lease is
    /// last renewed before the stop is requested and not again until the stop is acknowledged, so
    /// without effect of the stop the run ends with that lease.
    #[must_use]
    pub fn orphan_duration(&self, lost: Lost, stop: StopFate) -> Duration {
        let detection = match lost {
            Lost::Client | Lost::Runner => Duration::ZERO,
            Lost::ClientSilently => CLIENT_TIMEOUT_SLACK + MAX_LAG + PEER_CHECK_INTERVAL,
            Lost::Entry if stop == StopFate::CarriedOut => self.peer_timeout + PEER_CHECK_INTERVAL,
            Lost::Entry | Lost::EntryThenRunner => self.max_origin_age,
        };
        let is_stopped = match lost {
            Lost::Client | Lost::ClientSilently | Lost::Entry => stop == StopFate::CarriedOut,
            Lost::Runner | Lost::EntryThenRunner => false,
        };
        let lease = if is_stopped {
            Duration::ZERO
        } else {
            self.lease.mul_f64(CLOCK_SLACK)
        };
        detection + lease + self.stop_grace
    }

    /// Returns the maximum time from a loss to the end of the run if entry and runner stall at any time and
    /// any number of times, whatever becomes of the stop. Both may learn of the loss too late, but no lease
    /// ends later than `max_origin_age` and a whole lease after what is known of the client.
    #[must_use]
    pub fn stalled_orphan_duration(&self, lost: Lost) -> Duration {
        let detection = match lost {
            Lost::ClientSilently => CLIENT_TIMEOUT_SLACK + MAX_LAG + PEER_CHECK_INTERVAL,
            Lost::Client | Lost::Entry | Lost::Runner | Lost::EntryThenRunner => {
                self.max_origin_age
            }
        };
        detection + self.lease.mul_f64(CLOCK_SLACK) + self.stop_grace
    }

    /// Returns the maximum time from any loss to the end of the run, whatever becomes of its stop.
    #[must_use]
    pub fn max_orphan_duration(&self) -> Duration {
        let ways = Lost::ALL.map(|lost| StopFate::ALL.map(|stop| self.orphan_duration(lost, stop)));
        let stalled = Lost::ALL.map(|lost| self.stalled_orphan_duration(lost));
        let ways = ways.into_iter().flatten().chain(stalled);
        ways.max().unwrap_or_default()
    }
}
