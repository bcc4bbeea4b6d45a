//! Assembles an answer from its events, which must come in order.

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

/// Effect of an event.
pub(super) enum Step {
    /// A token was added.
    Token,
    /// All earlier events were dropped.
    Restart,
    /// The answer is complete.
    Done,
    /// The system reported a failure.
    Problem(Box<Problem>),
}

/// Partial answer. Invariant: holds the text of the events `0..next` of one request.
#[derive(Debug, Default)]
pub(super) struct Assembly {
    /// The text so far.
    pub text: String,
    /// Offset of the next event.
    pub next: u64,
    /// Identifier of the last event that had one, to resume from.
    pub handle: Option<String>,
    /// Identifier of the request; each connection has its current.
    pub request: Option<String>,
    /// Weights version of the last event.
    pub weights: String,
    /// Prompt tokens, and how many of them were cached.
    pub usage: Option<(u64, u64)>,
    /// Finish reason; `None` until the last token.
    pub finish: Option<String>,
}

impl Assembly {
    /// Adds the next event of the stream.
    pub fn push(&mut self, event: SseEvent) -> Result<Step, CallError> {
        if event.kind == "restart" {
            *self = Self::default();
            return Ok(Step::Restart);
        }
        if event.kind == "problem" {
            return Ok(Step::Problem(Box::new(Problem::from_text(&event.data, 200))));
        }
        if event.data == "[DONE]" {
            let finished = self.finish.is_some();
            return finished.then_some(Step::Done).ok_or(CallError::Unfinished(self.next));
        }
        let chunk: ChunkWire = serde_json::from_str(&event.data)
            .map_err(|e| CallError::MalformedEvent(format!("{e}: {}", event.data)))?;
        self.add(chunk)?;
        self.handle = Some(event.id).filter(|id| !id.is_empty()).or(self.handle.take());
        Ok(Step::Token)
    }

    fn add(&mut self, chunk: ChunkWire) -> Result<(), CallError> {
        let PartWire { request, offset } = chunk.lentil;
        let current = self.request.get_or_insert_with(|| request.clone());
        if *current != request {
            return Err(CallError::WrongRequest { want: current.clone(), got: request });
        }
        if offset != self.next {
            return Err(CallError::UnexpectedOffset { want: self.next, got: offset });
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
