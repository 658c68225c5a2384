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
    },
    tokio::sync::watch,
};

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
