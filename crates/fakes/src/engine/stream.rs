//! Event streams, with their faults.

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
use crate::model::{TOKEN_BYTES, token};

/// Time between comments while a prompt is being prefilled.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Events buffered for a slow reader.
const BUFFER: usize = 16;

#[derive(Deserialize)]
pub(super) struct From {
    #[serde(default)]
    from: u32,
}

pub(super) async fn resume(
    State(engine): State<Arc<Engine>>,
    Path(id): Path<String>,
    Query(query): Query<From>,
) -> Result<Response, Refusal> {
    let run = engine.runs.lock().get(&*id).cloned().ok_or(Refusal::Unknown)?;
    Ok(response(engine, run, query.from))
}

/// The events of `run` from the token at `from` on.
pub fn response(engine: Arc<Engine>, run: Arc<Run>, from: u32) -> Response {
    let (sender, receiver) = mpsc::channel(BUFFER);
    run.streams.fetch_add(1, Ordering::SeqCst);
    let feed = Feed { engine, run, sender, held: Vec::new() };
    tokio::spawn(feed.run(from));
    let events = ReceiverStream::new(receiver).map(Ok::<_, std::io::Error>);
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(events)).into_response()
}

/// The reader has gone or the run was cancelled.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("the stream has ended early")]
struct Ended;

struct Feed {
    engine: Arc<Engine>,
    run: Arc<Run>,
    sender: mpsc::Sender<Bytes>,
    /// Events held back, with the time each is due.
    held: Vec<(Instant, String)>,
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.run.streams.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Feed {
    async fn run(mut self, from: u32) {
        // A reader that has gone needs no answer.
        let _ = self.events(from).await;
    }

    async fn events(&mut self, from: u32) -> Result<(), Ended> {
        let mut progress = self.run.progress.clone();
        let mut offset = from;
        while offset < self.run.tokens {
            let seen = *progress.borrow_and_update();
            if offset < seen.tokens {
                self.send_token(offset, offset - from).await?;
                offset += 1;
                continue;
            }
            self.wait(&mut progress).await?;
        }
        for (due, event) in std::mem::take(&mut self.held) {
            tokio::time::sleep_until(due).await;
            self.send(event).await?;
        }
        self.send("data: [DONE]\n\n".to_owned()).await
    }

    async fn wait(
        &self,
        progress: &mut tokio::sync::watch::Receiver<Progress>,
    ) -> Result<(), Ended> {
        let changed = tokio::select! {
            changed = timeout(KEEP_ALIVE, progress.changed()) => changed,
            () = self.sender.closed() => return Err(Ended),
        };
        match changed {
            Ok(changed) => changed.map_err(|_| Ended),
            Err(_) if self.run.prefill.get().is_none() => {
                self.send(": prefill\n\n".to_owned()).await
            }
            Err(_) => Ok(()),
        }
    }

    async fn send_token(&mut self, offset: u32, count: u32) -> Result<(), Ended> {
        let faults = self.engine.control.faults();
        self.flush().await?;
        if faults.cross_answers
            && count % 3 == 2
            && let Some(other) = self.foreign()
        {
            self.send(other).await?;
        }
        let event = event(&self.engine, &self.run, offset);
        let late = Duration::from_millis(faults.late_chunks_ms);
        if !late.is_zero() && count % 4 == 2 {
            self.held.push((Instant::now() + late, event));
            return Ok(());
        }
        if faults.double_chunks {
            self.send(event.clone()).await?;
        }
        self.send(event).await
    }

    /// Sends the held events that are due.
    async fn flush(&mut self) -> Result<(), Ended> {
        let due = self.held.partition_point(|(due, _)| *due <= Instant::now());
        for (_, event) in self.held.drain(..due).collect::<Vec<_>>() {
            self.send(event).await?;
        }
        Ok(())
    }

    /// The newest event of another run.
    fn foreign(&self) -> Option<String> {
        let runs = self.engine.runs.lock();
        let mut others = runs.iter().map(|(_, run)| run).filter(|r| r.id != self.run.id);
        let other = others.find(|r| r.progress.borrow().tokens > 0)?.clone();
        drop(runs);
        let newest = other.progress.borrow().tokens - 1;
        Some(event(&self.engine, &other, newest))
    }

    async fn send(&self, text: String) -> Result<(), Ended> {
        self.sender.send(text.into()).await.map_err(|_| Ended)
    }
}

/// The event of the token at `offset`, which has been generated.
fn event(engine: &Engine, run: &Run, offset: u32) -> String {
    let prefill = run.prefill.get().expect("tokens are generated after the prefill");
    let last = offset + 1 == run.tokens;
    let lie = engine.control.with(|f| f.report_weights.clone());
    let mut data = json!({
        "id": run.id,
        "object": "text_completion",
        "choices": [{
            "index": 0,
            "text": token(&prefill.state, offset),
            "finish_reason": last.then_some("length"),
        }],
        "system_fingerprint": lie.unwrap_or_else(|| run.weights.to_string()),
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
