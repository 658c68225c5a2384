//! Listeners for callers and for the load balancer's readiness check.

use {
    crate::{
        activity::{Held, UNREAD_PAUSE, unread_bytes},
        front::{
            connections::{End, Entry},
            idle::Limit,
            internal,
            request::handle_request,
            response::UnreadBody,
            state::State,
        },
        guarded,
        listener::listener_close,
        memory::Booking,
    },
    bytes::Bytes,
    camphorweir_platform::READY_PATH,
    camphorweir_relay::memory::Class,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    rustix::net::sockopt::set_socket_recv_buffer_size,
    std::{convert::Infallible, future::pending, io, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::{Instant, sleep, sleep_until, timeout},
    },
};

/// Pause after a failed accept, as when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Added to the limit on request heads, in bytes, so that a head slightly above the limit gets a
/// response.
const HEAD_MARGIN_BYTES: usize = 8 << 10;
/// Fraction of the file descriptors for callers' connections; the rest is for targets, the store
/// and checks.
const CALLER_SOCKET_FRACTION: f64 = 0.6;
/// Body of the answer to a readiness check while there is no room for large bodies: small requests are served.
const SHORT_OF_MEMORY: &str = "short of memory for large requests\n";
/// Most connections for the readiness check.
const MAX_CHECKS: usize = 32;
/// What a connection takes before its head is long or its body large, in bytes: a read buffer, and its records.
const CONNECTION_BYTES: usize = 24 << 10;
/// Limit on the new connections that wait for the place of another.
const MAX_NEWCOMERS: usize = 64;
/// Limit on that wait: the task of the other has to run.
const EVICTION_WAIT: Duration = Duration::from_millis(250);
/// Receive buffer of a caller's connection, in bytes; the system doubles it for its own records.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// The same while a body of [`LARGE_BODY_BYTES`] or more arrives.
const LARGE_RECEIVE_BUFFER_BYTES: usize = 128 << 10;
/// Announced size from which a body gets that, in bytes.
const LARGE_BODY_BYTES: u64 = 1 << 20;
/// Pause before another look at one that was idle for long before a request that is not yet answered.
const BUSY_PAUSE: Duration = Duration::from_secs(1);

/// Serves callers; never returns.
pub async fn listen_callers(state: State, listener: Arc<TcpListener>) {
    let max_connections = state.settings().max_sockets as f64 * CALLER_SOCKET_FRACTION;
    let slots = Arc::new(Semaphore::new(max_connections as usize));
    if state.settings().memory_bytes.is_some() {
        limit_unread(&listener);
    }
    let newcomers = Arc::new(Semaphore::new(MAX_NEWCOMERS));
    let serve = |stream: TcpStream| {
        let state = state.clone();
        if let Some(place) = Place::take(&state, &slots) {
            tokio::spawn(serve_caller(state, stream, place));
            return;
        }
        let newcomer = newcomers.clone().try_acquire_owned();
        let (true, Ok(newcomer)) = (state.connections().evict(), newcomer) else {
            refuse_connection(&state, &stream, max_connections as usize);
            return;
        };
        let slots = slots.clone();
        tokio::spawn(async move {
            let place = Place::take_released(&state, &slots).await;
            drop(newcomer);
            match place {
                Some(place) => serve_caller(state, stream, place).await,
                None => refuse_connection(&state, &stream, max_connections as usize),
            }
        });
    };
    loop {
        tokio::select! {
            biased;
            stream = accept_connection(&listener) => serve(stream),
            () = state.listener_close().notified() => break,
        }
    }
    let waiting = listener_close(&listener);
    log::info!(waiting = waiting.len(); "callers' listener closed");
    waiting.into_iter().for_each(serve);
    pending().await
}

/// Limits what the system holds unread of each connection. Without this it grows with the speed of a caller, to
/// several MB.
fn limit_unread(listener: &TcpListener) {
    if let Err(error) = set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES) {
        log::warn!(reason:% = error; "receive buffers of callers' connections are not limited");
    }
}

/// Room for a connection: one of a limited number, and memory.
struct Place {
    _slot: OwnedSemaphorePermit,
    _booking: Booking,
}

impl Place {
    /// Takes a place; `None` if none is free.
    fn take(state: &State, slots: &Arc<Semaphore>) -> Option<Self> {
        Some(Self {
            _slot: slots.clone().try_acquire_owned().ok()?,
            _booking: state.memory().book(CONNECTION_BYTES, Class::Small)?,
        })
    }

    /// Takes a place that another connection was asked to give up.
    async fn take_released(state: &State, slots: &Arc<Semaphore>) -> Option<Self> {
        let slot = timeout(EVICTION_WAIT, slots.clone().acquire_owned());
        Some(Self {
            _slot: slot.await.ok()?.ok()?,
            _booking: state
                .memory()
                .book_released(CONNECTION_BYTES, Class::Small)
                .await?,
        })
    }
}

/// Closes a connection above the limit unread, so that the caller may try another instance; a request may have arrived on it.
fn refuse_connection(state: &State, stream: &TcpStream, limit: usize) {
    let unread_bytes = unread_bytes(stream);
    if unread_bytes > 0 {
        state.metrics().record_unanswered("limit");
    }
    log::warn!(
        connections = limit,
        unread_bytes = unread_bytes;
        "too many caller connections; closed a new one"
    );
}

async fn accept_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => pause_after_error(&error).await,
        }
    }
}

async fn pause_after_error(error: &io::Error) {
    log::warn!(reason:% = error; "could not accept a connection");
    sleep(ACCEPT_PAUSE).await;
}

async fn serve_caller(state: State, stream: TcpStream, _place: Place) {
    // Without TCP_NODELAY responses are only slower.
    let _ = stream.set_nodelay(true);
    let head_bytes = state.limits().head_bytes;
    let mut terms = state.connections().terms();
    let Ok(address) = stream.peer_addr() else {
        return;
    };
    let entry = Entry::new(&state, stream, address.ip());
    let caller = entry.connection().clone();
    let mut limit = Limit::new(&terms.borrow(), &caller.snapshot());
    let requests = caller.clone();
    let limits_unread = state.settings().memory_bytes.is_some();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (state, unanswered) = (state.clone(), requests.begin_request());
        if limits_unread && request.body().size_hint().lower() >= LARGE_BODY_BYTES {
            requests.set_receive_buffer(LARGE_RECEIVE_BUFFER_BYTES);
        }
        match request.body().is_end_stream() {
            true => requests.end_body(),
            false => drop(request.extensions_mut().insert(requests.clone())),
        }
        async move {
            let mut response = handle_request(state, request, address.ip()).await;
            if response.extensions_mut().remove::<UnreadBody>().is_some() {
                unanswered.leave_body();
            }
            Ok::<_, Infallible>(response.map(|body| guarded::Body::new(body, unanswered)))
        }
    });
    let connection = http1::Builder::new()
        // The limits of a connection may change while it is open.
        .header_read_timeout(None)
        .max_buf_size(head_bytes + HEAD_MARGIN_BYTES)
        .serve_connection(TokioIo::new(caller.io()), service);
    tokio::pin!(connection);
    let mut look_at = Instant::now();
    let end = loop {
        let current = *terms.borrow_and_update();
        let close_at = limit.close_at(&current, &caller.snapshot());
        tokio::select! {
            // Errors of a connection concern only the caller.
            _ = connection.as_mut() => {
                entry.discard_rest(current.body_bytes()).await;
                return entry.report(End::Caller);
            }
            _ = terms.changed() => {
                look_at = Instant::now();
                continue;
            }
            () = caller.evicted() => {
                return entry.report_eviction();
            }
            () = sleep_until(close_at.max(look_at)) => {}
        }
        // What follows has no await, so that nothing arrives between the look and the close.
        let activity = caller.snapshot();
        look_at = Instant::now();
        if limit.close_at(&current, &activity) > Instant::now() {
            continue;
        }
        let stop_close = current.stop_close(&activity);
        let is_stop = stop_close.is_some_and(|at| at <= Instant::now());
        match caller.held() {
            Held::Request if is_stop => break End::IdleClose,
            Held::Request => look_at += BUSY_PAUSE,
            Held::Unread => look_at += UNREAD_PAUSE,
            // The rest came while this instance stood still.
            Held::Head if caller.has_unread() => look_at += UNREAD_PAUSE,
            // It is not whole in its time.
            Held::Head => return entry.report(End::IdleLimit),
            Held::Nothing if is_stop => break End::IdleClose,
            Held::Nothing => break End::IdleLimit,
        }
    };
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
    entry.end_after_close(end).await;
}

/// Serves the load balancer's readiness check; never returns.
pub async fn listen_ready(state: State, listener: Arc<TcpListener>) {
    let connections = internal::Connections::new(MAX_CHECKS);
    loop {
        let stream = accept_connection(&listener).await;
        let (state, connections) = (state.clone(), connections.clone());
        tokio::spawn(async move {
            let check = async |request| readiness(&state, &request);
            connections.serve(stream, check).await;
        });
    }
}

fn readiness(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let body = match state.memory().is_short() {
        true => SHORT_OF_MEMORY,
        false => "",
    };
    let mut response = Response::new(Full::from(body));
    let path_matches = request.uri().path() == READY_PATH;
    *response.status_mut() = match path_matches {
        false => StatusCode::NOT_FOUND,
        true if !state.is_stopping() && state.router().is_ready(state.now()) => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
