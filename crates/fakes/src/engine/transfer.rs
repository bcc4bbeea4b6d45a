//! Import and export of KV blocks.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use axum::{
    Json,
    extract::{Path, State},
    http::StatusCode,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{Engine, Refusal, run::Run};
use crate::{
    client::{self, Piece},
    model::{Seal, State as PieceState},
};

/// Imports that no completion has named; the oldest go first.
const STAGED: usize = 256;

/// States read from a store, not yet used.
#[derive(Debug)]
pub struct Staged {
    /// States of a prompt's first pieces.
    pub states: Vec<PieceState>,
    at: Instant,
}

/// A number or a text; generations are opaque to the engine.
#[derive(Debug, Clone, Deserialize, Serialize)]
#[serde(untagged)]
enum Generation {
    Number(u64),
    Text(String),
}

impl Generation {
    fn text(&self) -> String {
        match self {
            Self::Number(n) => n.to_string(),
            Self::Text(text) => text.clone(),
        }
    }

    /// Reads a header's value in the form the caller used.
    fn like(&self, text: String) -> Self {
        match (self, text.parse()) {
            (Self::Number(_), Ok(n)) => Self::Number(n),
            _ => Self::Text(text),
        }
    }
}

#[derive(Serialize)]
struct Receipt {
    key: String,
    generation: Generation,
    len: usize,
    sum: String,
}

impl Receipt {
    fn of(key: String, generation: Generation, bytes: &Bytes) -> Self {
        Self { key, generation, len: bytes.len(), sum: format!("{:016x}", xxh3_64(bytes)) }
    }
}

#[derive(Deserialize)]
pub(super) struct Import {
    weights: String,
    cache_salt: String,
    source: String,
    pieces: Vec<ImportPiece>,
}

#[derive(Deserialize)]
struct ImportPiece {
    key: String,
    generation: Generation,
}

#[derive(Serialize)]
pub(super) struct Imported {
    handle: String,
    receipts: Vec<Receipt>,
}

pub(super) async fn import(
    State(engine): State<Arc<Engine>>,
    Json(ask): Json<Import>,
) -> Result<Json<Imported>, Refusal> {
    static HANDLES: AtomicU64 = AtomicU64::new(1);
    engine.weights().filter(|w| **w == *ask.weights).ok_or(Refusal::Weights)?;
    let (mut states, mut receipts) = (Vec::new(), Vec::new());
    for (index, piece) in ask.pieces.into_iter().enumerate() {
        let Ok(got) = client::get_piece(&ask.source, &piece.key).await else { break };
        engine.control.count("imported_pieces", 1);
        let generation = piece.generation.text();
        let len = engine.config.block;
        let seal = Seal { salt: &ask.cache_salt, index, generation: &generation, len };
        states.push(seal.unpack(&got.bytes));
        let generation = piece.generation.like(got.generation);
        receipts.push(Receipt::of(piece.key, generation, &got.bytes));
    }
    let handle = format!("kv-{}", HANDLES.fetch_add(1, Ordering::Relaxed));
    engine.stage(handle.clone(), states);
    Ok(Json(Imported { handle, receipts }))
}

pub(super) async fn discard(
    State(engine): State<Arc<Engine>>,
    Path(handle): Path<String>,
) -> Result<StatusCode, Refusal> {
    engine.staged.lock().remove(&*handle).ok_or(Refusal::Unknown)?;
    Ok(StatusCode::NO_CONTENT)
}

#[derive(Deserialize)]
pub(super) struct Export {
    request_id: String,
    dest: String,
    pieces: Vec<ExportPiece>,
}

#[derive(Deserialize)]
struct ExportPiece {
    index: usize,
    key: String,
    generation: Generation,
}

#[derive(Serialize)]
pub(super) struct Exported {
    receipts: Vec<Receipt>,
}

pub(super) async fn export(
    State(engine): State<Arc<Engine>>,
    Json(ask): Json<Export>,
) -> Result<Json<Exported>, Refusal> {
    let run = engine.runs.lock().get(&*ask.request_id).cloned().ok_or(Refusal::Unknown)?;
    let mut receipts = Vec::new();
    for piece in ask.pieces {
        let Some(bytes) = engine.block(&run, &piece) else { continue };
        let sent = Piece { generation: piece.generation.text(), bytes: bytes.clone() };
        if client::put_piece(&ask.dest, &piece.key, sent).await.is_err() {
            continue;
        }
        engine.control.count("exported_pieces", 1);
        receipts.push(Receipt::of(piece.key, piece.generation, &bytes));
    }
    Ok(Json(Exported { receipts }))
}

impl Engine {
    fn stage(&self, handle: String, states: Vec<PieceState>) {
        let mut staged = self.staged.lock();
        if staged.len() >= STAGED {
            let oldest = staged.iter().min_by_key(|(_, s)| s.at).map(|(h, _)| h.clone());
            oldest.and_then(|h| staged.remove(&*h));
        }
        staged.put(handle, Staged { states, at: Instant::now() });
    }

    /// The block of a piece of a prefilled prompt.
    fn block(&self, run: &Run, piece: &ExportPiece) -> Option<Bytes> {
        let state = run.prefill.get()?.states.get(piece.index)?;
        let generation = piece.generation.text();
        let (index, len) = (piece.index, self.config.block);
        Some(Seal { salt: &run.salt, index, generation: &generation, len }.pack(state))
    }
}
