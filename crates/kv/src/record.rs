//! The receipts of engines and the sealed records of pieces, with their JSON forms.

use ident::{Digest, ParseIdError, Secret};
use serde::{Deserialize, Serialize};

use crate::PieceKey;

/// Separates the digests of records from other keyed digests. A change invalidates all records.
const RECORD_LABEL: &[u8] = b"piece record";

/// The receipt of an engine for a piece that it read from or wrote to a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// Key of the piece.
    pub key: PieceKey,
    /// Generation of the piece: a random number that is new for each write.
    pub generation: u64,
    /// Length of the piece, in bytes.
    pub len: u64,
    /// Checksum of the piece: xxh3-64 of its bytes.
    pub sum: u64,
}

/// A sealed record of what an engine wrote to a store for a piece.
///
/// Invariant: `mac` is the keyed digest of the receipt and the parent, so no store can make or
/// alter a record that [`crate::usable_prefix`] accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Record {
    /// Receipt of the engine that exported the piece.
    pub receipt: Receipt,
    /// Key of the piece before this one in the prompt; `None` for the first piece.
    pub parent: Option<PieceKey>,
    /// Keyed digest of the receipt and the parent.
    pub mac: Digest,
}

/// Seals the receipt of a piece that an engine wrote into a record.
pub fn seal(secret: &Secret, receipt: Receipt, parent: Option<PieceKey>) -> Record {
    let mac = with_sealed_parts(&receipt, parent, |parts| secret.mac(parts));
    Record { receipt, parent, mac }
}

impl Record {
    /// Whether the record was sealed with `secret` and not altered since.
    pub(crate) fn is_sealed(&self, secret: &Secret) -> bool {
        with_sealed_parts(&self.receipt, self.parent, |parts| secret.verify(parts, &self.mac))
    }
}

fn with_sealed_parts<T, F>(receipt: &Receipt, parent: Option<PieceKey>, f: F) -> T
where
    F: FnOnce(&[&[u8]]) -> T,
{
    let parent = parent.map(|p| p.0.0);
    f(&[
        RECORD_LABEL,
        &receipt.key.0.0,
        &receipt.generation.to_le_bytes(),
        &receipt.len.to_le_bytes(),
        &receipt.sum.to_le_bytes(),
        parent.as_ref().map_or(&[][..], |p| &p[..]),
    ])
}

/// The error if a JSON form is not a valid receipt or record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseRecordError {
    /// A key or digest is malformed.
    #[error("key or digest {0:?} is malformed: {ParseIdError}")]
    BadDigest(String),
    /// A sum is malformed.
    #[error("sum {0:?} is malformed: it is written as 16 hexadecimal digits")]
    BadSum(String),
}

/// JSON form of a [`Receipt`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReceiptWire {
    /// Key of the piece, 32 hexadecimal digits.
    pub key: String,
    /// Generation of the piece.
    pub generation: u64,
    /// Length of the piece, in bytes.
    pub len: u64,
    /// Checksum of the piece: xxh3-64 of its bytes, 16 hexadecimal digits.
    pub sum: String,
}

/// JSON form of a [`Record`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWire {
    /// The receipt's fields.
    #[serde(flatten)]
    pub receipt: ReceiptWire,
    /// Key of the piece before this one in the prompt, 32 hexadecimal digits; `None` for the first
    /// piece.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<String>,
    /// Keyed digest, 32 hexadecimal digits.
    pub mac: String,
}

impl From<Receipt> for ReceiptWire {
    fn from(r: Receipt) -> Self {
        Self {
            key: r.key.to_string(),
            generation: r.generation,
            len: r.len,
            sum: format!("{:016x}", r.sum),
        }
    }
}

impl TryFrom<ReceiptWire> for Receipt {
    type Error = ParseRecordError;

    fn try_from(wire: ReceiptWire) -> Result<Self, ParseRecordError> {
        let key = PieceKey(digest(wire.key)?);
        let sum = parse_sum(&wire.sum).ok_or(ParseRecordError::BadSum(wire.sum))?;
        Ok(Self { key, generation: wire.generation, len: wire.len, sum })
    }
}

impl From<Record> for RecordWire {
    fn from(r: Record) -> Self {
        Self {
            receipt: r.receipt.into(),
            parent: r.parent.map(|p| p.to_string()),
            mac: r.mac.to_string(),
        }
    }
}

impl TryFrom<RecordWire> for Record {
    type Error = ParseRecordError;

    fn try_from(wire: RecordWire) -> Result<Self, ParseRecordError> {
        let parent = wire.parent.map(digest).transpose()?.map(PieceKey);
        Ok(Self { receipt: wire.receipt.try_into()?, parent, mac: digest(wire.mac)? })
    }
}

fn digest(text: String) -> Result<Digest, ParseRecordError> {
    text.parse().map_err(|_| ParseRecordError::BadDigest(text))
}

fn parse_sum(text: &str) -> Option<u64> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
