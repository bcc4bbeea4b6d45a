//! Event streams of runs, with the faults that reorder, repeat or add events.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use axum::{
    body::Body,
    extract::{Path, Query, State},
    http::header,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio::{
    sync::mpsc,
    time::{Instant, timeout},
};
use tokio_stream::{StreamExt, wrappers::ReceiverStream};

use super::{
    Engine, Refusal,
    run::{Prefill, Progress, Run},
};
use crate::model::{TOKEN_BYTES, token_text};

/// Interval between comments that are sent while a prompt is being prefilled.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of events buffered for a slow reader.
const EVENT_BUFFER: usize = 16;

#[derive(Deserialize)]
pub(super) struct ResumeQuery {
    #[serde(default)]
    from: u32,
}

pub(super) async fn resume(
    State(engine): State<Arc<Engine>>,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Result<Response, Refusal> {
    let run = engine.runs.lock().get(&*id).cloned().ok_or(Refusal::NotFound)?;
    Ok(response(engine, run, query.from))
}

/// Returns a response that streams the events of `run`, from the token at offset `from` on.
pub fn response(engine: Arc<Engine>, run: Arc<Run>, from: u32) -> Response {
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    run.streams.fetch_add(1, Ordering::SeqCst);
    let event_sender = EventSender { engine, run, sender, delayed: Vec::new() };
    tokio::spawn(event_sender.run(from));
    let events = ReceiverStream::new(receiver).map(Ok::<_, std::io::Error>);
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}

/// The reader closed the stream, or the run was cancelled.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the stream has ended early")]
struct StreamEnded;

struct EventSender {
    engine: Arc<Engine>,
    run: Arc<Run>,
    sender: mpsc::Sender<Bytes>,
    /// Delayed events, each with the time at which it is due.
    delayed: Vec<(Instant, String)>,
}

impl Drop for EventSender {
    fn drop(&mut self) {
        self.run.streams.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EventSender {
    async fn run(mut self, from: u32) {
        // An error means that the stream ended early; there is nothing left to send.
        let _ = self.events(from).await;
    }

    async fn events(&mut self, from: u32) -> Result<(), StreamEnded> {
        let mut progress = self.run.progress.clone();
        let mut offset = from;
        while offset < self.run.tokens {
            let generated = *progress.borrow_and_update();
            if offset < generated.tokens {
                self.send_token(offset, offset - from).await?;
                offset += 1;
                continue;
            }
            self.wait(&mut progress).await?;
        }
        for (due, event) in std::mem::take(&mut self.delayed) {
            tokio::time::sleep_until(due).await;
            self.send(event).await?;
        }
        self.send("data: [DONE]\n\n".to_owned()).await
    }

    async fn wait(
        &self,
        progress: &mut tokio::sync::watch::Receiver<Progress>,
    ) -> Result<(), StreamEnded> {
        let changed = tokio::select! {
            changed = timeout(KEEP_ALIVE_INTERVAL, progress.changed()) => changed,
            () = self.sender.closed() => return Err(StreamEnded),
        };
        match changed {
            Ok(changed) => changed.map_err(|_| StreamEnded),
            Err(_) if self.run.prefill.get().is_none() => {
                self.send(": prefill\n\n".to_owned()).await
            }
            Err(_) => Ok(()),
        }
    }

    async fn send_token(&mut self, offset: u32, count: u32) -> Result<(), StreamEnded> {
        let faults = self.engine.control.faults();
        self.flush().await?;
        if faults.cross_answers
            && count % 3 == 2
            && let Some(other) = self.event_of_other_run()
        {
            self.send(other).await?;
        }
        let event = event(&self.engine, &self.run, offset);
        let delay = Duration::from_millis(faults.late_chunks_ms);
        if !delay.is_zero() && count % 4 == 2 {
            self.delayed.push((Instant::now() + delay, event));
            return Ok(());
        }
        if faults.double_chunks {
            self.send(event.clone()).await?;
        }
        self.send(event).await
    }

    /// Sends the delayed events that are due by now.
    async fn flush(&mut self) -> Result<(), StreamEnded> {
        let due = self.delayed.partition_point(|(due, _)| *due <= Instant::now());
        for (_, event) in self.delayed.drain(..due).collect::<Vec<_>>() {
            self.send(event).await?;
        }
        Ok(())
    }

    /// Returns the newest event of another run; `None` if no other run has generated a token.
    fn event_of_other_run(&self) -> Option<String> {
        let runs = self.engine.runs.lock();
        let mut others = runs.iter().map(|(_, run)| run).filter(|r| r.id != self.run.id);
        let other = others.find(|r| r.progress.borrow().tokens > 0)?.clone();
        drop(runs);
        let newest = other.progress.borrow().tokens - 1;
        Some(event(&self.engine, &other, newest))
    }

    async fn send(&self, text: String) -> Result<(), StreamEnded> {
        self.sender.send(text.into()).await.map_err(|_| StreamEnded)
    }
}

/// Formats the event of the token at `offset`, which must have been generated.
fn event(engine: &Engine, run: &Run, offset: u32) -> String {
    let prefill = run.prefill.get().expect("tokens are generated after the prefill");
    let last = offset + 1 == run.tokens;
    let reported = engine.control.with_faults(|f| f.report_weights.clone());
    let mut data = json!({
        "id": run.id,
        "object": "text_completion",
        "choices": [{
            "index": 0,
            "text": token_text(&prefill.state, offset),
            "finish_reason": last.then_some("length"),
        }],
        "system_fingerprint": reported.unwrap_or_else(|| run.weights.to_string()),
    });
    if last {
        data["usage"] = usage(run, prefill);
    }
    format!("id: {offset}\ndata: {data}\n\n")
}

fn usage(run: &Run, prefill: &Prefill) -> serde_json::Value {
    json!({
        "prompt_tokens": run.prompt.len().div_ceil(TOKEN_BYTES),
        "completion_tokens": run.tokens,
        "prompt_tokens_details": {"cached_tokens": prefill.cached},
    })
}
