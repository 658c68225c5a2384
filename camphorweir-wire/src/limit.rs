//! What entries tell each other of targets that take a limited number of requests a second.

use {
    crate::map_serde::serialize_with_added,
    serde::{Deserialize, Serialize},
};

/// What an entry knows of the limit of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct News {
    /// Tag of the target's identifier.
    pub target: u32,
    /// Start of the target's incarnation, as a Unix time in ms.
    pub started_ms: u64,
    /// Requests a second; `None` if the target names no limit any more.
    pub per_second: Option<f64>,
    /// Time since the target first named a limit, in ms.
    pub since_ms: u32,
    /// Time since an answer last showed this, in ms.
    pub age_ms: u32,
}

/// Asks for a permit to send a request to a limited target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Ask {
    /// Number of this message at its sender, by which the answer is known.
    pub call: u64,
    /// The entry that wants the permit; the sender may ask for another entry.
    pub entry: String,
    /// Number of the permit at that entry; the same when it is asked for again.
    pub number: u64,
    /// The limit as the sender knows it.
    pub news: News,
    /// How long the request can wait for its permit, in ms.
    pub max_wait_ms: u32,
}

/// The permits to send to a target that an entry gave lately.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Account {
    /// The entry that gave them.
    pub entry: String,
    /// Tag of the target's identifier.
    pub target: u32,
    /// Start of the target's incarnation, as a Unix time in ms.
    pub started_ms: u64,
    /// Time until permits do not count any more, in steps of 50 ms, and how many they are.
    pub ends: Vec<(u16, u16)>,
    /// Number of entries that give permits, if several do as far as the sender hears, else 0.
    #[serde(default)]
    pub givers: u32,
}

serialize_with_added!(
    Account {
        entry,
        target,
        started_ms,
        ends,
    },
    givers
);

/// Answers [`Ask`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Grant {
    /// [`Ask::call`].
    pub call: u64,
    /// The answer.
    pub outcome: Outcome,
    /// The limit as the sender knows it; `None` if it does not know the target.
    pub news: Option<News>,
}

/// The answer to a question for a permit; times are in ms.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The target has no limit.
    Free,
    /// A permit that starts after this time.
    After(u32),
    /// No permit; another request may be tried after this time.
    Denied(u32),
}
