//! Listeners for callers and for the load balancer's readiness check.

use {
    crate::front::{
        connections::{Answer, End, Entry},
        request::handle_request,
        state::State,
    },
    bytes::Bytes,
    camphorweir_platform::READY_PATH,
    camphorweir_relay::shutdown::Stop,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    rustix::net::{Shutdown, shutdown},
    std::{
        convert::Infallible,
        error::Error,
        future::{Future, pending},
        io,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
        time::sleep,
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
/// Idle connections are kept open for this long after the shutdown began: the load balancer needs
/// two checks, a second apart, to send callers elsewhere.
const STOP_IDLE_PERIOD: Duration = Duration::from_millis(2200);

/// Serves callers; never returns.
pub async fn listen_callers(state: State, listener: Arc<TcpListener>) {
    let max_connections = state.settings().max_sockets as f64 * CALLER_SOCKET_FRACTION;
    let slots = Arc::new(Semaphore::new(max_connections as usize));
    loop {
        let stream = tokio::select! {
            // Connections that are already waiting are accepted before the listener closes.
            biased;
            stream = accept_connection(&listener) => stream,
            () = state.listener_close().notified() => {
                close_listener(&listener);
                return pending().await;
            }
        };
        // Above the limit the connection is closed unread, so that the caller may try another
        // instance.
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            log::warn!(
                connections = max_connections as usize;
                "too many caller connections; closed a new one"
            );
            continue;
        };
        let state = state.clone();
        tokio::spawn(async move {
            serve_caller(state, stream).await;
            drop(slot);
        });
    }
}

/// Shuts the listening socket: new connections are refused, accepted ones stay open.
fn close_listener(listener: &TcpListener) {
    if let Err(error) = shutdown(listener, Shutdown::Both) {
        log::warn!(reason:% = error; "could not shut down the callers' listener");
    }
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

async fn serve_caller(state: State, stream: TcpStream) {
    // Without TCP_NODELAY responses are only slower.
    let _ = stream.set_nodelay(true);
    let limits = state.limits();
    let mut stop_receiver = state.subscribe_stop();
    let entry = Entry::new(&state, stream);
    let caller = entry.connection().clone();
    let service = service_fn(move |request| {
        let (state, unanswered) = (state.clone(), caller.begin_request());
        async move {
            let response = handle_request(state, request).await;
            Ok::<_, Infallible>(response.map(|body| Answer::new(body, unanswered)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also limits the time that a connection is idle.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes + HEAD_MARGIN_BYTES)
        .serve_connection(TokioIo::new(entry.connection().io()), service);
    tokio::pin!(connection);
    // Other errors of a connection concern only the caller.
    let end = |result: hyper::Result<()>| match result {
        Err(error) if error.is_timeout() => End::IdleLimit,
        _ => End::Caller,
    };
    tokio::select! {
        result = connection.as_mut() => return entry.report(end(result)),
        () = wait_for_idle_close(&mut stop_receiver) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
    entry.report(End::IdleClose);
}

async fn wait_for_idle_close(stop_receiver: &mut watch::Receiver<Option<Stop>>) {
    // A dropped sender means that the process is ending.
    let _ = stop_receiver.wait_for(Option::is_some).await;
    sleep(STOP_IDLE_PERIOD).await;
}

/// Serves the load balancer's readiness check; never returns.
pub async fn listen_ready(state: State, listener: Arc<TcpListener>) {
    loop {
        let stream = accept_connection(&listener).await;
        let state = state.clone();
        tokio::spawn(serve_internal(stream, move |request: Request<Incoming>| {
            let state = state.clone();
            async move { readiness(&state, &request) }
        }));
    }
}

/// Serves one connection from the load balancer, a peer or a metrics scraper.
pub async fn serve_internal<F, B>(stream: TcpStream, handler: impl Fn(Request<Incoming>) -> F)
where
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static,
{
    let service = service_fn(|request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Connection errors concern only the client.
    let _ = connection.await;
}

fn readiness(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    let path_matches = request.uri().path() == READY_PATH;
    *response.status_mut() = match path_matches {
        false => StatusCode::NOT_FOUND,
        true if !state.is_stopping() && state.router().is_ready(state.now()) => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
