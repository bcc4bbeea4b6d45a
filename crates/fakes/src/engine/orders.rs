//! Orders: each names the complete state that the engine is to have, and a fencing number.

use std::{sync::Arc, time::Duration};

use axum::{Json, extract::State};
use serde::{Deserialize, Serialize};
use tokio::task::AbortHandle;

use super::{Engine, Refusal};
use crate::client;

/// Pause before a failed download of weights is repeated.
const DOWNLOAD_RETRY_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
struct WantedState {
    weights: String,
    role: String,
}

/// The last order and the actual state of the engine.
#[derive(Debug)]
pub struct Orders {
    fence: u64,
    /// State that the last order named; `None` before the first order.
    wanted: Option<WantedState>,
    role: String,
    /// Weights version that is served; `None` while weights are loading.
    weights: Option<Arc<str>>,
    loading: Option<Loading>,
}

/// A download of weights in progress. Invariant: during a download, no version is served.
#[derive(Debug)]
struct Loading {
    version: String,
    task: AbortHandle,
}

impl Orders {
    /// Creates the state of an engine that serves `weights` and has received no order.
    pub fn new(weights: &str) -> Self {
        let role = "mixed".to_owned();
        Self { fence: 0, wanted: None, role, weights: Some(weights.into()), loading: None }
    }

    /// Weights version that is served; `None` while weights are loading.
    pub fn serving(&self) -> Option<Arc<str>> {
        self.weights.clone()
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Order {
    fence: u64,
    wanted: WantedState,
}

#[derive(Serialize)]
struct OrderLog {
    order: WantedState,
    fence: u64,
    taken: bool,
}

#[derive(Serialize)]
pub(super) struct OrderStatus {
    fence: u64,
    wanted: Option<WantedState>,
    actual: ActualState,
}

#[derive(Serialize)]
struct ActualState {
    /// Weights version that is reported; `None` while weights are loading.
    weights: Option<String>,
    role: String,
}

pub(super) async fn put(
    State(engine): State<Arc<Engine>>,
    Json(order): Json<Order>,
) -> Result<Json<OrderStatus>, Refusal> {
    let check_fence = engine.config.fenced && !engine.control.with_faults(|f| f.ignore_fence);
    {
        let mut orders = engine.orders.lock();
        let taken = !check_fence || order.fence >= orders.fence;
        let Order { fence, wanted } = order;
        engine.control.log(&OrderLog { order: wanted.clone(), fence, taken });
        if !taken {
            return Err(Refusal::StaleFence);
        }
        orders.fence = fence;
        orders.role.clone_from(&wanted.role);
        let version = wanted.weights.clone();
        orders.wanted = Some(wanted);
        orders.load(&engine, version);
    }
    Ok(order_status(&engine))
}

pub(super) async fn show(State(engine): State<Arc<Engine>>) -> Json<OrderStatus> {
    order_status(&engine)
}

fn order_status(engine: &Engine) -> Json<OrderStatus> {
    let weights = engine.reported_weights();
    let orders = engine.orders.lock();
    let actual = ActualState { weights, role: orders.role.clone() };
    Json(OrderStatus { fence: orders.fence, wanted: orders.wanted.clone(), actual })
}

impl Orders {
    /// Empties the cache and loads `version`, unless it is already served or loading.
    fn load(&mut self, engine: &Arc<Engine>, version: String) {
        let serving = self.weights.as_deref() == Some(&version);
        let already_loading = self.loading.as_ref().is_some_and(|l| l.version == version);
        if serving || already_loading {
            return;
        }
        engine.cache.lock().clear();
        if let Some(loading) = self.loading.take() {
            loading.task.abort();
        }
        let Some(source) = &engine.config.source else {
            self.weights = Some(version.into());
            return;
        };
        self.weights = None;
        let url = format!("{source}/weights/{}/{version}", engine.config.model);
        let task = tokio::spawn(load(engine.clone(), url, version.clone())).abort_handle();
        self.loading = Some(Loading { version, task });
    }
}

async fn load(engine: Arc<Engine>, url: String, version: String) {
    while client::download(&url).await.is_err() {
        tokio::time::sleep(DOWNLOAD_RETRY_DELAY).await;
    }
    let mut orders = engine.orders.lock();
    if orders.loading.as_ref().is_some_and(|l| l.version == version) {
        orders.loading = None;
        orders.weights = Some(version.into());
    }
}
