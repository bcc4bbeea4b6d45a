//! Stand-in for a model engine: continuous batching, a prefix cache, resumable streams, transfer of
//! KV cache, and orders.

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
    transfer::StagedImport,
};
use crate::{control::Control, serve::App, sorted::SortedMap};

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Name of the model that the engine serves.
    pub model: String,
    /// Weights version that the engine starts with.
    pub weights: String,
    /// Instance name of the engine.
    pub name: String,
    /// Prompt tokens computed per second by one request.
    pub prefill: u32,
    /// Time for generating one token.
    pub decode: Duration,
    /// Number of requests that run at once.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; more are refused.
    pub queue: usize,
    /// Maximum number of pieces in the prefix cache.
    pub cache: usize,
    /// Bytes of one exported block.
    pub block: usize,
    /// Base URL of the weight store; if `None`, weights load at once.
    pub source: Option<String>,
    /// Whether an order with a lower fencing number than the last one is refused.
    pub fenced: bool,
}

struct Engine {
    config: EngineConfig,
    control: Arc<Control>,
    slots: Arc<Slots>,
    cache: Mutex<Cache>,
    runs: Mutex<SortedMap<Arc<str>, Arc<Run>>>,
    staged: Mutex<SortedMap<String, StagedImport>>,
    events: Mutex<Events>,
    orders: Mutex<Orders>,
    loads: Mutex<LoadLog>,
}

impl Engine {
    /// Weights version that is served; `None` while another one is loading.
    fn weights(&self) -> Option<Arc<str>> {
        self.orders.lock().serving()
    }

    /// Weights version that is reported: the one of the knob `report_weights`, or the served one.
    /// `None` while another version is loading.
    fn reported_weights(&self) -> Option<String> {
        let reported = self.control.with_faults(|f| f.report_weights.clone());
        let weights = self.weights()?.to_string();
        Some(reported.unwrap_or(weights))
    }

    fn lag(&self) -> Duration {
        Duration::from_millis(self.control.with_faults(|f| f.lag_ms))
    }
}

/// Reason why a call is refused. Its text is the error type in the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum Refusal {
    #[error("wrong_weights")]
    WrongWeights,
    #[error("leaving")]
    Leaving,
    #[error("overloaded")]
    Overloaded,
    #[error("stale_fence")]
    StaleFence,
    #[error("not_found")]
    NotFound,
    #[error("not_idle")]
    NotIdle,
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let status = match self {
            Self::WrongWeights | Self::StaleFence | Self::NotIdle => StatusCode::CONFLICT,
            Self::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            Self::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Self::NotFound => StatusCode::NOT_FOUND,
        };
        (status, axum::Json(json!({"error": {"type": self.to_string()}}))).into_response()
    }
}

/// Creates an idle engine with an empty cache.
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
        .route("/kv/import", post(transfer::post_import))
        .route("/kv/import/{handle}", delete(transfer::discard))
        .route("/kv/export", post(transfer::post_export))
        .route("/kv/events", get(events::list))
        .route("/orders", put(orders::put).get(orders::show))
        .route("/load", get(load::show))
        .layer(from_fn_with_state(engine.clone(), add_load_header))
        .with_state(engine);
    App::new(router, control)
}

/// Adds a header with the load report to each answer.
async fn add_load_header(
    State(engine): State<Arc<Engine>>,
    request: Request,
    next: Next,
) -> Response {
    let mut response = next.run(request).await;
    let text = format!("JSON {}", engine.load_report());
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert("endpoint-load-metrics", value);
    }
    response
}
