//! Sends the items of a relay to the caller, as an event stream or as one JSON document.

use std::{convert::Infallible, sync::Arc, time::Duration};

use axum::{
    Json,
    response::{
        IntoResponse, Response, Sse,
        sse::{Event, KeepAlive},
    },
};
use futures_util::{Stream, stream};
use ident::RequestId;
use outbound::{FinishReason, Usage};
use serde::Serialize;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    body::Api,
    job::Job,
    problem::{Problem, ProblemKind},
    relay::{AnswerItem, AnswerToken},
};

/// Timeout for the first token; after it, the event stream begins without a token.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Data of the last event of a stream.
const END_MARKER: &str = "[DONE]";
/// Interval of the keep-alives on a stream to a caller.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Role of the author of chat answers.
const ROLE: &str = "assistant";

/// The part of an answer that a document holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// The complete answer.
    Complete,
    /// The first token of a stream.
    First,
    /// A later token of a stream.
    Later,
}

/// What all documents of one answer have in common.
#[derive(Debug, Clone)]
struct AnswerFormat {
    api: Api,
    request: RequestId,
    model: ident::Name,
}

/// Answers with an event stream. If the request fails within [`FIRST_TOKEN_TIMEOUT`] and before its
/// first token, the problem is the response. If the prompt takes longer to compute, the stream
/// begins with keep-alives, and a later problem is sent as an event.
pub async fn stream(job: &Job, mut items: mpsc::Receiver<AnswerItem>) -> Result<Response, Problem> {
    let first = match timeout(FIRST_TOKEN_TIMEOUT, items.recv()).await {
        Ok(Some(AnswerItem::Failed(problem))) => return Err(problem),
        Ok(Some(item)) => Next::Item(item, items),
        Ok(None) => return Err(ProblemKind::Upstream.into()),
        Err(_) => Next::Wait(items),
    };
    let keep_alive = KeepAlive::new().interval(KEEP_ALIVE_INTERVAL);
    Ok(Sse::new(events(AnswerFormat::of(job), first)).keep_alive(keep_alive).into_response())
}

/// Next step of an event stream.
enum Next {
    /// Send this item.
    Item(AnswerItem, mpsc::Receiver<AnswerItem>),
    /// Wait for the next item and send it.
    Wait(mpsc::Receiver<AnswerItem>),
    /// Send the end marker.
    EndMarker,
    /// End the stream.
    End,
}

/// Answers with one JSON document once the answer is complete.
pub async fn document(
    job: &Job,
    mut items: mpsc::Receiver<AnswerItem>,
) -> Result<Response, Problem> {
    let format = AnswerFormat::of(job);
    let mut text = String::new();
    while let Some(item) = items.recv().await {
        match item {
            AnswerItem::Restart => text.clear(),
            AnswerItem::Failed(problem) => return Err(problem),
            // Only a resumed stream can be complete before its first token.
            AnswerItem::Complete => return Err(ProblemKind::BadHandle.into()),
            AnswerItem::Token(token) => {
                text.push_str(&token.text);
                if token.finish.is_some() {
                    let document = format.document(&token, &text, Part::Complete);
                    return Ok(Json(document).into_response());
                }
            }
        }
    }
    Err(ProblemKind::Upstream.into())
}

fn events(format: AnswerFormat, first: Next) -> impl Stream<Item = Result<Event, Infallible>> {
    stream::unfold(first, move |next| {
        let format = format.clone();
        async move {
            let (item, items) = match next {
                Next::Item(item, items) => (item, items),
                Next::Wait(mut items) => (items.recv().await?, items),
                Next::EndMarker => return Some((Ok(Event::default().data(END_MARKER)), Next::End)),
                Next::End => return None,
            };
            let next = match &item {
                AnswerItem::Token(t) if t.finish.is_some() => Next::EndMarker,
                AnswerItem::Failed(_) | AnswerItem::Complete => Next::End,
                _ => Next::Wait(items),
            };
            Some((Ok(format.event(&item)), next))
        }
    })
}

impl AnswerFormat {
    fn of(job: &Job) -> Self {
        let model = job.prompt.model.clone();
        Self { api: job.prompt.api, request: job.meta.id, model }
    }

    fn event(&self, item: &AnswerItem) -> Event {
        match item {
            AnswerItem::Token(token) => {
                let part = if token.position.tokens == 1 { Part::First } else { Part::Later };
                let data = self.document(token, &token.text, part);
                json(
                    Event::default().id(format!("{}.{}", token.handle_prefix, token.position)),
                    &data,
                )
            }
            AnswerItem::Restart => Event::default().event("restart").data("{}"),
            AnswerItem::Complete => Event::default().data(END_MARKER),
            AnswerItem::Failed(problem) => {
                json(Event::default().event("problem"), &problem.document())
            }
        }
    }

    fn document(&self, token: &AnswerToken, text: &str, part: Part) -> AnswerWire {
        let object = match (self.api, part) {
            (Api::Text, _) => "text_completion",
            (Api::Chat, Part::Complete) => "chat.completion",
            (Api::Chat, _) => "chat.completion.chunk",
        };
        AnswerWire {
            id: self.request,
            object,
            model: self.model.clone(),
            choices: [ChoiceWire::new(self.api, token.finish, text, part)],
            system_fingerprint: token.weights.clone(),
            usage: token.usage.map(UsageWire::from),
            lentil: PositionWire { request: self.request, offset: token.position.tokens - 1 },
        }
    }
}

fn json<T>(event: Event, data: &T) -> Event
where
    T: Serialize,
{
    event.json_data(data).expect("an answer document has only string keys")
}

#[derive(Serialize)]
struct AnswerWire {
    id: RequestId,
    object: &'static str,
    model: ident::Name,
    choices: [ChoiceWire; 1],
    system_fingerprint: ident::Name,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageWire>,
    lentil: PositionWire,
}

/// Position of a token in the answer.
#[derive(Serialize)]
struct PositionWire {
    request: RequestId,
    offset: u64,
}

#[derive(Serialize)]
struct ChoiceWire {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<Arc<str>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<MessageWire>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<MessageWire>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct MessageWire {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: Arc<str>,
}

impl ChoiceWire {
    fn new(api: Api, finish: Option<FinishReason>, text: &str, part: Part) -> Self {
        let content: Arc<str> = text.into();
        let role = (part != Part::Later).then_some(ROLE);
        let (text, delta, message) = match (api, part) {
            (Api::Text, _) => (Some(content), None, None),
            (Api::Chat, Part::Complete) => (None, None, Some(MessageWire { role, content })),
            (Api::Chat, _) => (None, Some(MessageWire { role, content }), None),
        };
        let finish_reason = finish.map(|f| match f {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        });
        Self { index: 0, text, delta, message, finish_reason }
    }
}

#[derive(Serialize)]
struct UsageWire {
    prompt_tokens: u32,
    completion_tokens: u32,
    prompt_tokens_details: DetailsWire,
}

#[derive(Serialize)]
struct DetailsWire {
    cached_tokens: u32,
}

impl From<Usage> for UsageWire {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt,
            completion_tokens: usage.completion,
            prompt_tokens_details: DetailsWire { cached_tokens: usage.cached },
        }
    }
}
