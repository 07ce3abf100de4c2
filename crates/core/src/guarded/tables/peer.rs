//! Other entry VMs that this VM has a connection to, or had until recently.

use crate::guarded::model::cell::{Cell, HolderLoad};
use crate::guarded::model::echo::Echo;
use crate::guarded::model::ids::WorkerId;
use crate::guarded::model::message::Heartbeat;
use crate::guarded::policy::Policy;
use crate::guarded::tables::stamps::Stamps;
use crate::model::time::Time;
use std::time::Duration;

/// Time within which a peer that has just connected is expected to send its first heartbeat.
const FIRST_HEARTBEAT_WITHIN: Duration = Duration::from_millis(600);
/// Maximum interval between heartbeats that a peer may announce.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// State of a peer.
#[derive(Debug)]
pub struct Peer {
    /// Whether the connection is open. A peer whose connection was lost is kept until it has been
    /// silent for its limit: connections are also lost between live VMs.
    pub linked: bool,
    /// Time at which it first connected.
    pub connected_at: Time,
    /// Its last heartbeat; `None` until the first one arrives.
    pub heartbeat: Option<Heartbeat>,
    /// Time of its last heartbeat.
    pub heartbeat_at: Time,
    /// Time of its last message.
    pub last_message_at: Time,
    /// Its time stamps, which are sent back to it.
    pub stamps: Stamps,
    /// Last time at which it certainly ran and had read what its clients did; `None` until it has sent
    /// back a time stamp of this VM.
    pub alive_at: Option<Time>,
    /// Whether it has jobs with this VM, and may have been gone for too long to renew leases for its
    /// clients.
    pub is_doubtful: bool,
    /// Whether this VM has stalled since its last message, so that its knowledge of the peer is of before.
    pub is_outdated: bool,
    /// CPU of the tasks that this VM placed there since the peer's last heartbeat, in thousandths
    /// of a core. The load in the heartbeat does not include them yet.
    pub placed_cpu_milli: u64,
    /// Time since which some job has had one of the two VMs as entry and the other as runner;
    /// `None` if there is no such job.
    pub jobs_since: Option<Time>,
    /// Number of the heartbeat round in which the next heartbeat to it is due.
    pub next_heartbeat_round: u64,
    /// Time at which a job last connected the two VMs, or of the connection.
    pub last_used_at: Time,
}

impl Peer {
    /// Creates the state of a peer that has just connected.
    pub const fn new(now: Time) -> Self {
        Self {
            linked: true,
            connected_at: now,
            heartbeat: None,
            heartbeat_at: now,
            last_message_at: now,
            stamps: Stamps::new(),
            alive_at: None,
            is_doubtful: false,
            is_outdated: false,
            placed_cpu_milli: 0,
            jobs_since: None,
            next_heartbeat_round: 0,
            last_used_at: now,
        }
    }

    /// Records that a job connects the two VMs.
    pub fn record_job(&mut self, now: Time) {
        self.jobs_since.get_or_insert(now);
        self.last_used_at = now;
    }

    /// Records that the peer sent back a time stamp of this VM.
    pub fn record_echo(&mut self, now: Time, echo: Echo) {
        self.alive_at = self.alive_at.max(Some(echo.alive_at(now)));
    }

    /// Returns whether the peer accepts new jobs.
    pub fn is_serving(&self) -> bool {
        self.heartbeat
            .as_ref()
            .is_some_and(|heartbeat| !heartbeat.leaving)
    }

    /// Returns its size relative to other VMs; 1 until its first heartbeat.
    pub fn weight(&self) -> u32 {
        self.heartbeat
            .as_ref()
            .map_or(1, |heartbeat| heartbeat.weight)
    }

    /// Returns whether the peer is a relay of its data centre.
    pub fn is_relay(&self) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| heartbeat.is_relay)
    }

    /// Returns whether the peer claims a cell.
    pub fn claims(&self, cell: &Cell) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| heartbeat.cells.contains(cell))
    }

    /// Returns whether the peer still holds a worker of a cell that it no longer claims.
    pub fn still_holds(&self, worker: WorkerId) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| heartbeat.still_held.contains(&worker))
    }

    /// Returns the load of the peer's cells; `None` if it has none.
    pub fn load(&self) -> Option<HolderLoad> {
        let heartbeat = self.heartbeat.as_ref()?;
        (!heartbeat.cells.is_empty()).then_some(heartbeat.load)
    }

    /// Returns the time without a message.
    pub fn silence(&self, now: Time) -> Duration {
        let since = self.jobs_since.map_or(self.last_message_at, |since| {
            since.max(self.last_message_at)
        });
        now.since(since)
    }

    /// Returns whether the peer has been silent for so long that it counts as gone.
    pub fn is_gone(&self, now: Time, policy: &Policy) -> bool {
        self.silence(now) >= policy.peer_gone_after.mul_f64(self.interval_factor(policy))
    }

    /// Returns whether jobs depend on the peer and it has been silent for so long that they must be
    /// given up.
    pub fn has_timed_out(&self, now: Time, policy: &Policy) -> bool {
        self.jobs_since.is_some() && self.silence(now) >= policy.peer_timeout
    }

    /// Returns whether the peer has been silent for so long, or may have been during a stall of this
    /// VM, that it gets no new jobs.
    pub fn is_suspect(&self, now: Time, policy: &Policy) -> bool {
        let limit = policy.peer_suspect_after;
        self.is_outdated || self.silence(now) >= limit.mul_f64(self.interval_factor(policy))
    }

    /// Returns the present interval of the peer's heartbeats as a factor on the shortest one.
    fn interval_factor(&self, policy: &Policy) -> f64 {
        let shortest = policy.heartbeat_interval;
        let announced = match &self.heartbeat {
            _ if self.jobs_since.is_some() => shortest,
            Some(heartbeat) => heartbeat.next_within,
            None => FIRST_HEARTBEAT_WITHIN,
        };
        let interval = announced.clamp(shortest, MAX_HEARTBEAT_INTERVAL.max(shortest));
        interval.as_secs_f64() / shortest.as_secs_f64()
    }
}
