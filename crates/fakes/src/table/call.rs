//! Parses calls of the table service.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::{Map, Value};

use super::row_key;

/// Reason why a call is malformed or not supported.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The stand-in does not support the operation.
    #[error("the operation {0:?} is not supported; use GetItem, Query or TransactWriteItems")]
    Operation(String),
    /// The body is not valid JSON for the operation.
    #[error("malformed call: {0}")]
    Json(#[from] serde_json::Error),
    /// A key attribute is missing, empty or not a string.
    #[error("the key attribute {0} must be a non-empty string")]
    Key(&'static str),
    /// The stand-in does not support the condition.
    #[error("the expression {0:?} is not supported; see docs/OUTSIDE.md")]
    Expression(String),
    /// Two items of a transaction name the same row.
    #[error("a transaction must not name one row twice")]
    DuplicateRow,
    /// The transaction is empty or has too many items.
    #[error("a transaction has 1 to 100 items")]
    ItemCount,
}

/// A call of the table service.
pub enum Call {
    /// Reads one row.
    Get(GetItem),
    /// Reads rows of a partition.
    Query(Query),
    /// Writes rows in a transaction.
    Transact(Transact),
}

/// Reads one row.
pub struct GetItem {
    pub table: String,
    pub partition: String,
    pub sort: String,
}

/// Reads the rows of a partition in the order of their sort keys.
pub struct Query {
    pub table: String,
    pub partition: String,
    /// Only rows with a greater sort key are read.
    pub after: String,
    pub limit: usize,
}

/// Writes rows in a transaction: all of them or none.
pub struct Transact {
    pub writes: Vec<Write>,
    /// Idempotency token: only the first transaction with a given token is committed.
    pub token: Option<String>,
}

/// One write of a transaction.
pub struct Write {
    pub key: Arc<str>,
    pub condition: Condition,
    /// New content of the row; `None` removes the row.
    pub item: Option<Map<String, Value>>,
}

/// Condition that the current row must meet for the write.
pub enum Condition {
    /// No condition.
    Always,
    /// The row does not exist.
    Absent,
    /// The attribute `ver` of the row has this typed value.
    Version(Value),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct GetWire {
    table_name: String,
    key: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct QueryWire {
    table_name: String,
    key_condition_expression: String,
    #[serde(default)]
    expression_attribute_names: Map<String, Value>,
    #[serde(default)]
    expression_attribute_values: Map<String, Value>,
    #[serde(default)]
    limit: Option<usize>,
    #[serde(default)]
    exclusive_start_key: Option<Map<String, Value>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TransactWire {
    transact_items: Vec<ItemWire>,
    #[serde(default)]
    client_request_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
enum ItemWire {
    Put(WriteWire),
    Delete(WriteWire),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WriteWire {
    table_name: String,
    #[serde(default)]
    item: Option<Map<String, Value>>,
    #[serde(default)]
    key: Option<Map<String, Value>>,
    #[serde(default)]
    condition_expression: Option<String>,
    #[serde(default)]
    expression_attribute_names: Map<String, Value>,
    #[serde(default)]
    expression_attribute_values: Map<String, Value>,
}

impl Call {
    /// Parses a call. `target` is the value of the header `X-Amz-Target`.
    pub fn parse(target: &str, body: &[u8]) -> Result<Self, CallError> {
        match target.rsplit('.').next().unwrap_or_default() {
            "GetItem" => Ok(Self::Get(serde_json::from_slice::<GetWire>(body)?.try_into()?)),
            "Query" => Ok(Self::Query(serde_json::from_slice::<QueryWire>(body)?.try_into()?)),
            "TransactWriteItems" => {
                Ok(Self::Transact(serde_json::from_slice::<TransactWire>(body)?.try_into()?))
            }
            other => Err(CallError::Operation(other.to_owned())),
        }
    }
}

impl TryFrom<GetWire> for GetItem {
    type Error = CallError;

    fn try_from(wire: GetWire) -> Result<Self, CallError> {
        let (partition, sort) = key_of(&wire.key)?;
        Ok(Self { table: wire.table_name, partition, sort })
    }
}

impl TryFrom<QueryWire> for Query {
    type Error = CallError;

    fn try_from(wire: QueryWire) -> Result<Self, CallError> {
        let text = resolve_names(&wire.key_condition_expression, &wire.expression_attribute_names);
        let unsupported = || CallError::Expression(text.clone());
        let mut terms = text.split(" AND ").map(str::trim);
        let partition =
            terms.next().and_then(|t| t.strip_prefix("pk = ")).ok_or_else(unsupported)?;
        let sort = terms.next().and_then(|t| t.strip_prefix("sk > "));
        let values = &wire.expression_attribute_values;
        let mut after = match sort {
            Some(name) => key_string(values, name).ok_or_else(unsupported)?,
            None => String::new(),
        };
        if let Some(start) = &wire.exclusive_start_key {
            after = after.max(key_of(start)?.1);
        }
        let partition = key_string(values, partition).ok_or_else(unsupported)?;
        Ok(Self {
            table: wire.table_name,
            partition,
            after,
            limit: wire.limit.unwrap_or(usize::MAX),
        })
    }
}

impl TryFrom<TransactWire> for Transact {
    type Error = CallError;

    fn try_from(wire: TransactWire) -> Result<Self, CallError> {
        let writes = wire.transact_items.into_iter().map(Write::try_from);
        let writes = writes.collect::<Result<Vec<_>, _>>()?;
        let mut keys: Vec<_> = writes.iter().map(|w| &w.key).collect();
        keys.sort();
        if keys.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(CallError::DuplicateRow);
        }
        Ok(Self { writes, token: wire.client_request_token })
    }
}

impl TryFrom<ItemWire> for Write {
    type Error = CallError;

    fn try_from(wire: ItemWire) -> Result<Self, CallError> {
        let (mut wire, put) = match wire {
            ItemWire::Put(wire) => (wire, true),
            ItemWire::Delete(wire) => (wire, false),
        };
        let attributes = if put { wire.item.take() } else { wire.key.take() };
        let attributes = attributes.ok_or(CallError::Key("pk"))?;
        let (partition, sort) = key_of(&attributes)?;
        let key = row_key(&wire.table_name, &partition, &sort);
        Ok(Self { key, condition: wire.condition()?, item: put.then_some(attributes) })
    }
}

impl WriteWire {
    fn condition(&self) -> Result<Condition, CallError> {
        let Some(text) = &self.condition_expression else { return Ok(Condition::Always) };
        let text = resolve_names(text, &self.expression_attribute_names);
        if text == "attribute_not_exists(pk)" {
            return Ok(Condition::Absent);
        }
        let value = text.strip_prefix("ver = ");
        let value = value.and_then(|name| self.expression_attribute_values.get(name));
        value.cloned().map(Condition::Version).ok_or(CallError::Expression(text))
    }
}

/// Replaces the `#name` placeholders of an expression by the attribute names.
fn resolve_names(text: &str, names: &Map<String, Value>) -> String {
    names.iter().fold(text.trim().to_owned(), |text, (name, value)| {
        text.replace(name, value.as_str().unwrap_or_default())
    })
}

/// Returns the string attribute `name` of a key; `None` if it is missing, empty or not a string.
fn key_string(attributes: &Map<String, Value>, name: &str) -> Option<String> {
    let text = attributes.get(name)?.get("S")?.as_str()?;
    (!text.is_empty()).then(|| text.to_owned())
}

fn key_of(attributes: &Map<String, Value>) -> Result<(String, String), CallError> {
    let pk = key_string(attributes, "pk").ok_or(CallError::Key("pk"))?;
    let sk = key_string(attributes, "sk").ok_or(CallError::Key("sk"))?;
    Ok((pk, sk))
}
