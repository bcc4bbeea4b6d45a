//! Parses the token streams of engines.

use std::{pin::Pin, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt, stream};
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use ident::{Name, RequestId};
use serde::Deserialize;
use tokio::time::timeout;

use crate::CallError;

/// Reason why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model finished its answer.
    Stop,
    /// The maximum number of tokens was reached.
    Length,
}

/// Token counts of a finished request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Number of generated tokens.
    pub completion: u32,
    /// Number of prompt tokens that were in the cache and not recomputed.
    pub cached: u32,
}

/// Event of a token stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    /// Identifier of the request that the engine states for the token.
    pub request: RequestId,
    /// Index of the token in the answer.
    pub offset: u64,
    /// Text of the token.
    pub text: Arc<str>,
    /// Reason why the generation ended; `None` except on the last event.
    pub finish: Option<FinishReason>,
    /// Weights version that the engine states for the token; `None` if it states none.
    pub weights: Option<Name>,
    /// Token counts of the request; `None` except on the last event.
    pub usage: Option<Usage>,
}

/// Token stream of a replica.
#[async_trait]
pub trait TokenSource: Send {
    /// Returns the next token, or `None` after the end. Fails with [`CallError::Silent`] if neither
    /// a token nor a keep-alive arrives within the stream's timeout.
    async fn next(&mut self) -> Result<Option<Token>, CallError>;
}

type Events = Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<CallError>>> + Send>>;

/// Token stream that is parsed from an engine's event stream.
pub(crate) struct EventTokens(Events);

impl EventTokens {
    pub(crate) fn new(response: Response<Incoming>, stream_idle: Duration) -> Self {
        Self(Box::pin(chunks(response.into_body(), stream_idle).eventsource()))
    }
}

#[async_trait]
impl TokenSource for EventTokens {
    async fn next(&mut self) -> Result<Option<Token>, CallError> {
        let event = match self.0.next().await {
            None => return Err(CallError::Broken("the stream ended before its last event".into())),
            Some(Ok(event)) => event,
            Some(Err(EventStreamError::Transport(e))) => return Err(e),
            Some(Err(e)) => return Err(CallError::malformed(e)),
        };
        if event.data == "[DONE]" {
            return Ok(None);
        }
        let offset = event.id.parse().map_err(CallError::malformed)?;
        let wire: TokenWire = serde_json::from_str(&event.data).map_err(CallError::malformed)?;
        wire.token(offset).map(Some)
    }
}

/// Returns the chunks of a body. If none arrives within `stream_idle`, the stream ends with
/// [`CallError::Silent`].
fn chunks(
    body: Incoming,
    stream_idle: Duration,
) -> impl Stream<Item = Result<Bytes, CallError>> + Send {
    stream::unfold(Some(body), move |body| async move {
        let mut body = body?;
        loop {
            match timeout(stream_idle, body.frame()).await {
                Err(_) => return Some((Err(CallError::Silent), None)),
                Ok(None) => return None,
                Ok(Some(Err(e))) => {
                    return Some((Err(CallError::Broken(e.to_string().into())), None));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some((Ok(data), Some(body)));
                    }
                }
            }
        }
    })
}

#[derive(Deserialize)]
struct TokenWire {
    id: RequestId,
    choices: Vec<ChoiceWire>,
    system_fingerprint: Option<Name>,
    usage: Option<UsageWire>,
}

#[derive(Deserialize)]
struct ChoiceWire {
    text: Arc<str>,
    finish_reason: Option<FinishReason>,
}

#[derive(Deserialize)]
struct UsageWire {
    prompt_tokens: u32,
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: DetailsWire,
}

#[derive(Default, Deserialize)]
struct DetailsWire {
    #[serde(default)]
    cached_tokens: u32,
}

impl TokenWire {
    fn token(self, offset: u64) -> Result<Token, CallError> {
        let choice = self.choices.into_iter().next();
        let choice =
            choice.ok_or_else(|| CallError::Malformed("an event without choice".into()))?;
        Ok(Token {
            request: self.id,
            offset,
            text: choice.text,
            finish: choice.finish_reason,
            weights: self.system_fingerprint,
            usage: self.usage.map(Usage::from),
        })
    }
}

impl From<UsageWire> for Usage {
    fn from(wire: UsageWire) -> Self {
        Self {
            prompt: wire.prompt_tokens,
            completion: wire.completion_tokens,
            cached: wire.prompt_tokens_details.cached_tokens,
        }
    }
}
