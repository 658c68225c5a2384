//! The operators' listener: health, readiness, the metrics scrape and the administration API.

use {
    crate::{
        core_task::{Handle, Query},
        refuse,
        settings::{Keys, Secret},
        telemetry::Metrics,
    },
    bytes::Bytes,
    camphorweir_wire::{
        code::Code,
        outcome::Refusal,
        status::{CONFIGURATION, MEMBERS, QUARANTINE, STATUS, Status, TARGETS, UNRESOLVED},
    },
    http_body_util::Full,
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    },
    serde::Serialize,
    tokio::sync::watch,
};

/// Content type of the Prometheus text format.
const METRICS: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
/// Content type of the administration API.
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The paths that are answered without a key.
pub const OPEN: [&str; 3] = ["/healthz", "/readyz", "/metrics"];
/// The paths that are answered with the key for reading.
pub const READ: [&str; 6] = [
    STATUS,
    TARGETS,
    MEMBERS,
    UNRESOLVED,
    QUARANTINE,
    CONFIGURATION,
];

/// What operators are answered from.
#[derive(Clone, Debug)]
pub struct Desk {
    /// What the readiness check says.
    pub ready: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Metrics,
    /// The way to the core.
    pub core_handle: Handle,
    /// Who may read and who may act.
    pub keys: Keys,
}

/// What a credential allows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Right {
    Read,
    Write,
}

impl Desk {
    /// Answers one request on the operators' listener.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let open = OPEN.contains(&path);
        if !open && !READ.contains(&path) {
            return refused(Code::NoSuchPath);
        }
        if !open && let Err(code) = self.allowed(request.headers()) {
            return refused(code);
        }
        if request.method() != Method::GET {
            return refused(Code::MethodNotAllowed);
        }
        match open {
            true => self.check(path).await,
            false => self.tell(path).await,
        }
    }

    /// Whether the caller may read.
    fn allowed(&self, headers: &HeaderMap) -> Result<(), Code> {
        match self.right(headers) {
            Some(Right::Read) => Ok(()),
            Some(Right::Write) => Err(Code::Forbidden),
            None => Err(Code::Unauthorized),
        }
    }

    /// What the caller's key allows; both keys are compared in full.
    fn right(&self, headers: &HeaderMap) -> Option<Right> {
        let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let given = blake3::Hash::from_hex(value.strip_prefix("Bearer ")?.trim()).ok()?;
        let read = is_key(self.keys.admin_read, &given);
        let write = is_key(self.keys.admin_write, &given);
        match (read, write) {
            (true, _) => Some(Right::Read),
            (false, true) => Some(Right::Write),
            (false, false) => None,
        }
    }

    async fn check(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => {
                let status = self.core_handle.query(Query::Status).await;
                let text = self.metrics.text(status.as_ref());
                let mut response = Response::new(Full::new(text.into()));
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

    async fn tell(&self, path: &str) -> Response<Full<Bytes>> {
        if path == UNRESOLVED {
            let claims = self.core_handle.query(Query::Unresolved).await;
            return claims.map_or_else(|| refused(Code::Stopping), |claims| json(&claims));
        }
        let status = self.core_handle.query(Query::Status).await;
        status.map_or_else(|| refused(Code::Stopping), |status| part(path, &status))
    }
}

/// The part of the status that a path stands for.
fn part(path: &str, status: &Status) -> Response<Full<Bytes>> {
    match path {
        TARGETS => json(&status.targets),
        MEMBERS => json(&status.members),
        QUARANTINE => json(&status.quarantined),
        CONFIGURATION => json(&status.configuration),
        _ => json(status),
    }
}

/// Compares in a time that does not depend on where the two differ.
fn is_key(key: Option<Secret>, given: &blake3::Hash) -> bool {
    key.is_some_and(|key| blake3::Hash::from_bytes(*key.bytes()) == *given)
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return refused(Code::Internal);
    };
    let mut response = Response::new(Full::new(bytes.into()));
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

fn refused(code: Code) -> Response<Full<Bytes>> {
    refuse::response(rand::random(), &Refusal::not_run(code, ""))
}
