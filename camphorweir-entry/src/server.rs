//! The callers' listener: accepts connections, limits their resources, and drains them on shutdown.

use {
    crate::{
        call::{self, State},
        conn::{MonitoredStream, close, refusal_bytes},
        guarded,
        listener::listener_close,
        monitor::{Activity, Due},
    },
    camphorweir_wire::code::Code,
    hyper::service::service_fn,
    hyper_util::{
        rt::{TokioExecutor, TokioTimer},
        server::conn::auto,
    },
    std::{convert::Infallible, io, sync::Arc, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Concurrent streams on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 128;
/// HTTP/2 flow-control windows of a stream and of a connection, in bytes.
const HTTP2_WINDOWS: (u32, u32) = (64 << 10, 1 << 20);
/// Bytes of a response buffered for writing, for each HTTP/2 stream.
const HTTP2_SEND_BUFFER: usize = 64 << 10;
/// Added to the head limit given to `hyper`, so that most oversized heads reach the entry's own
/// check.
const HEAD_MARGIN: usize = 8 << 10;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Most connections that are being refused at once; further ones are closed without a response.
const MAX_REFUSALS: usize = 64;
/// Timeout for writing such a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The callers' listener.
#[derive(Clone, Debug)]
pub struct Server {
    state: State,
    slots: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
    /// Whether the listener is closed, and its last connections accepted.
    closed: watch::Sender<bool>,
}

impl Server {
    /// A server that drains when `closing` becomes true.
    pub fn new(state: State, closing: watch::Receiver<bool>) -> Self {
        let slots = Arc::new(Semaphore::new(state.limits.connections));
        let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
        Self {
            state,
            slots,
            refusals,
            closing,
            closed: watch::channel(false).0,
        }
    }

    /// Accepts connections until the server is closing.
    pub async fn accept(self, listener: Arc<TcpListener>) {
        let mut closing = self.closing.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = closing.wait_for(|closing| *closing) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.spawn_connection(stream),
                Err(error) => delay_after_error(&error).await,
            }
        }
        for stream in listener_close(&listener) {
            self.spawn_connection(stream);
        }
        self.closed.send_replace(true);
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.state.limits.connections - self.slots.available_permits()
    }

    /// Waits until the listener is closed, and every connection has ended.
    pub async fn drained(&self) {
        let _ = self.closed.subscribe().wait_for(|closed| *closed).await;
        let total_slots = u32::try_from(self.state.limits.connections).unwrap_or(u32::MAX);
        // The semaphores are never closed.
        let _ = self.slots.acquire_many(total_slots).await;
        let _ = self.refusals.acquire_many(MAX_REFUSALS as u32).await;
    }

    fn spawn_connection(&self, stream: TcpStream) {
        match self.slots.clone().try_acquire_owned() {
            Ok(slot) => drop(tokio::spawn(handle_connection(self.clone(), stream, slot))),
            Err(_) => self.refuse(stream),
        }
    }

    /// Refuses a connection over the limit; closes it silently over [`MAX_REFUSALS`].
    fn refuse(&self, mut stream: TcpStream) {
        let Ok(slot) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let answer = refusal_bytes(Code::TooManyConnections);
            // The connection is dropped even if the caller doesn't read the refusal.
            let _ = timeout(REFUSAL_TIMEOUT, async {
                stream.write_all(&answer).await?;
                stream.shutdown().await
            })
            .await;
            drop(slot);
        });
    }
}

async fn delay_after_error(error: &io::Error) {
    log::warn!(reason:% = error; "accept failed");
    sleep(ACCEPT_RETRY_DELAY).await;
}

async fn handle_connection(server: Server, stream: TcpStream, slot: OwnedSemaphorePermit) {
    let Server {
        mut state,
        mut closing,
        ..
    } = server;
    let Ok(address) = stream.peer_addr() else {
        return;
    };
    state.address = address.ip();
    let limits = state.limits;
    let activity = Activity::new();
    // Failing to set it only delays responses.
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let request_activity = activity.clone();
    let service = service_fn(move |request| {
        let (state, activity) = (state.clone(), request_activity.clone());
        let unanswered = activity.begin_request();
        async move {
            let response = call::handle(&state, &activity, request).await;
            Ok::<_, Infallible>(response.map(|body| guarded::Body::new(body, unanswered)))
        }
    });
    let builder = http_builder(limits.head);
    let io = MonitoredStream::new(stream.clone(), activity.clone());
    // Boxed, so that it can be dropped before the stream is closed.
    let mut connection = Box::pin(builder.serve_connection(io, service));
    let (mut is_closing, mut drained_at) = (false, None);
    let expired = loop {
        let look_at = match activity.due(&stream, &limits, is_closing, drained_at) {
            Due::Later(at) => at,
            Due::Drain => {
                drained_at = Some(Instant::now());
                connection.as_mut().graceful_shutdown();
                continue;
            }
            Due::Expire => break true,
        };
        tokio::select! {
            // Errors of a connection are the caller's and not logged.
            _ = connection.as_mut() => break false,
            // Without the sender the process is ending anyway.
            _ = closing.wait_for(|closing| *closing), if !is_closing => is_closing = true,
            () = sleep_until(look_at) => {}
        }
    };
    drop(connection);
    close(stream, &activity, expired).await;
    drop(slot);
}

fn http_builder(head: usize) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        // It would also end connections that are idle.
        .header_read_timeout(None)
        .max_buf_size(head + HEAD_MARGIN);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .initial_stream_window_size(HTTP2_WINDOWS.0)
        .initial_connection_window_size(HTTP2_WINDOWS.1)
        .max_send_buf_size(HTTP2_SEND_BUFFER)
        .max_header_list_size(u32::try_from(head + HEAD_MARGIN).unwrap_or(u32::MAX));
    builder
}
