//! Error responses of the entry, and the headers with the outcome of a request.

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

/// Formats a request id as callers see it.
pub fn format_id(request: RequestId) -> String {
    format!("{request:016x}")
}

/// The value of `Retry-After`: whole seconds, rounded up, at least 1.
pub fn retry_after_seconds(wait: Duration) -> u64 {
    wait.as_millis()
        .div_ceil(1000)
        .clamp(1, u128::from(u32::MAX)) as u64
}

/// The JSON body of a refusal.
pub fn error_body(request: RequestId, refusal: &Refusal) -> Value {
    let mut error = json!({
        "code": refusal.code.number(),
        "name": refusal.code.name(),
        "message": message(refusal),
        "ran": refusal.ran.as_str(),
        "request": format_id(request),
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

/// The response for a refusal.
pub fn response(request: RequestId, refusal: &Refusal) -> Response<Full<Bytes>> {
    let body = error_body(request, refusal).to_string();
    let mut response = Response::new(Full::new(body.into()));
    let status = StatusCode::from_u16(refusal.code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_outcome_headers(headers, request, refusal.ran);
    set_header(
        headers,
        outcome::CODE_HEADER,
        &refusal.code.number().to_string(),
    );
    if let Some(wait) = refusal.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_seconds(wait)));
    }
    if may_have_unread_body(refusal.code) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Sets the headers that every response has: the request id and whether the request ran.
pub fn set_outcome_headers(headers: &mut HeaderMap, request: RequestId, ran: Ran) {
    set_header(headers, outcome::RAN_HEADER, ran.as_str());
    set_header(headers, outcome::REQUEST_HEADER, &format_id(request));
}

/// Sets a header; a value that isn't valid in a header is ignored.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Whether part of the request may be unread, so that the connection can't be reused.
fn may_have_unread_body(code: Code) -> bool {
    matches!(
        code,
        Code::BodyTooLarge | Code::HeadTooLarge | Code::RequestTimeout | Code::ShortOfMemory
    )
}
