//! The operators' listener: health, readiness and the metrics scrape.

use {
    crate::{refuse, telemetry::Metrics},
    bytes::Bytes,
    camphorweir_wire::{code::Code, outcome::Refusal},
    http_body_util::Full,
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, future::Future, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{Semaphore, watch},
    },
};

/// Connections at once on an inner listener.
const CONNECTIONS: usize = 512;
/// A head must arrive whole in this time; a connection without one is closed.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Content type of the Prometheus text format.
const METRICS: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// What operators are answered from.
#[derive(Clone, Debug)]
pub struct Desk {
    /// What the readiness check says.
    pub ready: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Metrics,
}

impl Desk {
    /// Answers one request on the operators' listener.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let known = matches!(request.uri().path(), "/healthz" | "/readyz" | "/metrics");
        match (known, request.method() == Method::GET) {
            (false, _) => refused(Code::NoSuchPath),
            (true, false) => refused(Code::MethodNotAllowed),
            (true, true) => self.get(request.uri().path()),
        }
    }

    fn get(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => {
                let mut response = Response::new(Full::new(self.metrics.text().into()));
                response.headers_mut().insert(CONTENT_TYPE, METRICS);
                response
            }
            "/readyz" if !*self.ready.borrow() => {
                let mut response = Response::new(Full::new("not ready\n".into()));
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response
            }
            _ => Response::new(Full::new("ok\n".into())),
        }
    }
}

fn refused(code: Code) -> Response<Full<Bytes>> {
    refuse::response(rand::random(), &Refusal::not_run(code, ""))
}

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
