//! What the core is told.

use {
    crate::call::Call,
    camphorweir_config::model::TargetId,
    camphorweir_wire::{
        engine::{Hello, Reply},
        ids::{AttemptId, EntryId, Offset, RequestId},
        list::Instance,
        log::Page,
        outcome::Answer,
        peer,
    },
};

/// Tells the appends of one entry apart.
pub type AppendId = u64;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived whole.
    Arrive(Call),
    /// A caller went away.
    CallerGone(RequestId),
    /// The connection to an engine is up.
    Connected(TargetId, Hello),
    /// The connection to an engine is lost or could not be made.
    Disconnected(TargetId),
    /// An engine said something.
    EngineReply(TargetId, Reply),
    /// An exchange with a plain service ended.
    ExchangeEnded(RequestId, AttemptId, Exchange),
    /// An append landed at this offset.
    Appended(AppendId, Offset),
    /// An append failed, or its answer was lost; it may have landed or may land yet.
    AppendFailed(AppendId),
    /// A part of a tailed stream; without records it says that the stream's end is reached.
    StreamPage(String, Page),
    /// A tailed stream could not be read; the reader tries on.
    TailFailed(String),
    /// The platform's instance list.
    InstancesListed(Vec<Instance>),
    /// The instance list could not be read.
    ListFailed,
    /// A peer's authentic and fresh message.
    PeerMessage(peer::Message),
    /// A message to a peer could not be delivered.
    PeerFailed(EntryId),
    /// SIGTERM.
    Stop,
    /// Time passed; at least every [`TICK`](crate::event::TICK).
    Tick,
}

/// Longest time between two [`Event::Tick`].
pub const TICK: std::time::Duration = std::time::Duration::from_millis(20);

/// How an exchange with a plain service ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Exchange {
    /// A whole answer.
    Answered(Answered),
    /// A whole head whose body is longer than this entry takes; the body here is empty.
    TooLarge(Answered),
    /// Provably no byte of the request left this entry.
    Unsent,
    /// The connection failed, or the answer was cut, after the first byte was written.
    Broken,
}

/// A whole answer of a plain service, with what its headers say.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// The answer.
    pub answer: Answer,
    /// Whether the target says that it did not start the call (`camphorweir-ran: no`).
    pub not_run: bool,
    /// Whether the target says that it is leaving (`camphorweir-leaving: true`).
    pub leaving: bool,
}
