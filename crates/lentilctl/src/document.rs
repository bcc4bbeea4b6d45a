//! Reads and writes documents as YAML.

use std::{
    io::Read,
    path::{Path, PathBuf},
};

use conf::{DocKey, Kind};
use ident::Name;
use serde::Deserialize;
use serde_json::Value;

use crate::error::CommandError;

/// A document with its key.
#[derive(Debug, Clone)]
pub struct Document {
    /// Kind and name.
    pub key: DocKey,
    /// Fields, its name included.
    pub value: Value,
}

/// Reads a file of documents; the path `-` reads standard input. With a `kind`, the fields are at
/// the top level of each document. Without one, each document maps its kind to its fields.
pub fn read(path: &Path, kind: Option<Kind>) -> Result<Vec<Document>, CommandError> {
    let values = parse(path, &read_text(path)?)?;
    if values.is_empty() {
        return Err(CommandError::Empty { path: path.into() });
    }
    let document = |(i, value)| document(path, i + 1, value, kind);
    values.into_iter().enumerate().map(document).collect()
}

/// Formats a value as YAML without a final line break.
pub fn write(value: &Value) -> String {
    let yaml = serde_norway::to_string(value);
    yaml.expect("every JSON value can be written as YAML").trim_end().into()
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    let read = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|source| CommandError::File { path: path.into(), source })
}

fn parse(path: &Path, text: &str) -> Result<Vec<Value>, CommandError> {
    let mut values = Vec::new();
    for (i, part) in serde_norway::Deserializer::from_str(text).enumerate() {
        let wrong =
            |detail| CommandError::Yaml { path: PathBuf::from(path), position: i + 1, detail };
        let yaml = serde_norway::Value::deserialize(part).map_err(|e| wrong(e.to_string()))?;
        let value = serde_json::to_value(yaml).map_err(|e| wrong(e.to_string()))?;
        if !value.is_null() {
            values.push(value);
        }
    }
    Ok(values)
}

fn document(
    path: &Path,
    position: usize,
    value: Value,
    kind: Option<Kind>,
) -> Result<Document, CommandError> {
    let (kind, value) = match kind {
        Some(kind) => (kind, value),
        None => {
            let kinds = [Kind::Template, Kind::Team, Kind::Target, Kind::Model];
            let has_key = |k: &Kind| value.get(k.as_str()).is_some();
            let kind = kinds.into_iter().find(has_key);
            let single_key = value.as_object().is_some_and(|m| m.len() == 1);
            let kind = kind.filter(|_| single_key);
            let kind = kind.ok_or(CommandError::NoKind { path: path.into(), position })?;
            (kind, value[kind.as_str()].clone())
        }
    };
    let name = value.get("name").and_then(Value::as_str).and_then(|n| Name::new(n).ok());
    let name = name.ok_or(CommandError::NoName { path: path.into(), position })?;
    Ok(Document { key: DocKey { kind, name }, value })
}
