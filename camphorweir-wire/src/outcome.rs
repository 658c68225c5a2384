//! How a request ends.

use {
    crate::code::Code,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Response header that says whether the request ran: `yes`, `no` or `unknown`.
///
/// A plain service that refuses a call before starting it says `no` in the same header; without it
/// a refusal proves nothing.
pub const RAN: &str = "camphorweir-ran";
/// Response header with the number of the [`Code`].
pub const CODE: &str = "camphorweir-code";
/// Response header with the request's number.
pub const REQUEST: &str = "camphorweir-request";
/// Response header of an answer that was recorded earlier.
pub const REPLAYED: &str = "camphorweir-replayed";
/// Request header to a plain service with the fencing number of the claim.
pub const FENCE: &str = "camphorweir-fence";
/// Response header by which a target says that it is leaving: `true`.
pub const LEAVING: &str = "camphorweir-leaving";

/// Whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It ran once, and the answer is whole.
    Yes,
    /// It provably did not run.
    No,
    /// It may have run and is not repeated here.
    Unknown,
}

impl Ran {
    /// The word in headers and bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// The end of a request that has no answer of a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refusal {
    /// The numbered result.
    pub code: Code,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// The case at hand, for a person; no prompts, keys or bodies.
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

    /// The same refusal with the time to come back.
    pub fn after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

/// A whole answer of a plain service, bounded by the entry's limit on bodies.
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
