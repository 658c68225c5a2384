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
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
        time::{Instant, timeout},
    },
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
/// What an HTTP/2 connection begins with; a single `P` counts as HTTP/2 too.
const HTTP2: &[u8] = b"PRI * HTTP/2.0";
/// In every answer of the entry itself.
const MARK: &[u8] = camphorweir_wire::outcome::RAN.as_bytes();

/// Longest time, and most bytes, that a caller may go on sending after its last answer.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 1 << 20);
/// Bytes discarded at a time.
const DISCARD: usize = 16 << 10;

/// What is known of a connection from outside it.
#[derive(Clone, Debug)]
pub struct Pulse {
    start: Instant,
    /// Milliseconds from `start` to the last byte moved.
    moved: Arc<AtomicU64>,
    /// Answers of the core that the connection waits for.
    busy: Arc<AtomicUsize>,
    /// Requests in hand.
    requests: Arc<AtomicUsize>,
    /// Whether bytes were read, of an HTTP/1 connection, that led neither to a request nor to an answer.
    partial: Arc<AtomicBool>,
}

impl Pulse {
    /// A connection that opened now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            moved: Arc::default(),
            busy: Arc::default(),
            requests: Arc::default(),
            partial: Arc::default(),
        }
    }

    /// Whether no byte moved for `limit` although no answer of the core is awaited.
    pub fn stalled(&self, limit: Duration) -> bool {
        let moved = Duration::from_millis(self.moved.load(Ordering::Relaxed));
        let quiet = self.start.elapsed().saturating_sub(moved) >= limit;
        quiet && self.busy.load(Ordering::Relaxed) == 0
    }

    /// Marks a request as in hand until the mark is dropped.
    pub fn request(&self) -> Request {
        self.partial.store(false, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        Request(self.clone())
    }

    fn read(&self) {
        let between = self.requests.load(Ordering::Relaxed) == 0;
        self.partial.store(between, Ordering::Relaxed);
    }

    /// Marks one more answer of the core as awaited until the mark is dropped.
    pub fn busy(&self) -> Busy {
        self.busy.fetch_add(1, Ordering::Relaxed);
        Busy(self.clone())
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

/// Marks a connection as one that waits for an answer of the core.
#[derive(Debug)]
pub struct Busy(Pulse);

impl Drop for Busy {
    fn drop(&mut self) {
        // The answer has the whole idle time to be written.
        self.0.beat();
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Marks a request as in hand.
#[derive(Debug)]
pub struct Request(Pulse);

impl Drop for Request {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The protocol that a caller speaks, by the first bytes that it sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Protocol {
    Unknown,
    Http1,
    Http2,
}

/// A connection that outlives `hyper`'s use of it.
#[derive(Debug)]
struct Shared {
    stream: Arc<TcpStream>,
    pulse: Pulse,
    protocol: Protocol,
}

impl Shared {
    fn note(&mut self, bytes: &[u8]) {
        self.pulse.beat();
        if self.protocol == Protocol::Unknown && !bytes.is_empty() {
            let http2 = HTTP2.starts_with(&bytes[..bytes.len().min(HTTP2.len())]);
            self.protocol = if http2 {
                Protocol::Http2
            } else {
                Protocol::Http1
            };
        }
        if self.protocol == Protocol::Http1 && !bytes.is_empty() {
            self.pulse.read();
        }
    }
}

impl AsyncRead for Shared {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(count) => {
                    self.note(&buf.initialize_unfilled()[..count]);
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for Shared {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// [`close`] shuts the connection down.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Closes a connection that `hyper` is done with, so that the caller gets to read the last answer;
/// one that ended `late`, with a part of a head read, is told so first.
///
/// Closing while bytes of the caller are unread would reset the connection and lose that answer, so
/// they are discarded for a while.
pub async fn close(stream: Arc<TcpStream>, pulse: &Pulse, late: bool) {
    let Some(mut stream) = Arc::into_inner(stream) else {
        return;
    };
    // A caller that takes none of this in time is dropped all the same.
    let _ = timeout(LINGER.0, async {
        if late && pulse.partial.load(Ordering::Relaxed) {
            stream.write_all(&numbered(Code::RequestTimeout)).await?;
        }
        stream.shutdown().await?;
        let (mut buffer, mut total) = (vec![0; DISCARD], 0);
        while total < LINGER.1 {
            match stream.read(&mut buffer).await? {
                0 => break,
                count => total += count,
            }
        }
        io::Result::Ok(())
    })
    .await;
}

/// A caller's connection.
#[derive(Debug)]
pub struct Watched {
    stream: TokioIo<Shared>,
    pulse: Pulse,
    /// A numbered answer in place of a bare one, and how much of it is written.
    instead: Option<(Vec<u8>, usize)>,
}

impl Watched {
    /// Watches over a connection.
    pub fn new(stream: Arc<TcpStream>, pulse: Pulse) -> Self {
        Self {
            stream: TokioIo::new(Shared {
                stream,
                pulse: pulse.clone(),
                protocol: Protocol::Unknown,
            }),
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
            self.pulse.partial.store(false, Ordering::Relaxed);
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
