//! Completion requests: admission, prefill and decoding.

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
    events::EventKind,
    slots::Permit,
    stream,
};
use crate::model::{ModelVersion, PIECE_TEXT_BYTES, State as PieceState, TOKEN_BYTES, pieces};

/// How long a run that has ended is kept, so that its stream can be resumed.
const ENDED_RUN_TTL: Duration = Duration::from_secs(30);
/// Number of tokens to generate if the request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Body of a completion request; unknown fields are ignored.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionRequest {
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

/// Result of a prefill.
#[derive(Debug)]
pub struct Prefill {
    /// States of the complete pieces of the prompt.
    pub states: Vec<PieceState>,
    /// State after the whole prompt, which determines the answer.
    pub state: PieceState,
    /// Number of prompt tokens that came from the cache or an import.
    pub cached: usize,
}

/// Progress of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// Number of tokens generated.
    pub tokens: u32,
    /// Time at which the last token was generated; `None` before that.
    pub ended: Option<Instant>,
}

/// A request that waits, runs or ended less than `ENDED_RUN_TTL` ago.
#[derive(Debug)]
pub struct Run {
    /// Identifier of the request, set by the caller.
    pub id: Arc<str>,
    /// Weights version that the run uses to its end.
    pub weights: Arc<str>,
    /// Cache salt of the request.
    pub salt: String,
    /// Prompt of the request.
    pub prompt: String,
    /// Number of tokens to generate, at least 1.
    pub tokens: u32,
    /// Result of the prefill; unset until the prefill is finished.
    pub prefill: OnceLock<Prefill>,
    /// Receives the progress after each token; it closes when the run ends or is cancelled.
    pub progress: watch::Receiver<Progress>,
    /// Number of open event streams of the run.
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
    Json(request): Json<CompletionRequest>,
) -> Result<Response, Refusal> {
    if engine.control.with_faults(|f| f.leaving) {
        return Err(Refusal::Leaving);
    }
    let serving = engine.weights().filter(|w| **w == *request.weights);
    let weights =
        serving.filter(|_| request.model == engine.config.model).ok_or(Refusal::WrongWeights)?;
    let forced = engine.control.with_faults(|f| f.compute_weights.clone());
    let weights = forced.map_or(weights, Arc::from);
    if engine.slots.running() == engine.config.slots
        && engine.slots.waiting() >= engine.config.queue
    {
        return Err(Refusal::Overloaded);
    }
    let staged = request.kv_handle.and_then(|h| engine.staged.lock().remove(&*h));
    let imported = staged.map(|s| s.states).unwrap_or_default();
    let (sender, progress) = watch::channel(Progress::default());
    let run = Arc::new(Run {
        id: request.request_id.into(),
        weights,
        salt: request.cache_salt,
        prompt: request.prompt,
        tokens: request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        prefill: OnceLock::new(),
        progress,
        streams: AtomicUsize::new(0),
        task: Mutex::default(),
    });
    engine.add_run(&run);
    let slot = engine.slots.acquire(request.priority);
    engine.record_load();
    let task = generate(engine.clone(), run.clone(), imported, request.priority, slot, sender);
    *run.task.lock() = Some(tokio::spawn(task).abort_handle());
    Ok(stream::response(engine, run, 0))
}

#[derive(Deserialize)]
pub(super) struct CancelQuery {
    /// Whether to cancel the run only if no stream of it is open.
    #[serde(default)]
    idle: bool,
}

pub(super) async fn cancel(
    State(engine): State<Arc<Engine>>,
    Path(id): Path<String>,
    Query(query): Query<CancelQuery>,
) -> Result<StatusCode, Refusal> {
    let run = {
        let mut runs = engine.runs.lock();
        let run = runs.get(&*id).cloned().ok_or(Refusal::NotFound)?;
        if query.idle && run.streams.load(Ordering::SeqCst) > 0 {
            return Err(Refusal::NotIdle);
        }
        runs.remove(&*id);
        run
    };
    if let Some(task) = run.task.lock().take() {
        task.abort();
    }
    Ok(StatusCode::NO_CONTENT)
}

/// Frees the slot of a run and records the load, whether the run ends or is cancelled.
struct SlotGuard {
    engine: Arc<Engine>,
    permit: Option<Permit>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        drop(self.permit.take());
        self.engine.record_load();
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
    let _slot_guard = SlotGuard { engine: engine.clone(), permit: Some(permit) };
    engine.record_load();
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
    let seconds = (tokens - prefill.cached) as f64 / f64::from(engine.config.prefill.max(1));
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
    engine.cache_pieces(&run, &prefill);
    // This cannot fail, because only this task sets it.
    let _ = run.prefill.set(prefill);
    for generated in 1..=run.tokens {
        tokio::time::sleep(engine.config.decode).await;
        let ended = (generated == run.tokens).then(Instant::now);
        sender.send_replace(Progress { tokens: generated, ended });
    }
}

impl Engine {
    fn add_run(&self, run: &Arc<Run>) {
        let mut runs = self.runs.lock();
        runs.retain(|_, r| r.progress.borrow().ended.is_none_or(|at| at.elapsed() < ENDED_RUN_TTL));
        runs.put(run.id.clone(), run.clone());
    }

    fn keys(&self, run: &Run) -> Vec<PieceKey> {
        let mut key = PieceKey::root(&run.salt, &self.config.model, &run.weights);
        let extend = |text| {
            key = key.next(text);
            key
        };
        pieces(&run.prompt).0.map(extend).collect()
    }

    /// Locks the prefix cache and empties it if the knob `evict_all` requires it.
    fn cache(&self) -> MutexGuard<'_, Cache> {
        let (evictions, evict_all) =
            (self.control.evictions(), self.control.with_faults(|f| f.evict_all));
        let mut cache = self.cache.lock();
        if evict_all || cache.evictions != evictions {
            cache.clear();
            cache.evictions = evictions;
        }
        cache
    }

    /// Computes the states of a prompt. It starts with the imported `states`, continues with cached
    /// ones and computes the rest.
    fn prefill(&self, run: &Run, mut states: Vec<PieceState>) -> Prefill {
        let (texts, rest) = pieces(&run.prompt);
        let texts: Vec<_> = texts.collect();
        states.truncate(texts.len());
        let hits = self.cache().cached_prefix(&self.keys(run));
        states.extend(hits.into_iter().skip(states.len()));
        let cached = states.len() * PIECE_TEXT_BYTES / TOKEN_BYTES;
        let model_version = ModelVersion { model: &self.config.model, weights: &run.weights };
        for text in &texts[states.len()..] {
            let state = model_version.next_state(&states, text);
            states.push(state);
        }
        let state = model_version.final_state(&states, rest);
        Prefill { states, state, cached }
    }

    fn cache_pieces(&self, run: &Run, prefill: &Prefill) {
        let evicted = self.cache().insert(&self.keys(run), &prefill.states, &run.id);
        let mut events = self.events.lock();
        events.push(EventKind::Stored, run.id.clone());
        for request_id in evicted {
            events.push(EventKind::Evicted, request_id);
        }
    }
}
