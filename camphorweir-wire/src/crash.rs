//! Contents and parts of prompts under which targets ended, as instances report them to each other and
//! keep them in the store. Both are encoded with the names of their fields; unknown fields are passed
//! over, and those with the usual value are left out.

use serde::{Deserialize, Serialize};

/// A target that ended while a request ran there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Crash {
    /// Tag of the target's incarnation.
    pub target: u32,
    /// Time since the request broke off there, in ms.
    pub age_ms: u64,
    /// Time from when the target began to answer the request, or else from when it was sent there, to
    /// when it broke off, in ms.
    pub ran_ms: u64,
    /// Whether the target may not have begun to answer it.
    #[serde(skip_serializing_if = "is_usual")]
    pub waited: bool,
    /// Tag of the request's content; 0 in reports of earlier releases.
    #[serde(skip_serializing_if = "is_usual")]
    pub content: u32,
}

fn is_usual<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// What an instance knows of one of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Suspect {
    /// Fingerprint of the content, or identifier of the part.
    pub fingerprint: u64,
    /// The targets that ended while it ran.
    pub crashes: Vec<Crash>,
    /// Tags of those that it has been cleared of.
    pub cleared: Vec<u32>,
    /// Whether it is a part of prompts.
    #[serde(skip_serializing_if = "is_usual")]
    pub part: bool,
    /// Time since a request with it last succeeded, in ms; `None` for not known.
    #[serde(skip_serializing_if = "is_usual")]
    pub succeeded_ms: Option<u64>,
}

/// The record of a quarantined content or part in the store; its key is the fingerprint in hexadecimal.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct Quarantine {
    /// The targets that ended while it ran; their ages are those at `stored_ms`.
    pub crashes: Vec<Crash>,
    /// Unix time at which the record was written, in ms.
    pub stored_ms: u64,
    /// Whether it is a part of prompts.
    #[serde(skip_serializing_if = "is_usual")]
    pub part: bool,
}
