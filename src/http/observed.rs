//! A connection that notes how the server closed it.
//!
//! Only the close of a connection with a request in progress says something of the server's process: a live
//! server may close an idle one at any time. If that close crosses a request on its way, the request is
//! answered by a reset.

use super::read_horizon::{BootTime, ReadHorizon};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Minimum time that a request is in progress for the close of its connection to count. A reset by which
/// the server answers a request that came after its close has arrived by then.
const MIN_REQUEST_AGE: Duration = Duration::from_millis(5);

/// How a server last closed its connections. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct ServerCloses {
    /// Earliest time of the last close in order during a request; `None` if a connection was reset since.
    closed_at: Arc<Mutex<Option<BootTime>>>,
    horizon: ReadHorizon,
}

impl ServerCloses {
    /// Takes the ages of closes from the horizon.
    pub fn with_horizon(self, horizon: ReadHorizon) -> Self {
        Self { horizon, ..self }
    }

    /// Returns whether the server certainly closed a connection with a request in progress in order within
    /// this time, and none was reset since. A close that may have lain unread for longer does not count.
    pub fn closed_within(&self, time: Duration) -> bool {
        let at = *self
            .closed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        at.is_some_and(|at| at.elapsed() <= time)
    }

    /// Forgets how the server closed its connections.
    pub fn forget(&self) {
        self.set(None);
    }

    fn record_close(&self) {
        self.set(Some(self.horizon.earliest_arrival()));
    }

    fn set(&self, at: Option<BootTime>) {
        *self
            .closed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = at;
    }
}

/// A connection that records in [`ServerCloses`] how its stream of received bytes ends.
#[derive(Debug)]
pub struct ObservedStream {
    stream: TcpStream,
    closes: ServerCloses,
    /// Time of the last write to which no response has begun.
    requested_at: Option<Instant>,
}

impl ObservedStream {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if the connection can't be established.
    pub async fn connect(address: SocketAddr, closes: ServerCloses) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        closes.forget();
        Ok(Self {
            stream,
            closes,
            requested_at: None,
        })
    }

    /// Records the close of the connection in order, if the server had received a request on it. A reset
    /// that follows the close shows that it had not.
    fn record_close(&self) {
        let age = self.requested_at.map(|at| at.elapsed());
        let was_reset = !matches!(self.stream.take_error(), Ok(None));
        if age.is_some_and(|age| age >= MIN_REQUEST_AGE) && !was_reset {
            self.closes.record_close();
        }
    }

    /// Notes the time of a write.
    fn record_write(&mut self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.requested_at = Some(Instant::now());
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, is_full) = (buf.filled().len(), buf.remaining() == 0);
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &result {
            Poll::Ready(Ok(())) if buf.filled().len() == before && !is_full => {
                self.record_close();
            }
            Poll::Ready(Err(_)) => self.closes.forget(),
            Poll::Ready(Ok(())) => self.requested_at = None,
            Poll::Pending => {}
        }
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
