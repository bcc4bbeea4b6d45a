//! Fault knobs, event log and counters of a stand-in, and the HTTP paths that show them.

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

use crate::{fault::Faults, sorted::SortedMap};

/// Maximum number of log entries kept. When it is reached, the oldest tenth is dropped.
const MAX_LOG_ENTRIES: usize = 100_000;

/// Counts events of one kind, in total and per second of the system clock.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Counter {
    /// Count since the start of the stand-in.
    total: u64,
    /// Largest count within one second.
    peak: u64,
    /// Count of the latest earlier second in which an event was counted.
    last: u64,
    /// Count of the second `second`.
    now: u64,
    /// Second of the latest event, as Unix time.
    #[serde(skip)]
    second: u64,
}

impl Counter {
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
struct LogEntry {
    seq: u64,
    #[serde(flatten)]
    entry: Value,
}

/// Knobs, log and counters of one stand-in.
#[derive(Debug, Default)]
pub struct Control {
    faults: Mutex<Faults>,
    log: Mutex<Vec<LogEntry>>,
    seq: AtomicU64,
    counters: Mutex<SortedMap<&'static str, Counter>>,
    /// Number of times that the knob `silent_open` was set. A connection that was accepted at a
    /// lower number is silent.
    silence_epoch: AtomicU64,
    /// Number of times that the knob `evict_all` was set.
    evictions: AtomicU64,
}

impl Control {
    /// Creates an empty log and counters, with `faults` set.
    pub fn new(faults: Faults) -> Arc<Self> {
        let control = Self::default();
        control.set_faults(faults);
        Arc::new(control)
    }

    /// Replaces all fault knobs.
    pub fn set_faults(&self, faults: Faults) {
        if faults.silent_open {
            self.silence_epoch.fetch_add(1, Ordering::SeqCst);
        }
        if faults.evict_all {
            self.evictions.fetch_add(1, Ordering::SeqCst);
        }
        *self.faults.lock() = faults;
    }

    /// Returns a copy of the current fault knobs.
    pub fn faults(&self) -> Faults {
        self.faults.lock().clone()
    }

    /// Calls `f` with the fault knobs locked, to read them or to count down a `Count`.
    pub(crate) fn with_faults<F, T>(&self, f: F) -> T
    where
        F: FnOnce(&mut Faults) -> T,
    {
        f(&mut self.faults.lock())
    }

    pub(crate) fn silence_epoch(&self) -> u64 {
        self.silence_epoch.load(Ordering::SeqCst)
    }

    /// Number of times that the knob `evict_all` was set. A cache that has seen a different number
    /// drops its contents.
    pub(crate) fn evictions(&self) -> u64 {
        self.evictions.load(Ordering::SeqCst)
    }

    /// Appends an entry to the log and returns its sequence number; the first is 1.
    pub(crate) fn log<T>(&self, entry: &T) -> u64
    where
        T: Serialize,
    {
        let entry = serde_json::to_value(entry).expect("log entries are plain structs");
        let mut log = self.log.lock();
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        if log.len() >= MAX_LOG_ENTRIES {
            log.drain(..MAX_LOG_ENTRIES / 10);
        }
        log.push(LogEntry { seq, entry });
        seq
    }

    /// Adds `n` events to the counter `name`.
    pub(crate) fn count(&self, name: &'static str, n: u64) {
        let mut counters = self.counters.lock();
        let mut counter = counters.get(name).copied().unwrap_or_default();
        counter.add(unix_seconds(), n);
        counters.put(name, counter);
    }

    /// Number of events that the counter `name` has counted in the current second.
    pub(crate) fn count_this_second(&self, name: &'static str) -> u64 {
        let counter = self.counters.lock().get(name).copied().unwrap_or_default();
        if counter.second == unix_seconds() { counter.now } else { 0 }
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
    control.set_faults(faults);
}

async fn get_faults(State(control): State<Arc<Control>>) -> Json<Faults> {
    Json(control.faults())
}

async fn get_log(State(control): State<Arc<Control>>) -> Json<Value> {
    Json(serde_json::to_value(&*control.log.lock()).unwrap_or_default())
}

async fn get_stats(State(control): State<Arc<Control>>) -> Json<Value> {
    let counters = control.counters.lock();
    let entries = counters.iter().map(|(name, counter)| {
        let value = serde_json::to_value(counter).unwrap_or_default();
        ((*name).to_owned(), value)
    });
    Json(Value::Object(entries.collect()))
}
