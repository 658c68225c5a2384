//! The requests that this entry has taken in and not yet ended.

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

/// What all requests have in common.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its number.
    pub id: RequestId,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// Its class.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Duration,
    /// When it must be over.
    pub deadline: Duration,
    /// Hash over workspace and request, the same when a caller sends it again.
    pub fingerprint: u64,
    /// Attempts made.
    pub attempts: AttemptId,
    /// When its first attempt started.
    pub started: Option<Duration>,
    /// When its first token was delivered.
    pub first_token: Option<Duration>,
    /// When all of its tokens were delivered.
    pub timing: Timing,
}

impl Head {
    /// A request that was not taken in.
    pub fn unknown(id: RequestId, now: Duration) -> Self {
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

    /// What logs and metrics are told at the end.
    pub fn ended(&self, code: Option<Code>, now: Duration) -> Ended {
        let since = |at: Duration| at.saturating_sub(self.arrived);
        Ended {
            request: self.id,
            workspace: self.workspace.clone(),
            priority: self.priority,
            code,
            attempts: self.attempts,
            whole: since(now),
            queued: since(self.started.unwrap_or(now)),
            first_token: self.first_token.map(since),
            timing: self.timing.clone(),
        }
    }

    /// Counts a new attempt and gives its number.
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
    /// What all requests have in common.
    pub head: Head,
    /// What it is.
    pub body: Body,
}

impl Request {
    /// The model or service whose targets it needs.
    pub fn lane(&self) -> &str {
        match &self.body {
            Body::Stream(stream) => &stream.model,
            Body::Plain(plain) => &plain.service,
            Body::Once(once) => &once.service,
        }
    }

    /// The work that it asks for: tokens, or 1 for a call of a plain service.
    pub fn work(&self) -> u64 {
        match &self.body {
            Body::Stream(stream) => u64::from(stream.prompt) + u64::from(stream.max_tokens) * 8,
            Body::Plain(_) | Body::Once(_) => 1,
        }
    }
}

/// The kinds of request.
#[derive(Clone, Debug)]
pub enum Body {
    /// For tokens of a pipeline.
    Stream(Stream),
    /// An idempotent call of a plain service.
    Plain(Plain),
    /// A never-repeat call of a plain service.
    Once(Once),
}

/// A request for tokens.
///
/// What the configuration says is kept as it was at admission.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The model.
    pub model: ModelId,
    /// Its layers.
    pub layers: u32,
    /// Bytes of an activation.
    pub activation: u64,
    /// The token that ends an answer early.
    pub end_token: Option<Token>,
    /// The prompt and after it every delivered token.
    pub tokens: Vec<Token>,
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Longest answer.
    pub max_tokens: u32,
    /// The attempt under way; `None` while the request waits.
    pub attempt: Option<attempt::Any>,
    /// Targets on which earlier attempts failed.
    pub avoid: Vec<Index>,
    /// When the step under way was sent.
    pub sent: Duration,
    /// How long its target may be silent.
    pub limit: Duration,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// When the last attempt failed.
    pub interrupted: Option<Duration>,
}

impl Stream {
    /// Tokens delivered.
    pub fn delivered(&self) -> u32 {
        self.tokens.len() as u32 - self.prompt
    }

    /// How the answer ends if it ends now.
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
    /// The service.
    pub service: ServiceId,
    /// The attempt under way and its target.
    pub attempt: Option<(AttemptId, Index)>,
    /// When the attempt was sent.
    pub sent: Duration,
    /// Targets on which earlier attempts failed.
    pub avoid: Vec<Index>,
}

/// A never-repeat call of a plain service.
#[derive(Clone, Debug)]
pub struct Once {
    /// The service.
    pub service: ServiceId,
    /// What it may run once under.
    pub key: Key,
    /// How far it has come.
    pub stage: Stage,
    /// Its start counts for sending until then; a process that was frozen past it sends nothing,
    /// since operators may have settled the key meanwhile.
    pub send_until: Duration,
    /// Targets that provably did not run it.
    pub avoid: Vec<Index>,
}

/// How far a never-repeat call has come.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Somebody else's start stands first; its outcome is awaited.
    Waiting,
    /// Its start is appended and not read back.
    Claiming(Nonce),
    /// Its start is the first live one; it is sent, or is about to be.
    Sent {
        /// Its start.
        nonce: Nonce,
        /// The attempt and its target.
        attempt: (AttemptId, Index),
        /// Whether the caller has its answer, or is gone, and only the outcome is awaited.
        answered: bool,
    },
}
