//! Time limit that takes into account what lies unread in the sockets.

use std::time::Duration;

/// Number of turns of the I/O driver after the limit. The bytes of a reply need two: one until the
/// driver sees them, and one until the task of their connection has passed the reply on.
const TURNS: u32 = 4;

/// The time limit has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no result within {0:?}")]
pub struct LimitPassed(Duration);

/// Waits for the output of `f` as [`tokio::time::timeout`] does, but reads what the sockets hold before
/// it gives up: if this process was stopped, the runtime's timers may run before.
///
/// # Errors
///
/// Returns an error if the time limit has passed.
pub async fn timeout_after_reading<F: Future>(
    limit: Duration,
    f: F,
) -> Result<F::Output, LimitPassed> {
    let passed = async {
        tokio::time::sleep(limit).await;
        for _ in 0..TURNS {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        biased;
        output = f => Ok(output),
        () = passed => Err(LimitPassed(limit)),
    }
}
