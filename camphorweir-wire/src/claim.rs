//! The records of the claim streams, by which a never-repeat request runs at most once.

use {
    crate::{
        ids::{EntryId, Incarnation, Nonce},
        outcome::Answer,
    },
    camphorweir_config::model::WorkspaceId,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The format that this release writes and the newest that it reads.
pub const FORMAT: u16 = 1;
/// Partitions of the claim streams.
pub const PARTITIONS: u32 = 4;
/// How long after its issue a key may be claimed; retention minus [`SKEW`] must exceed it.
pub const WINDOW: Duration = Duration::from_secs(24 * 3600);
/// How far a caller's clock may run ahead of the log service's.
pub const SKEW: Duration = Duration::from_secs(300);

/// The name of a partition's stream.
pub fn stream(partition: u32) -> String {
    format!("claims-{partition:02}")
}

/// What a caller may run at most once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The caller's `Idempotency-Key`, a UUIDv7.
    pub id: u128,
}

impl Key {
    /// The partition that holds the key's records; it depends on the id alone, so that a key sent
    /// under another workspace meets the first one.
    pub fn partition(&self) -> u32 {
        let folded = self.id ^ (self.id >> 64) ^ (self.id >> 32);
        (folded & u128::from(u32::MAX)) as u32 % PARTITIONS
    }

    /// When the key was issued, from its UUIDv7.
    pub fn issued(&self) -> Duration {
        Duration::from_millis((self.id >> 80) as u64)
    }
}

/// Who runs a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Owner {
    /// The entry.
    pub entry: EntryId,
    /// Its life; a restarted entry is another owner.
    pub incarnation: Incarnation,
}

/// One record of a claim stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader stops at one that it does not know.
    pub format: u16,
    /// The key.
    pub key: Key,
    /// The start that the record speaks of.
    pub nonce: Nonce,
    /// What it says.
    pub body: Body,
}

/// What a claim record says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// The owner runs the request if this is the key's first start that is not void.
    Start(Start),
    /// The owner of the start never sent the request and never will.
    Void,
    /// The request ran and was answered.
    Done(Answer),
    /// The request ran and was answered; the answer is too large to keep.
    Ran,
    /// The request may have run; its owner is gone or lost the target.
    Unknown,
    /// An operator settles it.
    Resolve(Resolve),
    /// The start has no outcome; any entry appends it again before retention drops it.
    Carry(Start),
}

/// The start of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// Who runs it.
    pub owner: Owner,
    /// Hash over the route and the request, to refuse another one under the same key.
    pub fingerprint: u64,
}

/// How an operator settles an unresolved key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resolve {
    /// Whether it ran.
    pub ran: bool,
    /// Who says so.
    pub operator: String,
}
