//! Responses to callers: those of targets, and refusals by the instance itself.

use {
    crate::{front::stream::Events, refusal},
    bytes::Bytes,
    camphorweir_platform::response::response_set_attempt,
    camphorweir_wire::{detour::TURNED_AWAY_HEADER, outcome::Refusal},
    http_body_util::{Either, Full},
    hyper::{
        Response, StatusCode,
        header::{CONNECTION, HeaderValue, RETRY_AFTER},
    },
};

/// Body of a response: complete, or a stream of events.
pub type Body = Either<Full<Bytes>, Events>;
/// A response to a caller.
pub type CallerResponse = Response<Body>;

/// A response with a complete body.
pub fn full_response(response: Response<Bytes>) -> CallerResponse {
    response.map(|body| Either::Left(Full::new(body)))
}

/// The response for a refusal of the caller's attempt `id`.
pub fn refusal_response(id: &str, refusal: &Refusal) -> CallerResponse {
    // The body shows 0 for an attempt id that is not a hexadecimal number; the header has the id
    // unchanged.
    let number = u64::from_str_radix(id, 16).unwrap_or_default();
    let mut response = refusal::response(number, refusal).map(Either::Left);
    let headers = response.headers_mut();
    if let Some(wait) = refusal.retry_after {
        let text = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response_set_attempt(headers, id);
    response
}

/// Tells the caller that the connection closes after this response.
pub fn set_connection_close(response: &mut CallerResponse) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Marks a response whose request has a body that was not read to its end.
#[derive(Clone, Copy, Debug)]
pub struct UnreadBody;

/// Lets the connection close after a response, as the body of the request was not read to its end.
pub fn set_unread_body(response: &mut CallerResponse) {
    set_connection_close(response);
    response.extensions_mut().insert(UnreadBody);
}

/// The response to a peer whose request another instance should serve.
pub fn turned_away() -> CallerResponse {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(TURNED_AWAY_HEADER, value);
    response
}
