//! A caller's connection: reports what is read and written, and replaces the error responses that
//! `hyper` writes on its own by ones with a result code.

use {
    crate::{monitor::Activity, refusal},
    camphorweir_wire::{code::Code, outcome::Refusal},
    hyper::rt::{Read, ReadBufCursor, Write},
    hyper_util::rt::TokioIo,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
        net::TcpStream,
        time::timeout,
    },
};

/// Longest error response that `hyper` writes on its own, in bytes.
const MAX_HYPER_ERROR_LEN: usize = 256;
/// Starts of the error responses that `hyper` writes on its own, and the result code of each.
const HYPER_ERRORS: &[(&[u8], Code)] = &[
    (b"HTTP/1.1 400 ", Code::Malformed),
    (b"HTTP/1.1 408 ", Code::RequestTimeout),
    (b"HTTP/1.1 414 ", Code::HeadTooLarge),
    (b"HTTP/1.1 431 ", Code::HeadTooLarge),
    (b"HTTP/1.1 505 ", Code::Malformed),
];
/// Start of the HTTP/2 preface.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";
/// Name of a header in every response of the entry; responses without it come from `hyper`.
const RAN_HEADER: &[u8] = camphorweir_wire::outcome::RAN_HEADER.as_bytes();
/// Limits on reading what a caller still sends after its last response: time and bytes.
const LINGER: (Duration, usize) = (Duration::from_millis(500), 1 << 20);
/// Size of the buffer that unread bytes are discarded into.
const DISCARD_BUFFER_LEN: usize = 16 << 10;

/// The HTTP version that a caller uses, by the first bytes it sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Protocol {
    /// That many bytes of the preface of HTTP/2 were read, and nothing else.
    Unknown(usize),
    Http1,
    Http2,
}

/// A stream that stays open when `hyper` drops or shuts down its side.
#[derive(Debug)]
struct SharedStream {
    stream: Arc<TcpStream>,
    activity: Activity,
    protocol: Protocol,
}

impl SharedStream {
    fn record_read(&mut self, bytes: &[u8]) {
        self.activity.touch();
        if let Protocol::Unknown(seen) = self.protocol {
            let preface = &HTTP2_PREFACE[seen..];
            let compared = bytes.len().min(preface.len());
            self.protocol = match bytes[..compared] == preface[..compared] {
                true if compared == preface.len() => Protocol::Http2,
                true => Protocol::Unknown(seen + compared),
                false => Protocol::Http1,
            };
        }
        let mut requests = self.activity.requests();
        match self.protocol {
            Protocol::Http2 => {
                requests.end_head();
                self.activity.set_http2();
            }
            Protocol::Http1 | Protocol::Unknown(_) => requests.record_read(bytes.len()),
        }
    }
}

impl AsyncRead for SharedStream {
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
                    self.record_read(&buf.initialize_unfilled()[..count]);
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            let is_ready = self.stream.poll_write_ready(cx);
            self.activity.requests().record_write(is_ready.is_pending());
            ready!(is_ready)?;
            match self.stream.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    /// Does nothing: [`close`] shuts the connection down.
    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Closes a connection that `hyper` is done with, so that the caller can still read the last
/// response; if it `expired` with a partial head read, a timeout response is written first.
///
/// Closing with unread bytes would reset the connection and lose that response, so they are
/// discarded up to the limits of `LINGER`.
pub async fn close(stream: Arc<TcpStream>, activity: &Activity, expired: bool) {
    let Some(mut stream) = Arc::into_inner(stream) else {
        return;
    };
    // The connection is dropped even if the caller doesn't read the response in time.
    let _ = timeout(LINGER.0, async {
        let has_head = activity.requests().head_since.is_some();
        if expired && has_head {
            stream
                .write_all(&refusal_bytes(Code::RequestTimeout))
                .await?;
        }
        stream.shutdown().await?;
        let (mut buffer, mut total) = (vec![0; DISCARD_BUFFER_LEN], 0);
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

/// A caller's connection as `hyper` reads and writes it.
#[derive(Debug)]
pub struct MonitoredStream {
    stream: TokioIo<SharedStream>,
    activity: Activity,
    /// The response that replaces one of `hyper`'s, and how many of its bytes are written.
    replacement: Option<(Vec<u8>, usize)>,
}

impl MonitoredStream {
    /// Wraps a stream and reports to `activity`.
    pub fn new(stream: Arc<TcpStream>, activity: Activity) -> Self {
        Self {
            stream: TokioIo::new(SharedStream {
                stream,
                activity: activity.clone(),
                protocol: Protocol::Unknown(0),
            }),
            activity,
            replacement: None,
        }
    }

    fn poll_replacement(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some((answer, written)) = &mut self.replacement {
            if *written == answer.len() {
                self.replacement = None;
                break;
            }
            let count = ready!(Pin::new(&mut self.stream).poll_write(cx, &answer[*written..]))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            *written += count;
            self.activity.touch();
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_replacement(cx))?;
        if let Some(code) = hyper_error_code(buf) {
            self.activity.requests().end_head();
            self.replacement = Some((refusal_bytes(code), 0));
            return Poll::Ready(Ok(buf.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        if result.is_ready() {
            self.activity.touch();
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_replacement(cx))?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The result code for a response that `hyper` made on its own: a complete head without
/// [`RAN_HEADER`], and no body.
fn hyper_error_code(buf: &[u8]) -> Option<Code> {
    if buf.len() > MAX_HYPER_ERROR_LEN || !buf.ends_with(b"\r\n\r\n") {
        return None;
    }
    let (_, code) = HYPER_ERRORS
        .iter()
        .find(|(start, _)| buf.starts_with(start))?;
    let from_entry = buf.windows(RAN_HEADER.len()).any(|part| part == RAN_HEADER);
    (!from_entry).then_some(*code)
}

/// The bytes of a complete HTTP/1.1 response with a refusal that closes the connection.
pub fn refusal_bytes(code: Code) -> Vec<u8> {
    let refusal = Refusal::not_run(code, "");
    let id = rand::random();
    let response = refusal::response(id, &refusal);
    let body = refusal::error_body(id, &refusal).to_string();
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
