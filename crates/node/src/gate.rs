//! A stream that asks, right before the first byte of a request leaves, whether the request may
//! still be sent.
//!
//! It also bounds what is read before the head of the answer is complete: heads that announce a later
//! one may follow one another without end.
//!
//! Between the decision to send a request and the write lie the hand-over to the connection's task
//! and its turn, in which a lease can end or the whole process be suspended.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Tells whether a request may be sent at this moment.
pub type Permission = Arc<dyn Fn() -> bool + Send + Sync>;

/// Bytes in which the head of an answer must end; more than the largest head, and what is read of
/// the body with it.
const MAX_HEAD_BYTES: usize = 256 * 1024;

#[derive(Default)]
struct Request {
    permission: Option<Permission>,
    is_refused: bool,
    /// Bytes that may arrive until the head of the answer is complete.
    head_left: Option<usize>,
}

/// The side of a [`Gated`] stream that the sender of requests holds.
#[derive(Clone, Default)]
pub(crate) struct Gate {
    request: Arc<Mutex<Request>>,
}

impl Gate {
    /// Asks `permission` before the first byte of the next request.
    pub(crate) fn arm(&self, permission: Permission) {
        let permission = Some(permission);
        let head_left = Some(MAX_HEAD_BYTES);
        *self.locked() = Request { permission, is_refused: false, head_left };
    }

    /// Whether the request was refused. No byte of it has left then.
    pub(crate) fn is_refused(&self) -> bool {
        self.locked().is_refused
    }

    /// Takes note that the head of the answer is complete.
    pub(crate) fn head_arrived(&self) {
        self.locked().head_left = None;
    }

    fn note_read(&self, bytes: usize) -> io::Result<()> {
        let mut request = self.locked();
        let Some(left) = &mut request.head_left else { return Ok(()) };
        let message = "the head of the answer does not end";
        *left = left
            .checked_sub(bytes)
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, message))?;
        Ok(())
    }

    fn check(&self) -> io::Result<()> {
        let mut request = self.locked();
        if request.is_refused || request.permission.as_ref().is_some_and(|may_send| !may_send()) {
            request.is_refused = true;
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok(())
    }

    /// The rest of a request whose first bytes have left is sent in any case.
    fn note_written(&self) {
        self.locked().permission = None;
    }

    fn locked(&self) -> MutexGuard<'_, Request> {
        self.request.lock().expect("no panic while locked")
    }
}

/// A stream whose writes pass a [`Gate`].
pub(crate) struct Gated<S> {
    stream: S,
    gate: Gate,
}

impl<S> Gated<S> {
    pub(crate) fn new(stream: S, gate: Gate) -> Self {
        Self { stream, gate }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Gated<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            self.gate.note_read(buf.filled().len() - before)?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Gated<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.gate.note_written();
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.gate.note_written();
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
