//! A connection that knows whether any byte of the request in hand was written, and that writes
//! none after the time that the core set.

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

/// Decides over the first byte of a request.
///
/// The clock is read under the same lock as the write itself, so after [`Gate::close`] the answer of
/// [`Gate::written`] is final.
#[derive(Clone, Debug)]
pub struct Gate(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    /// The first byte must be written before this.
    send_by: Instant,
    /// Whether a byte of the request in hand was written.
    written: bool,
    /// Whether nothing may be written any more.
    closed: bool,
}

impl Gate {
    /// A gate that lets nothing pass after `send_by`.
    pub fn new(send_by: Instant) -> Self {
        Self(Arc::new(Mutex::new(State {
            send_by,
            written: false,
            closed: false,
        })))
    }

    /// Takes the next request in hand.
    pub fn arm(&self, send_by: Instant) {
        let mut state = self.state();
        state.send_by = send_by;
        state.written = false;
    }

    /// Lets nothing pass any more and says whether a byte of the request in hand was written.
    pub fn close(&self) -> bool {
        let mut state = self.state();
        state.closed = true;
        state.written
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection behind a gate.
#[derive(Debug)]
pub struct Gated {
    stream: TokioIo<TcpStream>,
    gate: Gate,
}

impl Gated {
    /// Puts a connection behind a gate.
    pub fn new(stream: TcpStream, gate: Gate) -> Self {
        Self {
            stream: TokioIo::new(stream),
            gate,
        }
    }
}

impl Read for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for Gated {
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
