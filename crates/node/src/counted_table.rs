//! A table client that counts its operations in a metric.

use std::sync::Arc;

use async_trait::async_trait;
use prometheus::IntCounterVec;
use table::{Row, Table, TableError, Write};

/// Forwards to a table and counts every operation by its result.
pub struct CountedTable {
    table: Arc<dyn Table>,
    /// Counter with two labels: operation (`get`, `range` or `commit`) and result.
    operations: IntCounterVec,
}

impl CountedTable {
    /// Wraps `table` and counts its operations in `operations`.
    pub fn new(table: Arc<dyn Table>, operations: IntCounterVec) -> Self {
        Self { table, operations }
    }

    fn count_result<T>(&self, op: &str, result: &Result<T, TableError>) {
        let label = match result {
            Ok(_) => "ok",
            Err(TableError::Conflict) => "conflict",
            Err(TableError::Refused(_)) => "refused",
            Err(TableError::Unknown(_)) => "unknown",
            Err(TableError::Malformed(_)) => "malformed",
        };
        self.operations.with_label_values(&[op, label]).inc();
    }
}

#[async_trait]
impl Table for CountedTable {
    fn era(&self) -> u64 {
        self.table.era()
    }

    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        let result = self.table.get(part, sort).await;
        self.count_result("get", &result);
        result
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        let result = self.table.range(part, after, limit).await;
        self.count_result("range", &result);
        result
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        let result = self.table.commit(writes).await;
        self.count_result("commit", &result);
        result
    }
}
