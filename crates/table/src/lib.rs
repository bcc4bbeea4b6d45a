//! The platform's transactional table service behind a narrow trait.
//!
//! Rows are addressed by partition and sort key; every row carries a version that grows with
//! each write. The only mutation is a transaction of conditional writes.

mod dynamo;
mod faulty;
mod item;
mod memory;

use std::sync::Arc;

use async_trait::async_trait;

pub use crate::{
    dynamo::{Access, Dynamo},
    faulty::{Faulty, Odds},
    memory::Memory,
};

/// A row as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Partition key.
    pub part: Arc<str>,
    /// Sort key, ordered bytewise within the partition.
    pub sort: Arc<str>,
    /// Grows with each write: by one in some services, by the number of all writes between in
    /// others.
    pub version: u64,
    /// The payload: JSON text, at most 256 KiB.
    pub body: Arc<str>,
}

/// What must hold of a row for its write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists with just this version.
    Version(u64),
}

/// One conditional write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Partition key.
    pub part: Arc<str>,
    /// Sort key.
    pub sort: Arc<str>,
    /// Condition on the row as it stands.
    pub expect: Expect,
    /// The new payload, or `None` to remove the row.
    pub body: Option<Arc<str>>,
}

/// Why a table operation gave no answer or refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// A condition did not hold, or another transaction was under way on one of the rows: nothing
    /// was written. Definite. Read the rows again before deciding.
    #[error("a condition of the transaction did not hold")]
    Conflict,
    /// Refused before taking effect (throttled or service unavailable by its own word). Definite.
    #[error("the table service refused the call: {0}")]
    Refused(Arc<str>),
    /// No answer in time, or the connection broke: a write may or may not have taken effect.
    #[error("no answer from the table service: {0}")]
    Unknown(Arc<str>),
    /// The answer could not be understood; treated like [`TableError::Unknown`] for writes.
    #[error("malformed answer from the table service: {0}")]
    Malformed(Arc<str>),
}

impl TableError {
    /// Whether the write certainly did not take effect.
    pub fn definite(&self) -> bool {
        matches!(self, Self::Conflict | Self::Refused(_))
    }
}

/// The transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row, strongly consistent.
    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError>;

    /// Reads up to `limit` rows of `part` with sort keys greater than `after`, in order.
    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError>;

    /// Writes all rows or none.
    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError>;
}
