//! The table service with a count of every operation.

use std::sync::Arc;

use async_trait::async_trait;
use prometheus::IntCounterVec;
use table::{Row, Table, TableError, Write};

/// Counts the operations of a table by operation and result.
pub struct Counted {
    table: Arc<dyn Table>,
    /// Labels: operation (`get`, `range` or `commit`) and result.
    count: IntCounterVec,
}

impl Counted {
    /// Counts the operations of `table` in `count`.
    pub fn new(table: Arc<dyn Table>, count: IntCounterVec) -> Self {
        Self { table, count }
    }

    fn note<T>(&self, op: &str, result: &Result<T, TableError>) {
        let label = match result {
            Ok(_) => "ok",
            Err(TableError::Conflict) => "conflict",
            Err(TableError::Refused(_)) => "refused",
            Err(TableError::Unknown(_)) => "unknown",
            Err(TableError::Malformed(_)) => "malformed",
        };
        self.count.with_label_values(&[op, label]).inc();
    }
}

#[async_trait]
impl Table for Counted {
    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        let result = self.table.get(part, sort).await;
        self.note("get", &result);
        result
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        let result = self.table.range(part, after, limit).await;
        self.note("range", &result);
        result
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        let result = self.table.commit(writes).await;
        self.note("commit", &result);
        result
    }
}
