//! Log of incoming connections that were rejected, which is bounded however many there are.

use super::link::LinkError;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Minimum time between two log lines about rejected connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Rejected connections of a listener. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Rejections(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    logged_at: Option<Instant>,
    unlogged: u64,
    total: u64,
}

impl Rejections {
    /// Logs a rejected connection, with the number of those that were not logged.
    pub fn log(&self, address: SocketAddr, e: &LinkError) {
        if matches!(e, LinkError::Duplicate) {
            tracing::info!(%address, "rejected a duplicate peer connection");
            return;
        }
        let mut state = self.lock();
        state.total += 1;
        if state
            .logged_at
            .is_some_and(|at| at.elapsed() < LOG_INTERVAL)
        {
            state.unlogged += 1;
            return;
        }
        let unlogged = std::mem::take(&mut state.unlogged);
        state.logged_at = Some(Instant::now());
        tracing::warn!(%address, error = %e, unlogged, "incoming peer connection failed");
    }

    /// Returns the number of rejected connections but for duplicates of live ones.
    pub fn total(&self) -> u64 {
        self.lock().total
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
