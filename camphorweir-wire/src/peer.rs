//! Messages between entries: `POST` [`PATH`] on a peer's listener accepts an [`Envelope`].

use {
    crate::{
        claim,
        ids::{EntryId, Incarnation, Nonce},
    },
    camphorweir_config::model::{TargetId, Version, ZoneId},
    serde::{Deserialize, Serialize},
};

/// HTTP path for messages from peers.
pub const PATH: &str = "/v1/peer";
/// The newest message format that this release knows.
pub const FORMAT: u16 = 1;

/// The envelope of a message, authenticated with the shared key of all entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// The format of `body`.
    pub format: u16,
    /// Time of sending, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Random, so that a replayed envelope is detected.
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
    /// The sending entry.
    pub sender: EntryId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The content.
    pub body: Body,
}

/// Content of a message to a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// Heartbeat with the sender's state.
    Digest(Digest),
    /// Asks the owner of a start for the state of the request.
    #[serde(rename = "Ask")]
    StartQuery(claim::Key, Nonce),
    /// Answers [`Body::StartQuery`].
    #[serde(rename = "Told")]
    StartStatus(claim::Key, Nonce, StartStatus),
    /// Records to append on behalf of a sender that is stopping or batching.
    Append(Vec<claim::Record>),
    /// Confirms that the sender of this message now appends the records with these nonces.
    #[serde(rename = "Kept")]
    AppendAccepted(Vec<Nonce>),
    /// Asks for a configuration newer than this version.
    #[serde(rename = "Want")]
    ConfigRequest(Version),
    /// Answers [`Body::ConfigRequest`] with the version in force, a checkpoint record of the
    /// configuration stream.
    Config(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// State of a started request, as reported by its owner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StartStatus {
    /// The request is running.
    Running,
    /// The request has ended, and its outcome is being recorded.
    Ending,
    /// This incarnation of the owner did not start the request.
    #[serde(rename = "NotMine")]
    UnknownHere,
}

/// A request that was in flight on a target that crashed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Hash over workspace and request.
    pub fingerprint: u64,
    /// Crashes that the sender observed.
    pub crashes: u32,
    /// Whether the request is running at the sender.
    pub running: bool,
    /// Expiry, in milliseconds since the Unix epoch; the same at every entry, so that exchanging
    /// the report between entries does not extend it.
    pub expires_ms: u64,
}

/// Heartbeat with the sender's state.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's zone.
    pub zone: ZoneId,
    /// The version in force at the sender.
    pub version: Version,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Targets that announced their own shutdown, each with the incarnation that did.
    pub targets_leaving: Vec<(TargetId, Incarnation)>,
    /// Requests in flight at crashes that the sender observed.
    pub suspects: Vec<Suspect>,
    /// Demand of the busiest workspaces, in requests a second.
    pub demand: Vec<(String, f64)>,
}
