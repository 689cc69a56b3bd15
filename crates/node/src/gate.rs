//! A stream that checks, immediately before it writes the first byte of a request, whether the
//! request may still be sent.
//!
//! A check at the time of the decision to send is not enough. The request is first passed to the
//! connection's task, and until that task runs, a lease can expire or the process can be suspended.
//!
//! The stream also limits how many bytes it reads before the head of the response is complete,
//! because a server can send an unlimited number of interim (1xx) responses.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Returns whether a request may be sent now.
pub type SendPermission = Arc<dyn Fn() -> bool + Send + Sync>;

/// Maximum number of bytes read until the head of a response is complete. Larger than the largest
/// accepted head together with the part of the body that is read with it.
const MAX_HEAD_READ_BYTES: usize = 256 * 1024;

#[derive(Default)]
struct GateState {
    permission: Option<SendPermission>,
    is_refused: bool,
    /// Bytes that may still be read until the head of the response is complete; `None` once it is.
    head_bytes_left: Option<usize>,
}

/// Handle with which the sender of requests controls its [`GatedStream`].
#[derive(Clone, Default)]
pub(crate) struct Gate {
    state: Arc<Mutex<GateState>>,
}

impl Gate {
    /// Prepares for the next request: `permission` is checked before its first byte is written.
    pub(crate) fn arm(&self, permission: SendPermission) {
        let permission = Some(permission);
        let head_bytes_left = Some(MAX_HEAD_READ_BYTES);
        *self.lock() = GateState { permission, is_refused: false, head_bytes_left };
    }

    /// Whether `permission` denied the request. If so, no byte of it was written.
    pub(crate) fn is_refused(&self) -> bool {
        self.lock().is_refused
    }

    /// Ends the limit on bytes read, because the head of the response is complete.
    pub(crate) fn head_received(&self) {
        self.lock().head_bytes_left = None;
    }

    /// Counts bytes read, and fails if the head of the response exceeds the limit.
    fn count_read(&self, bytes: usize) -> io::Result<()> {
        let mut state = self.lock();
        let Some(left) = &mut state.head_bytes_left else { return Ok(()) };
        let message = "response head exceeds the size limit";
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

    /// Skips the check from now on: once its first byte is written, a request is sent completely.
    fn clear_permission(&self) {
        self.lock().permission = None;
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().expect("mutex is not poisoned")
    }
}

/// A stream whose reads and writes are controlled by a [`Gate`].
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
