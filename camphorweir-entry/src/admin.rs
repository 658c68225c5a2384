//! The operators' listener: health and readiness checks, metrics and the administration API.

use {
    crate::{
        core_task::{Handle, Query},
        refusal,
        settings::{Keys, Secret},
        telemetry::Metrics,
    },
    bytes::Bytes,
    camphorweir_wire::{
        code::Code,
        outcome::Refusal,
        status::{
            CONFIGURATION_PATH, MEMBERS_PATH, QUARANTINE_PATH, STATUS_PATH, Status, TARGETS_PATH,
            UNRESOLVED_PATH,
        },
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
const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
/// Content type of the administration API.
const APPLICATION_JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The paths that need no key.
pub const PUBLIC_PATHS: [&str; 3] = ["/healthz", "/readyz", "/metrics"];
/// The paths that need the read key.
pub const READ_PATHS: [&str; 6] = [
    STATUS_PATH,
    TARGETS_PATH,
    MEMBERS_PATH,
    UNRESOLVED_PATH,
    QUARANTINE_PATH,
    CONFIGURATION_PATH,
];

/// State for answering operators.
#[derive(Clone, Debug)]
pub struct State {
    /// Result of the readiness check.
    pub ready: watch::Receiver<bool>,
    /// The metrics to export.
    pub metrics: Metrics,
    /// Sends queries to the core.
    pub core_handle: Handle,
    /// The keys for reading and for writing.
    pub keys: Keys,
}

/// What a key permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Permission {
    Read,
    Write,
}

impl State {
    /// Handles one request on the operators' listener.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path();
        let public = PUBLIC_PATHS.contains(&path);
        if !public && !READ_PATHS.contains(&path) {
            return refusal_response(Code::NoSuchPath);
        }
        if !public && let Err(code) = self.check_read(request.headers()) {
            return refusal_response(code);
        }
        if request.method() != Method::GET {
            return refusal_response(Code::MethodNotAllowed);
        }
        match public {
            true => self.public_response(path).await,
            false => self.status_response(path).await,
        }
    }

    /// Checks that the client may read.
    fn check_read(&self, headers: &HeaderMap) -> Result<(), Code> {
        match self.permission(headers) {
            Some(Permission::Read) => Ok(()),
            Some(Permission::Write) => Err(Code::Forbidden),
            None => Err(Code::Unauthorized),
        }
    }

    /// What the client's key permits; both keys are always compared, for constant time.
    fn permission(&self, headers: &HeaderMap) -> Option<Permission> {
        let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
        let presented = blake3::Hash::from_hex(value.strip_prefix("Bearer ")?.trim()).ok()?;
        let read = key_matches(self.keys.admin_read, &presented);
        let write = key_matches(self.keys.admin_write, &presented);
        match (read, write) {
            (true, _) => Some(Permission::Read),
            (false, true) => Some(Permission::Write),
            (false, false) => None,
        }
    }

    async fn public_response(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => {
                let status = self.core_handle.query(Query::Status).await;
                let text = self.metrics.render(status.as_ref());
                let mut response = Response::new(Full::new(text.into()));
                response.headers_mut().insert(CONTENT_TYPE, PROMETHEUS_TEXT);
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

    async fn status_response(&self, path: &str) -> Response<Full<Bytes>> {
        if path == UNRESOLVED_PATH {
            let claims = self.core_handle.query(Query::Unresolved).await;
            return claims.map_or_else(|| refusal_response(Code::Stopping), |claims| json(&claims));
        }
        let status = self.core_handle.query(Query::Status).await;
        status.map_or_else(
            || refusal_response(Code::Stopping),
            |status| status_part(path, &status),
        )
    }
}

/// The part of the status that a path returns.
fn status_part(path: &str, status: &Status) -> Response<Full<Bytes>> {
    match path {
        TARGETS_PATH => json(&status.targets),
        MEMBERS_PATH => json(&status.members),
        QUARANTINE_PATH => json(&status.quarantined),
        CONFIGURATION_PATH => json(&status.configuration),
        _ => json(status),
    }
}

/// Compares in constant time.
fn key_matches(key: Option<Secret>, presented: &blake3::Hash) -> bool {
    key.is_some_and(|key| blake3::Hash::from_bytes(*key.bytes()) == *presented)
}

fn json(value: &impl Serialize) -> Response<Full<Bytes>> {
    let Ok(bytes) = serde_json::to_vec(value) else {
        return refusal_response(Code::Internal);
    };
    let mut response = Response::new(Full::new(bytes.into()));
    response
        .headers_mut()
        .insert(CONTENT_TYPE, APPLICATION_JSON);
    response
}

fn refusal_response(code: Code) -> Response<Full<Bytes>> {
    refusal::response(rand::random(), &Refusal::not_run(code, ""))
}
