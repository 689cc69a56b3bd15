//! Connections that stop responding while the process keeps running and accepts new ones.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Shared by a group of connections; true once they have stopped responding.
pub(crate) type StallFlag = Arc<AtomicBool>;

/// A connection that, once stalled, reads nothing and discards what is written. Calls on it
/// continue and end as if their responses had been sent.
#[derive(Debug)]
pub(crate) struct StallingStream {
    stream: TcpStream,
    stall_flag: StallFlag,
}

impl StallingStream {
    pub(crate) fn new(stream: TcpStream, stall_flag: StallFlag) -> Self {
        Self { stream, stall_flag }
    }

    fn is_stalled(&self) -> bool {
        self.stall_flag.load(Ordering::Relaxed)
    }
}

impl AsyncRead for StallingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_stalled() {
            // No waker is registered, as a stalled connection never recovers.
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for StallingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_stalled() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
