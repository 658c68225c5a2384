//! The inner listeners, those of peers and of operators: small whole answers over HTTP/1.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, future::Future, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::Semaphore},
};

/// Connections at once on an inner listener.
const CONNECTIONS: usize = 512;
/// A head must arrive whole in this time; a connection without one is closed.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Serves an inner listener, that of peers or that of operators, until the process ends.
pub async fn serve<F>(
    listener: Arc<TcpListener>,
    answer: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(reason:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            // Faults of a connection are its client's own.
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIME)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(slot);
        });
    }
}
