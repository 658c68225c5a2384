//! Requests and answers in the style of the OpenAI API.
//!
//! A chat becomes one prompt: each message as `role: content` and a line end, in order, and then
//! `assistant:`. Fields that only shape sampling are accepted and ignored.

use {
    crate::{refuse, text},
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

/// Longest answer where the request names none, in tokens.
const DEFAULT_TOKENS: u32 = 128;

/// The two calls for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Style {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A well-formed request for tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// What the core sees.
    pub tokens: Tokens,
    /// Whether the answer is sent as it grows.
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

/// Reads a request body.
///
/// # Errors
///
/// What is wrong, for a person; it quotes nothing of the body.
pub fn parse(style: Style, body: &[u8]) -> Result<Ask, String> {
    let body: Body = serde_json::from_slice(body).map_err(|error| describe(&error))?;
    check_choices(&body)?;
    let prompt = prompt(style, body.prompt, body.messages)?;
    if prompt.is_empty() {
        return Err("The prompt is empty.".to_owned());
    }
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_TOKENS);
    if max_tokens == 0 {
        return Err("`max_tokens` must be at least 1.".to_owned());
    }
    Ok(Ask {
        tokens: Tokens {
            pipeline: body.model,
            prompt,
            max_tokens,
        },
        stream: body.stream.unwrap_or(false),
    })
}

fn describe(error: &serde_json::Error) -> String {
    let (line, column) = (error.line(), error.column());
    match error.classify() {
        serde_json::error::Category::Data => {
            format!("A field is missing or of the wrong type, at line {line}, column {column}.")
        }
        _ => format!("The body is not whole JSON, at line {line}, column {column}."),
    }
}

fn check_choices(body: &Body) -> Result<(), String> {
    let several = |count: Option<u32>| count.is_some_and(|count| count != 1);
    match several(body.n) || several(body.best_of) || body.echo == Some(true) {
        true => Err("`n` and `best_of` must be 1 and `echo` false.".to_owned()),
        false => Ok(()),
    }
}

fn prompt(
    style: Style,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
) -> Result<Vec<Token>, String> {
    match (style, prompt, messages) {
        (Style::Text, Some(Prompt::Text(prompt)), None) => Ok(text::tokens(&prompt)),
        (Style::Text, Some(Prompt::Tokens(prompt)), None) => Ok(prompt),
        (Style::Text, _, _) => Err("`prompt` is needed, and no `messages`.".to_owned()),
        (Style::Chat, None, Some(messages)) if !messages.is_empty() => Ok(flatten(&messages)),
        (Style::Chat, _, _) => Err("`messages` are needed, and no `prompt`.".to_owned()),
    }
}

fn flatten(messages: &[Message]) -> Vec<Token> {
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

/// A part of a streamed answer; written for every token, so without a tree in between.
#[derive(Serialize)]
struct PartObject<'a> {
    id: fmt::Arguments<'a>,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [PartChoice<'a>; 1],
}

#[derive(Serialize)]
struct PartChoice<'a> {
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

/// What every part of one answer has in common.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The call.
    pub style: Style,
    /// The request.
    pub request: RequestId,
    /// The pipeline.
    pub model: PipelineId,
    /// When the request arrived, in seconds since the Unix epoch.
    pub created: u64,
}

impl Shape {
    /// A whole answer.
    pub fn whole(&self, text: &str, tokens: &[Token], end: Finished) -> Value {
        let mut choice = json!({
            "index": 0,
            "token_ids": tokens,
            "finish_reason": reason(end),
        });
        match self.style {
            Style::Text => choice["text"] = json!(text),
            Style::Chat => choice["message"] = json!({ "role": "assistant", "content": text }),
        }
        let mut answer = self.object(choice, false);
        finish(&mut answer, end);
        answer
    }

    /// A part of a streamed answer, as JSON.
    pub fn part(&self, text: &str, tokens: &[Token]) -> String {
        let choice = PartChoice {
            index: 0,
            token_ids: tokens,
            finish_reason: None,
            text: (self.style == Style::Text).then_some(text),
            delta: (self.style == Style::Chat).then_some(Delta {
                role: Role::Assistant.as_str(),
                content: text,
            }),
        };
        let (prefix, object) = self.kind(true);
        let part = PartObject {
            id: format_args!("{prefix}-{:016x}", self.request),
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
        };
        // Strings and numbers can always be written.
        serde_json::to_string(&part).unwrap_or_default()
    }

    /// The last part of a streamed answer that is whole.
    pub fn last(&self, text: &str, end: Finished) -> Value {
        let mut choice = json!({ "index": 0, "token_ids": [], "finish_reason": reason(end) });
        match self.style {
            Style::Text => choice["text"] = json!(text),
            Style::Chat => choice["delta"] = json!({ "role": "assistant", "content": text }),
        }
        let mut answer = self.object(choice, true);
        finish(&mut answer, end);
        answer
    }

    /// The start of an answer's id and the kind of object.
    fn kind(&self, part: bool) -> (&'static str, &'static str) {
        match (self.style, part) {
            (Style::Text, _) => ("cmpl", "text_completion"),
            (Style::Chat, false) => ("chatcmpl", "chat.completion"),
            (Style::Chat, true) => ("chatcmpl", "chat.completion.chunk"),
        }
    }

    fn object(&self, choice: Value, part: bool) -> Value {
        let (prefix, kind) = self.kind(part);
        json!({
            "id": format!("{prefix}-{}", refuse::show(self.request)),
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn reason(end: Finished) -> &'static str {
    match end.stopped {
        true => "stop",
        false => "length",
    }
}

fn finish(answer: &mut Value, end: Finished) {
    answer["ran"] = json!(Ran::Yes.as_str());
    answer["usage"] = json!({
        "prompt_tokens": end.prompt,
        "completion_tokens": end.tokens,
        "total_tokens": u64::from(end.prompt) + u64::from(end.tokens),
    });
}
