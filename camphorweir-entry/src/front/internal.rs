//! Connections of the load balancer, peers and metrics scrapers: a limited number at each listener.

use {
    crate::guarded,
    bytes::Bytes,
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        collections::BTreeMap,
        convert::Infallible,
        error::Error,
        future::Future,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpStream, sync::Notify},
};

/// Time for a request head to arrive, also after the last response.
const HEAD_TIME: Duration = Duration::from_secs(30);
/// Limit on a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// The connections of a listener; clones share them.
#[derive(Clone, Debug)]
pub struct Connections {
    /// Most connections at once.
    limit: usize,
    open: Arc<Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    /// By age, the oldest first.
    connections: BTreeMap<u64, Arc<Connection>>,
}

#[derive(Debug, Default)]
struct Connection {
    /// Requests whose responses are not handed over whole.
    requests: AtomicUsize,
    evicted: Notify,
}

impl Connections {
    /// No connections yet, and at most `limit`.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: Arc::default(),
        }
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves a new connection. At the limit the oldest one without a request is closed for it, and if each has
    /// one, the new one.
    pub async fn serve<F, B>(&self, stream: TcpStream, handler: impl Fn(Request<Incoming>) -> F)
    where
        F: Future<Output = Response<B>>,
        B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin + 'static,
    {
        let Some(entry) = self.enter() else {
            log::warn!(limit = self.limit; "too many connections at an internal listener");
            return;
        };
        let connection = &entry.connection;
        let service = service_fn(|request| {
            let unanswered = Unanswered::new(connection.clone());
            let response = handler(request);
            async move {
                let response = response.await;
                let response = response.map(|body| guarded::Body::new(body, unanswered));
                Ok::<_, Infallible>(response)
            }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIME)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // Connection errors concern only the client.
            _ = served => {}
            () = connection.evicted.notified() => {}
        }
    }

    fn enter(&self) -> Option<Entry> {
        let mut open = self.open();
        if open.connections.len() >= self.limit {
            let mut connections = open.connections.iter();
            let idle = connections
                .find(|(_, connection)| connection.requests.load(Ordering::Relaxed) == 0);
            let key = *idle?.0;
            if let Some(oldest) = open.connections.remove(&key) {
                oldest.evicted.notify_one();
            }
        }
        let key = open.next;
        open.next += 1;
        let connection = Arc::<Connection>::default();
        open.connections.insert(key, connection.clone());
        drop(open);
        Some(Entry {
            connections: self.clone(),
            key,
            connection,
        })
    }
}

/// Counts a connection as open until dropped.
struct Entry {
    connections: Connections,
    key: u64,
    connection: Arc<Connection>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.connections.open().connections.remove(&self.key);
    }
}

/// Counts a request as unanswered until dropped.
struct Unanswered(Arc<Connection>);

impl Unanswered {
    fn new(connection: Arc<Connection>) -> Self {
        connection.requests.fetch_add(1, Ordering::Relaxed);
        Self(connection)
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}
