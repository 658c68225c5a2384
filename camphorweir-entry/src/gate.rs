//! A connection that tracks whether any byte of the current request was written, and that starts
//! no request after a deadline.

use {
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io,
        pin::Pin,
        sync::{Arc, Mutex, PoisonError},
        task::{Context, Poll},
    },
    tokio::{net::TcpStream, time::Instant},
};

/// Allows or blocks the writes of a [`GatedStream`].
///
/// The clock is read under the same lock as the write itself, so the result of [`Gate::close`] is
/// final.
#[derive(Clone, Debug)]
pub struct Gate(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// Deadline for the first byte of the current request.
    send_by: Instant,
    /// Whether a byte of the current request was written.
    written: bool,
    /// Whether all further writes are blocked.
    closed: bool,
}

impl Gate {
    /// A gate whose first request must start by `send_by`.
    pub fn new(send_by: Instant) -> Self {
        Self(Arc::new(Mutex::new(State {
            send_by,
            written: false,
            closed: false,
        })))
    }

    /// Starts the next request, whose first byte must be written by `send_by`.
    pub fn start_request(&self, send_by: Instant) {
        let mut state = self.state();
        state.send_by = send_by;
        state.written = false;
    }

    /// Blocks all further writes and returns whether a byte of the current request was written.
    pub fn close(&self) -> bool {
        let mut state = self.state();
        state.closed = true;
        state.written
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection whose writes pass a gate.
#[derive(Debug)]
pub struct GatedStream {
    stream: TokioIo<TcpStream>,
    gate: Gate,
}

impl GatedStream {
    /// Wraps a connection so that its writes pass `gate`.
    pub fn new(stream: TcpStream, gate: Gate) -> Self {
        Self {
            stream: TokioIo::new(stream),
            gate,
        }
    }
}

impl Read for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let mut state = this.gate.state();
        let late = !state.written && Instant::now() >= state.send_by;
        if state.closed || late {
            state.closed = true;
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        state.written |= matches!(result, Poll::Ready(Ok(count)) if count > 0);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
