//! A store instance: keeps KV pieces and their records in limited memory.

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

use crate::{control::Control, link::Link, serve::App, sorted::Sorted};

/// Longest record, in bytes.
const RECORD_BYTES: usize = 4096;
/// Header that carries a piece's generation.
pub(crate) const GENERATION: &str = "x-generation";

/// Size and speed of a store instance.
#[derive(Debug, Clone, Copy)]
pub struct StoreConfig {
    /// Bytes of pieces and records it keeps; the least recently used go first.
    pub capacity: u64,
    /// Bytes per second of all transfers together.
    pub rate: u64,
}

#[derive(Clone)]
struct Version {
    bytes: Bytes,
    generation: String,
}

/// A kept piece or record.
struct Kept {
    value: Version,
    before: Option<Version>,
    used: u64,
}

/// Invariant: `size` is the sum of the lengths of all kept values, at most the capacity; earlier
/// generations, kept for a fault knob, do not count.
#[derive(Default)]
struct Shelf {
    pieces: Sorted<Arc<str>, Kept>,
    size: u64,
    tick: u64,
    /// Evictions of everything that were carried out.
    evictions: u64,
}

impl Shelf {
    fn put(&mut self, key: Arc<str>, value: Version, capacity: u64) {
        self.tick += 1;
        let before = self.pieces.get(&*key).map(|k| k.value.clone());
        self.remove(&key);
        let need = value.bytes.len() as u64;
        while self.size + need > capacity && self.evict() {}
        self.size += need;
        self.pieces.put(key, Kept { value, before, used: self.tick });
    }

    fn remove(&mut self, key: &str) {
        if let Some(kept) = self.pieces.remove(key) {
            self.size -= kept.value.bytes.len() as u64;
        }
    }

    fn evict(&mut self) -> bool {
        let oldest = self.pieces.iter().min_by_key(|(_, k)| k.used).map(|(key, _)| key.clone());
        let Some(key) = oldest else { return false };
        self.remove(&key);
        true
    }

    fn get(&mut self, key: &str) -> Option<&Kept> {
        self.tick += 1;
        let kept = self.pieces.get_mut(key)?;
        kept.used = self.tick;
        Some(kept)
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
    shelf: Mutex<Shelf>,
}

impl Store {
    fn rate(&self) -> u64 {
        self.control.with(|f| f.link_rate).unwrap_or(self.config.rate)
    }

    /// What is kept, emptied first where everything is to be dropped.
    fn shelf(&self) -> MutexGuard<'_, Shelf> {
        let evictions = self.control.evictions();
        let mut shelf = self.shelf.lock();
        if shelf.evictions != evictions {
            shelf.clear();
            shelf.evictions = evictions;
        }
        shelf
    }

    fn keep(&self, key: String, bytes: Bytes, generation: String) -> StatusCode {
        let (full, hold) = self.control.with(|f| (f.full, f.evict_all));
        if full || bytes.len() as u64 > self.config.capacity {
            return StatusCode::INSUFFICIENT_STORAGE;
        }
        let mut shelf = self.shelf();
        shelf.put(key.into(), Version { bytes, generation }, self.config.capacity);
        if hold {
            shelf.clear();
        }
        StatusCode::CREATED
    }

    fn find(&self, key: &str) -> Option<Version> {
        let stale = self.control.with(|f| f.stale_generation);
        let mut shelf = self.shelf();
        let kept = shelf.get(key)?;
        let old = kept.before.as_ref().filter(|_| stale);
        Some(old.unwrap_or(&kept.value).clone())
    }
}

/// An empty store instance.
pub fn store(config: StoreConfig, control: Arc<Control>) -> App {
    let shelf = Mutex::default();
    let state = Arc::new(Store { config, control: control.clone(), link: Link::new(), shelf });
    let router = Router::new()
        .route("/pieces/{key}", put(put_piece).get(get_piece))
        .route("/records/{key}", put(put_record).get(get_record))
        .route("/records/run", post(run))
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
    store.link.pass(bytes.len(), store.rate()).await;
    let generation = headers.get(GENERATION).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let half = store.control.with(|f| f.partial_writes);
    let bytes = if half { bytes.slice(..bytes.len() / 2) } else { bytes };
    store.keep(format!("p/{key}"), bytes, generation.to_owned())
}

async fn get_piece(State(store): State<Arc<Store>>, Path(key): Path<String>) -> Response {
    store.control.count("piece_reads", 1);
    let Some(value) = store.find(&format!("p/{key}")) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    store.control.count("link_bytes", value.bytes.len() as u64);
    store.link.pass(value.bytes.len(), store.rate()).await;
    let mut bytes = value.bytes.to_vec();
    if store.control.with(|f| f.flip_bits) {
        let middle = bytes.len() / 2;
        bytes.iter_mut().skip(middle).take(1).for_each(|b| *b ^= 1);
    }
    ([(GENERATION, value.generation)], bytes).into_response()
}

async fn put_record(
    State(store): State<Arc<Store>>,
    Path(key): Path<String>,
    bytes: Bytes,
) -> StatusCode {
    store.control.count("record_writes", 1);
    if bytes.len() > RECORD_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE;
    }
    if serde_json::from_slice::<Value>(&bytes).is_err() {
        return StatusCode::BAD_REQUEST;
    }
    store.keep(format!("r/{key}"), bytes, String::new())
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

async fn run(State(store): State<Arc<Store>>, Json(query): Json<RunQuery>) -> Json<RunAnswer> {
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
    let used = store.shelf().size;
    let capacity = store.config.capacity;
    Json(Load { used, capacity, link_bytes_per_s: store.rate() })
}
