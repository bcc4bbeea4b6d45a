//! Puts an answer together strictly in the order of its events.

use serde::Deserialize;

use super::{CallError, Problem};
use crate::SseEvent;

#[derive(Deserialize)]
struct ChunkWire {
    lentil: PartWire,
    choices: Vec<ChoiceWire>,
    #[serde(default)]
    system_fingerprint: String,
    #[serde(default)]
    usage: Option<UsageWire>,
}

#[derive(Deserialize)]
struct PartWire {
    request: String,
    offset: u64,
}

#[derive(Deserialize)]
struct ChoiceWire {
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct UsageWire {
    prompt_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: DetailsWire,
}

#[derive(Default, Deserialize)]
struct DetailsWire {
    #[serde(default)]
    cached_tokens: u64,
}

/// What came of an event.
pub(super) enum Step {
    /// A token was added.
    Token,
    /// What had come is dropped.
    Restart,
    /// The answer is whole.
    Done,
    /// The system failed and said so.
    Problem(Box<Problem>),
}

/// An answer in the making. Invariant: holds the text of the events `0..next` of one request.
#[derive(Debug, Default)]
pub(super) struct Assembly {
    /// The text so far.
    pub text: String,
    /// Offset of the next event.
    pub next: u64,
    /// The last received event id, to resume from.
    pub handle: Option<String>,
    /// The request's id; each connection has its own.
    pub request: Option<String>,
    /// The weight version that answered.
    pub weights: String,
    /// Tokens of the prompt and how many of them were cached.
    pub usage: Option<(u64, u64)>,
    /// Why the answer ended.
    pub finish: Option<String>,
}

impl Assembly {
    /// Takes the next event of the stream.
    pub fn push(&mut self, event: SseEvent) -> Result<Step, CallError> {
        if event.kind == "restart" {
            *self = Self::default();
            return Ok(Step::Restart);
        }
        if event.kind == "problem" {
            return Ok(Step::Problem(Box::new(Problem::of_text(&event.data, 200))));
        }
        if event.data == "[DONE]" {
            let finished = self.finish.is_some();
            return finished.then_some(Step::Done).ok_or(CallError::Unfinished(self.next));
        }
        let chunk: ChunkWire = serde_json::from_str(&event.data)
            .map_err(|e| CallError::Event(format!("{e}: {}", event.data)))?;
        self.add(chunk)?;
        self.handle = Some(event.id).filter(|id| !id.is_empty()).or(self.handle.take());
        Ok(Step::Token)
    }

    fn add(&mut self, chunk: ChunkWire) -> Result<(), CallError> {
        let PartWire { request, offset } = chunk.lentil;
        let own = self.request.get_or_insert_with(|| request.clone());
        if *own != request {
            return Err(CallError::Foreign { want: own.clone(), got: request });
        }
        if offset != self.next {
            return Err(CallError::Offset { want: self.next, got: offset });
        }
        self.next += 1;
        for choice in chunk.choices {
            self.text += &choice.text;
            self.finish = choice.finish_reason.or(self.finish.take());
        }
        self.weights = chunk.system_fingerprint;
        let usage = chunk.usage.map(|u| (u.prompt_tokens, u.prompt_tokens_details.cached_tokens));
        self.usage = usage.or(self.usage);
        Ok(())
    }
}
