//! Load reports. They show the load with the lag that the knob `lag_ms` sets.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use axum::{Json, extract::State};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::Engine;

/// Longest lag of a report; older samples are dropped.
const MAX_LAG: Duration = Duration::from_secs(60);

#[derive(Debug, Clone, Copy, Default)]
struct LoadSample {
    running: usize,
    waiting: usize,
}

/// Load samples with the times at which they were taken, oldest first.
#[derive(Debug, Default)]
pub struct LoadLog(VecDeque<(Instant, LoadSample)>);

impl Engine {
    /// Records the current load.
    pub fn record_load(&self) {
        let load = LoadSample { running: self.slots.running(), waiting: self.slots.waiting() };
        let mut log = self.loads.lock();
        let old = log.0.partition_point(|(at, _)| at.elapsed() > MAX_LAG);
        log.0.drain(..old.saturating_sub(1));
        log.0.push_back((Instant::now(), load));
    }

    /// Returns the load report as of the configured lag ago.
    pub fn load_report(&self) -> Value {
        let lag = self.lag();
        let reported = {
            let log = self.loads.lock();
            let at = log.0.partition_point(|(at, _)| at.elapsed() >= lag);
            at.checked_sub(1).map_or_else(LoadSample::default, |at| log.0[at].1)
        };
        let slots = self.config.slots.max(1) as f64;
        json!({
            "application_utilization": reported.running as f64 / slots,
            "named_metrics": {
                "running": reported.running,
                "waiting": reported.waiting,
                "prefill_tokens_per_s": self.config.prefill,
            },
        })
    }
}

pub(super) async fn show(State(engine): State<Arc<Engine>>) -> Json<Value> {
    let mut load = engine.load_report();
    load["name"] = engine.config.name.clone().into();
    load["weights"] = engine.reported_weights().into();
    load["leaving"] = engine.control.with_faults(|f| f.leaving).into();
    load["lag_ms"] = engine.control.with_faults(|f| f.lag_ms).into();
    Json(load)
}
