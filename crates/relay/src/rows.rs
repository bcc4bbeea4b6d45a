//! Rows of the instances' table that hold JSON.

use std::sync::Arc;

use serde::{Serialize, de::DeserializeOwned};
use table::{Expect, Row, TableError, Write};

use crate::core::Core;

/// The content of a row; `None` if it is of another release.
pub(crate) fn parse<T>(row: &Row) -> Option<T>
where
    T: DeserializeOwned,
{
    serde_json::from_str(&row.body).ok()
}

/// Writes a row, whatever it was.
pub(crate) async fn replace<T>(
    core: &Core,
    partition: &str,
    sort: Arc<str>,
    content: &T,
) -> Result<(), TableError>
where
    T: Serialize,
{
    let row = core.adapters.table.get(partition, &sort).await?;
    write(core, partition, sort, row, Some(content)).await
}

/// Replaces the row that was read, or deletes it.
pub(crate) async fn write<T>(
    core: &Core,
    partition: &str,
    sort: Arc<str>,
    row: Option<Row>,
    content: Option<&T>,
) -> Result<(), TableError>
where
    T: Serialize,
{
    let body = content.map(serde_json::to_string).transpose();
    let body = body.map_err(|e| TableError::Malformed(e.to_string().into()))?;
    let expect = row.map_or(Expect::Absent, |row| Expect::Version(row.version));
    let part = partition.into();
    let write = Write { part, sort, expect, body: body.map(Arc::from) };
    core.adapters.table.commit(vec![write]).await
}
