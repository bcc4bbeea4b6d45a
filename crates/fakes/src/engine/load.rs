//! Load reports, with the engine's lag.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use axum::{Json, extract::State};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::Engine;

/// Longest lag that can be asked for.
const HISTORY: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// Loads with the times they were seen, oldest first.
#[derive(Debug, Default)]
pub struct LoadLog(VecDeque<(Instant, Load)>);

impl Engine {
    /// Notes the load as it stands.
    pub fn note_load(&self) {
        let load = Load { running: self.slots.running(), waiting: self.slots.waiting() };
        let mut log = self.loads.lock();
        let old = log.0.partition_point(|(at, _)| at.elapsed() > HISTORY);
        log.0.drain(..old.saturating_sub(1));
        log.0.push_back((Instant::now(), load));
    }

    /// The load as it is reported.
    pub fn load_json(&self) -> Value {
        let lag = self.lag();
        let seen = {
            let log = self.loads.lock();
            let at = log.0.partition_point(|(at, _)| at.elapsed() >= lag);
            at.checked_sub(1).map_or_else(Load::default, |at| log.0[at].1)
        };
        let slots = self.config.slots.max(1) as f64;
        json!({
            "application_utilization": seen.running as f64 / slots,
            "named_metrics": {
                "running": seen.running,
                "waiting": seen.waiting,
                "prefill_tokens_per_s": self.config.prefill,
            },
        })
    }
}

pub(super) async fn show(State(engine): State<Arc<Engine>>) -> Json<Value> {
    let mut load = engine.load_json();
    load["name"] = engine.config.name.clone().into();
    load["weights"] = engine.reported().into();
    load["leaving"] = engine.control.with(|f| f.leaving).into();
    load["lag_ms"] = engine.control.with(|f| f.lag_ms).into();
    Json(load)
}
