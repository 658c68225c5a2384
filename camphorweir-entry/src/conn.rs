//! One connection of a caller: bytes counted, stalls found, and numbered answers also where `hyper`
//! refuses a request by itself.

use {
    crate::refuse,
    camphorweir_wire::{code::Code, outcome::Refusal},
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{net::TcpStream, time::Instant},
};

/// Longest answer that `hyper` writes by itself, in bytes.
const MAX_BARE: usize = 256;
/// What such answers begin with, and the code that each should carry.
const BARE: &[(&[u8], Code)] = &[
    (b"HTTP/1.1 400 ", Code::Malformed),
    (b"HTTP/1.1 408 ", Code::RequestTimeout),
    (b"HTTP/1.1 414 ", Code::HeadTooLarge),
    (b"HTTP/1.1 431 ", Code::HeadTooLarge),
    (b"HTTP/1.1 505 ", Code::Malformed),
];
/// In every answer of the entry itself.
const MARK: &[u8] = camphorweir_wire::outcome::RAN.as_bytes();

/// What is known of a connection from outside it.
#[derive(Clone, Debug)]
pub struct Pulse {
    start: Instant,
    /// Milliseconds from `start` to the last byte moved.
    moved: Arc<AtomicU64>,
    /// Answers that the connection waits for.
    pub busy: Arc<AtomicUsize>,
}

impl Pulse {
    /// A connection that opened now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            moved: Arc::default(),
            busy: Arc::default(),
        }
    }

    /// Whether no byte moved for `limit` although no answer of the core is awaited.
    pub fn stalled(&self, limit: Duration) -> bool {
        let moved = Duration::from_millis(self.moved.load(Ordering::Relaxed));
        let quiet = self.start.elapsed().saturating_sub(moved) >= limit;
        quiet && self.busy.load(Ordering::Relaxed) == 0
    }

    fn beat(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.moved.store(millis, Ordering::Relaxed);
    }
}

impl Default for Pulse {
    fn default() -> Self {
        Self::new()
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct Watched {
    stream: TokioIo<TcpStream>,
    pulse: Pulse,
    /// A numbered answer in place of a bare one, and how much of it is written.
    instead: Option<(Vec<u8>, usize)>,
}

impl Watched {
    /// Watches over a connection.
    pub fn new(stream: TcpStream, pulse: Pulse) -> Self {
        Self {
            stream: TokioIo::new(stream),
            pulse,
            instead: None,
        }
    }

    fn poll_instead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some((answer, written)) = &mut self.instead {
            if *written == answer.len() {
                self.instead = None;
                break;
            }
            let count = ready!(Pin::new(&mut self.stream).poll_write(cx, &answer[*written..]))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            *written += count;
            self.pulse.beat();
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if result.is_ready() {
            self.pulse.beat();
        }
        result
    }
}

impl Write for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_instead(cx))?;
        if let Some(code) = bare(buf) {
            self.instead = Some((numbered(code), 0));
            return Poll::Ready(Ok(buf.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if result.is_ready() {
            self.pulse.beat();
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_instead(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_instead(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The code of an answer that `hyper` made by itself: a whole head without our mark and no body.
fn bare(buf: &[u8]) -> Option<Code> {
    if buf.len() > MAX_BARE || !buf.ends_with(b"\r\n\r\n") {
        return None;
    }
    let (_, code) = BARE.iter().find(|(start, _)| buf.starts_with(start))?;
    let marked = buf.windows(MARK.len()).any(|part| part == MARK);
    (!marked).then_some(*code)
}

/// A whole HTTP/1.1 answer with a refusal, after which the connection closes.
pub fn numbered(code: Code) -> Vec<u8> {
    let refusal = Refusal::not_run(code, "");
    let id = rand::random();
    let response = refuse::response(id, &refusal);
    let body = refuse::object(id, &refusal).to_string();
    let mut text = format!("HTTP/1.1 {}\r\n", response.status());
    for (name, value) in response.headers() {
        if name != hyper::header::CONNECTION {
            text.push_str(&format!(
                "{name}: {}\r\n",
                String::from_utf8_lossy(value.as_bytes())
            ));
        }
    }
    text.push_str(&format!(
        "connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    ));
    text.push_str(&body);
    text.into_bytes()
}
