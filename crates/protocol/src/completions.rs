//! Completions in the format of the OpenAI API, which common clients use.
//!
//! Unknown keys are ignored, as clients send many that control sampling. A number of answers
//! `n` other than 1 is refused, as it would change the structure of the answer.

use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::Error;
use hemlockwind_core::Result;

/// Maximum number of tokens in an answer if the caller does not set one.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// `CompletionRequest` is the body of `POST /v1/completions`.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct CompletionRequest {
    /// The pipeline's name.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens in the answer.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// The number of answers; only 1 is supported.
    #[serde(default)]
    pub n: Option<u32>,
}

/// `ChatRequest` is the body of `POST /v1/chat/completions`.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct ChatRequest {
    /// The pipeline's name.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// The maximum number of tokens in the answer, under its older name.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The maximum number of tokens in the answer.
    #[serde(default)]
    pub max_completion_tokens: Option<u32>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// The number of answers; only 1 is supported.
    #[serde(default)]
    pub n: Option<u32>,
}

/// `ChatMessage` is one message of a conversation.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ChatMessage {
    /// The author of the message, such as `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// `Api` is the interface that a caller uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// `Job` is a request of either interface in a common format.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The interface that the caller used.
    pub api: Api,
    /// The pipeline's name.
    pub pipeline: String,
    /// The prompt.
    pub prompt: String,
    /// The maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Whether to stream the answer.
    pub stream: bool,
}

impl TryFrom<CompletionRequest> for Job {
    type Error = Error;

    fn try_from(req: CompletionRequest) -> Result<Self> {
        check_answer_count(req.n)?;
        Ok(Self {
            api: Api::Text,
            pipeline: req.model,
            prompt: req.prompt,
            max_tokens: max_tokens(req.max_tokens)?,
            stream: req.stream,
        })
    }
}

impl TryFrom<ChatRequest> for Job {
    type Error = Error;

    fn try_from(req: ChatRequest) -> Result<Self> {
        check_answer_count(req.n)?;
        if req.messages.is_empty() {
            return Err(Error::body("`messages` is empty"));
        }
        let lines = req.messages.iter();
        let lines = lines.map(|message| format!("{}: {}", message.role, message.content));
        Ok(Self {
            api: Api::Chat,
            pipeline: req.model,
            prompt: lines.collect::<Vec<_>>().join("\n"),
            max_tokens: max_tokens(req.max_completion_tokens.or(req.max_tokens))?,
            stream: req.stream,
        })
    }
}

/// Returns an error if a request asks for more or fewer answers than one.
fn check_answer_count(n: Option<u32>) -> Result<()> {
    match n {
        None | Some(1) => Ok(()),
        Some(n) => Err(Error::body(format!("`n` is {n}; only 1 is served"))),
    }
}

/// Returns the maximum number of tokens, which is the default if none is given.
fn max_tokens(asked: Option<u32>) -> Result<u32> {
    match asked {
        Some(0) => Err(Error::body("`max_tokens` must be at least 1")),
        asked => Ok(asked.unwrap_or(DEFAULT_MAX_TOKENS)),
    }
}

/// `Completion` is a complete answer, or one event of a stream.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Completion {
    /// The request's id.
    pub id: String,
    /// The kind of the object, as clients expect it.
    pub object: &'static str,
    /// The time at which the answer began, in seconds since the Unix epoch.
    pub created: u64,
    /// The pipeline's name.
    pub model: String,
    /// The only choice.
    pub choices: [Choice; 1],
    /// The number of generated tokens, in the last event or the complete answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// `Choice` holds the answer, in the field that the interface uses.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The text of a completion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The message of a complete chat answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// The next part of a streamed chat.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub delta: Option<Delta>,
    /// `stop` or `length`, when the answer has ended.
    pub finish_reason: Option<&'static str>,
}

/// `Delta` is the next part of a streamed chat.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Delta {
    /// The text.
    pub content: String,
}

/// `Usage` counts tokens.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Usage {
    /// The number of generated tokens.
    pub completion_tokens: u32,
}

impl Api {
    /// Returns the answer's only choice, with `text`.
    pub fn choice(self, text: String, is_event: bool, finish: Option<&'static str>) -> Choice {
        let mut choice = Choice {
            finish_reason: finish,
            ..Choice::default()
        };
        match (self, is_event) {
            (Self::Text, _) => choice.text = Some(text),
            (Self::Chat, true) => choice.delta = Some(Delta { content: text }),
            (Self::Chat, false) => {
                choice.message = Some(ChatMessage {
                    role: "assistant".into(),
                    content: text,
                });
            }
        }
        choice
    }

    /// Returns the kind of the answer's object, as clients expect it.
    pub const fn object(self, is_event: bool) -> &'static str {
        match (self, is_event) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, false) => "chat.completion",
            (Self::Chat, true) => "chat.completion.chunk",
        }
    }
}
