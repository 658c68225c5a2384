//! Answers to callers: those of targets, and the front's own refusals.

use {
    crate::{front::stream::Events, refuse},
    bytes::Bytes,
    camphorweir_platform::answer::answer_mark,
    camphorweir_wire::outcome::Refusal,
    http_body_util::{Either, Full},
    hyper::{
        Response,
        header::{CONNECTION, HeaderValue, RETRY_AFTER},
    },
};

/// Body of an answer: whole, or a stream of events.
pub type Body = Either<Full<Bytes>, Events>;
/// An answer to a caller.
pub type CallerResponse = Response<Body>;

/// A whole answer.
pub fn full_response(response: Response<Bytes>) -> CallerResponse {
    response.map(|body| Either::Left(Full::new(body)))
}

/// The answer that tells a refusal to attempt `id`.
pub fn refusal_response(id: &str, refusal: &Refusal) -> CallerResponse {
    // Attempts that are no number are shown as 0; the header holds them as they are.
    let number = u64::from_str_radix(id, 16).unwrap_or_default();
    let mut response = refuse::response(number, refusal).map(Either::Left);
    let headers = response.headers_mut();
    if let Some(wait) = refusal.retry_after {
        let text = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    answer_mark(headers, id);
    response
}

/// Tells the caller that the connection ends after this answer.
pub fn set_connection_close(answer: &mut CallerResponse) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(CONNECTION, close);
}
