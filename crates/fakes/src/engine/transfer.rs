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
    model::{BlockCodec, State as PieceState},
};

/// Maximum number of imports that no completion has used yet; the oldest is dropped first.
const MAX_STAGED_IMPORTS: usize = 256;

/// States that were imported from a store and that no completion has used yet.
#[derive(Debug)]
pub struct StagedImport {
    /// States of the first pieces of a prompt.
    pub states: Vec<PieceState>,
    staged_at: Instant,
}

/// Generation of a piece: a number or a text that the engine does not interpret.
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

    /// Parses a header's value into the same form as `self`, which the caller sent. A value that is
    /// no number stays a text.
    fn parse_like(&self, text: String) -> Self {
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
pub(super) struct ImportRequest {
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
pub(super) struct ImportResponse {
    handle: String,
    receipts: Vec<Receipt>,
}

pub(super) async fn post_import(
    State(engine): State<Arc<Engine>>,
    Json(request): Json<ImportRequest>,
) -> Result<Json<ImportResponse>, Refusal> {
    static HANDLES: AtomicU64 = AtomicU64::new(1);
    engine.weights().filter(|w| **w == *request.weights).ok_or(Refusal::WrongWeights)?;
    let (mut states, mut receipts) = (Vec::new(), Vec::new());
    for (index, piece) in request.pieces.into_iter().enumerate() {
        let Ok(received) = client::get_piece(&request.source, &piece.key).await else { break };
        engine.control.count("imported_pieces", 1);
        let generation = piece.generation.text();
        let len = engine.config.block;
        let codec = BlockCodec { salt: &request.cache_salt, index, generation: &generation, len };
        states.push(codec.decode(&received.bytes));
        let generation = piece.generation.parse_like(received.generation);
        receipts.push(Receipt::of(piece.key, generation, &received.bytes));
    }
    let handle = format!("kv-{}", HANDLES.fetch_add(1, Ordering::Relaxed));
    engine.stage(handle.clone(), states);
    Ok(Json(ImportResponse { handle, receipts }))
}

pub(super) async fn discard(
    State(engine): State<Arc<Engine>>,
    Path(handle): Path<String>,
) -> Result<StatusCode, Refusal> {
    engine.staged.lock().remove(&*handle).ok_or(Refusal::NotFound)?;
    Ok(StatusCode::NO_CONTENT)
}

#[derive(Deserialize)]
pub(super) struct ExportRequest {
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
pub(super) struct ExportResponse {
    receipts: Vec<Receipt>,
}

pub(super) async fn post_export(
    State(engine): State<Arc<Engine>>,
    Json(request): Json<ExportRequest>,
) -> Result<Json<ExportResponse>, Refusal> {
    let run = engine.runs.lock().get(&*request.request_id).cloned().ok_or(Refusal::NotFound)?;
    let mut receipts = Vec::new();
    for piece in request.pieces {
        let Some(bytes) = engine.block(&run, &piece) else { continue };
        let sent = Piece { generation: piece.generation.text(), bytes: bytes.clone() };
        if client::put_piece(&request.dest, &piece.key, sent).await.is_err() {
            continue;
        }
        engine.control.count("exported_pieces", 1);
        receipts.push(Receipt::of(piece.key, piece.generation, &bytes));
    }
    Ok(Json(ExportResponse { receipts }))
}

impl Engine {
    fn stage(&self, handle: String, states: Vec<PieceState>) {
        let mut staged = self.staged.lock();
        if staged.len() >= MAX_STAGED_IMPORTS {
            let oldest = staged.iter().min_by_key(|(_, s)| s.staged_at).map(|(h, _)| h.clone());
            oldest.and_then(|h| staged.remove(&*h));
        }
        staged.put(handle, StagedImport { states, staged_at: Instant::now() });
    }

    /// Encodes a piece of the prompt of `run` as a block. Returns `None` if the prompt has not been
    /// prefilled or has no such piece.
    fn block(&self, run: &Run, piece: &ExportPiece) -> Option<Bytes> {
        let state = run.prefill.get()?.states.get(piece.index)?;
        let generation = piece.generation.text();
        let (index, len) = (piece.index, self.config.block);
        Some(BlockCodec { salt: &run.salt, index, generation: &generation, len }.encode(state))
    }
}
