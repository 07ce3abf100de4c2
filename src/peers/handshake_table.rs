//! Decisions on connections that haven't proved to come from a peer, without a network.

use crate::http::client_key;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Time for which a handshake is not ended in favour of another one: a peer completes it sooner, also on a
/// slow VM to which many peers connect at once.
const MIN_HANDSHAKE_TIME: Duration = Duration::from_millis(500);

/// What to do about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeDecision {
    /// There is room.
    Admit,
    /// The connection with this number is to be closed in favour of the new one.
    Close(u64),
    /// There is no room before this time, unless a handshake ends.
    WaitUntil(Instant),
}

#[derive(Debug)]
struct Handshake<C> {
    number: u64,
    client: IpAddr,
    began_at: Instant,
    /// Closes the connection; `None` while it is being closed.
    closer: Option<C>,
}

/// Connections in their handshake, the oldest first. `C` closes a connection.
#[derive(Debug)]
pub struct HandshakeTable<C> {
    limit: usize,
    rows: Vec<Handshake<C>>,
    next_number: u64,
    displaced: u64,
}

impl<C> HandshakeTable<C> {
    /// Creates a table for at most `limit` connections, but at least one.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            rows: Vec::new(),
            next_number: 0,
            displaced: 0,
        }
    }

    /// Decides about a new connection of a client. One of the client that has most connections is
    /// closed for it, the oldest first.
    #[must_use]
    pub fn decide(&self, now: Instant, client: IpAddr) -> HandshakeDecision {
        if self.rows.len() < self.limit {
            return HandshakeDecision::Admit;
        }
        let client = client_key(client);
        let open = self.rows.iter().filter(|row| row.closer.is_some());
        // The last one of the greatest, so of the reverse order the oldest.
        let first = open.rev().max_by_key(|row| self.share(row.client, client));
        match first {
            Some(row) if row.began_at + MIN_HANDSHAKE_TIME <= now => {
                HandshakeDecision::Close(row.number)
            }
            Some(row) => HandshakeDecision::WaitUntil(row.began_at + MIN_HANDSHAKE_TIME),
            None => HandshakeDecision::WaitUntil(now + MIN_HANDSHAKE_TIME),
        }
    }

    /// Returns the number of connections of a client, with the new one.
    fn share(&self, client: IpAddr, newcomer: IpAddr) -> usize {
        let rows = self.rows.iter().filter(|row| row.client == client);
        rows.count() + usize::from(client == newcomer)
    }

    /// Adds a connection that was admitted. Returns its number.
    pub fn begin(&mut self, now: Instant, client: IpAddr, closer: C) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        self.rows.push(Handshake {
            number,
            client: client_key(client),
            began_at: now,
            closer: Some(closer),
        });
        number
    }

    /// Returns what closes a connection. It counts until its handshake has ended.
    pub fn close(&mut self, number: u64) -> Option<C> {
        let mut rows = self.rows.iter_mut();
        let closer = rows.find(|row| row.number == number)?.closer.take()?;
        self.displaced += 1;
        Some(closer)
    }

    /// Returns the number of connections.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no connections.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the number of connections that were closed in favour of others.
    #[must_use]
    pub const fn displaced(&self) -> u64 {
        self.displaced
    }

    /// Removes a connection whose handshake has ended.
    pub fn end(&mut self, number: u64) {
        self.rows.retain(|row| row.number != number);
    }
}
