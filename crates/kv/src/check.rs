//! Checks that a piece must pass before it is used or recorded.

use ident::Secret;
use serde::{Deserialize, Serialize};

use crate::{PieceKey, Receipt, Record};

/// Returns the number of leading pieces of a prompt whose records may be used. `keys` are the
/// prompt's piece keys in order, `records` are the records that a store returned for them. The
/// count stops at the first record with another key, another parent or an invalid seal.
pub fn usable_prefix(secret: &Secret, keys: &[PieceKey], records: &[Record]) -> usize {
    let mut parent = None;
    let mut count = 0;
    for (key, record) in keys.iter().zip(records) {
        let fits = record.receipt.key == *key && record.parent == parent;
        if !fits || !record.is_sealed(secret) {
            break;
        }
        parent = Some(*key);
        count += 1;
    }
    count
}

/// The error if an import may not be used. The prompt is recomputed instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfirmError {
    /// No pieces were requested.
    #[error("the import names no piece; recompute the prompt")]
    Empty,
    /// The engine received another number of pieces than requested.
    #[error("the engine received {got} of {want} pieces; recompute the prompt")]
    Count {
        /// Number of pieces requested.
        want: usize,
        /// Number of pieces received.
        got: usize,
    },
    /// The engine received a piece that differs from its record.
    #[error("piece {index} is not the one recorded; recompute the prompt")]
    Mismatch {
        /// Position of the piece in the prompt, counted from 0.
        index: usize,
    },
}

/// Checks whether an import may be used: the engine must have received exactly the recorded pieces,
/// in order, each with the recorded generation, length and checksum.
pub fn check_import(records: &[Record], receipts: &[Receipt]) -> Result<(), ConfirmError> {
    if records.is_empty() {
        return Err(ConfirmError::Empty);
    }
    if records.len() != receipts.len() {
        return Err(ConfirmError::Count { want: records.len(), got: receipts.len() });
    }
    match records.iter().zip(receipts).position(|(r, got)| r.receipt != *got) {
        Some(index) => Err(ConfirmError::Mismatch { index }),
        None => Ok(()),
    }
}

/// A piece that an engine is asked to write to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExportPiece {
    /// Position of the piece in the prompt, counted from 0.
    pub index: u32,
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation that the engine writes.
    pub generation: u64,
}

/// JSON form of an [`ExportPiece`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportPieceWire {
    /// Position of the piece in the prompt, counted from 0.
    pub index: u32,
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation that the engine writes.
    pub generation: u64,
}

impl From<ExportPiece> for ExportPieceWire {
    fn from(s: ExportPiece) -> Self {
        Self { index: s.index, key: s.key, generation: s.generation }
    }
}

impl From<ExportPieceWire> for ExportPiece {
    fn from(s: ExportPieceWire) -> Self {
        Self { index: s.index, key: s.key, generation: s.generation }
    }
}

/// Returns the leading receipts of an export that may be sealed into records. Each must have the
/// key and generation of the requested piece at its position, and a length of at least one byte.
pub fn sealable_prefix<'a>(sent: &[ExportPiece], receipts: &'a [Receipt]) -> &'a [Receipt] {
    let fits = |(s, r): &(&ExportPiece, &Receipt)| s.key == r.key && s.generation == r.generation;
    let count = sent.iter().zip(receipts).take_while(|pair| fits(pair) && pair.1.len > 0).count();
    &receipts[..count]
}
