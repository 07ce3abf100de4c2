//! Threads for calls that block.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::runtime::Handle;

/// Runs calls that block on threads of the runtime, of which there is a limited number; further calls
/// wait. Clones share their threads.
#[derive(Clone, Debug)]
pub struct BlockingPool {
    runtime: Handle,
    calls: Arc<AtomicUsize>,
}

impl BlockingPool {
    /// Uses the threads of a runtime.
    #[must_use]
    pub fn new(runtime: Handle) -> Self {
        Self {
            runtime,
            calls: Arc::default(),
        }
    }

    /// Runs a call.
    pub fn spawn(&self, call: impl FnOnce() + Send + 'static) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let calls = Arc::clone(&self.calls);
        self.runtime.spawn_blocking(move || {
            call();
            calls.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Returns the number of calls that run or wait for a thread.
    #[must_use]
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }
}
