//! The part of a request's head that routing needs.

use {
    crate::ids::{Fingerprint, RequestId},
    std::time::Duration,
};

/// The decoded head of a request.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Identifier of the caller's attempt; empty when none was sent.
    pub id: RequestId,
    /// Host that the request names.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// API key.
    pub key: Option<String>,
    /// Time that the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Tokens of the prompt, and the limit on tokens of the answer.
    pub tokens: Option<(u32, u32)>,
    /// Parts of the prompt that other requests may share.
    pub prompt_parts: Vec<Fingerprint>,
}
