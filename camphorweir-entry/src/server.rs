//! The callers' listener: accepts connections, bounds what each may cost, and drains them at the end.

use {
    crate::{
        call::{self, Desk},
        conn::{Activity, MonitoredStream, close, refusal_bytes},
    },
    camphorweir_wire::code::Code,
    futures::FutureExt,
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

/// Streams at once on one HTTP/2 connection.
const STREAMS: u32 = 128;
/// Flow-control windows of HTTP/2, for a stream and for a connection, in bytes.
const WINDOWS: (u32, u32) = (64 << 10, 1 << 20);
/// Bytes of an answer that wait to be written, for each HTTP/2 stream.
const SEND_BUFFER: usize = 64 << 10;
/// Added to the bound on the head, so that most oversized heads get to our own check.
const HEAD_MARGIN: usize = 8 << 10;
/// Pause after a failed accept, as when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Refusals of connections that are being written.
const REFUSALS: usize = 64;
/// Longest time to write such a refusal.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// A connection is not drained before this age, so that its first request is served.
const FIRST_REQUEST: Duration = Duration::from_secs(1);
/// Looks for stalls in the time that the settings allow for one.
const LOOKS: u32 = 4;

/// The connections of a listener.
#[derive(Clone, Debug)]
pub struct Server {
    desk: Desk,
    slots: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
}

impl Server {
    /// A server that drains when `closing` turns true.
    pub fn new(desk: Desk, closing: watch::Receiver<bool>) -> Self {
        let slots = Arc::new(Semaphore::new(desk.limits.connections));
        let refusals = Arc::new(Semaphore::new(REFUSALS));
        Self {
            desk,
            slots,
            refusals,
            closing,
        }
    }

    /// Accepts connections until it is closing.
    pub async fn accept(self, listener: Arc<TcpListener>) {
        let mut closing = self.closing.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = closing.wait_for(|closing| *closing) => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.take(stream),
                Err(error) => pause(&error).await,
            }
        }
        // Callers that were connected before the listener closes are served as well.
        while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
            self.take(stream);
        }
    }

    /// Returns when every connection has ended.
    pub async fn drained(&self) {
        let all = u32::try_from(self.desk.limits.connections).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        let _ = self.slots.acquire_many(all).await;
    }

    fn take(&self, stream: TcpStream) {
        match self.slots.clone().try_acquire_owned() {
            Ok(slot) => drop(tokio::spawn(serve(self.clone(), stream, slot))),
            Err(_) => self.refuse(stream),
        }
    }

    /// One connection too many: it is told so, if there aren't too many of these as well.
    fn refuse(&self, mut stream: TcpStream) {
        let Ok(slot) = self.refusals.clone().try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let answer = refusal_bytes(Code::TooManyConnections);
            // A caller that doesn't take its refusal is dropped all the same.
            let _ = timeout(REFUSAL_TIME, async {
                stream.write_all(&answer).await?;
                stream.shutdown().await
            })
            .await;
            drop(slot);
        });
    }
}

async fn pause(error: &io::Error) {
    log::warn!(reason:% = error; "accept failed");
    sleep(ACCEPT_PAUSE).await;
}

async fn serve(server: Server, stream: TcpStream, slot: OwnedSemaphorePermit) {
    let Server {
        desk, mut closing, ..
    } = server;
    let limits = desk.limits;
    let activity = Activity::new();
    // Without it answers only come later.
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let beat = activity.clone();
    let service = service_fn(move |request| {
        let (desk, activity) = (desk.clone(), beat.clone());
        async move {
            let _mark = activity.begin_request();
            Ok::<_, Infallible>(call::answer(&desk, &activity, request).await)
        }
    });
    let builder = builder(limits.head, limits.head_time);
    let io = MonitoredStream::new(stream.clone(), activity.clone());
    // On the heap, so that it is gone before the connection is closed.
    let mut connection = Box::pin(builder.serve_connection(io, service));
    let (opened, mut draining) = (Instant::now(), false);
    let late = loop {
        tokio::select! {
            // Faults of a connection are its caller's own.
            ended = connection.as_mut() => break ended.is_err_and(|error| timed_out(&*error)),
            () = drain(&mut closing, opened), if !draining => {
                draining = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep(limits.idle / LOOKS) => {
                if activity.stalled(limits.idle) {
                    break true;
                }
            }
        }
    };
    drop(connection);
    close(stream, &activity, late).await;
    drop(slot);
}

/// Returns when a connection is to end after the request in hand.
async fn drain(closing: &mut watch::Receiver<bool>, opened: Instant) {
    // Without its sender the process is ending anyway.
    let _ = closing.wait_for(|closing| *closing).await;
    sleep_until(opened + FIRST_REQUEST).await;
}

fn timed_out(error: &(dyn std::error::Error + Send + Sync + 'static)) -> bool {
    error
        .downcast_ref::<hyper::Error>()
        .is_some_and(hyper::Error::is_timeout)
}

fn builder(head: usize, head_time: Duration) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(head_time)
        .max_buf_size(head + HEAD_MARGIN);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(STREAMS)
        .initial_stream_window_size(WINDOWS.0)
        .initial_connection_window_size(WINDOWS.1)
        .max_send_buf_size(SEND_BUFFER)
        .max_header_list_size(u32::try_from(head + HEAD_MARGIN).unwrap_or(u32::MAX));
    builder
}
