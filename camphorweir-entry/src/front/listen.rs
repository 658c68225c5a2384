//! The callers' listener and the balancer's check.

use {
    crate::front::{request::handle_request, response::CallerResponse, state::State},
    bytes::Bytes,
    camphorweir_platform::READY_PATH,
    camphorweir_relay::ids::Now,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    rustix::net::{Shutdown, shutdown},
    std::{
        convert::Infallible,
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

/// Pause after a failed accept, as when descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Added to the bound on heads, so that those a little above it get an answer.
const HEAD_MARGIN: usize = 8 << 10;
/// Part of the descriptors for callers; the rest is for targets, the store and checks.
const CALLERS_PART: f64 = 0.6;
/// After a stop begins, connections without a request are kept for this long: the balancer takes
/// two checks, a second apart, to send callers elsewhere.
const STOP_KEEP: Duration = Duration::from_millis(2200);

/// Serves callers for ever.
pub async fn listen_callers(state: State, listener: Arc<TcpListener>) {
    let most = state.settings().sockets as f64 * CALLERS_PART;
    let slots = Arc::new(Semaphore::new(most as usize));
    loop {
        let stream = tokio::select! {
            // Who is waiting already is let in before the listener closes.
            biased;
            stream = accepted(&listener) => stream,
            () = state.listener_close().notified() => {
                close(&listener);
                return pending().await;
            }
        };
        // Without a slot the connection is closed unread, so that the caller may try another entry.
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            log::warn!(connections = most as usize; "too many connections");
            continue;
        };
        let state = state.clone();
        tokio::spawn(async move {
            serve(state, stream).await;
            drop(slot);
        });
    }
}

/// Lets nobody in any more: who connects is refused. Connections that were let in stay.
fn close(listener: &TcpListener) {
    if let Err(error) = shutdown(listener, Shutdown::Both) {
        log::warn!(reason:% = error; "listener not closed");
    }
}

async fn accepted(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => pause(&error).await,
        }
    }
}

async fn pause(error: &io::Error) {
    log::warn!(reason:% = error; "accept failed");
    sleep(ACCEPT_PAUSE).await;
}

async fn serve(state: State, stream: TcpStream) {
    // Without it answers only come later.
    let _ = stream.set_nodelay(true);
    let limits = state.limits();
    let mut stops = state.subscribe_stop();
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { Ok::<CallerResponse, Infallible>(handle_request(state, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also bounds the time without a request.
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head + HEAD_MARGIN)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // Faults of a connection are its caller's own.
        _ = connection.as_mut() => return,
        () = stopped(&mut stops) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn stopped(stops: &mut watch::Receiver<Option<Now>>) {
    // Without its sender the process is ending anyway.
    let _ = stops.wait_for(Option::is_some).await;
    sleep(STOP_KEEP).await;
}

/// Answers the balancer's check for ever.
pub async fn listen_ready(state: State, listener: Arc<TcpListener>) {
    loop {
        let stream = accepted(&listener).await;
        let state = state.clone();
        tokio::spawn(serve_connection(
            stream,
            move |request: Request<Incoming>| {
                let state = state.clone();
                async move { ready(&state, &request) }
            },
        ));
    }
}

/// Serves one connection whose answers are small.
pub async fn serve_connection<F>(stream: TcpStream, answer: impl Fn(Request<Incoming>) -> F)
where
    F: Future<Output = Response<Full<Bytes>>>,
{
    let service = service_fn(|request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // Faults of a connection are its caller's own.
    let _ = connection.await;
}

fn ready(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    let known = request.uri().path() == READY_PATH;
    *response.status_mut() = match known {
        false => StatusCode::NOT_FOUND,
        true if !state.is_stopping() && state.router().ready(state.now()) => StatusCode::OK,
        true => StatusCode::SERVICE_UNAVAILABLE,
    };
    response
}
