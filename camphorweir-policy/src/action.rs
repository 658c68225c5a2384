//! Actions that the core requests from its driver.

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

/// An action to carry out; actions are carried out in order.
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
    /// Drop an exchange with a plain service without reporting its end.
    CancelExchange(RequestId, AttemptId),
    /// Deliver a token to the caller.
    Token(RequestId, Token),
    /// Answer the caller; the request has ended for the caller.
    Reply(RequestId, End),
    /// Append to a stream.
    Append(Append),
    /// Follow a stream from this offset on.
    Tail(String, Offset),
    /// Stop following a stream.
    Untail(String),
    /// Send a message to a peer at this address.
    SendToPeer(EntryId, String, peer::Body),
    /// Answer the balancer's readiness check with this value from now on.
    Ready(bool),
    /// Exit: all work is finished after [`Event::Stop`](crate::event::Event::Stop).
    Exit,
    /// A fact for logs and metrics.
    Note(Note),
}

/// A request to send to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Forward {
    /// The request; the driver keeps its head and body.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetId,
    /// The address of the target.
    pub address: String,
    /// The fencing number to send along.
    pub fence: Option<Fence>,
    /// The first byte must be written before this time, on the clock of
    /// [`Now::mono`](crate::clock::Now::mono); otherwise the exchange ends as unsent.
    pub send_by: Duration,
    /// When the exchange is dropped as broken, on the same clock.
    pub until: Duration,
}

/// An append to a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Append {
    /// The number of the append.
    pub id: AppendId,
    /// The stream.
    pub stream: String,
    /// Encoded records, to append next to each other.
    pub records: Vec<Vec<u8>>,
}

/// A fact for logs and metrics; it contains no prompts, keys or bodies.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A request ended.
    Ended(Ended),
    /// An attempt failed, whether or not another follows.
    AttemptFailed(RequestId, AttemptId, TargetId, &'static str),
    /// A target was taken out of use.
    Ejected(TargetId, &'static str),
    /// A target is in use again.
    Restored(TargetId),
    /// A configuration is in force.
    Configured(u64),
    /// Something unusual: its kind and a description.
    Unusual(&'static str, String),
}

/// The figures of a request that ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The request.
    pub request: RequestId,
    /// The workspace of the request; empty if unknown.
    pub workspace: WorkspaceId,
    /// The priority class of the request.
    pub priority: Priority,
    /// The result code; `None` for a success.
    pub code: Option<Code>,
    /// The number of attempts made.
    pub attempts: u32,
    /// Time from arrival to the end.
    pub total: Duration,
    /// Time from arrival to the start of the first attempt.
    pub queued: Duration,
    /// Time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// When all tokens were delivered.
    pub timing: Timing,
}
