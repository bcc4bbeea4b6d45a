//! Requests: admission, prefill and generation.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use axum::{
    Json,
    extract::{Path, Query, State},
    http::StatusCode,
    response::Response,
};
use parking_lot::{Mutex, MutexGuard};
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, task::AbortHandle, time::Instant};

use super::{
    Engine, Refusal,
    cache::{Cache, PieceKey},
    events::Kind,
    slots::Permit,
    stream,
};
use crate::model::{Net, PIECE_TEXT, State as PieceState, TOKEN_BYTES, pieces};

/// How long tokens are kept after the end of a run.
const KEPT: Duration = Duration::from_secs(30);
/// Tokens generated when the caller names no number.
const DEFAULT_TOKENS: u32 = 16;

/// A completion call; unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct Ask {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    cache_salt: String,
    #[serde(default)]
    priority: i64,
    request_id: String,
    #[serde(default)]
    kv_handle: Option<String>,
    weights: String,
}

/// The result of a prefill.
#[derive(Debug)]
pub struct Prefill {
    /// States of the prompt's whole pieces.
    pub states: Vec<PieceState>,
    /// The state the answer follows from.
    pub state: PieceState,
    /// Prompt tokens that were not computed.
    pub cached: usize,
}

/// How far a run has come.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// Tokens generated.
    pub tokens: u32,
    /// When the last token was generated.
    pub ended: Option<Instant>,
}

/// A request that runs or ran a short while ago.
#[derive(Debug)]
pub struct Run {
    /// The caller's id.
    pub id: Arc<str>,
    /// The version it runs with to its end.
    pub weights: Arc<str>,
    /// The cache salt.
    pub salt: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate.
    pub tokens: u32,
    /// Set when the prompt has been prefilled, before the first token.
    pub prefill: OnceLock<Prefill>,
    /// Receives each step; closes when the run is cancelled.
    pub progress: watch::Receiver<Progress>,
    /// Number of open streams.
    pub streams: AtomicUsize,
    task: Mutex<Option<AbortHandle>>,
}

#[derive(Serialize)]
struct RunLog {
    run: Arc<str>,
    weights: Arc<str>,
    salt: String,
    priority: i64,
    prompt_tokens: usize,
    cached_tokens: usize,
    imported: usize,
}

pub(super) async fn post(
    State(engine): State<Arc<Engine>>,
    Json(ask): Json<Ask>,
) -> Result<Response, Refusal> {
    if engine.control.with(|f| f.leaving) {
        return Err(Refusal::Leaving);
    }
    let serving = engine.weights().filter(|w| **w == *ask.weights);
    let weights = serving.filter(|_| ask.model == engine.config.model).ok_or(Refusal::Weights)?;
    let other = engine.control.with(|f| f.compute_weights.clone());
    let weights = other.map_or(weights, Arc::from);
    if engine.slots.running() == engine.config.slots
        && engine.slots.waiting() >= engine.config.queue
    {
        return Err(Refusal::Overloaded);
    }
    let staged = ask.kv_handle.and_then(|h| engine.staged.lock().remove(&*h));
    let imported = staged.map(|s| s.states).unwrap_or_default();
    let (sender, progress) = watch::channel(Progress::default());
    let run = Arc::new(Run {
        id: ask.request_id.into(),
        weights,
        salt: ask.cache_salt,
        prompt: ask.prompt,
        tokens: ask.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1),
        prefill: OnceLock::new(),
        progress,
        streams: AtomicUsize::new(0),
        task: Mutex::default(),
    });
    engine.keep(&run);
    let slot = engine.slots.enter(ask.priority);
    engine.note_load();
    let task = generate(engine.clone(), run.clone(), imported, ask.priority, slot, sender);
    *run.task.lock() = Some(tokio::spawn(task).abort_handle());
    Ok(stream::response(engine, run, 0))
}

#[derive(Deserialize)]
pub(super) struct Cancel {
    /// Only if no stream is open.
    #[serde(default)]
    idle: bool,
}

pub(super) async fn cancel(
    State(engine): State<Arc<Engine>>,
    Path(id): Path<String>,
    Query(how): Query<Cancel>,
) -> Result<StatusCode, Refusal> {
    let run = {
        let mut runs = engine.runs.lock();
        let run = runs.get(&*id).cloned().ok_or(Refusal::Unknown)?;
        if how.idle && run.streams.load(Ordering::SeqCst) > 0 {
            return Err(Refusal::Busy);
        }
        runs.remove(&*id);
        run
    };
    if let Some(task) = run.task.lock().take() {
        task.abort();
    }
    Ok(StatusCode::NO_CONTENT)
}

/// Notes the load when a run leaves its slot, however it ends.
struct Leave {
    engine: Arc<Engine>,
    permit: Option<Permit>,
}

impl Drop for Leave {
    fn drop(&mut self) {
        drop(self.permit.take());
        self.engine.note_load();
    }
}

async fn generate(
    engine: Arc<Engine>,
    run: Arc<Run>,
    imported: Vec<PieceState>,
    priority: i64,
    slot: tokio::sync::oneshot::Receiver<Permit>,
    sender: watch::Sender<Progress>,
) {
    let Ok(permit) = slot.await else { return };
    let _leave = Leave { engine: engine.clone(), permit: Some(permit) };
    engine.note_load();
    let imports = imported.len();
    let prefill = engine.prefill(&run, imported);
    let tokens = run.prompt.len().div_ceil(TOKEN_BYTES);
    engine.control.count("prompt_tokens", tokens as u64);
    engine.control.count("cached_tokens", prefill.cached as u64);
    engine.control.log(&RunLog {
        run: run.id.clone(),
        weights: run.weights.clone(),
        salt: run.salt.clone(),
        priority,
        prompt_tokens: tokens,
        cached_tokens: prefill.cached,
        imported: imports,
    });
    let work = (tokens - prefill.cached) as f64 / f64::from(engine.config.prefill.max(1));
    tokio::time::sleep(Duration::from_secs_f64(work)).await;
    engine.store(&run, &prefill);
    // Nobody else sets it.
    let _ = run.prefill.set(prefill);
    for done in 1..=run.tokens {
        tokio::time::sleep(engine.config.decode).await;
        let ended = (done == run.tokens).then(Instant::now);
        sender.send_replace(Progress { tokens: done, ended });
    }
}

impl Engine {
    fn keep(&self, run: &Arc<Run>) {
        let mut runs = self.runs.lock();
        runs.retain(|_, r| r.progress.borrow().ended.is_none_or(|at| at.elapsed() < KEPT));
        runs.put(run.id.clone(), run.clone());
    }

    fn keys(&self, run: &Run) -> Vec<PieceKey> {
        let mut key = PieceKey::root(&run.salt, &self.config.model, &run.weights);
        let grow = |text| {
            key = key.then(text);
            key
        };
        pieces(&run.prompt).0.map(grow).collect()
    }

    /// The prefix cache, emptied first where everything is to be dropped.
    fn cache(&self) -> MutexGuard<'_, Cache> {
        let (evictions, hold) = (self.control.evictions(), self.control.with(|f| f.evict_all));
        let mut cache = self.cache.lock();
        if hold || cache.evictions != evictions {
            cache.clear();
            cache.evictions = evictions;
        }
        cache
    }

    /// Builds on what was imported, then on the cache; the rest is computed.
    fn prefill(&self, run: &Run, mut states: Vec<PieceState>) -> Prefill {
        let (texts, rest) = pieces(&run.prompt);
        let texts: Vec<_> = texts.collect();
        states.truncate(texts.len());
        let hits = self.cache().run(&self.keys(run));
        states.extend(hits.into_iter().skip(states.len()));
        let cached = states.len() * PIECE_TEXT / TOKEN_BYTES;
        let net = Net { model: &self.config.model, weights: &run.weights };
        for text in &texts[states.len()..] {
            let state = net.advance(&states, text);
            states.push(state);
        }
        let state = net.finish(&states, rest);
        Prefill { states, state, cached }
    }

    fn store(&self, run: &Run, prefill: &Prefill) {
        let losers = self.cache().add(&self.keys(run), &prefill.states, &run.id);
        let mut events = self.events.lock();
        events.push(Kind::Stored, run.id.clone());
        for loser in losers {
            events.push(Kind::Evicted, loser);
        }
    }
}
