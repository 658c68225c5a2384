//! Events that the core handles.

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

/// Number of an append, unique within one entry.
pub type AppendId = u64;

/// An event for the core.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A complete request arrived.
    Arrive(Call),
    /// A caller disconnected.
    CallerGone(RequestId),
    /// The connection to an engine is up.
    Connected(TargetId, Hello),
    /// The connection to an engine is lost or could not be made.
    Disconnected(TargetId),
    /// An engine sent a message.
    EngineReply(TargetId, Reply),
    /// An exchange with a plain service ended.
    ExchangeEnded(RequestId, AttemptId, Exchange),
    /// An append succeeded; its first record has this offset.
    Appended(AppendId, Offset),
    /// An append failed or its answer was lost; its records may be in the log or still get there.
    AppendFailed(AppendId),
    /// A page of a tailed stream; an empty page means that the end of the stream is reached.
    StreamPage(String, Page),
    /// A tailed stream could not be read; the reader retries.
    TailFailed(String),
    /// The platform's instance list was read.
    InstancesListed(Vec<Instance>),
    /// The instance list could not be read.
    ListFailed,
    /// A peer's message, verified to be authentic and fresh.
    PeerMessage(peer::Message),
    /// A message to a peer could not be delivered.
    PeerFailed(EntryId),
    /// SIGTERM arrived.
    Stop,
    /// Time passed; sent at least every [`TICK`](crate::event::TICK).
    Tick,
}

/// Maximum time between two [`Event::Tick`].
pub const TICK: std::time::Duration = std::time::Duration::from_millis(20);

/// How an exchange with a plain service ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Exchange {
    /// A complete answer.
    Answered(Answered),
    /// A complete head whose body exceeds this entry's limit; the body here is empty.
    TooLarge(Answered),
    /// It is certain that no byte of the request was sent.
    Unsent,
    /// The connection failed, or the answer was cut, after the first byte was written.
    Broken,
}

/// An answer of a plain service, with the flags from its headers.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// The answer.
    pub answer: Answer,
    /// Whether the target says that it did not start the call (`camphorweir-ran: no`).
    pub not_run: bool,
    /// Whether the target says that it is leaving (`camphorweir-leaving: true`).
    pub leaving: bool,
}
