//! HTTP/1 server for the internal listeners, those of peers and of operators.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, future::Future, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::Semaphore},
};

/// Most connections at once on an internal listener.
const MAX_CONNECTIONS: usize = 512;
/// Timeout for receiving a request head; it also closes idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves an internal listener until the process ends.
pub async fn serve<F>(
    listener: Arc<TcpListener>,
    handler: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(reason:% = error; "accept failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            // Errors of a connection are the client's and not logged.
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            drop(slot);
        });
    }
}
