//! Decisions on which clients a server has room for.
//!
//! Plain functions: whether to admit a connection or bytes, to wait for what is being released, to close
//! a connection in favour of another one, or to refuse.

use std::time::Duration;

/// Differences in idle time below this don't count when a connection to close is chosen.
const IDLE_RESOLUTION: Duration = Duration::from_millis(100);
/// Bytes that a connection holds beside its buffers: its task, its socket and a small body.
pub(super) const CONNECTION_BYTES: usize = 16 * 1024;

/// How far a connection has come with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing of the next request was received.
    Idle,
    /// A part of the head, or an empty line before it, was received.
    Head,
    /// The head was received, and this many bytes of the body were not.
    Body {
        /// Number of bytes that were not received; the limit if their number was not announced.
        missing: usize,
    },
    /// The whole request was received and is being served.
    Busy,
    /// The response is being written.
    Reply,
}

impl Stage {
    /// Returns how much of a request is missing; `None` if it is complete.
    const fn missing(self) -> Option<usize> {
        match self {
            Self::Idle => Some(usize::MAX),
            Self::Head => Some(usize::MAX - 1),
            Self::Body { missing } => Some(missing),
            Self::Busy | Self::Reply => None,
        }
    }
}

/// Order in which connections are closed, the greatest first: those of the client address that holds
/// most, among these the ones that have been idle longest, among these the ones furthest from a
/// complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    share: usize,
    idle: u128,
    missing: usize,
}

impl Rank {
    /// Returns the rank of a connection whose client address holds `share` bytes or connections; `None`
    /// if it must not be closed. A complete request is never given up. A response that the client does
    /// not read is, after `reply_timeout`.
    #[must_use]
    pub fn new(
        share: usize,
        stage: Stage,
        idle: Duration,
        reply_timeout: Duration,
    ) -> Option<Self> {
        let missing = match stage {
            Stage::Reply if idle >= reply_timeout => Some(0),
            _ => stage.missing(),
        };
        missing.map(|missing| Self {
            share,
            idle: idle.as_millis() / IDLE_RESOLUTION.as_millis(),
            missing,
        })
    }
}

/// Bytes or connections that are limited, and a demand for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Limit on `used`.
    pub limit: usize,
    /// What all connections hold.
    pub used: usize,
    /// Part of `used` of connections that are being closed.
    pub closing: usize,
    /// What is demanded in addition.
    pub wanted: usize,
}

impl Demand {
    const fn shortage(&self, used: usize) -> usize {
        (used + self.wanted).saturating_sub(self.limit)
    }
}

/// A connection that may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Number of the connection.
    pub key: usize,
    /// What it would release.
    pub held: usize,
    /// Its place in the order.
    pub rank: Rank,
}

/// What to do about a demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// There is room.
    Admit,
    /// There will be room when the connections that are being closed have released what they hold.
    Wait,
    /// The connection with this number is to be closed in favour of the demand.
    Close(usize),
    /// There is no room, and none can be made by closing connections that rank at least as high as the
    /// one that demands it.
    Refuse,
}

/// Decides about the demand of a connection with rank `own`.
pub fn decide(
    demand: &Demand,
    own: Option<Rank>,
    candidates: impl Iterator<Item = Candidate>,
) -> Decision {
    if demand.shortage(demand.used) == 0 {
        return Decision::Admit;
    }
    let shortage = demand.shortage(demand.used.saturating_sub(demand.closing));
    if shortage == 0 {
        return Decision::Wait;
    }
    let mut held = 0;
    let mut first: Option<Candidate> = None;
    for row in candidates.filter(|row| row.held > 0 && own.is_none_or(|own| row.rank >= own)) {
        held += row.held;
        if first.is_none_or(|first| row.rank > first.rank) {
            first = Some(row);
        }
    }
    match first {
        Some(row) if held >= shortage => Decision::Close(row.key),
        _ => Decision::Refuse,
    }
}
