//! What entries and layer-range engines say to each other.
//!
//! An entry opens one HTTP/2 `POST` to [`PATH`] on an engine. Both bodies are streams of frames, each
//! a big-endian `u32` length and that many bytes of MessagePack. The engine speaks first, with
//! [`Reply::Hello`].

use {
    crate::ids::{AttemptId, Fence, Incarnation, Position, RequestId, Token},
    camphorweir_config::model::{KindId, ModelId, Priority},
    serde::{Deserialize, Serialize},
};

/// Where engines take steps.
pub const PATH: &str = "/v1/steps";
/// The newest frame format that this release knows.
pub const FORMAT: u16 = 1;
/// Longest frame in bytes; a longer one ends the connection.
pub const MAX_FRAME: usize = 16 << 20;
/// Positions in a block of the prefix cache.
pub const BLOCK: u32 = 16;

/// A range of layers `[first, end)`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Layers {
    /// First layer.
    pub first: u32,
    /// One past the last layer; above `first`.
    pub end: u32,
}

/// Many messages that travel together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Frame<T> {
    /// The format of `items`.
    pub format: u16,
    /// The messages, in order.
    pub items: Vec<T>,
}

/// What an entry says to an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Order {
    /// Starts an attempt.
    Open(Open),
    /// Computes positions of an attempt.
    Step(Step),
    /// Ends an attempt and frees what it holds; unknown attempts are ignored.
    Cancel(RequestId, AttemptId),
    /// States what the engine is to hold.
    Hold(Hold),
}

/// Starts an attempt.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Open {
    /// The request.
    pub request: RequestId,
    /// The attempt; an engine keeps each apart.
    pub attempt: AttemptId,
    /// The layers that the attempt uses of this engine; inside what it holds.
    pub layers: Layers,
    /// Order among the engine's requests.
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
    /// The layers to run, those of the attempt's [`Open`].
    pub layers: Layers,
    /// Tokens for the range that starts at layer 0, else the earlier range's output.
    pub input: Vec<u64>,
}

/// States what an engine is to hold; saying it again changes nothing.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hold {
    /// Offset of the lease under which the order is given.
    pub fence: Fence,
    /// The model.
    pub model: ModelId,
    /// The layers to load; running attempts finish first.
    pub layers: Layers,
}

/// What an engine says to an entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Reply {
    /// Who the engine is; the first message of a connection.
    Hello(Hello),
    /// An attempt is open.
    Opened(Opened),
    /// Positions are computed.
    Done(Done),
    /// An attempt was refused or ended by the engine.
    Refused(Refused),
    /// Its load, late.
    Load(Load),
    /// Blocks that entered or left its prefix cache, late and with gaps.
    Cached(Cached),
    /// What it holds, after an order or at a change.
    Holds(Holds),
    /// It takes no new attempts from now on; open ones may finish.
    Leaving,
}

/// Who an engine is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Hello {
    /// This life of the engine.
    pub incarnation: Incarnation,
    /// What it holds.
    pub holds: Holds,
    /// Its kind of accelerator.
    pub kind: KindId,
}

/// What an engine holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Holds {
    /// The model.
    pub model: ModelId,
    /// The layers.
    pub layers: Layers,
    /// The highest fencing number seen.
    pub fence: Fence,
    /// Whether it is loading now, and so takes no attempts.
    pub loading: bool,
}

/// An attempt is open.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Opened {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Prompt positions whose state the engine has in its cache, a multiple of [`BLOCK`]; the
    /// attempt's first step starts there or, at a block's boundary, earlier.
    pub held: Position,
}

/// Positions are computed; it echoes its step.
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
    /// Why.
    pub why: Why,
}

/// Why an engine refuses an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Why {
    /// It has no room.
    Full,
    /// It is leaving.
    Leaving,
    /// It does not hold the layers.
    WrongLayers,
    /// It does not know the attempt or its position, as after a restart.
    UnknownAttempt,
}

/// The load of an engine some time ago.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Age of the numbers, in milliseconds.
    pub age_ms: u64,
    /// Open attempts.
    pub open: u32,
    /// Positions that wait to be computed.
    pub queued: u64,
}

/// Blocks that entered or left a prefix cache.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cached {
    /// One more than that of the event before; a gap means that events were lost.
    pub sequence: u64,
    /// Hashes of blocks now held.
    pub added: Vec<u64>,
    /// Hashes of blocks no longer held.
    pub removed: Vec<u64>,
}
