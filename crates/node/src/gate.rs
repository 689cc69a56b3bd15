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
pub type SendPermission = Arc<dyn Fn() -> bool + Send + Sync>;

/// Bytes in which the head of an answer must end; more than the largest head, and what is read of
/// the body with it.
const MAX_HEAD_READ_BYTES: usize = 256 * 1024;

#[derive(Default)]
struct GateState {
    permission: Option<SendPermission>,
    is_refused: bool,
    /// Bytes that may arrive until the head of the answer is complete.
    head_bytes_left: Option<usize>,
}

/// The side of a [`GatedStream`] stream that the sender of requests holds.
#[derive(Clone, Default)]
pub(crate) struct Gate {
    state: Arc<Mutex<GateState>>,
}

impl Gate {
    /// Asks `permission` before the first byte of the next request.
    pub(crate) fn arm(&self, permission: SendPermission) {
        let permission = Some(permission);
        let head_bytes_left = Some(MAX_HEAD_READ_BYTES);
        *self.lock() = GateState { permission, is_refused: false, head_bytes_left };
    }

    /// Whether the request was refused. No byte of it has left then.
    pub(crate) fn is_refused(&self) -> bool {
        self.lock().is_refused
    }

    /// Takes note that the head of the answer is complete.
    pub(crate) fn head_received(&self) {
        self.lock().head_bytes_left = None;
    }

    fn count_read(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.lock();
        let Some(left) = &mut state.head_bytes_left else { return Ok(()) };
        let message = "the head of the answer does not end";
        *left = left
            .checked_sub(bytes)
            .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, message))?;
        Ok(())
    }

    fn check_permission(&self) -> io::Result<()> {
        let mut state = self.lock();
        if state.is_refused || state.permission.as_ref().is_some_and(|may_send| !may_send()) {
            state.is_refused = true;
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        Ok(())
    }

    /// The rest of a request whose first bytes have left is sent in any case.
    fn clear_permission(&self) {
        self.lock().permission = None;
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("no panic while locked")
    }
}

/// A stream whose writes pass a [`Gate`].
pub(crate) struct GatedStream<S> {
    stream: S,
    gate: Gate,
}

impl<S> GatedStream<S> {
    pub(crate) fn new(stream: S, gate: Gate) -> Self {
        Self { stream, gate }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GatedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            self.gate.count_read(buf.filled().len() - before)?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GatedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.gate.check_permission()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.gate.clear_permission();
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.gate.check_permission()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.gate.clear_permission();
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
