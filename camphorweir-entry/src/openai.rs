//! Requests and responses of the OpenAI-compatible API.
//!
//! A chat becomes one prompt: each message as `role: content` and a newline, in order, followed by
//! `assistant:`. Fields that only affect sampling are accepted and ignored.

use {
    crate::{refusal, text},
    camphorweir_config::model::PipelineId,
    camphorweir_policy::call::{Finished, Tokens},
    camphorweir_wire::{
        ids::{RequestId, Token},
        outcome::Ran,
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::fmt,
};

/// Most tokens of a response when the request sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 128;

/// The API that a token request uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Api {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// A valid token request.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenRequest {
    /// The part that the core decides on.
    pub tokens: Tokens,
    /// Whether the response is streamed.
    pub stream: bool,
}

#[derive(Deserialize)]
struct Body {
    model: PipelineId,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    n: Option<u32>,
    best_of: Option<u32>,
    echo: Option<bool>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Tokens(Vec<Token>),
}

#[derive(Deserialize)]
struct Message {
    role: Role,
    content: Content,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Role {
    System,
    Developer,
    User,
    Assistant,
}

impl Role {
    fn as_str(self) -> &'static str {
        match self {
            Self::System => "system",
            Self::Developer => "developer",
            Self::User => "user",
            Self::Assistant => "assistant",
        }
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
enum Part {
    Text { text: String },
}

/// Parses a request body.
///
/// # Errors
///
/// A message for the caller, which quotes nothing of the body.
pub fn parse(api: Api, body: &[u8]) -> Result<TokenRequest, String> {
    let body: Body = serde_json::from_slice(body).map_err(|error| describe_error(&error))?;
    check_choices(&body)?;
    let prompt = tokenize_prompt(api, body.prompt, body.messages)?;
    if prompt.is_empty() {
        return Err("The prompt is empty.".to_owned());
    }
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 {
        return Err("`max_tokens` must be at least 1.".to_owned());
    }
    Ok(TokenRequest {
        tokens: Tokens {
            pipeline: body.model,
            prompt,
            max_tokens,
        },
        stream: body.stream.unwrap_or(false),
    })
}

fn describe_error(error: &serde_json::Error) -> String {
    let (line, column) = (error.line(), error.column());
    match error.classify() {
        serde_json::error::Category::Data => {
            format!("A field is missing or of the wrong type, at line {line}, column {column}.")
        }
        _ => format!("The body is not whole JSON, at line {line}, column {column}."),
    }
}

fn check_choices(body: &Body) -> Result<(), String> {
    let not_one = |count: Option<u32>| count.is_some_and(|count| count != 1);
    match not_one(body.n) || not_one(body.best_of) || body.echo == Some(true) {
        true => Err("`n` and `best_of` must be 1 and `echo` false.".to_owned()),
        false => Ok(()),
    }
}

fn tokenize_prompt(
    api: Api,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
) -> Result<Vec<Token>, String> {
    match (api, prompt, messages) {
        (Api::Completion, Some(Prompt::Text(prompt)), None) => Ok(text::tokens(&prompt)),
        (Api::Completion, Some(Prompt::Tokens(prompt)), None) => Ok(prompt),
        (Api::Completion, _, _) => Err("`prompt` is needed, and no `messages`.".to_owned()),
        (Api::Chat, None, Some(messages)) if !messages.is_empty() => Ok(chat_prompt(&messages)),
        (Api::Chat, _, _) => Err("`messages` are needed, and no `prompt`.".to_owned()),
    }
}

fn chat_prompt(messages: &[Message]) -> Vec<Token> {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(message.role.as_str());
        prompt.push_str(": ");
        match &message.content {
            Content::Text(text) => prompt.push_str(text),
            Content::Parts(parts) => {
                parts
                    .iter()
                    .for_each(|Part::Text { text }| prompt.push_str(text));
            }
        }
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    text::tokens(&prompt)
}

/// A chunk of a streamed response; serialized without a `Value` in between, as there can be one for
/// every token.
#[derive(Serialize)]
struct Chunk<'a> {
    id: fmt::Arguments<'a>,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    token_ids: &'a [Token],
    finish_reason: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
}

#[derive(Serialize)]
struct Delta<'a> {
    role: &'static str,
    content: &'a str,
}

/// The fields that all chunks of one response share.
#[derive(Clone, Debug)]
pub struct ResponseTemplate {
    /// The API that the request used.
    pub api: Api,
    /// The request's id.
    pub request: RequestId,
    /// The pipeline, which callers name as the model.
    pub model: PipelineId,
    /// When the request arrived, in seconds since the Unix epoch.
    pub created: u64,
}

impl ResponseTemplate {
    /// A complete response that isn't streamed.
    pub fn response(&self, text: &str, tokens: &[Token], end: Finished) -> Value {
        let mut choice = json!({
            "index": 0,
            "token_ids": tokens,
            "finish_reason": finish_reason(end),
        });
        match self.api {
            Api::Completion => choice["text"] = json!(text),
            Api::Chat => choice["message"] = json!({ "role": "assistant", "content": text }),
        }
        let mut answer = self.object(choice, false);
        add_outcome(&mut answer, end);
        answer
    }

    /// A chunk of a streamed response, as JSON.
    pub fn chunk(&self, text: &str, tokens: &[Token]) -> String {
        let choice = ChunkChoice {
            index: 0,
            token_ids: tokens,
            finish_reason: None,
            text: (self.api == Api::Completion).then_some(text),
            delta: (self.api == Api::Chat).then_some(Delta {
                role: Role::Assistant.as_str(),
                content: text,
            }),
        };
        let (prefix, object) = self.id_prefix_and_type(true);
        let chunk = Chunk {
            id: format_args!("{prefix}-{:016x}", self.request),
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
        };
        // Serializing strings and numbers can't fail.
        serde_json::to_string(&chunk).unwrap_or_default()
    }

    /// The last chunk of a streamed response that finished.
    pub fn final_chunk(&self, text: &str, end: Finished) -> Value {
        let mut choice =
            json!({ "index": 0, "token_ids": [], "finish_reason": finish_reason(end) });
        match self.api {
            Api::Completion => choice["text"] = json!(text),
            Api::Chat => choice["delta"] = json!({ "role": "assistant", "content": text }),
        }
        let mut answer = self.object(choice, true);
        add_outcome(&mut answer, end);
        answer
    }

    /// The prefix of the response's id, and the object type.
    fn id_prefix_and_type(&self, streamed: bool) -> (&'static str, &'static str) {
        match (self.api, streamed) {
            (Api::Completion, _) => ("cmpl", "text_completion"),
            (Api::Chat, false) => ("chatcmpl", "chat.completion"),
            (Api::Chat, true) => ("chatcmpl", "chat.completion.chunk"),
        }
    }

    fn object(&self, choice: Value, streamed: bool) -> Value {
        let (prefix, object_type) = self.id_prefix_and_type(streamed);
        json!({
            "id": format!("{prefix}-{}", refusal::format_id(self.request)),
            "object": object_type,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn finish_reason(end: Finished) -> &'static str {
    match end.stopped {
        true => "stop",
        false => "length",
    }
}

fn add_outcome(answer: &mut Value, end: Finished) {
    answer["ran"] = json!(Ran::Yes.as_str());
    answer["usage"] = json!({
        "prompt_tokens": end.prompt,
        "completion_tokens": end.tokens,
        "total_tokens": u64::from(end.prompt) + u64::from(end.tokens),
    });
}
