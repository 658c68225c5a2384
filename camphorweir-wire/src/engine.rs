//! The protocol between entries and layer-range engines.
//!
//! An entry opens one HTTP/2 `POST` to [`PATH`] on an engine. Both bodies are streams of frames,
//! each a big-endian `u32` length and that many bytes of MessagePack. The engine sends the first
//! message, [`Reply::Hello`].

use {
    crate::ids::{AttemptId, Fence, Incarnation, Position, RequestId, Token},
    camphorweir_config::model::{KindId, ModelId, Priority},
    serde::{Deserialize, Serialize},
};

/// HTTP path of the stream on an engine.
pub const PATH: &str = "/v1/steps";
/// The newest frame format that this release knows.
pub const FORMAT: u16 = 1;
/// Longest frame in bytes; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// Positions in a block of the prefix cache.
pub const BLOCK_POSITIONS: u32 = 16;

/// A range of layers `[first, end)`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Layers {
    /// First layer.
    pub first: u32,
    /// One past the last layer; above `first`.
    pub end: u32,
}

/// A batch of messages.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame<T> {
    /// The format of `items`.
    pub format: u16,
    /// The messages, in order.
    pub items: Vec<T>,
}

/// A message from an entry to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Command {
    /// Starts an attempt.
    Open(Open),
    /// Computes positions of an attempt.
    Step(Step),
    /// Ends an attempt and frees its resources; unknown attempts are ignored.
    Cancel(RequestId, AttemptId),
    /// Assigns the layers that the engine has to hold.
    #[serde(rename = "Hold")]
    Assign(Assignment),
}

/// Starts an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Open {
    /// The request.
    pub request: RequestId,
    /// The attempt; an engine treats each attempt of a request separately.
    pub attempt: AttemptId,
    /// The engine's layers that the attempt uses, within those that the engine holds.
    pub layers: Layers,
    /// Scheduling class among the engine's requests.
    pub priority: Priority,
    /// Hash of every whole block of the prompt, each over all tokens up to its end.
    pub prefix: Vec<u64>,
}

/// Computes the positions `position..position + input.len()`.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The first position of `input`.
    pub position: Position,
    /// The layers to run, the same as in the attempt's [`Open`].
    pub layers: Layers,
    /// Tokens for the range that starts at layer 0, otherwise the output of the range before it.
    pub input: Vec<u64>,
}

/// Assigns the layers that an engine has to hold; repeating it changes nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Assignment {
    /// Fencing number of the lease under which the assignment is made.
    pub fence: Fence,
    /// The model.
    pub model: ModelId,
    /// The layers to load, once running attempts have finished.
    pub layers: Layers,
}

/// A message from an engine to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Identifies the engine; the first message of a connection.
    Hello(Hello),
    /// An attempt is open.
    Opened(Opened),
    /// Positions are computed.
    Done(Done),
    /// An attempt was refused or ended by the engine.
    Refused(Refused),
    /// The engine's load, delayed.
    Load(Load),
    /// Blocks that entered or left the engine's prefix cache, delayed and with gaps.
    Cached(Cached),
    /// The layers that the engine holds, sent after an assignment or a change.
    #[serde(rename = "Holds")]
    LayersHeld(LayersHeld),
    /// The engine accepts no new attempts from now on; open ones may finish.
    Leaving,
}

/// Identifies an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The layers that the engine holds.
    pub layers_held: LayersHeld,
    /// The engine's kind of accelerator.
    pub kind: KindId,
}

/// The layers that an engine holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LayersHeld {
    /// The model.
    pub model: ModelId,
    /// The layers.
    pub layers: Layers,
    /// The highest fencing number that the engine has seen.
    pub fence: Fence,
    /// Whether the engine is loading layers, and so accepts no attempts.
    pub loading: bool,
}

/// An attempt is open.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Opened {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Number of prompt positions whose state is in the engine's cache, a multiple of
    /// [`BLOCK_POSITIONS`]. The attempt's first step starts there or at an earlier block boundary.
    pub cached: Position,
}

/// Positions are computed; repeats the identifying fields of the [`Step`].
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The first position computed.
    pub position: Position,
    /// The layers run.
    pub layers: Layers,
    /// Input for the next range; empty from the last range.
    pub output: Vec<u64>,
    /// The next token, from the range that ends with the last layer.
    pub token: Option<Token>,
}

/// An attempt was refused or ended by the engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Refused {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The reason.
    pub reason: Reason,
}

/// Why an engine refuses an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Reason {
    /// The engine has no capacity left.
    Full,
    /// The engine is shutting down.
    Leaving,
    /// The engine does not hold the layers.
    WrongLayers,
    /// The engine does not know the attempt or the position, for example after a restart.
    UnknownAttempt,
}

/// The load of an engine as of `age_ms` ago.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
    /// Open attempts.
    pub open_attempts: u32,
    /// Positions waiting to be computed.
    pub queued_positions: u64,
}

/// Blocks that entered or left a prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cached {
    /// Sequence number, one more than that of the previous event; a gap means that events were
    /// lost.
    pub sequence: u64,
    /// Hashes of blocks added to the cache.
    pub added: Vec<u64>,
    /// Hashes of blocks removed from the cache.
    pub removed: Vec<u64>,
}
