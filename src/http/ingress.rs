//! The ingress budget of a running server.

use super::ingress_budget::Decision;
use super::ingress_limits::IngressLimits;
use super::ingress_table::{CloseReason, IngressStats, IngressTable};
use std::future::poll_fn;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Instant;
use tokio::sync::oneshot;

/// There is no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for the request")]
pub struct NoRoom;

/// The budget of a server. Clones share it.
#[derive(Clone, Debug)]
pub struct Ingress(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    table: IngressTable<oneshot::Sender<()>>,
    /// Tasks that wait for something to be released.
    waiting: Vec<Waker>,
}

impl State {
    /// Carries out a decision. Returns whether there is room, or will be.
    fn execute(
        &mut self,
        cx: &Context<'_>,
        reason: CloseReason,
        mut decide: impl FnMut(&mut Self) -> Decision,
    ) -> Poll<Result<(), NoRoom>> {
        loop {
            match decide(self) {
                Decision::Admit => return Poll::Ready(Ok(())),
                Decision::Refuse => return Poll::Ready(Err(NoRoom)),
                Decision::Close(key) => self.close(key, reason),
                Decision::Wait => {
                    self.waiting.push(cx.waker().clone());
                    return Poll::Pending;
                }
            }
        }
    }

    /// Closes a connection.
    fn close(&mut self, key: usize, reason: CloseReason) {
        if let Some(closer) = self.table.close(key, reason) {
            // Sending fails if the connection has just ended.
            let _ = closer.send(());
        }
    }
}

/// Wakes the tasks that wait for something to be released.
fn wake(mut state: MutexGuard<'_, State>) {
    let waiting = std::mem::take(&mut state.waiting);
    drop(state);
    for waker in waiting {
        waker.wake();
    }
}

impl Default for Ingress {
    fn default() -> Self {
        Self::new(IngressLimits::default())
    }
}

impl Ingress {
    /// Creates a budget that nothing is charged to.
    #[must_use]
    pub fn new(limits: IngressLimits) -> Self {
        let table = IngressTable::new(limits);
        let waiting = Vec::new();
        Self(Arc::new(Mutex::new(State { table, waiting })))
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> IngressLimits {
        *self.lock().table.limits()
    }

    /// Returns what the connections hold, and how many were closed or refused.
    #[must_use]
    pub fn stats(&self) -> IngressStats {
        self.lock().table.stats()
    }

    /// Waits until there is room for a connection of a client. Returns its permit, and what resolves
    /// when it has to be closed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has to be refused.
    pub(super) async fn admit(
        &self,
        client: IpAddr,
    ) -> Result<(Arc<Permit>, oneshot::Receiver<()>), NoRoom> {
        poll_fn(|cx| {
            self.lock().execute(cx, CloseReason::Connections, |state| {
                state.table.decide_open(Instant::now(), client)
            })
        })
        .await?;
        let (closer, closed) = oneshot::channel();
        let key = self.lock().table.open(Instant::now(), client, closer);
        let permit = Permit {
            ingress: self.clone(),
            key,
            is_replying: AtomicBool::new(false),
        };
        Ok((Arc::new(permit), closed))
    }

    /// Closes the connections whose time has run out.
    pub(super) fn close_expired(&self) {
        let closers = self.lock().table.close_expired(Instant::now());
        for closer in closers {
            // Sending fails if the connection has just ended.
            let _ = closer.send(());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right to a connection and what its request holds. Both are released when it is dropped, which
/// is after the end of the connection and of the exchange.
#[derive(Debug)]
pub struct Permit {
    ingress: Ingress,
    key: usize,
    /// Whether a response is being written and no later request has begun.
    is_replying: AtomicBool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.ingress.lock();
        state.table.remove(self.key);
        wake(state);
    }
}

impl Permit {
    /// Charges bytes to the request as soon as there is room.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none.
    pub async fn charge(&self, bytes: usize) -> Result<(), NoRoom> {
        poll_fn(|cx| {
            self.ingress
                .lock()
                .execute(cx, CloseReason::Bytes, |state| {
                    state.table.charge(Instant::now(), self.key, bytes)
                })
        })
        .await
    }

    /// Charges bytes to a complete request, also if they are only being released.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub fn charge_now(&self, bytes: usize) -> Result<(), NoRoom> {
        let mut state = self.ingress.lock();
        loop {
            match state.table.charge(Instant::now(), self.key, bytes) {
                Decision::Admit => return Ok(()),
                Decision::Refuse => return Err(NoRoom),
                Decision::Close(key) => state.close(key, CloseReason::Bytes),
                Decision::Wait => {
                    state.table.charge_over(self.key, bytes);
                    return Ok(());
                }
            }
        }
    }

    /// Charges larger buffers to the connection as soon as there is room.
    pub fn poll_buffers(&self, cx: &Context<'_>) -> Poll<Result<(), NoRoom>> {
        self.ingress
            .lock()
            .execute(cx, CloseReason::Bytes, |state| {
                state.table.charge_buffers(Instant::now(), self.key)
            })
    }

    /// Records received bytes. Returns whether the connection needs larger buffers from now on.
    pub fn record_read(&self, bytes: usize) -> bool {
        let mut state = self.ingress.lock();
        state.table.record_read(Instant::now(), self.key, bytes)
    }

    /// Records that a head was received, and how many bytes of the body are missing.
    pub fn begin_body(&self, missing: usize) {
        self.is_replying.store(false, Ordering::Relaxed);
        let mut state = self.ingress.lock();
        state.table.begin_body(Instant::now(), self.key, missing);
    }

    /// Records that a request was received completely. Returns whether it may be served, which it
    /// may not if its connection is being closed.
    pub fn begin_service(&self) -> bool {
        self.is_replying.store(false, Ordering::Relaxed);
        let mut state = self.ingress.lock();
        state.table.begin_service(Instant::now(), self.key)
    }

    /// Releases what the request holds.
    pub fn release_request(&self) {
        let mut state = self.ingress.lock();
        state.table.release_request(self.key);
        wake(state);
    }

    /// Records that the response is about to be written.
    pub fn begin_reply(&self) {
        self.is_replying.store(true, Ordering::Relaxed);
        let mut state = self.ingress.lock();
        state.table.begin_reply(Instant::now(), self.key);
    }

    /// Records that all responses so far were written.
    pub fn record_flush(&self) {
        if self.is_replying.swap(false, Ordering::Relaxed) {
            let mut state = self.ingress.lock();
            state.table.end_request(Instant::now(), self.key);
            wake(state);
        }
    }
}
