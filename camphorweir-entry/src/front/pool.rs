//! Connections to targets and to the store.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, timeout},
    },
};

/// Time to connect inside a region; a lost first packet costs a second, and another target is
/// nearer than that.
const CONNECT: Duration = Duration::from_millis(400);
/// A connection unused for longer is not used again unless the target said for how long it keeps it.
const KEEP: Duration = Duration::from_secs(3);
/// Taken off the time that a target keeps an idle connection, for the way there.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Largest head of an answer, in bytes.
const HEAD: usize = 64 << 10;

/// An HTTP/1.1 connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Why it can't be opened in time.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Self> {
        let connect = TcpStream::connect(address);
        let stream = timeout(within.min(CONNECT), connect).await??;
        stream.set_nodelay(true)?;
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Whoever waits for an answer on this connection learns of its end as well.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task,
            until: Instant::now() + KEEP,
        })
    }
}

/// Idle connections by address.
#[derive(Clone, Debug, Default)]
pub struct Pool(Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>);

impl Pool {
    /// An idle connection that is still good.
    pub fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = lines.get_mut(&address)?;
        let now = Instant::now();
        idle.retain(|connection| connection.until > now && connection.sender.is_ready());
        idle.pop()
    }

    /// Keeps a connection after a whole answer; `keep` is what the target said, and `most` the
    /// connections that may be idle.
    pub fn put(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        keep: Option<u64>,
        most: usize,
    ) {
        let keep = keep.map_or(KEEP, Duration::from_secs);
        let keep = keep.min(KEEP).saturating_sub(KEEP_MARGIN);
        connection.until = Instant::now() + keep;
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = lines.entry(address).or_default();
        if idle.len() < most {
            idle.push(connection);
        }
    }

    /// Closes connections that were idle for too long, and forgets addresses without any.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.retain(|_, idle| {
            idle.retain(|connection| connection.until > now && !connection.sender.is_closed());
            !idle.is_empty()
        });
    }
}
