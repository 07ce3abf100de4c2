//! Failures to accept connections, for example while the process has no free descriptors.

use std::io;
use std::time::{Duration, Instant};

/// Delay after a failure to accept a connection.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum time between two log lines about failures.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Failures of one listener.
#[derive(Debug, Default)]
pub struct AcceptFailures {
    logged_at: Option<Instant>,
    unlogged: u64,
}

impl AcceptFailures {
    /// Records a failure and waits before the next attempt: the error persists while its cause does.
    pub async fn wait(&mut self, e: &io::Error) {
        self.unlogged += 1;
        if self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            tracing::warn!(error = %e, failures = self.unlogged, "accepting connections failed");
            self.logged_at = Some(Instant::now());
            self.unlogged = 0;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
