//! What the core wants done.

use {
    crate::{call::End, event::AppendId, timing::Timing},
    camphorweir_config::model::{Priority, TargetId, WorkspaceId},
    camphorweir_wire::{
        code::Code,
        engine::Command,
        ids::{AttemptId, EntryId, Fence, Offset, RequestId, Token},
        peer,
    },
    std::time::Duration,
};

/// Something to do; actions are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Keep a connection to an engine; a new address replaces the old connection.
    Link(TargetId, String),
    /// Drop the connection to an engine.
    Unlink(TargetId),
    /// Send an order to an engine.
    SendCommand(TargetId, Command),
    /// Send a request to a plain service.
    Forward(Forward),
    /// Drop an exchange with a plain service; its end is of no interest.
    CancelExchange(RequestId, AttemptId),
    /// Deliver a token to the caller.
    Token(RequestId, Token),
    /// Answer the caller; the request is over.
    Reply(RequestId, End),
    /// Append to a stream.
    Append(Append),
    /// Follow a stream from an offset on.
    Tail(String, Offset),
    /// Stop following a stream.
    Untail(String),
    /// Send a message to a peer at this address.
    SendToPeer(EntryId, String, peer::Body),
    /// Answer the balancer's readiness check so.
    Ready(bool),
    /// Everything is finished after [`Event::Stop`](crate::event::Event::Stop): exit.
    Exit,
    /// A fact for logs and metrics.
    Note(Note),
}

/// Sends a request to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Forward {
    /// The request, whose head and body the entry keeps.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetId,
    /// Its address.
    pub address: String,
    /// The fencing number to send along.
    pub fence: Option<Fence>,
    /// On the clock of [`Now::mono`](crate::clock::Now::mono): at or after this time the first byte
    /// must not be written any more; the exchange ends as unsent.
    pub send_by: Duration,
    /// On the same clock: the exchange is dropped as broken.
    pub until: Duration,
}

/// Appends to a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Append {
    /// Which append it is.
    pub id: AppendId,
    /// The stream.
    pub stream: String,
    /// Encoded records, to land side by side.
    pub records: Vec<Vec<u8>>,
}

/// A fact for logs and metrics; it holds no prompts, keys or bodies.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A request ended.
    Ended(Ended),
    /// An attempt failed and another follows or not.
    AttemptFailed(RequestId, AttemptId, TargetId, &'static str),
    /// A target was taken out of use.
    Ejected(TargetId, &'static str),
    /// A target is in use again.
    Restored(TargetId),
    /// A configuration is in force.
    Configured(u64),
    /// Something unusual, in words.
    Unusual(&'static str, String),
}

/// A request ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// Its workspace, empty when unknown.
    pub workspace: WorkspaceId,
    /// Its class.
    pub priority: Priority,
    /// The result code, `None` for a success.
    pub code: Option<Code>,
    /// Attempts made.
    pub attempts: u32,
    /// From arrival to the end.
    pub total: Duration,
    /// From arrival to the start of the first attempt.
    pub queued: Duration,
    /// From arrival to the first token.
    pub first_token: Option<Duration>,
    /// When all tokens were delivered.
    pub timing: Timing,
}
