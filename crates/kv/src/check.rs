//! Checks before a piece is used or recorded.

use ident::Secret;
use serde::{Deserialize, Serialize};

use crate::{PieceKey, Receipt, Record};

/// The number of leading pieces of a prompt whose records may be used: `keys` are the prompt's
/// piece keys in order, `records` what a store returned for them. Counting stops at the first
/// record of another key, another parent or a wrong seal.
pub fn usable(secret: &Secret, keys: &[PieceKey], records: &[Record]) -> usize {
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

/// Why an import may not be used. The prompt is recomputed instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ConfirmError {
    /// Nothing was asked for.
    #[error("the import names no piece; recompute the prompt")]
    Empty,
    /// The engine received another number of pieces.
    #[error("the engine received {got} of {want} pieces; recompute the prompt")]
    Count {
        /// Pieces asked for.
        want: usize,
        /// Pieces received.
        got: usize,
    },
    /// A received piece is not the one recorded.
    #[error("piece {index} is not the one recorded; recompute the prompt")]
    Mismatch {
        /// Position of the piece in the prompt.
        index: usize,
    },
}

/// Whether an import may be used: the engine received exactly the recorded pieces, in order, each
/// with the recorded generation, length and sum.
pub fn confirm(records: &[Record], receipts: &[Receipt]) -> Result<(), ConfirmError> {
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
pub struct Sent {
    /// Position of the piece in the prompt.
    pub index: u32,
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation to write.
    pub generation: u64,
}

/// JSON form of a [`Sent`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentWire {
    /// Position of the piece in the prompt.
    pub index: u32,
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation to write.
    pub generation: u64,
}

impl From<Sent> for SentWire {
    fn from(s: Sent) -> Self {
        Self { index: s.index, key: s.key, generation: s.generation }
    }
}

impl From<SentWire> for Sent {
    fn from(s: SentWire) -> Self {
        Self { index: s.index, key: s.key, generation: s.generation }
    }
}

/// The leading receipts of an export that may be sealed into records: each names the piece and
/// generation that was asked for, in order, and holds at least one byte.
pub fn sealable<'a>(sent: &[Sent], receipts: &'a [Receipt]) -> &'a [Receipt] {
    let fits = |(s, r): &(&Sent, &Receipt)| s.key == r.key && s.generation == r.generation;
    let count = sent.iter().zip(receipts).take_while(|pair| fits(pair) && pair.1.len > 0).count();
    &receipts[..count]
}
