//! Records of the claim streams, which make sure that a never-repeat request runs at most once.

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
/// Number of claim streams; a key's records all go to one of them.
pub const PARTITIONS: u32 = 4;
/// Time after a key's issue in which it may be claimed; the streams' retention minus
/// [`MAX_CLOCK_SKEW`] must exceed it.
pub const MAX_KEY_AGE: Duration = Duration::from_secs(24 * 3600);
/// Longest time that a caller's clock may be ahead of the log service's.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// The name of a partition's stream.
pub fn stream_name(partition: u32) -> String {
    format!("claims-{partition:02}")
}

/// Identifies a request that may run at most once.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// The caller's `Idempotency-Key`, a UUIDv7.
    pub id: u128,
}

impl Key {
    /// The partition that holds the key's records. It depends on the id alone, so that the same key
    /// sent for another workspace is found in the same stream.
    pub fn partition(&self) -> u32 {
        let folded = self.id ^ (self.id >> 64) ^ (self.id >> 32);
        (folded & u128::from(u32::MAX)) as u32 % PARTITIONS
    }

    /// Time of issue since the Unix epoch, from the UUIDv7.
    pub fn issued_at(&self) -> Duration {
        Duration::from_millis((self.id >> 80) as u64)
    }
}

/// The process that runs a claimed request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Owner {
    /// The entry.
    pub entry: EntryId,
    /// The entry's incarnation; a restarted entry is another owner.
    pub incarnation: Incarnation,
}

/// One record of a claim stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader stops at one that it does not know.
    pub format: u16,
    /// The key.
    pub key: Key,
    /// Identifies the start that the record is about.
    pub nonce: Nonce,
    /// The content.
    pub body: Body,
}

/// Content of a claim record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// The owner may run the request if this is the key's first start that is not void.
    Start(Start),
    /// The owner of the start never sent the request and never will.
    Void,
    /// The request ran and was answered.
    Done(Answer),
    /// The request ran and was answered; the answer is too large to keep.
    Ran,
    /// The request may have run; its owner has stopped or lost its connection to the target.
    Unknown,
    /// An operator settles whether the request ran.
    Resolve(Resolve),
    /// A copy of a start without an outcome, which any entry appends before retention drops the
    /// original.
    Carry(Start),
}

/// The start of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Start {
    /// The process that runs the request.
    pub owner: Owner,
    /// Hash over the route and the request, to refuse a different request under the same key.
    pub fingerprint: u64,
}

/// How an operator settles an unresolved key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resolve {
    /// Whether the request ran.
    pub ran: bool,
    /// The operator's name.
    pub operator: String,
}
