//! Knobs, log and counters that every stand-in has.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use axum::{
    Json, Router,
    extract::State,
    routing::{get, put},
};
use parking_lot::Mutex;
use serde::Serialize;
use serde_json::Value;

use crate::{fault::Faults, sorted::Sorted};

/// Most entries the log keeps; the oldest go first.
const LOG_ENTRIES: usize = 100_000;

/// What happened in one second and over the whole life.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Meter {
    /// Since the start.
    total: u64,
    /// Largest count of one second.
    peak: u64,
    /// Count of the last whole second in which something was counted.
    last: u64,
    /// Count of the present second.
    now: u64,
    /// The present second, since the epoch.
    #[serde(skip)]
    second: u64,
}

impl Meter {
    fn add(&mut self, second: u64, n: u64) {
        if second != self.second {
            self.second = second;
            self.last = self.now;
            self.now = 0;
        }
        self.total += n;
        self.now += n;
        self.peak = self.peak.max(self.now);
    }
}

#[derive(Debug, Serialize)]
struct Logged {
    seq: u64,
    #[serde(flatten)]
    entry: Value,
}

/// Knobs, log and counters of one stand-in.
#[derive(Debug, Default)]
pub struct Control {
    faults: Mutex<Faults>,
    log: Mutex<Vec<Logged>>,
    seq: AtomicU64,
    meters: Mutex<Sorted<&'static str, Meter>>,
    /// Grows when open connections are to go silent; connections opened before stay silent.
    epoch: AtomicU64,
    /// Grows when everything kept is to be dropped.
    evictions: AtomicU64,
}

impl Control {
    /// A control block that starts with `faults`.
    pub fn new(faults: Faults) -> Arc<Self> {
        let control = Self::default();
        control.set(faults);
        Arc::new(control)
    }

    /// Replaces all knobs.
    pub fn set(&self, faults: Faults) {
        if faults.silent_open {
            self.epoch.fetch_add(1, Ordering::SeqCst);
        }
        if faults.evict_all {
            self.evictions.fetch_add(1, Ordering::SeqCst);
        }
        *self.faults.lock() = faults;
    }

    /// The knobs as they stand.
    pub fn faults(&self) -> Faults {
        self.faults.lock().clone()
    }

    /// Reads or uses up knobs.
    pub(crate) fn with<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Faults) -> T,
    {
        f(&mut self.faults.lock())
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::SeqCst)
    }

    /// How often everything kept was to be dropped. A keeper that has seen fewer drops all.
    pub(crate) fn evictions(&self) -> u64 {
        self.evictions.load(Ordering::SeqCst)
    }

    /// Appends to the log; returns the entry's sequence number, from 1 on.
    pub(crate) fn log<T>(&self, entry: &T) -> u64
    where
        T: Serialize,
    {
        let entry = serde_json::to_value(entry).expect("log entries are plain structs");
        let mut log = self.log.lock();
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        if log.len() >= LOG_ENTRIES {
            log.drain(..LOG_ENTRIES / 10);
        }
        log.push(Logged { seq, entry });
        seq
    }

    /// Counts `n` events of a kind.
    pub(crate) fn count(&self, name: &'static str, n: u64) {
        let mut meters = self.meters.lock();
        let mut meter = meters.get(name).copied().unwrap_or_default();
        meter.add(unix_seconds(), n);
        meters.put(name, meter);
    }

    /// What a kind has counted in the present second.
    pub(crate) fn this_second(&self, name: &'static str) -> u64 {
        let meter = self.meters.lock().get(name).copied().unwrap_or_default();
        if meter.second == unix_seconds() { meter.now } else { 0 }
    }

    pub(crate) fn routes(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/_faults", put(put_faults).get(get_faults))
            .route("/_log", get(get_log))
            .route("/_stats", get(get_stats))
            .with_state(self.clone())
    }
}

pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

async fn put_faults(State(control): State<Arc<Control>>, Json(faults): Json<Faults>) {
    control.set(faults);
}

async fn get_faults(State(control): State<Arc<Control>>) -> Json<Faults> {
    Json(control.faults())
}

async fn get_log(State(control): State<Arc<Control>>) -> Json<Value> {
    Json(serde_json::to_value(&*control.log.lock()).unwrap_or_default())
}

async fn get_stats(State(control): State<Arc<Control>>) -> Json<Value> {
    let meters = control.meters.lock();
    let entries = meters.iter().map(|(name, meter)| {
        let value = serde_json::to_value(meter).unwrap_or_default();
        ((*name).to_owned(), value)
    });
    Json(Value::Object(entries.collect()))
}
