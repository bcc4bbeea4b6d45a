//! A model engine: continuous batching, a prefix cache, resumable streams, KV transfer, orders.

mod cache;
mod events;
mod load;
mod orders;
mod run;
mod slots;
mod stream;
mod transfer;

use std::{sync::Arc, time::Duration};

use axum::{
    Router,
    extract::{Request, State},
    http::{HeaderValue, StatusCode},
    middleware::{Next, from_fn_with_state},
    response::{IntoResponse, Response},
    routing::{delete, get, post, put},
};
use parking_lot::Mutex;
use serde_json::json;

use self::{
    cache::Cache, events::Events, load::LoadLog, orders::Orders, run::Run, slots::Slots,
    transfer::Staged,
};
use crate::{control::Control, serve::App, sorted::Sorted};

/// How an engine is set up.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The model it serves.
    pub model: String,
    /// The weight version it starts with.
    pub weights: String,
    /// Its instance name.
    pub name: String,
    /// Prompt tokens computed per second by one request.
    pub prefill: u32,
    /// Time of one generated token.
    pub decode: Duration,
    /// Requests running at once.
    pub slots: usize,
    /// Requests waiting for a slot; more are refused.
    pub queue: usize,
    /// Pieces kept in accelerator memory.
    pub cache: usize,
    /// Bytes of one block.
    pub block: usize,
    /// Base URL of the weight store; without one, weights load at once.
    pub source: Option<String>,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
}

struct Engine {
    config: EngineConfig,
    control: Arc<Control>,
    slots: Arc<Slots>,
    cache: Mutex<Cache>,
    runs: Mutex<Sorted<Arc<str>, Arc<Run>>>,
    staged: Mutex<Sorted<String, Staged>>,
    events: Mutex<Events>,
    orders: Mutex<Orders>,
    loads: Mutex<LoadLog>,
}

impl Engine {
    /// The version that is served; `None` while another one is loading.
    fn weights(&self) -> Option<Arc<str>> {
        self.orders.lock().serving()
    }

    /// The version that is reported.
    fn reported(&self) -> Option<String> {
        let lie = self.control.with(|f| f.report_weights.clone());
        let weights = self.weights()?.to_string();
        Some(lie.unwrap_or(weights))
    }

    fn lag(&self) -> Duration {
        Duration::from_millis(self.control.with(|f| f.lag_ms))
    }
}

/// A refusal before running, or a call that makes no sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Refusal {
    #[error("wrong_weights")]
    Weights,
    #[error("leaving")]
    Leaving,
    #[error("overloaded")]
    Overloaded,
    #[error("stale_fence")]
    Fence,
    #[error("not_found")]
    Unknown,
    #[error("not_idle")]
    Busy,
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let status = match self {
            Self::Weights | Self::Fence | Self::Busy => StatusCode::CONFLICT,
            Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::Unknown => StatusCode::NOT_FOUND,
        };
        (status, axum::Json(json!({"error": {"type": self.to_string()}}))).into_response()
    }
}

/// An idle engine with an empty cache.
pub fn engine(config: EngineConfig, control: Arc<Control>) -> App {
    let engine = Arc::new(Engine {
        control: control.clone(),
        slots: Arc::new(Slots::new(config.slots)),
        cache: Mutex::new(Cache::new(config.cache)),
        runs: Mutex::default(),
        staged: Mutex::default(),
        events: Mutex::default(),
        orders: Mutex::new(Orders::new(&config.weights)),
        loads: Mutex::default(),
        config,
    });
    let router = Router::new()
        .route("/v1/completions", post(run::post))
        .route("/v1/completions/{id}", get(stream::resume).delete(run::cancel))
        .route("/kv/import", post(transfer::import))
        .route("/kv/import/{handle}", delete(transfer::discard))
        .route("/kv/export", post(transfer::export))
        .route("/kv/events", get(events::list))
        .route("/orders", put(orders::take).get(orders::show))
        .route("/load", get(load::show))
        .layer(from_fn_with_state(engine.clone(), report))
        .with_state(engine);
    App::new(router, control)
}

/// Adds the load report to every answer.
async fn report(State(engine): State<Arc<Engine>>, request: Request, next: Next) -> Response {
    let mut response = next.run(request).await;
    let text = format!("JSON {}", engine.load_json());
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert("endpoint-load-metrics", value);
    }
    response
}
