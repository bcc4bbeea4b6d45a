//! Documents in YAML files.

use std::{
    io::Read,
    path::{Path, PathBuf},
};

use conf::{DocKey, Kind};
use ident::Name;
use serde::Deserialize;
use serde_json::Value;

use crate::failure::Failure;

/// A document and what it is of.
#[derive(Debug, Clone)]
pub struct Document {
    /// Its identity.
    pub key: DocKey,
    /// Its fields.
    pub value: Value,
}

/// Reads a file of documents. With a `kind` the fields stand at the top, without one each document
/// stands under its kind.
pub fn read(path: &Path, kind: Option<Kind>) -> Result<Vec<Document>, Failure> {
    let values = parse(path, &text(path)?)?;
    if values.is_empty() {
        return Err(Failure::Empty { path: path.into() });
    }
    let document = |(i, value)| document(path, i + 1, value, kind);
    values.into_iter().enumerate().map(document).collect()
}

/// A value as YAML, without a line end.
pub fn write(value: &Value) -> String {
    let yaml = serde_norway::to_string(value);
    yaml.expect("a JSON value can be written as YAML").trim_end().into()
}

fn text(path: &Path) -> Result<String, Failure> {
    let read = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|source| Failure::File { path: path.into(), source })
}

fn parse(path: &Path, text: &str) -> Result<Vec<Value>, Failure> {
    let mut values = Vec::new();
    for (i, part) in serde_norway::Deserializer::from_str(text).enumerate() {
        let wrong = |detail| Failure::Yaml { path: PathBuf::from(path), position: i + 1, detail };
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
) -> Result<Document, Failure> {
    let (kind, value) = match kind {
        Some(kind) => (kind, value),
        None => {
            let kinds = [Kind::Template, Kind::Team, Kind::Target, Kind::Model];
            let named = |k: &Kind| value.get(k.as_str()).is_some();
            let kind = kinds.into_iter().find(named);
            let alone = value.as_object().is_some_and(|m| m.len() == 1);
            let kind = kind.filter(|_| alone);
            let kind = kind.ok_or(Failure::NoKind { path: path.into(), position })?;
            (kind, value[kind.as_str()].clone())
        }
    };
    let name = value.get("name").and_then(Value::as_str).and_then(|n| Name::new(n).ok());
    let name = name.ok_or(Failure::NoName { path: path.into(), position })?;
    Ok(Document { key: DocKey { kind, name }, value })
}
