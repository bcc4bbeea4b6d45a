//! A trait for the platform's transactional table service, with a client and in-memory fakes.
//!
//! Rows are addressed by partition key and sort key. Every row has a version that grows with each
//! write. The only write operation is a transaction of conditional writes.

mod dynamo;
mod faulty;
mod item;
mod memory;
mod version;

use std::sync::Arc;

use async_trait::async_trait;

pub use crate::{
    dynamo::{AccessKey, Dynamo},
    faulty::{Faulty, Odds},
    memory::{Content, Memory},
    version::Version,
};

/// A row as the table stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Partition key.
    pub part: Arc<str>,
    /// Sort key. Rows of a partition are ordered by its bytes.
    pub sort: Arc<str>,
    /// Version of the row. It grows with each write: by one in some services, by the number of all
    /// writes since the last one in others.
    pub version: Version,
    /// Payload: JSON text of at most 256 KiB.
    pub body: Arc<str>,
}

/// Condition on a row under which a write to it takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists and has exactly this version. A version of an earlier era never matches.
    Version(Version),
}

/// One conditional write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Partition key.
    pub part: Arc<str>,
    /// Sort key.
    pub sort: Arc<str>,
    /// Condition on the row before the write.
    pub expect: Expect,
    /// The new payload; `None` deletes the row.
    pub body: Option<Arc<str>>,
}

/// Why a table operation failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TableError {
    /// A condition did not hold, or another transaction was in progress on one of the rows. Nothing
    /// was written. Read the rows again before a retry.
    #[error("a condition of the transaction did not hold")]
    Conflict,
    /// The call was refused before it took effect, for example because the service throttled it.
    /// Nothing was written.
    #[error("the table service refused the call: {0}")]
    Refused(Arc<str>),
    /// The call timed out, or the connection broke. A write may or may not have taken effect.
    #[error("no answer from the table service: {0}")]
    Unknown(Arc<str>),
    /// The answer could not be parsed. A write may or may not have taken effect, as with
    /// [`TableError::Unknown`].
    #[error("malformed answer from the table service: {0}")]
    Malformed(Arc<str>),
}

impl TableError {
    /// Whether the write certainly did not take effect.
    pub fn definite(&self) -> bool {
        matches!(self, Self::Conflict | Self::Refused(_))
    }
}

/// A transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// The highest era in which the service has answered. It never falls. A rise means that the
    /// service has returned from an older copy of its content: what was read or written before may
    /// be gone, and must be read again.
    fn era(&self) -> u64 {
        0
    }

    /// Reads one row with strong consistency. Returns `None` if the row does not exist.
    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError>;

    /// Reads up to `limit` rows of partition `part` with sort keys greater than `after`, ordered by
    /// sort key, with strong consistency.
    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError>;

    /// Applies all writes if all their conditions hold, or none of them.
    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError>;

    /// Like [`Table::commit`], and returns the version that the written rows have now, if the service
    /// tells it. A service that numbers rows by its transactions gives one that can't be foreseen.
    async fn commit_versioned(&self, writes: Vec<Write>) -> Result<Option<Version>, TableError> {
        self.commit(writes).await.map(|()| None)
    }
}
