//! Turns a relay's items into the caller's answer: an event stream, or one JSON document.

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
use outbound::{Finish, Usage};
use serde::Serialize;
use tokio::{sync::mpsc, time::timeout};

use crate::{
    body::Api,
    job::Job,
    problem::{Fault, Problem},
    relay::{Delivered, Item},
};

/// Longest wait for the first token before the stream begins without it.
const HEAD_TERM: Duration = Duration::from_secs(2);
/// Data of the last event of a stream.
const END_MARKER: &str = "[DONE]";
/// Longest silence on a stream to a caller.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Author of a chat's answers.
const ROLE: &str = "assistant";

/// How much of an answer a document holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// All of it.
    Whole,
    /// The first token of a stream.
    First,
    /// A later token of a stream.
    Later,
}

/// The shape of an answer.
#[derive(Debug, Clone)]
struct Shape {
    api: Api,
    request: RequestId,
    model: ident::Name,
}

/// Answers with an event stream. A request that fails soon, before its first token, gets its problem
/// as the answer; one whose prompt takes longer to compute gets keep-alives meanwhile, and its
/// problem, if any, as an event.
pub async fn stream(job: &Job, mut items: mpsc::Receiver<Item>) -> Result<Response, Problem> {
    let first = match timeout(HEAD_TERM, items.recv()).await {
        Ok(Some(Item::Failed(problem))) => return Err(problem),
        Ok(Some(item)) => Next::Item(item, items),
        Ok(None) => return Err(Fault::Upstream.into()),
        Err(_) => Next::Wait(items),
    };
    let keep_alive = KeepAlive::new().interval(KEEP_ALIVE);
    Ok(Sse::new(events(Shape::of(job), first)).keep_alive(keep_alive).into_response())
}

/// What an event stream sends next.
enum Next {
    /// This item.
    Item(Item, mpsc::Receiver<Item>),
    /// The next item there is.
    Wait(mpsc::Receiver<Item>),
    /// The end marker.
    Done,
    /// Nothing more.
    End,
}

/// Answers with one document, once the whole answer is known.
pub async fn whole(job: &Job, mut items: mpsc::Receiver<Item>) -> Result<Response, Problem> {
    let shape = Shape::of(job);
    let mut text = String::new();
    while let Some(item) = items.recv().await {
        match item {
            Item::Restart => text.clear(),
            Item::Failed(problem) => return Err(problem),
            // Only a resumed stream can be complete from the start.
            Item::Complete => return Err(Fault::BadHandle.into()),
            Item::Token(token) => {
                text.push_str(&token.text);
                if token.finish.is_some() {
                    let document = shape.document(&token, &text, Part::Whole);
                    return Ok(Json(document).into_response());
                }
            }
        }
    }
    Err(Fault::Upstream.into())
}

fn events(shape: Shape, first: Next) -> impl Stream<Item = Result<Event, Infallible>> {
    stream::unfold(first, move |next| {
        let shape = shape.clone();
        async move {
            let (item, items) = match next {
                Next::Item(item, items) => (item, items),
                Next::Wait(mut items) => (items.recv().await?, items),
                Next::Done => return Some((Ok(Event::default().data(END_MARKER)), Next::End)),
                Next::End => return None,
            };
            let next = match &item {
                Item::Token(t) if t.finish.is_some() => Next::Done,
                Item::Failed(_) | Item::Complete => Next::End,
                _ => Next::Wait(items),
            };
            Some((Ok(shape.event(&item)), next))
        }
    })
}

impl Shape {
    fn of(job: &Job) -> Self {
        let model = job.prompt.model.clone();
        Self { api: job.prompt.api, request: job.asked.id, model }
    }

    fn event(&self, item: &Item) -> Event {
        match item {
            Item::Token(token) => {
                let part = if token.mark.tokens == 1 { Part::First } else { Part::Later };
                let data = self.document(token, &token.text, part);
                json(Event::default().id(format!("{}.{}", token.sealed, token.mark)), &data)
            }
            Item::Restart => Event::default().event("restart").data("{}"),
            Item::Complete => Event::default().data(END_MARKER),
            Item::Failed(problem) => json(Event::default().event("problem"), &problem.document()),
        }
    }

    fn document(&self, token: &Delivered, text: &str, part: Part) -> AnswerWire {
        let object = match (self.api, part) {
            (Api::Text, _) => "text_completion",
            (Api::Chat, Part::Whole) => "chat.completion",
            (Api::Chat, _) => "chat.completion.chunk",
        };
        AnswerWire {
            id: self.request,
            object,
            model: self.model.clone(),
            choices: [ChoiceWire::new(self.api, token.finish, text, part)],
            system_fingerprint: token.weights.clone(),
            usage: token.usage.map(UsageWire::from),
            lentil: MarkWire { request: self.request, offset: token.mark.tokens - 1 },
        }
    }
}

fn json<T>(event: Event, data: &T) -> Event
where
    T: Serialize,
{
    event.json_data(data).expect("an answer has only string keys")
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
    lentil: MarkWire,
}

/// Where a token stands in the answer.
#[derive(Serialize)]
struct MarkWire {
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
    fn new(api: Api, finish: Option<Finish>, text: &str, part: Part) -> Self {
        let content: Arc<str> = text.into();
        let role = (part != Part::Later).then_some(ROLE);
        let (text, delta, message) = match (api, part) {
            (Api::Text, _) => (Some(content), None, None),
            (Api::Chat, Part::Whole) => (None, None, Some(MessageWire { role, content })),
            (Api::Chat, _) => (None, Some(MessageWire { role, content }), None),
        };
        let finish_reason = finish.map(|f| match f {
            Finish::Stop => "stop",
            Finish::Length => "length",
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
