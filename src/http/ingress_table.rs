//! The connections of a server and what they hold.

use super::client_key::client_key;
use super::ingress_budget::{CONNECTION_BYTES, Candidate, Decision, Demand, Rank, Stage, decide};
use super::ingress_limits::IngressLimits;
use cardamomslip_core::collections::FastMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Number of received bytes after which a connection counts as active again, so that one that sends
/// byte by byte counts as idle.
const PROGRESS_BYTES: usize = 1024;
/// Number of bytes of a request from which on its connection needs larger buffers.
const SMALL_REQUEST_BYTES: usize = 4 * 1024;

/// Reason for closing a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Another connection was admitted in its place.
    Connections,
    /// Another request needed the bytes that it held.
    Bytes,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// No request was received in time, or the response was not read.
    IdleTimeout,
}

/// What the connections of a server hold, and how many were closed or refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IngressStats {
    /// Number of open connections.
    pub connections: usize,
    /// Bytes that they hold.
    pub bytes: usize,
    /// Connections that were refused.
    pub refused_connections: u64,
    /// Requests that were refused because of their size and what others held.
    pub refused_requests: u64,
    /// Connections that were closed for another one.
    pub closed_for_connections: u64,
    /// Connections that were closed for the bytes that they held.
    pub closed_for_bytes: u64,
    /// Connections that were closed because a head was not complete in time.
    pub closed_by_head_timeout: u64,
    /// Connections that were closed because no request came in time.
    pub closed_by_idle_timeout: u64,
}

impl IngressStats {
    /// Returns the number of connections and requests that were closed or refused for lack of room or for
    /// a head that was late.
    #[must_use]
    pub const fn refusals(&self) -> u64 {
        self.refused_connections
            + self.refused_requests
            + self.closed_for_connections
            + self.closed_for_bytes
            + self.closed_by_head_timeout
    }
}

/// What the connections of one client address hold.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    connections: usize,
    bytes: usize,
}

#[derive(Debug)]
struct Row<C> {
    client: IpAddr,
    stage: Stage,
    stage_since: Instant,
    active_at: Instant,
    /// Bytes received since `active_at`.
    unnoted: usize,
    /// Bytes received of the request.
    received: usize,
    /// Whether bytes of the next request were received while one is served.
    ahead: bool,
    is_large: bool,
    /// Bytes held by the request beside the connection's own.
    request: usize,
    /// Closes the connection; `None` while it is being closed.
    closer: Option<C>,
}

/// The connections of a server. `C` closes a connection.
#[derive(Debug)]
pub struct IngressTable<C> {
    limits: IngressLimits,
    rows: Vec<Option<Row<C>>>,
    free: Vec<usize>,
    shares: FastMap<IpAddr, Share>,
    closing: Share,
    stats: IngressStats,
}

impl<C> Row<C> {
    const fn held(&self, limits: &IngressLimits) -> usize {
        let own = if self.is_large {
            limits.large_connection_bytes()
        } else {
            CONNECTION_BYTES
        };
        own + self.request
    }

    fn rank(&self, share: usize, now: Instant, limits: &IngressLimits) -> Option<Rank> {
        let idle = now.saturating_duration_since(self.active_at);
        Rank::new(share, self.stage, idle, limits.head_timeout)
    }

    fn set_stage(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.stage_since = now;
        self.active_at = now;
        self.unnoted = 0;
    }

    fn expiry(&self, now: Instant, limits: &IngressLimits) -> Option<CloseReason> {
        let elapsed = now.saturating_duration_since(self.stage_since);
        match self.stage {
            Stage::Head if elapsed >= limits.head_timeout => Some(CloseReason::HeadTimeout),
            Stage::Idle | Stage::Reply if elapsed >= limits.idle_timeout => {
                Some(CloseReason::IdleTimeout)
            }
            _ => None,
        }
    }
}

impl<C> IngressTable<C> {
    /// Creates a table without connections.
    #[must_use]
    pub fn new(limits: IngressLimits) -> Self {
        Self {
            limits,
            rows: Vec::new(),
            free: Vec::new(),
            shares: FastMap::default(),
            closing: Share::default(),
            stats: IngressStats::default(),
        }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &IngressLimits {
        &self.limits
    }

    /// Returns what the connections hold, and how many were closed or refused.
    #[must_use]
    pub const fn stats(&self) -> IngressStats {
        self.stats
    }

    /// Decides about a new connection.
    pub fn decide_open(&mut self, now: Instant, client: IpAddr) -> Decision {
        let share = self.share(client_key(client));
        let demand = Demand {
            limit: self.limits.connections,
            used: self.stats.connections,
            closing: self.closing.connections,
            wanted: 1,
        };
        let own = self.new_rank(share.connections + 1);
        let mut decision = decide(&demand, own, self.for_connections(now, client_key(client)));
        if decision == Decision::Admit {
            let demand = self.byte_demand(CONNECTION_BYTES);
            let own = self.new_rank(share.bytes + CONNECTION_BYTES);
            let candidates = self.for_bytes(now, client_key(client), CONNECTION_BYTES);
            decision = decide(&demand, own, candidates);
        }
        if decision == Decision::Refuse {
            self.stats.refused_connections += 1;
        }
        decision
    }

    /// Adds a connection that was admitted. Returns its number.
    pub fn open(&mut self, now: Instant, client: IpAddr, closer: C) -> usize {
        let client = client_key(client);
        let row = Row {
            client,
            stage: Stage::Idle,
            stage_since: now,
            active_at: now,
            unnoted: 0,
            received: 0,
            ahead: false,
            is_large: false,
            request: 0,
            closer: Some(closer),
        };
        let key = self.free.pop().unwrap_or_else(|| {
            self.rows.push(None);
            self.rows.len() - 1
        });
        self.rows[key] = Some(row);
        self.stats.connections += 1;
        self.shares.entry(client).or_default().connections += 1;
        self.add_bytes(key, CONNECTION_BYTES);
        key
    }

    /// Removes a connection and releases what it holds.
    pub fn remove(&mut self, key: usize) {
        let Some(row) = self.rows.get_mut(key).and_then(Option::take) else {
            return;
        };
        let held = row.held(&self.limits);
        self.stats.connections -= 1;
        self.stats.bytes -= held;
        if row.closer.is_none() {
            self.closing.connections -= 1;
            self.closing.bytes -= held;
        }
        if let Some(share) = self.shares.get_mut(&row.client) {
            share.connections -= 1;
            share.bytes -= held;
            if share.connections == 0 {
                self.shares.remove(&row.client);
            }
        }
        self.free.push(key);
    }

    /// Begins to close a connection. Returns what closes it; `None` if it is being closed already.
    pub fn close(&mut self, key: usize, reason: CloseReason) -> Option<C> {
        let row = self.rows.get_mut(key)?.as_mut()?;
        let closer = row.closer.take()?;
        self.closing.connections += 1;
        self.closing.bytes += row.held(&self.limits);
        let count = match reason {
            CloseReason::Connections => &mut self.stats.closed_for_connections,
            CloseReason::Bytes => &mut self.stats.closed_for_bytes,
            CloseReason::HeadTimeout => &mut self.stats.closed_by_head_timeout,
            CloseReason::IdleTimeout => &mut self.stats.closed_by_idle_timeout,
        };
        *count += 1;
        Some(closer)
    }

    /// Begins to close the connections whose time has run out. Returns what closes them.
    pub fn close_expired(&mut self, now: Instant) -> Vec<C> {
        let expired = (0..).zip(&self.rows).filter_map(|(key, row)| {
            let reason = row.as_ref()?.expiry(now, &self.limits)?;
            Some((key, reason))
        });
        let expired: Vec<_> = expired.collect();
        let closers = expired.into_iter();
        closers
            .filter_map(|(key, reason)| self.close(key, reason))
            .collect()
    }

    /// Charges `bytes` to the request of a connection if there is room.
    pub fn charge(&mut self, now: Instant, key: usize, bytes: usize) -> Decision {
        let decision = self.decide_bytes(now, key, bytes);
        match decision {
            Decision::Admit => self.charge_over(key, bytes),
            Decision::Refuse => self.record_refusal(key),
            Decision::Wait | Decision::Close(_) => {}
        }
        decision
    }

    /// Charges `bytes` to the request of a connection, also beyond the limit.
    pub fn charge_over(&mut self, key: usize, bytes: usize) {
        self.row_mut(key).request += bytes;
        self.add_bytes(key, bytes);
    }

    /// Charges the buffers of a large request to a connection if there is room.
    pub fn charge_buffers(&mut self, now: Instant, key: usize) -> Decision {
        let row = self.row(key);
        // A complete request is only read from to notice that its client has left: one read at most.
        if row.is_large || matches!(row.stage, Stage::Busy | Stage::Reply) {
            return Decision::Admit;
        }
        let bytes = self.limits.large_connection_bytes() - CONNECTION_BYTES;
        let decision = self.decide_bytes(now, key, bytes);
        match decision {
            Decision::Admit => {
                self.row_mut(key).is_large = true;
                self.add_bytes(key, bytes);
            }
            Decision::Refuse => self.record_refusal(key),
            Decision::Wait | Decision::Close(_) => {}
        }
        decision
    }

    /// Releases what the request of a connection holds.
    pub fn release_request(&mut self, key: usize) {
        let bytes = std::mem::take(&mut self.row_mut(key).request);
        self.stats.bytes -= bytes;
        if self.row(key).closer.is_none() {
            self.closing.bytes -= bytes;
        }
        let client = self.row(key).client;
        if let Some(share) = self.shares.get_mut(&client) {
            share.bytes -= bytes;
        }
    }

    /// Records received bytes. Returns whether the connection needs larger buffers from now on.
    pub fn record_read(&mut self, now: Instant, key: usize, bytes: usize) -> bool {
        let row = self.row_mut(key);
        match &mut row.stage {
            Stage::Idle => row.set_stage(Stage::Head, now),
            Stage::Head => {}
            Stage::Body { missing } => *missing = missing.saturating_sub(bytes),
            Stage::Busy | Stage::Reply => row.ahead = true,
        }
        row.received += bytes;
        row.unnoted += bytes;
        if row.unnoted >= PROGRESS_BYTES {
            row.unnoted = 0;
            row.active_at = now;
        }
        row.received >= SMALL_REQUEST_BYTES && !row.is_large
    }

    /// Records that a head was received, and how many bytes of the body are missing.
    pub fn begin_body(&mut self, now: Instant, key: usize, missing: usize) {
        self.row_mut(key).set_stage(Stage::Body { missing }, now);
    }

    /// Records that a request was received completely. Returns whether it may be served, which it
    /// may not if its connection is being closed.
    pub fn begin_service(&mut self, now: Instant, key: usize) -> bool {
        let row = self.row_mut(key);
        row.set_stage(Stage::Busy, now);
        row.closer.is_some()
    }

    /// Records that the response is about to be written.
    pub fn begin_reply(&mut self, now: Instant, key: usize) {
        self.row_mut(key).set_stage(Stage::Reply, now);
    }

    /// Records that the response was written.
    pub fn end_request(&mut self, now: Instant, key: usize) {
        self.release_request(key);
        let row = self.row_mut(key);
        let stage = if std::mem::take(&mut row.ahead) {
            Stage::Head
        } else {
            Stage::Idle
        };
        row.received = 0;
        row.set_stage(stage, now);
    }

    /// Counts a refused request, unless its connection is being closed anyway.
    fn record_refusal(&mut self, key: usize) {
        if self.row(key).closer.is_some() {
            self.stats.refused_requests += 1;
        }
    }

    fn decide_bytes(&self, now: Instant, key: usize, bytes: usize) -> Decision {
        let row = self.row(key);
        if row.closer.is_none() {
            return Decision::Refuse;
        }
        let share = self.share(row.client).bytes + bytes;
        let own = row.rank(share, now, &self.limits);
        let candidates = self.for_bytes(now, row.client, bytes);
        let others = candidates.filter(|other| other.key != key);
        decide(&self.byte_demand(bytes), own, others)
    }

    const fn byte_demand(&self, wanted: usize) -> Demand {
        Demand {
            limit: self.limits.bytes,
            used: self.stats.bytes,
            closing: self.closing.bytes,
            wanted,
        }
    }

    /// Returns the rank of a new connection.
    fn new_rank(&self, share: usize) -> Option<Rank> {
        Rank::new(share, Stage::Idle, Duration::ZERO, self.limits.head_timeout)
    }

    /// Returns the connections that may be closed for one of `client`.
    fn for_connections(
        &self,
        now: Instant,
        client: IpAddr,
    ) -> impl Iterator<Item = Candidate> + '_ {
        self.candidates(now, move |row, share| {
            let share = share.connections + usize::from(row.client == client);
            (share, 1)
        })
    }

    /// Returns the connections that may be closed for `wanted` bytes of `client`.
    fn for_bytes(
        &self,
        now: Instant,
        client: IpAddr,
        wanted: usize,
    ) -> impl Iterator<Item = Candidate> + '_ {
        self.candidates(now, move |row, share| {
            let wanted = if row.client == client { wanted } else { 0 };
            (share.bytes + wanted, row.held(&self.limits))
        })
    }

    fn candidates(
        &self,
        now: Instant,
        measure: impl Fn(&Row<C>, Share) -> (usize, usize),
    ) -> impl Iterator<Item = Candidate> {
        let rows = (0..).zip(&self.rows);
        rows.filter_map(move |(key, row)| {
            let row = row.as_ref().filter(|row| row.closer.is_some())?;
            let (share, held) = measure(row, self.share(row.client));
            let rank = row.rank(share, now, &self.limits)?;
            Some(Candidate { key, held, rank })
        })
    }

    fn share(&self, client: IpAddr) -> Share {
        self.shares.get(&client).copied().unwrap_or_default()
    }

    fn add_bytes(&mut self, key: usize, bytes: usize) {
        self.stats.bytes += bytes;
        let client = self.row(key).client;
        self.shares.entry(client).or_default().bytes += bytes;
    }

    fn row(&self, key: usize) -> &Row<C> {
        self.rows[key].as_ref().expect("the connection is open")
    }

    fn row_mut(&mut self, key: usize) -> &mut Row<C> {
        self.rows[key].as_mut().expect("the connection is open")
    }
}
