//! Bodies of completion requests (OpenAI style) and their validated form.

use std::sync::Arc;

use ident::{Digest, Name};
use serde::Deserialize;

use crate::problem::ProblemKind;

/// Maximum number of generated tokens when the request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 64;

/// The completion API that a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// Validated completion request.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// API that the caller used.
    pub api: Api,
    /// Name of the requested model.
    pub model: Name,
    /// Complete text of the prompt.
    pub text: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Label of the context that requests share; a digest of the prompt's beginning if the request
    /// has no `prompt_cache_key`.
    pub context: Arc<str>,
    /// Seed for sampling.
    pub seed: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Digest of the request body.
    pub digest: Digest,
}

#[derive(Deserialize)]
struct TextWire {
    model: Name,
    prompt: String,
    #[serde(flatten)]
    common: CommonWire,
}

#[derive(Deserialize)]
struct ChatWire {
    model: Name,
    messages: Vec<MessageWire>,
    #[serde(flatten)]
    common: CommonWire,
}

#[derive(Deserialize)]
struct MessageWire {
    role: String,
    content: String,
}

#[derive(Deserialize)]
struct CommonWire {
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    prompt_cache_key: Option<String>,
    seed: Option<u64>,
}

impl Prompt {
    /// Parses and validates a request body.
    pub fn parse(api: Api, body: &[u8]) -> Result<Self, ProblemKind> {
        let digest = Digest::of(body);
        let (model, text, common) = match api {
            Api::Text => {
                let wire: TextWire = parse(body)?;
                (wire.model, wire.prompt, wire.common)
            }
            Api::Chat => {
                let wire: ChatWire = parse(body)?;
                (wire.model, transcript(&wire.messages), wire.common)
            }
        };
        if text.is_empty() {
            return Err(ProblemKind::Malformed("the prompt is empty".into()));
        }
        let max_tokens = common.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(ProblemKind::Malformed("max_tokens must be at least 1".into()));
        }
        let context = context(common.prompt_cache_key, &text)?;
        Ok(Self {
            api,
            model,
            text: text.into(),
            max_tokens,
            context,
            // The seed is derived from the body, so that a retry with the same body gives the same
            // answer.
            seed: common.seed.unwrap_or_else(|| seed(&digest)),
            stream: common.stream,
            digest,
        })
    }
}

/// Maximum length of a context label.
pub(crate) const MAX_CONTEXT_BYTES: usize = 256;

fn context(key: Option<String>, text: &str) -> Result<Arc<str>, ProblemKind> {
    match key {
        Some(key) if key.len() <= MAX_CONTEXT_BYTES => Ok(key.into()),
        Some(_) => Err(ProblemKind::Malformed("prompt_cache_key has at most 256 bytes".into())),
        None => {
            let head = &text.as_bytes()[..text.len().min(kv::PIECE_BYTES)];
            Ok(Digest::of(head).to_string().into())
        }
    }
}

fn seed(digest: &Digest) -> u64 {
    let mut half = [0; 8];
    half.copy_from_slice(&digest.0[..8]);
    u64::from_le_bytes(half)
}

fn parse<'a, T>(body: &'a [u8]) -> Result<T, ProblemKind>
where
    T: Deserialize<'a>,
{
    serde_json::from_slice(body)
        .map_err(|e| ProblemKind::Malformed(format!("bad JSON body: {e}").into()))
}

fn transcript(messages: &[MessageWire]) -> String {
    messages.iter().map(|m| format!("{}: {}\n", m.role, m.content)).collect()
}
