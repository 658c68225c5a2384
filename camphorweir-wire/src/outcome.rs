//! Outcomes of requests, and the headers that report them.

use {
    crate::code::Code,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Response header that says whether the request ran: `yes`, `no` or `unknown`.
///
/// A plain service that refuses a call before starting it sends `no` in the same header; a refusal
/// without the header does not show that the call did not run.
pub const RAN_HEADER: &str = "camphorweir-ran";
/// Response header with the number of the [`Code`].
pub const CODE_HEADER: &str = "camphorweir-code";
/// Response header with the request's id.
pub const REQUEST_HEADER: &str = "camphorweir-request";
/// Response header of an answer that was recorded earlier.
pub const REPLAYED_HEADER: &str = "camphorweir-replayed";
/// Request header to a plain service with the fencing number of the claim.
pub const FENCE_HEADER: &str = "camphorweir-fence";
/// Response header by which a target announces its shutdown: `true`.
pub const LEAVING_HEADER: &str = "camphorweir-leaving";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request ran once, and the answer is complete.
    Yes,
    /// The request certainly did not run.
    No,
    /// The request may have run and is not repeated.
    Unknown,
}

impl Ran {
    /// The value in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// The outcome of a request that gets no answer from a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// How long the caller should wait before a retry.
    pub retry_after: Option<Duration>,
    /// Human-readable details; contains no prompts, keys or bodies.
    pub detail: String,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(code: Code, detail: &str) -> Self {
        Self {
            code,
            ran: Ran::No,
            retry_after: None,
            detail: detail.to_owned(),
        }
    }

    /// Sets how long the caller should wait before a retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// A complete answer of a plain service, bounded by the entry's limit on bodies.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `Content-Type`, empty when there was none.
    pub content_type: String,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}
