//! KV cache in stores: the keys of its pieces, the records of what a store holds, and the checks
//! that decide whether a piece may be used.
//!
//! A prompt is cut into pieces of [`PIECE_BYTES`] bytes of its text. The key of a piece is a keyed
//! digest over its scope, all earlier pieces and its own text, so equal keys mean equal context of
//! one team. A piece is used only if it has a sealed [`Record`] and the receipt of the engine that
//! read it equals that record. All other pieces are recomputed.

mod check;
mod key;
mod record;

pub use crate::{
    check::{
        ConfirmError, ExportPiece, ExportPieceWire, check_import, sealable_prefix, usable_prefix,
    },
    key::{PIECE_BYTES, PieceKey, Scope, cache_salt, piece_keys},
    record::{ParseRecordError, Receipt, ReceiptWire, Record, RecordWire, seal},
};
