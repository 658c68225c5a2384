//! Callers' open connections: what each still holds, and whether one ends with a request on it that was
//! not answered.

use {
    crate::{
        activity::{Activity, Held, unread_bytes},
        front::{idle::Terms, metrics::Metrics, state::State},
        memory::{Booking, Memory},
    },
    camphorweir_relay::{
        configuration::Limits,
        eviction::{self, eviction_choose},
        memory::Class,
    },
    rustix::net::{Shutdown, shutdown, sockopt::set_socket_recv_buffer_size},
    std::{
        collections::{BTreeMap, VecDeque},
        io::{self, IoSlice},
        net::IpAddr,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        sync::{Notify, watch},
        time::timeout,
    },
};

/// Limit on the lines that name the connections which the end of the process cuts.
const MAX_CUT_LINES: usize = 25;
/// Time in which a request that was sent before its caller knew of the close arrives.
const CROSSING_TIME: Duration = Duration::from_millis(250);
/// Limit on the bytes that are read of such requests, and how many are read at a time.
const CROSSING_BYTES: (usize, usize) = (64 << 10, 1 << 10);

/// Number of connections that are chosen to close at a time.
const EVICTION_BATCH: usize = 32;
/// A caller that has read nothing of its answer for this long yields to others.
const MIN_BLOCKED_TIME: Duration = Duration::from_secs(1);
/// Bytes that are read at a time behind a request in hand: enough to notice that the caller leaves.
const READ_AHEAD_BYTES: usize = 256;
/// Size up to which a head is part of what is booked for its connection, in bytes.
const SHORT_HEAD_BYTES: usize = 4 << 10;
/// What a longer head takes, in bytes: the largest read buffer, and that which it grew from.
const LONG_HEAD_BYTES: usize = 32 << 10;
/// One part in this many of the limit on memory may be long heads that are not whole.
const UNFINISHED_HEADS_SHARE: usize = 8;
/// Time in which a caller whose body was refused finds the refusal, and closes the connection.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Bytes that are read at a time meanwhile.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// By the caller, by a fault of the connection, or after its last answer.
    Caller,
    /// No whole request came within the idle limit.
    IdleLimit,
    /// It was idle as the instance stopped.
    IdleClose,
    /// It had no request in hand, or its caller didn't read, and others need its place or its memory.
    Evicted,
    /// With the process.
    Process,
}

impl End {
    /// The `cause` of log lines and metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::IdleLimit => "idle_limit",
            Self::IdleClose => "idle_close",
            Self::Evicted => "evicted",
            Self::Process => "process",
        }
    }
}

/// The open connections.
#[derive(Debug)]
pub struct Connections {
    open: Mutex<Open>,
    /// Keys of connections to close for new ones, the first first.
    evictions: Mutex<VecDeque<u64>>,
    /// Number of long heads that are not whole.
    unfinished_heads: Arc<AtomicUsize>,
    terms: watch::Sender<Terms>,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    connections: BTreeMap<u64, Connection>,
}

impl Connections {
    /// No connections yet; new ones may be idle as the limits say.
    pub fn new(limits: Limits) -> Self {
        Self {
            open: Mutex::default(),
            evictions: Mutex::default(),
            unfinished_heads: Arc::default(),
            terms: watch::channel(Terms::new(limits)).0,
        }
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is asked of connections, and a notice of each change.
    pub fn terms(&self) -> watch::Receiver<Terms> {
        self.terms.subscribe()
    }

    /// Puts other limits in force.
    pub fn set_limits(&self, limits: Limits) {
        self.terms
            .send_if_modified(|terms| terms.set_limits(limits));
    }

    /// Lets connections that are idle close some time after the shutdown has begun.
    pub fn begin_stop(&self) {
        self.terms.send_if_modified(Terms::begin_stop);
    }

    /// Lets connections that are idle close at once, as the process is about to end.
    pub fn begin_close(&self) {
        self.terms.send_if_modified(Terms::begin_close);
    }

    /// Asks a connection without a request in hand to close for a new one; returns whether there is one.
    ///
    /// Looks at all connections once for each [`EVICTION_BATCH`] that are closed.
    pub fn evict(&self) -> bool {
        let evictions = self.evictions.lock();
        let mut evictions = evictions.unwrap_or_else(PoisonError::into_inner);
        self.evict_next(&mut evictions) || {
            evictions.extend(self.choose_evictions());
            self.evict_next(&mut evictions)
        }
    }

    /// Asks the connection to close whose caller has left an answer unread for longest; returns whether there is one.
    ///
    /// Linear in the connections, at an answer that finds no room.
    pub fn evict_blocked(&self) -> bool {
        let open = self.open();
        let blocked = open.connections.values().filter_map(|connection| {
            let since = connection.snapshot().blocked_since;
            let since = since.filter(|since| since.elapsed() >= MIN_BLOCKED_TIME);
            let is_asked = connection.0.is_blocked_evicted.load(Ordering::Relaxed);
            Some((since.filter(|_| !is_asked)?, connection))
        });
        let longest = blocked.min_by_key(|(since, _)| *since);
        if let Some((_, connection)) = &longest {
            let inner = &connection.0;
            inner.is_blocked_evicted.store(true, Ordering::Relaxed);
            inner.evicted.notify_one();
        }
        longest.is_some()
    }

    fn evict_next(&self, evictions: &mut VecDeque<u64>) -> bool {
        let open = self.open();
        while let Some(key) = evictions.pop_front() {
            let connection = open.connections.get(&key);
            if let Some(connection) = connection.filter(|connection| connection.is_evictable()) {
                connection.0.evicted.notify_one();
                return true;
            }
        }
        false
    }

    fn choose_evictions(&self) -> Vec<u64> {
        let open = self.open();
        let connections = open.connections.iter();
        let connections = connections.filter_map(|(key, connection)| {
            let activity = connection.snapshot();
            (!activity.is_busy()).then(|| eviction::Connection {
                key: *key,
                address: connection.0.address,
                is_unused: !activity.has_requested || activity.head_since.is_some(),
                age: match activity.has_requested {
                    true => activity.idle_since.elapsed(),
                    false => activity.opened_at.elapsed(),
                },
            })
        });
        let connections: Vec<_> = connections.collect();
        eviction_choose(&connections, EVICTION_BATCH)
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open().connections.len()
    }

    /// Logs and counts the connections that the end of the process cuts while they hold a request.
    pub fn report_cut(&self, metrics: &Metrics) {
        let open = self.open();
        let held = open.connections.values();
        let held = held.filter(|connection| connection.holds_request());
        for (index, connection) in held.enumerate() {
            metrics.record_unanswered(End::Process.label());
            if index < MAX_CUT_LINES {
                connection.log_end(End::Process);
            }
        }
    }
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
pub struct Entry {
    state: State,
    key: u64,
    connection: Connection,
}

impl Entry {
    /// A connection that was just accepted.
    pub fn new(state: &State, stream: TcpStream, address: IpAddr) -> Self {
        let connection = Connection(Arc::new(Inner {
            stream,
            address,
            memory: state.memory().clone(),
            unfinished_heads: state.connections().unfinished_heads.clone(),
            head: Mutex::default(),
            unfinished: Mutex::default(),
            evicted: Notify::new(),
            is_blocked_evicted: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            activity: Mutex::new(Activity::new()),
        }));
        let mut open = state.connections().open();
        let key = open.next;
        open.next += 1;
        open.connections.insert(key, connection.clone());
        drop(open);
        Self {
            state: state.clone(),
            key,
            connection,
        }
    }

    /// The connection.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Waits until the caller closes the connection too, which this side has closed for writing; logs and
    /// counts a request that was on its way then.
    pub async fn end_after_close(&self, end: End) {
        let crossing_bytes = self.connection.read_crossing().await;
        if crossing_bytes == 0 {
            return self.report(end);
        }
        self.state.metrics().record_unanswered("crossing");
        log::info!(
            cause = end.label(),
            bytes = crossing_bytes;
            "request crossed the close of its connection"
        );
    }

    /// Logs and counts the close of the connection for a new one.
    pub fn report_eviction(&self) {
        self.state.metrics().record_eviction();
        self.report(End::Evicted);
    }

    /// Reads on after a refusal whose body still comes, so that the refusal isn't lost with a reset; up to
    /// `most_bytes`.
    pub async fn discard_rest(&self, most_bytes: usize) {
        let inner = &self.connection.0;
        if !inner.has_unread_body.load(Ordering::Relaxed) {
            return;
        }
        let mut total = 0;
        let rest = async {
            while total < most_bytes && inner.stream.readable().await.is_ok() {
                match discard_ready(&inner.stream) {
                    Ok(0) => break,
                    Ok(count) => total += count,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        };
        // A caller that neither reads nor closes loses its refusal.
        let _ = timeout(DISCARD_TIME, rest).await;
    }

    /// Logs and counts the end of the connection if a request on it was not answered.
    pub fn report(&self, end: End) {
        if self.connection.holds_request() {
            self.state.metrics().record_unanswered(end.label());
            self.connection.log_end(end);
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.state
            .connections()
            .open()
            .connections
            .remove(&self.key);
    }
}

/// An open connection; clones share it.
#[derive(Clone, Debug)]
pub struct Connection(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    /// Address of the caller.
    address: IpAddr,
    memory: Memory,
    /// Number of long heads of all callers that are not whole.
    unfinished_heads: Arc<AtomicUsize>,
    /// What is booked for a long head, from its first part on.
    head: Mutex<Option<Booking>>,
    /// Held while a long head is not whole.
    unfinished: Mutex<Option<Unfinished>>,
    /// Notified when it is to close for another.
    evicted: Notify,
    /// Whether it closes with an answer on it, as its caller does not read.
    is_blocked_evicted: AtomicBool,
    /// Whether the body of the last request was not read to its end; nothing is read after it.
    has_unread_body: AtomicBool,
    activity: Mutex<Activity>,
}

impl Connection {
    fn activity(&self) -> MutexGuard<'_, Activity> {
        let activity = &self.0.activity;
        activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The bytes of the connection.
    pub fn io(&self) -> Io {
        Io(self.clone())
    }

    /// Records that the head of a request is whole; the request is unanswered until the guard is
    /// dropped.
    pub fn begin_request(&self) -> Unanswered {
        let mut activity = self.activity();
        let had_long_head = activity.head_bytes > SHORT_HEAD_BYTES;
        activity.begin_request();
        drop(activity);
        if had_long_head {
            self.unfinished().take();
        }
        Unanswered(self.clone())
    }

    /// What the connection holds now.
    pub fn snapshot(&self) -> Activity {
        *self.activity()
    }

    /// Records that the body of the request in hand has come to its end.
    pub fn end_body(&self) {
        self.activity().is_body_over = true;
    }

    /// Sets how much the system holds unread, in bytes. Without that a transfer is slower, or holds more.
    pub fn set_receive_buffer(&self, bytes: usize) {
        if let Err(error) = set_socket_recv_buffer_size(&self.0.stream, bytes) {
            log::debug!(reason:% = error; "receive buffer of a connection stays as it was");
        }
    }

    /// Completes when it is to close for others: with no request in hand, or with an answer that its caller does
    /// not read.
    pub async fn evicted(&self) {
        loop {
            self.0.evicted.notified().await;
            if self.is_evictable() || self.0.is_blocked_evicted.load(Ordering::Relaxed) {
                return;
            }
        }
    }

    fn is_evictable(&self) -> bool {
        matches!(self.held(), Held::Head | Held::Nothing)
    }

    /// Records bytes from the caller; returns whether there is room for the head that they may be part of.
    fn record_read(&self, count: usize) -> bool {
        let mut activity = self.activity();
        activity.record_read(count);
        if activity.head_bytes <= SHORT_HEAD_BYTES {
            return true;
        }
        drop(activity);
        let head = self.0.head.lock();
        let mut head = head.unwrap_or_else(PoisonError::into_inner);
        if head.is_none() {
            *head = self.0.memory.book(LONG_HEAD_BYTES, Class::Large);
        }
        let mut unfinished = self.unfinished();
        if unfinished.is_none() {
            *unfinished = Unfinished::begin(&self.0.memory, &self.0.unfinished_heads);
        }
        head.is_some() && unfinished.is_some()
    }

    fn unfinished(&self) -> MutexGuard<'_, Option<Unfinished>> {
        let unfinished = self.0.unfinished.lock();
        unfinished.unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether bytes have arrived that were not read.
    pub fn has_unread(&self) -> bool {
        unread_bytes(&self.0.stream) > 0
    }

    /// What stands against its close now.
    pub fn held(&self) -> Held {
        self.snapshot().held(&self.0.stream)
    }

    /// Number of bytes that arrive until the caller closes the connection, within limits.
    async fn read_crossing(&self) -> usize {
        let stream = &self.0.stream;
        let (most, at_a_time) = CROSSING_BYTES;
        let mut buffer = vec![0; at_a_time];
        let mut total = 0;
        let closed = async {
            while total < most && stream.readable().await.is_ok() {
                match stream.try_read(&mut buffer) {
                    Ok(0) => break,
                    Ok(count) => total += count,
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
        };
        // A caller that keeps its side open sends nothing more.
        let _ = timeout(CROSSING_TIME, closed).await;
        total
    }

    /// Whether a request, or a part of one, has arrived and was not answered.
    fn holds_request(&self) -> bool {
        self.held() != Held::Nothing
    }

    fn log_end(&self, end: End) {
        let Activity {
            head_bytes,
            unanswered,
            ..
        } = self.snapshot();
        log::info!(
            cause = end.label(),
            head_bytes = head_bytes,
            unread_bytes = unread_bytes(&self.0.stream),
            in_flight = unanswered;
            "connection ended with a request that was not answered"
        );
    }
}

/// A long head that is not whole, one of a limited number.
#[derive(Debug)]
struct Unfinished(Arc<AtomicUsize>);

impl Unfinished {
    /// `None` once such heads take their part of the memory.
    fn begin(memory: &Memory, count: &Arc<AtomicUsize>) -> Option<Self> {
        let unfinished = Self(count.clone());
        let others = count.fetch_add(1, Ordering::Relaxed);
        let most = memory.limit() / UNFINISHED_HEADS_SHARE / LONG_HEAD_BYTES;
        (others < most).then_some(unfinished)
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Reads bytes that have arrived, and drops them.
fn discard_ready(stream: &TcpStream) -> io::Result<usize> {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    stream.try_read(&mut buffer)
}

/// Counts a request of a connection as unanswered until dropped.
#[derive(Debug)]
pub struct Unanswered(Connection);

impl Unanswered {
    /// Records that the body of the request is not read to its end.
    pub fn leave_body(&self) {
        self.0.0.has_unread_body.store(true, Ordering::Relaxed);
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        self.0.activity().end_request();
    }
}

/// The bytes of a connection.
#[derive(Debug)]
pub struct Io(Connection);

impl Io {
    fn stream(&self) -> &TcpStream {
        &self.0.0.stream
    }
}

impl AsyncRead for Io {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream().poll_read_ready(cx))?;
            let is_ahead = self.0.activity().is_ahead();
            let unfilled = buffer.initialize_unfilled();
            let most = match is_ahead {
                true => unfilled.len().min(READ_AHEAD_BYTES),
                false => unfilled.len(),
            };
            match self.stream().try_read(&mut unfilled[..most]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(match self.0.record_read(count) {
                        true => Ok(()),
                        false => Err(io::ErrorKind::OutOfMemory.into()),
                    });
                }
            }
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            let is_ready = self.stream().poll_write_ready(cx);
            self.0.activity().record_write(is_ready.is_pending());
            ready!(is_ready)?;
            match self.stream().try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(self.stream(), Shutdown::Write).map_err(io::Error::from))
    }
}
