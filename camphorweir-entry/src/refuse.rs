//! Answers of the entry itself, each with its outcome in headers and body.

use {
    bytes::Bytes,
    camphorweir_wire::{
        code::Code,
        ids::RequestId,
        outcome::{self, Ran, Refusal},
    },
    http_body_util::Full,
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER},
    },
    serde_json::{Value, json},
    std::time::Duration,
};

/// The request's number as callers see it.
pub fn show(request: RequestId) -> String {
    format!("{request:016x}")
}

/// Whole seconds of `Retry-After`; at least one.
pub fn seconds(wait: Duration) -> u64 {
    wait.as_millis()
        .div_ceil(1000)
        .clamp(1, u128::from(u32::MAX)) as u64
}

/// The error object of a refusal.
pub fn object(request: RequestId, refusal: &Refusal) -> Value {
    let mut error = json!({
        "code": refusal.code.number(),
        "name": refusal.code.name(),
        "message": message(refusal),
        "ran": refusal.ran.as_str(),
        "request": show(request),
    });
    if let Some(wait) = refusal.retry_after {
        error["retry_after_ms"] = json!(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    }
    json!({ "error": error })
}

fn message(refusal: &Refusal) -> String {
    let meaning = refusal.code.meaning().trim();
    match refusal.detail.is_empty() {
        true => meaning.to_owned(),
        false => format!("{meaning} {}", refusal.detail),
    }
}

/// The whole answer that tells a refusal.
pub fn response(request: RequestId, refusal: &Refusal) -> Response<Full<Bytes>> {
    let body = object(request, refusal).to_string();
    let mut response = Response::new(Full::new(body.into()));
    let status = StatusCode::from_u16(refusal.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    mark(headers, request, refusal.ran);
    set(headers, outcome::CODE, &refusal.code.number().to_string());
    if let Some(wait) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds(wait)));
    }
    if unread(refusal.code) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The headers of every answer.
pub fn mark(headers: &mut HeaderMap, request: RequestId, ran: Ran) {
    set(headers, outcome::RAN, ran.as_str());
    set(headers, outcome::REQUEST, &show(request));
}

/// Sets a header of the project; its values are plain ASCII.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Whether the rest of the request may still be on its way, so that the connection can't go on.
fn unread(code: Code) -> bool {
    matches!(
        code,
        Code::BodyTooLarge | Code::HeadTooLarge | Code::RequestTimeout
    )
}
