//! Completions: streamed, resumed at another address when a connection breaks or goes silent.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use tokio::time::Instant;

use super::{
    CallError, Caller, Failure, PAUSE, Problem,
    assembly::{Assembly, Step},
};
use crate::{HttpError, http::JSON};

/// A completion to ask for.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub tokens: u32,
    /// The context the prompt returns to.
    pub context: String,
    /// Whether it may wait behind interactive requests.
    pub batch: bool,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Its text.
    pub text: String,
    /// The request's id on the last connection.
    pub request: String,
    /// The weight version that answered.
    pub weights: String,
    /// Number of events.
    pub events: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were not computed.
    pub cached: u64,
    /// Time from the call to the first token, waits and failed tries included.
    pub ttft: Duration,
    /// Time from the call to the end.
    pub took: Duration,
    /// Connections tried.
    pub attempts: u32,
    /// Tries that went on from an event that had come before.
    pub resumes: u32,
    /// How often the system began the answer anew.
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

/// A request under way.
struct Course {
    body: Bytes,
    start: Instant,
    end: Instant,
    assembly: Assembly,
    first: Option<Duration>,
    attempts: u32,
    resumes: u32,
    restarts: u32,
}

impl Caller {
    /// Asks for a completion and returns its whole answer.
    pub async fn complete(&self, ask: &Completion) -> Result<Answer, CallError> {
        let wire = CompletionWire {
            model: &ask.model,
            prompt: &ask.prompt,
            max_tokens: ask.tokens,
            stream: true,
            prompt_cache_key: &ask.context,
        };
        let body = serde_json::to_vec(&wire).expect("a plain struct is always JSON");
        let mut course = Course::new(body.into(), self.config.limit);
        for turn in 0.. {
            let addresses = self.addresses(&ask.context, course.end).await?;
            let addr = &addresses[turn % addresses.len()];
            let failure = match self.attempt(addr, ask.batch, &mut course).await {
                // The last token came; only the end mark is missing.
                Err(Failure::Link(_)) if course.assembly.finish.is_some() => break,
                Err(failure) => failure,
                Ok(()) => break,
            };
            course.note(&failure);
            self.after(failure, course.end).await?;
            if turn % addresses.len() == addresses.len() - 1 {
                tokio::time::sleep(PAUSE).await;
            }
        }
        Ok(course.answer())
    }

    async fn attempt(&self, addr: &str, batch: bool, course: &mut Course) -> Result<(), Failure> {
        course.attempts += 1;
        course.assembly.request = None;
        let (http, bearer) = (self.http(), self.bearer());
        let deadline = course.left().as_millis().max(1).to_string();
        let class = if batch { "batch" } else { "interactive" };
        let mut headers = vec![JSON, ("authorization", &*bearer)];
        headers.extend([("x-class", class), ("x-deadline-ms", &deadline)]);
        let handle = course.assembly.handle.clone();
        if let Some(handle) = &handle {
            headers.push(("last-event-id", handle));
            course.resumes += 1;
        }
        let url = format!("http://{addr}/v1/completions");
        let call = http.events(hyper::Method::POST, &url, &headers, course.body.clone());
        let mut events = match self.within(self.config.patience, call, course.end).await? {
            Ok(events) => events,
            Err(reply) => return Err(Failure::Problem(Box::new(Problem::of_reply(&reply)))),
        };
        loop {
            let left = course.left();
            let wait = tokio::time::timeout(left, events.next(self.config.silence)).await;
            let event = wait.map_err(|_| HttpError::Silent(left))??;
            let event = event.ok_or(HttpError::Ended)?;
            match course.assembly.push(event).map_err(Failure::Final)? {
                Step::Token => drop(course.first.get_or_insert(course.start.elapsed())),
                Step::Restart => course.restarts += 1,
                Step::Done => return Ok(()),
                Step::Problem(problem) => return Err(Failure::Problem(problem)),
            }
        }
    }
}

impl Course {
    fn new(body: Bytes, limit: Duration) -> Self {
        let start = Instant::now();
        let assembly = Assembly::default();
        let (attempts, resumes, restarts) = (0, 0, 0);
        Self { body, start, end: start + limit, assembly, first: None, attempts, resumes, restarts }
    }

    fn left(&self) -> Duration {
        self.end.saturating_duration_since(Instant::now())
    }

    /// Drops what came when the system does not know its handle any more.
    fn note(&mut self, failure: &Failure) {
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
