//! Creating and replacing documents from YAML files.

use std::path::Path;

use admin::read_doc;
use conf::{DocKey, Kind};
use serde_json::Value;

use super::Context;
use crate::{
    cli::{ApplyArgs, ChangeArgs},
    client::Wanted,
    document::{self, Document},
    exit::Exit,
    failure::Failure,
    random,
};

/// Applies a file of documents of any kinds in their order; stops at the first that is refused.
pub async fn all(cx: &Context, file: &Path) -> Result<Exit, Failure> {
    let none = ChangeArgs { expect: None, change_id: None };
    each(cx, document::read(file, None)?, none).await
}

/// Applies a file of documents of one kind.
pub async fn one_kind(cx: &Context, kind: Kind, args: &ApplyArgs) -> Result<Exit, Failure> {
    let documents = document::read(&args.file, Some(kind))?;
    let single = args.change.expect.is_some() || args.change.change_id.is_some();
    if single && documents.len() != 1 {
        return Err(Failure::OneDocument(documents.len()));
    }
    each(cx, documents, args.change).await
}

async fn each(cx: &Context, documents: Vec<Document>, args: ChangeArgs) -> Result<Exit, Failure> {
    for document in documents {
        one(cx, document, args).await?;
    }
    Ok(Exit::Done)
}

async fn one(cx: &Context, document: Document, args: ChangeArgs) -> Result<(), Failure> {
    let Document { key, mut value } = document;
    let present = cx.client.find(&key).await?;
    carry(key.kind, present.as_ref().map(|(old, _)| old), &mut value);
    let (expect, what) = match (&present, args.expect) {
        (_, Some(rev)) => (Some(rev), "changed"),
        (Some((_, rev)), None) => (Some(*rev), "changed"),
        (None, None) => (None, "created"),
    };
    if let Some((old, rev)) = &present
        && args.change_id.is_none()
        && args.expect.is_none_or(|e| e == *rev)
        && same(&key, old, &value)
    {
        return cx.out.unchanged(&key, *rev, "unchanged");
    }
    let id = args.change_id.unwrap_or_else(random::change_id);
    let wanted = Wanted { id, repeated: args.change_id.is_some(), key, value: Some(value), expect };
    let change = cx.client.change(&wanted).await?;
    cx.out.change(&change, what)
}

/// Fills in what a file may leave out because other commands change it: a team's keys, a target's
/// state and withdrawn replicas, and the version a model had before. It stays as it is.
fn carry(kind: Kind, old: Option<&Value>, new: &mut Value) {
    let Some(fields) = new.as_object_mut() else { return };
    let kept: &[&str] = match kind {
        Kind::Team => &["keys"],
        Kind::Target => &["state", "withdrawn"],
        Kind::Model => &["previous"],
        Kind::Template => &[],
    };
    let rolled = kind == Kind::Model && old.and_then(|o| o.get("version")) != fields.get("version");
    for &field in kept {
        if fields.contains_key(field) {
            continue;
        }
        let from = if rolled { "version" } else { field };
        if let Some(value) = old.and_then(|o| o.get(from)) {
            fields.insert(field.into(), value.clone());
        }
    }
    if kind == Kind::Team {
        fields.entry("keys").or_insert(Value::Array(Vec::new()));
    }
}

/// Whether `new` says the same as `old`. A document with faults differs: the instance lists them.
fn same(key: &DocKey, old: &Value, new: &Value) -> bool {
    match (read_doc(key, old.clone()), read_doc(key, new.clone())) {
        (Ok(old), Ok(new)) => old == new,
        _ => false,
    }
}
