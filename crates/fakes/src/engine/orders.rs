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
    /// `None` before the first order.
    wanted: Option<Wanted>,
    role: String,
    /// `None` while weights are loading.
    weights: Option<Arc<str>>,
    loading: Option<Loading>,
}

/// A download under way. Invariant: while there is one, no version is served.
#[derive(Debug)]
struct Loading {
    version: String,
    task: AbortHandle,
}

impl Orders {
    /// An engine that serves `weights` and has had no order.
    pub fn new(weights: &str) -> Self {
        let role = "mixed".to_owned();
        Self { fence: 0, wanted: None, role, weights: Some(weights.into()), loading: None }
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
    wanted: Option<Wanted>,
    actual: Actual,
}

#[derive(Serialize)]
struct Actual {
    /// `None` while weights are loading.
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
        let version = wanted.weights.clone();
        orders.wanted = Some(wanted);
        orders.load(&engine, version);
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

impl Orders {
    /// Loads `version` unless it is served or on its way already; empties the cache.
    fn load(&mut self, engine: &Arc<Engine>, version: String) {
        let serving = self.weights.as_deref() == Some(&version);
        let coming = self.loading.as_ref().is_some_and(|l| l.version == version);
        if serving || coming {
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
        tokio::time::sleep(RETRY).await;
    }
    let mut orders = engine.orders.lock();
    if orders.loading.as_ref().is_some_and(|l| l.version == version) {
        orders.loading = None;
        orders.weights = Some(version.into());
    }
}
