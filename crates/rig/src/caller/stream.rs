//! Streams completions, and resumes them at another address if a connection breaks or times out.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::Instant;

use super::{
    CallError, Caller, Failure, Problem, RETRY_DELAY,
    assembly::{Assembly, Step},
};
use crate::{HttpError, http::JSON};

/// Request for a completion.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Name of the model.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub tokens: u32,
    /// Context of the prompt, sent as `prompt_cache_key`.
    pub context: String,
    /// Whether the request has the class `batch`, which may wait behind interactive requests.
    pub batch: bool,
}

/// Complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Generated text.
    pub text: String,
    /// Identifier of the request on the last connection.
    pub request: String,
    /// Weights version of the last event.
    pub weights: String,
    /// Number of events.
    pub events: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of prompt tokens that were cached.
    pub cached: u64,
    /// Time from the call to the first token, with pauses and failed attempts.
    pub ttft: Duration,
    /// Time from the call to the end of the answer.
    pub took: Duration,
    /// Number of attempts.
    pub attempts: u32,
    /// Number of attempts that resumed after an event that was received before.
    pub resumes: u32,
    /// How often the answer began again from its first token.
    pub restarts: u32,
}

#[derive(Serialize)]
struct CompletionWire<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    prompt_cache_key: &'a str,
}

/// State of a request over its attempts.
struct Progress {
    body: Bytes,
    start: Instant,
    deadline: Instant,
    assembly: Assembly,
    first: Option<Duration>,
    attempts: u32,
    resumes: u32,
    restarts: u32,
}

impl Caller {
    /// Requests a completion and returns the complete answer.
    pub async fn complete(&self, request: &Completion) -> Result<Answer, CallError> {
        let wire = CompletionWire {
            model: &request.model,
            prompt: &request.prompt,
            max_tokens: request.tokens,
            stream: true,
            prompt_cache_key: &request.context,
        };
        let body = serde_json::to_vec(&wire).expect("a completion request can be written as JSON");
        let mut progress = Progress::new(body.into(), self.config.limit);
        for attempt_index in 0.. {
            let addresses = self.addresses(&request.context, progress.deadline).await?;
            let addr = &addresses[attempt_index % addresses.len()];
            let failure = match self.attempt(addr, request.batch, &mut progress).await {
                // The last token was received; only the end marker is missing.
                Err(Failure::Link(_)) if progress.assembly.finish.is_some() => break,
                Err(failure) => failure,
                Ok(()) => break,
            };
            progress.restart_if_unknown(&failure);
            self.prepare_retry(failure, progress.deadline).await?;
            if attempt_index % addresses.len() == addresses.len() - 1 {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
        Ok(progress.answer())
    }

    async fn attempt(
        &self,
        addr: &str,
        batch: bool,
        progress: &mut Progress,
    ) -> Result<(), Failure> {
        progress.attempts += 1;
        progress.assembly.request = None;
        let (http, bearer) = (self.http(), self.bearer());
        let deadline = progress.remaining().as_millis().max(1).to_string();
        let class = if batch { "batch" } else { "interactive" };
        let mut headers = vec![JSON, ("authorization", &*bearer)];
        headers.extend([("x-class", class), ("x-deadline-ms", &deadline)]);
        let handle = progress.assembly.handle.clone();
        if let Some(handle) = &handle {
            headers.push(("last-event-id", handle));
            progress.resumes += 1;
        }
        let url = format!("http://{addr}/v1/completions");
        let call = http.events(hyper::Method::POST, &url, &headers, progress.body.clone());
        let mut events = match self.within(self.config.patience, call, progress.deadline).await? {
            Ok(events) => events,
            Err(reply) => return Err(Failure::Problem(Box::new(Problem::from_reply(&reply)))),
        };
        loop {
            let remaining = progress.remaining();
            let wait = tokio::time::timeout(remaining, events.next(self.config.silence)).await;
            let event = wait.map_err(|_| HttpError::Silent(remaining))??;
            let event = event.ok_or(HttpError::Ended)?;
            match progress.assembly.push(event).map_err(Failure::Final)? {
                Step::Token => drop(progress.first.get_or_insert(progress.start.elapsed())),
                Step::Restart => progress.restarts += 1,
                Step::Done => return Ok(()),
                Step::Problem(problem) => return Err(Failure::Problem(problem)),
            }
        }
    }
}

impl Progress {
    fn new(body: Bytes, limit: Duration) -> Self {
        let start = Instant::now();
        let assembly = Assembly::default();
        let (attempts, resumes, restarts) = (0, 0, 0);
        Self {
            body,
            start,
            deadline: start + limit,
            assembly,
            first: None,
            attempts,
            resumes,
            restarts,
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Drops the received events if the system does not know their handle any more.
    fn restart_if_unknown(&mut self, failure: &Failure) {
        if let Failure::Problem(problem) = failure
            && problem.is("bad-handle")
            && self.assembly.handle.is_some()
        {
            self.assembly = Assembly::default();
            self.restarts += 1;
        }
    }

    fn answer(self) -> Answer {
        let took = self.start.elapsed();
        let (prompt, cached) = self.assembly.usage.unwrap_or_default();
        Answer {
            text: self.assembly.text,
            request: self.assembly.request.unwrap_or_default(),
            weights: self.assembly.weights,
            events: self.assembly.next,
            prompt,
            cached,
            ttft: self.first.unwrap_or(took),
            took,
            attempts: self.attempts,
            resumes: self.resumes,
            restarts: self.restarts,
        }
    }
}
