//! Stand-in for the platform's instance list: Prometheus HTTP service discovery.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    extract::{Path, State},
    routing::{delete, get, post, put},
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tokio::time::Instant;

use crate::{control::Control, serve::App};

/// Longest lag of the list; older states are dropped.
const MAX_LAG: Duration = Duration::from_secs(600);

/// One entry of the list, with labels as in `docs/OUTSIDE.md`.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
pub struct Instance {
    /// Addresses of the instance, as `ip:port`.
    pub targets: Vec<String>,
    /// Labels of the instance; the label `name` is unique in the list.
    pub labels: Map<String, Value>,
}

impl Instance {
    fn name(&self) -> &str {
        self.labels.get("name").and_then(Value::as_str).unwrap_or_default()
    }
}

struct InstanceList {
    control: Arc<Control>,
    /// States of the list, each with the time from which it applies, oldest first; never empty.
    history: Mutex<Vec<(Instant, Vec<Instance>)>>,
}

impl InstanceList {
    fn update<F>(&self, f: F)
    where
        F: FnOnce(&mut Vec<Instance>),
    {
        let now = Instant::now();
        let mut history = self.history.lock();
        let mut next = history.last().map(|(_, list)| list.clone()).unwrap_or_default();
        f(&mut next);
        history.push((now, next));
        let old = history.partition_point(|(at, _)| now - *at > MAX_LAG);
        history.drain(..old.saturating_sub(1));
    }

    fn visible(&self) -> Vec<Instance> {
        let (lag, lost) = self.control.with_faults(|f| (f.lag_ms, f.lost.clone()));
        let now = Instant::now();
        let history = self.history.lock();
        let lag = Duration::from_millis(lag);
        let at = history.partition_point(|(at, _)| now - *at >= lag).saturating_sub(1);
        let all = history[at].1.iter();
        all.filter(|i| !lost.iter().any(|n| n == i.name())).cloned().collect()
    }
}

/// Creates an instance list with the entries `initial`.
pub fn instances(initial: Vec<Instance>, control: Arc<Control>) -> App {
    let history = Mutex::new(vec![(Instant::now(), initial)]);
    let list = Arc::new(InstanceList { control: control.clone(), history });
    let router = Router::new()
        .route("/sd", get(show))
        .route("/_list", put(replace))
        .route("/_entries", post(upsert))
        .route("/_entries/{name}", delete(remove))
        .with_state(list);
    App::new(router, control)
}

async fn show(State(list): State<Arc<InstanceList>>) -> Json<Vec<Instance>> {
    list.control.count("reads", 1);
    Json(list.visible())
}

async fn replace(State(list): State<Arc<InstanceList>>, Json(all): Json<Vec<Instance>>) {
    list.update(|l| *l = all);
}

async fn upsert(State(list): State<Arc<InstanceList>>, Json(one): Json<Instance>) {
    list.update(|l| {
        l.retain(|i| i.name() != one.name());
        l.push(one);
    });
}

async fn remove(State(list): State<Arc<InstanceList>>, Path(name): Path<String>) {
    list.update(|l| l.retain(|i| i.name() != name));
}
