//! Orders: the absolute wanted state, with fencing.

use std::{sync::Arc, time::Duration};

use axum::{Json, extract::State};
use serde::{Deserialize, Serialize};
use tokio::task::AbortHandle;

use super::{Engine, Refusal};
use crate::client;

/// Pause before a failed download of weights is tried again.
const RETRY: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
struct Wanted {
    weights: String,
    role: String,
}

/// The last order and what the engine does.
#[derive(Debug)]
pub struct Orders {
    fence: u64,
    wanted: Wanted,
    role: String,
    /// `None` while weights are loading.
    weights: Option<Arc<str>>,
    loading: Option<AbortHandle>,
}

impl Orders {
    /// An engine that serves `weights` and has had no order.
    pub fn new(weights: &str) -> Self {
        let wanted = Wanted { weights: weights.to_owned(), role: "mixed".to_owned() };
        let role = wanted.role.clone();
        Self { fence: 0, wanted, role, weights: Some(weights.into()), loading: None }
    }

    /// The version that is served.
    pub fn serving(&self) -> Option<Arc<str>> {
        self.weights.clone()
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct Order {
    fence: u64,
    wanted: Wanted,
}

#[derive(Serialize)]
struct OrderLog {
    order: Wanted,
    fence: u64,
    taken: bool,
}

#[derive(Serialize)]
pub(super) struct Shown {
    fence: u64,
    wanted: Wanted,
    actual: Actual,
}

#[derive(Serialize)]
struct Actual {
    weights: Option<String>,
    role: String,
}

pub(super) async fn take(
    State(engine): State<Arc<Engine>>,
    Json(order): Json<Order>,
) -> Result<Json<Shown>, Refusal> {
    let checks = engine.config.fenced && !engine.control.with(|f| f.ignore_fence);
    {
        let mut orders = engine.orders.lock();
        let taken = !checks || order.fence >= orders.fence;
        let Order { fence, wanted } = order;
        engine.control.log(&OrderLog { order: wanted.clone(), fence, taken });
        if !taken {
            return Err(Refusal::Fence);
        }
        orders.fence = fence;
        orders.role.clone_from(&wanted.role);
        let change = wanted.weights != orders.wanted.weights;
        orders.wanted = wanted;
        if change {
            start_load(&engine, &mut orders);
        }
    }
    Ok(shown(&engine))
}

pub(super) async fn show(State(engine): State<Arc<Engine>>) -> Json<Shown> {
    shown(&engine)
}

fn shown(engine: &Engine) -> Json<Shown> {
    let weights = engine.reported();
    let orders = engine.orders.lock();
    let actual = Actual { weights, role: orders.role.clone() };
    Json(Shown { fence: orders.fence, wanted: orders.wanted.clone(), actual })
}

fn start_load(engine: &Arc<Engine>, orders: &mut Orders) {
    if let Some(loading) = orders.loading.take() {
        loading.abort();
    }
    let version = orders.wanted.weights.clone();
    let Some(source) = &engine.config.source else {
        orders.weights = Some(version.into());
        return;
    };
    orders.weights = None;
    let url = format!("{source}/weights/{}/{version}", engine.config.model);
    let task = tokio::spawn(load(engine.clone(), url, version));
    orders.loading = Some(task.abort_handle());
}

async fn load(engine: Arc<Engine>, url: String, version: String) {
    while client::download(&url).await.is_err() {
        tokio::time::sleep(RETRY).await;
    }
    let mut orders = engine.orders.lock();
    if orders.wanted.weights == version {
        orders.weights = Some(version.into());
    }
}
