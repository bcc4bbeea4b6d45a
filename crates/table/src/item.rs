//! Conversion between rows and DynamoDB items.

use std::{collections::HashMap, sync::Arc};

use aws_sdk_dynamodb::types::AttributeValue;

use crate::{Row, TableError, Version, Write};

/// Attribute names and values, as the SDK represents an item.
type Item = HashMap<String, AttributeValue>;

/// The primary key of a row.
pub(crate) fn key(part: &str, sort: &str) -> Item {
    Item::from([
        ("pk".to_owned(), AttributeValue::S(part.to_owned())),
        ("sk".to_owned(), AttributeValue::S(sort.to_owned())),
    ])
}

/// The item that a write with this new version and body stores.
pub(crate) fn item(write: &Write, version: u64, body: &Arc<str>) -> Item {
    let mut item = key(&write.part, &write.sort);
    item.insert("ver".to_owned(), AttributeValue::N(version.to_string()));
    item.insert("body".to_owned(), AttributeValue::S(body.to_string()));
    item
}

/// Condition expression for a row that must be absent (`None`) or have the version `old`.
pub(crate) fn condition(old: Option<u64>) -> &'static str {
    match old {
        None => "attribute_not_exists(pk)",
        Some(_) => "ver = :v",
    }
}

/// Values of the placeholders in [`condition`]. `None` if it has none.
pub(crate) fn values(old: Option<u64>) -> Option<Item> {
    old.map(|v| Item::from([(":v".to_owned(), AttributeValue::N(v.to_string()))]))
}

/// Converts an item to a row. Fails with [`TableError::Malformed`] if an attribute is missing or
/// has the wrong type.
pub(crate) fn row(item: &Item) -> Result<Row, TableError> {
    let version = item.get("ver").and_then(|v| v.as_n().ok()).and_then(|n| n.parse().ok());
    Ok(Row {
        part: text(item, "pk")?,
        sort: text(item, "sk")?,
        // The service never returns from an older copy.
        version: version.map(Version::first_era).ok_or_else(|| missing("ver"))?,
        body: text(item, "body")?,
    })
}

fn text(item: &Item, name: &str) -> Result<Arc<str>, TableError> {
    let value = item.get(name).and_then(|v| v.as_s().ok());
    value.map(|s| s.as_str().into()).ok_or_else(|| missing(name))
}

fn missing(name: &str) -> TableError {
    TableError::Malformed(format!("the item has no usable attribute {name:?}").into())
}
