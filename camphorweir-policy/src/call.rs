//! A caller's request as the core sees it, and how it ends.

use {
    camphorweir_config::model::{KeyHash, PipelineId, RouteId},
    camphorweir_wire::{
        ids::{RequestId, Token},
        outcome::{Answer, Refusal},
    },
};

/// A request that is whole and well-formed.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its number, drawn at random by the entry.
    pub id: RequestId,
    /// Hash of the bearer key; empty when there was none.
    pub key: KeyHash,
    /// What it asks for.
    pub ask: Ask,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    /// Tokens of a model pipeline.
    Tokens(Tokens),
    /// A call of a plain service.
    Plain(Plain),
}

/// A request for tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Tokens {
    /// The pipeline.
    pub pipeline: PipelineId,
    /// The prompt; not empty.
    pub prompt: Vec<Token>,
    /// Longest answer.
    pub max_tokens: u32,
}

/// A call of a plain service; the entry keeps its head and body.
#[derive(Clone, Debug, PartialEq)]
pub struct Plain {
    /// The route, from the path.
    pub route: RouteId,
    /// The `Idempotency-Key` as it was sent.
    pub idempotency: Option<String>,
    /// Hash over method, path and body.
    pub fingerprint: u64,
}

/// How a request ends; each request ends once.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// All tokens are delivered.
    Finished(Finished),
    /// A plain service answered.
    Answered(Answered),
    /// There is no whole answer; tokens may have been delivered before.
    Refused(Refusal),
}

/// The end of a whole answer of a pipeline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finished {
    /// Tokens in the prompt.
    pub prompt: u32,
    /// Tokens delivered.
    pub tokens: u32,
    /// Whether the model ended the answer before its length limit.
    pub stopped: bool,
}

/// A whole answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answered {
    /// The answer.
    pub answer: Answer,
    /// Whether it was recorded earlier and not run for this request.
    pub replayed: bool,
}
