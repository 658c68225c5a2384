//! What entries say to each other: `POST` [`PATH`] on a peer's listener takes a [`Letter`].

use {
    crate::{
        claim,
        ids::{EntryId, Incarnation, Nonce},
    },
    camphorweir_config::model::{TargetId, Version, ZoneId},
    serde::{Deserialize, Serialize},
};

/// Where peers take letters.
pub const PATH: &str = "/v1/peer";
/// The newest message format that this release knows.
pub const FORMAT: u16 = 1;

/// A message under way, sealed with the shared key of all entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Letter {
    /// The format of `body`.
    pub format: u16,
    /// When it was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Makes every letter differ, so that one can't be played again.
    pub nonce: Nonce,
    /// Keyed BLAKE3 hash over the other fields.
    pub mac: [u8; 32],
    /// A [`Message`] in MessagePack.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A message and its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// The entry that speaks.
    pub from: EntryId,
    /// Its life.
    pub incarnation: Incarnation,
    /// What it says.
    pub body: Body,
}

/// What an entry says to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Heartbeat with what the peer should know.
    Digest(Digest),
    /// Asks the owner of a start what became of it.
    Ask(claim::Key, Nonce),
    /// Answers [`Body::Ask`].
    Told(claim::Key, Nonce, Standing),
    /// Records to append for a peer that stops or batches.
    Append(Vec<claim::Record>),
    /// The peer has taken over the records of these nonces.
    Kept(Vec<Nonce>),
    /// Asks for a configuration above this version.
    Want(Version),
    /// Answers [`Body::Want`] with the version in force, a checkpoint record of the configuration
    /// stream.
    Config(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// What became of a start, by its owner's word.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Standing {
    /// It is running.
    Running,
    /// Its end is being recorded.
    Ending,
    /// This life of the owner knows nothing of it.
    NotMine,
}

/// A request that was in flight on a target that crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Hash over workspace and request.
    pub fingerprint: u64,
    /// Crashes that the sender saw.
    pub crashes: u32,
    /// Whether it runs at the sender.
    pub running: bool,
    /// When it is forgotten, in milliseconds since the Unix epoch; the same at every entry, so that
    /// entries that tell each other don't keep it alive.
    pub until_ms: u64,
}

/// Heartbeat with what peers should know.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's zone.
    pub zone: ZoneId,
    /// The version in force at the sender.
    pub version: Version,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Targets that said themselves that they are leaving, each with the incarnation that did.
    pub targets_leaving: Vec<(TargetId, Incarnation)>,
    /// Requests in flight at crashes that the sender saw.
    pub suspects: Vec<Suspect>,
    /// Demand of the busiest workspaces, in requests a second.
    pub demand: Vec<(String, f64)>,
}
