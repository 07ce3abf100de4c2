//! A client's connection whose received bytes are charged to the ingress budget.

use super::ingress::Permit;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that is only read from while there is room for what it may receive.
#[derive(Debug)]
pub struct IngressStream {
    stream: TcpStream,
    permit: Arc<Permit>,
    needs_buffers: bool,
}

impl IngressStream {
    /// Charges what is received on `stream` to the permit.
    pub const fn new(stream: TcpStream, permit: Arc<Permit>) -> Self {
        Self {
            stream,
            permit,
            needs_buffers: false,
        }
    }
}

impl AsyncRead for IngressStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.needs_buffers {
            ready!(self.permit.poll_buffers(cx)).map_err(io::Error::other)?;
            self.needs_buffers = false;
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = buf.filled().len() - before;
        if received > 0 {
            self.needs_buffers = self.permit.record_read(received);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for IngressStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.permit.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
