//! The state of requests that this entry has admitted and that have not ended.

use {
    crate::{action::Ended, attempt, call, target::Index, timing::Timing},
    camphorweir_config::model::{ModelId, Priority, ServiceId, WorkspaceId},
    camphorweir_wire::{
        claim::Key,
        code::Code,
        ids::{AttemptId, Nonce, RequestId, Token},
    },
    std::time::Duration,
};

/// The fields common to all kinds of requests.
#[derive(Clone, Debug)]
pub struct Head {
    /// Number of the request.
    pub id: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceId,
    /// Priority class.
    pub priority: Priority,
    /// When the request arrived.
    pub arrived: Duration,
    /// When the request ends at the latest.
    pub deadline: Duration,
    /// Hash over workspace and request; the same when a caller repeats the request.
    pub fingerprint: u64,
    /// Number of attempts made.
    pub attempts: AttemptId,
    /// When the first attempt started.
    pub started: Option<Duration>,
    /// When the first token was delivered.
    pub first_token: Option<Duration>,
    /// Gaps between the delivered tokens.
    pub timing: Timing,
}

impl Head {
    /// The fields of a request that was refused at arrival.
    pub fn rejected(id: RequestId, now: Duration) -> Self {
        Self {
            id,
            workspace: WorkspaceId::new(),
            priority: Priority::Normal,
            arrived: now,
            deadline: now,
            fingerprint: 0,
            attempts: 0,
            started: None,
            first_token: None,
            timing: Timing::default(),
        }
    }

    /// The summary of an ended request for logs and metrics.
    pub fn ended(&self, code: Option<Code>, now: Duration) -> Ended {
        let since = |at: Duration| at.saturating_sub(self.arrived);
        Ended {
            request: self.id,
            workspace: self.workspace.clone(),
            priority: self.priority,
            code,
            attempts: self.attempts,
            total: since(now),
            queued: since(self.started.unwrap_or(now)),
            first_token: self.first_token.map(since),
            timing: self.timing.clone(),
        }
    }

    /// Counts a new attempt and returns its number.
    pub fn next_attempt(&mut self, now: Duration) -> AttemptId {
        let id = self.attempts;
        self.attempts += 1;
        self.started.get_or_insert(now);
        id
    }
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Request {
    /// The fields common to all kinds of requests.
    pub head: Head,
    /// The state specific to the kind of request.
    pub body: Body,
}

impl Request {
    /// The model or service that the request is for, which names its lane in the queue.
    pub fn lane(&self) -> &str {
        match &self.body {
            Body::Stream(stream) => &stream.model,
            Body::Plain(plain) => &plain.service,
            Body::NeverRepeat(call) => &call.service,
        }
    }

    /// The request's cost: prompt tokens plus 8 for each answer token, or 1 for a call of a plain
    /// service.
    pub fn work(&self) -> u64 {
        match &self.body {
            Body::Stream(stream) => u64::from(stream.prompt) + u64::from(stream.max_tokens) * 8,
            Body::Plain(_) | Body::NeverRepeat(_) => 1,
        }
    }
}

/// The state specific to one kind of request.
#[derive(Clone, Debug)]
pub enum Body {
    /// A request for tokens of a model pipeline.
    Stream(Stream),
    /// An idempotent call of a plain service.
    Plain(Plain),
    /// A call of a plain service that must run at most once.
    NeverRepeat(NeverRepeat),
}

/// A request for tokens.
///
/// Configured values are those in force at admission.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The requested model.
    pub model: ModelId,
    /// Number of the model's layers.
    pub layers: u32,
    /// Size of one position's activation, in bytes.
    pub activation: u64,
    /// The token by which the model ends an answer.
    pub end_token: Option<Token>,
    /// The prompt, followed by every delivered token.
    pub tokens: Vec<Token>,
    /// Number of tokens in the prompt.
    pub prompt: u32,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// The current attempt; `None` while the request is queued.
    pub attempt: Option<attempt::AnyAttempt>,
    /// Targets on which earlier attempts failed.
    pub avoid: Vec<Index>,
    /// When the current step was sent.
    pub step_sent: Duration,
    /// How long the target of the current step may be silent.
    pub step_timeout: Duration,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// When the last attempt failed.
    pub interrupted: Option<Duration>,
}

impl Stream {
    /// Number of tokens delivered.
    pub fn delivered(&self) -> u32 {
        self.tokens.len() as u32 - self.prompt
    }

    /// The summary of the answer if it ends now; `stopped` as in [`call::Finished`].
    pub fn finished(&self, stopped: bool) -> call::Finished {
        call::Finished {
            prompt: self.prompt,
            tokens: self.delivered(),
            stopped,
        }
    }
}

/// An idempotent call of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// The called service.
    pub service: ServiceId,
    /// The current attempt and its target; `None` while the call is queued.
    pub attempt: Option<(AttemptId, Index)>,
    /// When the current attempt was sent.
    pub sent: Duration,
    /// Targets on which earlier attempts failed.
    pub avoid: Vec<Index>,
}

/// A call of a plain service that must run at most once.
#[derive(Clone, Debug)]
pub struct NeverRepeat {
    /// The called service.
    pub service: ServiceId,
    /// The idempotency key under which the call may run once.
    pub key: Key,
    /// The state of claiming and sending the call.
    pub stage: Stage,
    /// The call may be sent until this time; a process that was frozen past it sends nothing,
    /// because operators may have resolved the key meanwhile.
    pub send_until: Duration,
    /// Targets that provably did not run the call.
    pub avoid: Vec<Index>,
}

/// The states of a call that must run at most once.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Another request holds the first live start record of the key; its outcome is awaited.
    Waiting,
    /// The call's start record is appended and has not been read back.
    Claiming(Nonce),
    /// The call's start record is the first live one; the call is sent or about to be.
    Sent {
        /// Nonce of the call's start record.
        nonce: Nonce,
        /// The attempt and its target.
        attempt: (AttemptId, Index),
        /// Whether the caller has been answered or is gone, so that only the outcome is awaited.
        answered: bool,
    },
}
