//! Stand-in for a store instance, which keeps pieces of KV cache and their records in limited
//! memory.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, State},
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use parking_lot::{Mutex, MutexGuard};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{control::Control, link::Link, serve::App, sorted::SortedMap};

/// Maximum size of a record.
const MAX_RECORD_BYTES: usize = 4096;
/// Header with the generation of a piece.
pub(crate) const GENERATION_HEADER: &str = "x-generation";

/// Capacity and link rate of a store instance.
#[derive(Debug, Clone, Copy)]
pub struct StoreConfig {
    /// Maximum bytes of all pieces and records together. The least recently used is evicted first.
    pub capacity: u64,
    /// Bytes per second of all transfers together.
    pub rate: u64,
}

#[derive(Clone)]
struct StoredValue {
    bytes: Bytes,
    generation: String,
}

/// A stored piece or record.
struct Entry {
    value: StoredValue,
    /// Value before the last write, for the knob `stale_generation`; `None` if there was none.
    previous: Option<StoredValue>,
    last_used: u64,
}

/// Stored pieces and records.
///
/// Invariant: `size` is the sum of the lengths of all current values, at most the capacity.
/// Previous values do not count.
#[derive(Default)]
struct Contents {
    pieces: SortedMap<Arc<str>, Entry>,
    size: u64,
    tick: u64,
    /// Value of `Control::evictions` at the last time that the contents were dropped for it.
    evictions: u64,
}

impl Contents {
    fn put(&mut self, key: Arc<str>, value: StoredValue, capacity: u64) {
        self.tick += 1;
        let previous = self.pieces.get(&*key).map(|k| k.value.clone());
        self.remove(&key);
        let need = value.bytes.len() as u64;
        while self.size + need > capacity && self.evict() {}
        self.size += need;
        self.pieces.put(key, Entry { value, previous, last_used: self.tick });
    }

    fn remove(&mut self, key: &str) {
        if let Some(entry) = self.pieces.remove(key) {
            self.size -= entry.value.bytes.len() as u64;
        }
    }

    fn evict(&mut self) -> bool {
        let oldest =
            self.pieces.iter().min_by_key(|(_, k)| k.last_used).map(|(key, _)| key.clone());
        let Some(key) = oldest else { return false };
        self.remove(&key);
        true
    }

    fn get(&mut self, key: &str) -> Option<&Entry> {
        self.tick += 1;
        let entry = self.pieces.get_mut(key)?;
        entry.last_used = self.tick;
        Some(entry)
    }

    fn clear(&mut self) {
        self.pieces.clear();
        self.size = 0;
    }
}

struct Store {
    config: StoreConfig,
    control: Arc<Control>,
    link: Link,
    contents: Mutex<Contents>,
}

impl Store {
    fn rate(&self) -> u64 {
        self.control.with_faults(|f| f.link_rate).unwrap_or(self.config.rate)
    }

    /// Locks the contents and drops them first if the knob `evict_all` was set since the last call.
    fn contents(&self) -> MutexGuard<'_, Contents> {
        let evictions = self.control.evictions();
        let mut contents = self.contents.lock();
        if contents.evictions != evictions {
            contents.clear();
            contents.evictions = evictions;
        }
        contents
    }

    fn save(&self, key: String, bytes: Bytes, generation: String) -> StatusCode {
        let (full, evict_all) = self.control.with_faults(|f| (f.full, f.evict_all));
        if full || bytes.len() as u64 > self.config.capacity {
            return StatusCode::INSUFFICIENT_STORAGE;
        }
        let mut contents = self.contents();
        contents.put(key.into(), StoredValue { bytes, generation }, self.config.capacity);
        if evict_all {
            contents.clear();
        }
        StatusCode::CREATED
    }

    fn find(&self, key: &str) -> Option<StoredValue> {
        let stale = self.control.with_faults(|f| f.stale_generation);
        let mut contents = self.contents();
        let entry = contents.get(key)?;
        let previous = entry.previous.as_ref().filter(|_| stale);
        Some(previous.unwrap_or(&entry.value).clone())
    }
}

/// Creates an empty store instance.
pub fn store(config: StoreConfig, control: Arc<Control>) -> App {
    let contents = Mutex::default();
    let state = Arc::new(Store { config, control: control.clone(), link: Link::new(), contents });
    let router = Router::new()
        .route("/pieces/{key}", put(put_piece).get(get_piece))
        .route("/records/{key}", put(put_record).get(get_record))
        .route("/records/run", post(get_record_run))
        .route("/load", get(load))
        .with_state(state);
    App::new(router, control)
}

async fn put_piece(
    State(store): State<Arc<Store>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    bytes: Bytes,
) -> StatusCode {
    store.control.count("piece_writes", 1);
    store.control.count("link_bytes", bytes.len() as u64);
    store.link.transfer(bytes.len(), store.rate()).await;
    let generation =
        headers.get(GENERATION_HEADER).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let partial = store.control.with_faults(|f| f.partial_writes);
    let bytes = if partial { bytes.slice(..bytes.len() / 2) } else { bytes };
    store.save(format!("p/{key}"), bytes, generation.to_owned())
}

async fn get_piece(State(store): State<Arc<Store>>, Path(key): Path<String>) -> Response {
    store.control.count("piece_reads", 1);
    let Some(value) = store.find(&format!("p/{key}")) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    store.control.count("link_bytes", value.bytes.len() as u64);
    store.link.transfer(value.bytes.len(), store.rate()).await;
    let mut bytes = value.bytes.to_vec();
    if store.control.with_faults(|f| f.flip_bits) {
        let middle = bytes.len() / 2;
        bytes.iter_mut().skip(middle).take(1).for_each(|b| *b ^= 1);
    }
    ([(GENERATION_HEADER, value.generation)], bytes).into_response()
}

async fn put_record(
    State(store): State<Arc<Store>>,
    Path(key): Path<String>,
    bytes: Bytes,
) -> StatusCode {
    store.control.count("record_writes", 1);
    if bytes.len() > MAX_RECORD_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE;
    }
    if serde_json::from_slice::<Value>(&bytes).is_err() {
        return StatusCode::BAD_REQUEST;
    }
    store.save(format!("r/{key}"), bytes, String::new())
}

async fn get_record(State(store): State<Arc<Store>>, Path(key): Path<String>) -> Response {
    store.control.count("record_reads", 1);
    match store.find(&format!("r/{key}")) {
        Some(v) => ([("content-type", "application/json")], v.bytes).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

#[derive(Deserialize)]
struct RunQuery {
    keys: Vec<String>,
}

#[derive(Serialize)]
struct RunAnswer {
    records: Vec<Value>,
}

async fn get_record_run(
    State(store): State<Arc<Store>>,
    Json(query): Json<RunQuery>,
) -> Json<RunAnswer> {
    store.control.count("record_reads", 1);
    let record = |key: &String| {
        store.find(&format!("p/{key}"))?;
        let value = store.find(&format!("r/{key}"))?;
        serde_json::from_slice(&value.bytes).ok()
    };
    Json(RunAnswer { records: query.keys.iter().map_while(record).collect() })
}

#[derive(Serialize)]
struct Load {
    used: u64,
    capacity: u64,
    link_bytes_per_s: u64,
}

async fn load(State(store): State<Arc<Store>>) -> Json<Load> {
    let used = store.contents().size;
    let capacity = store.config.capacity;
    Json(Load { used, capacity, link_bytes_per_s: store.rate() })
}
