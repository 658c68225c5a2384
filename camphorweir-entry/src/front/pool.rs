//! HTTP/1.1 connections to targets, peers and the store.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        io,
        net::{IpAddr, SocketAddr},
        pin::Pin,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpSocket, TcpStream},
        task::JoinHandle,
        time::{Instant, timeout},
    },
};

/// Connect timeout inside a region; a lost first packet costs a second, and trying another target
/// is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time that a connection stays idle in the pool; a target's keep-alive timeout can shorten
/// it.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Subtracted from the keep-alive timeout, so that a request arrives before the target closes the
/// connection.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Limit on the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Limit on what may arrive until the head of a response, or the next piece of its body, is complete,
/// in bytes: interim responses, chunk sizes, trailers, and what is read ahead.
const MAX_BYTES_TO_NEXT: usize = 4 * MAX_HEAD_BYTES;

/// An HTTP/1.1 connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// Bytes that may still be received; see [`Metered`].
    allowance: Arc<AtomicUsize>,
    expires_at: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Opens a connection, from the local address `source` if given, within `time_limit` or
    /// `CONNECT_TIMEOUT`, whichever is shorter.
    ///
    /// # Errors
    ///
    /// The I/O error, or a timeout.
    pub async fn open(
        address: SocketAddr,
        source: Option<IpAddr>,
        time_limit: Duration,
    ) -> io::Result<Self> {
        let connect = connect_from(source, address);
        let stream = timeout(time_limit.min(CONNECT_TIMEOUT), connect).await??;
        stream.set_nodelay(true)?;
        let allowance = Arc::new(AtomicUsize::new(MAX_BYTES_TO_NEXT));
        let metered = Metered {
            stream,
            allowance: allowance.clone(),
        };
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(metered))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // A pending request on this connection gets the error as well.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            allowance,
            expires_at: Instant::now() + MAX_IDLE,
        })
    }

    /// Allows the bytes up to the next head, or the next piece of a body. To be called before each of
    /// them is awaited.
    pub fn expect_next(&self) {
        self.allowance.store(MAX_BYTES_TO_NEXT, Ordering::Relaxed);
    }
}

/// A stream that fails once more bytes have arrived than are allowed. The HTTP library limits a
/// head, but neither the number of interim responses before it nor the length of a chunk size.
struct Metered {
    stream: TcpStream,
    allowance: Arc<AtomicUsize>,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let count = buffer.filled().len() - before;
        let allowed = self.allowance.load(Ordering::Relaxed);
        if count > allowed {
            let reason = "too many bytes that are no response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        // An allowance that is renewed at the same moment is meant for bytes that arrive later.
        let _ = self.allowance.compare_exchange(
            allowed,
            allowed - count,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

async fn connect_from(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>);

impl Pool {
    /// Takes an idle connection that is still usable.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = connections.get_mut(&address)?;
        let now = Instant::now();
        idle.retain(|connection| connection.expires_at > now && connection.sender.is_ready());
        idle.pop()
    }

    /// Returns a connection to the pool after a complete response. `keep_alive_s` is the target's
    /// keep-alive timeout in seconds, and `max_idle` limits the idle connections to this address.
    pub fn put(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        keep_alive_s: Option<u64>,
        max_idle: usize,
    ) {
        let idle_time = keep_alive_s.map_or(MAX_IDLE, Duration::from_secs);
        let idle_time = idle_time.min(MAX_IDLE).saturating_sub(KEEP_ALIVE_MARGIN);
        connection.expires_at = Instant::now() + idle_time;
        let mut connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = connections.entry(address).or_default();
        if idle.len() < max_idle {
            idle.push(connection);
        }
    }

    /// Closes the idle connections to some addresses.
    pub fn close(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let mut connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for address in addresses {
            connections.remove(&address);
        }
    }

    /// Closes connections that were idle for too long, and removes addresses without any.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut connections = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        connections.retain(|_, idle| {
            idle.retain(|connection| connection.expires_at > now && !connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}
