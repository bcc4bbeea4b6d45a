//! Creates and replaces documents from YAML files.

use std::path::Path;

use admin::read_doc;
use conf::{DocKey, Kind};
use serde_json::Value;

use super::Context;
use crate::{
    cli::{ApplyArgs, ChangeArgs},
    client::ChangeRequest,
    document::{self, Document},
    error::CommandError,
    exit::Exit,
    random,
};

/// Applies the documents of a file, which may be of several kinds, in their order. Stops at the
/// first error.
pub async fn mixed_kinds(cx: &Context, file: &Path) -> Result<Exit, CommandError> {
    let no_options = ChangeArgs { expect: None, change_id: None };
    apply_all(cx, document::read(file, None)?, no_options).await
}

/// Applies the documents of a file, which are all of one kind.
pub async fn one_kind(cx: &Context, kind: Kind, args: &ApplyArgs) -> Result<Exit, CommandError> {
    let documents = document::read(&args.file, Some(kind))?;
    let single = args.change.expect.is_some() || args.change.change_id.is_some();
    if single && documents.len() != 1 {
        return Err(CommandError::SeveralDocuments(documents.len()));
    }
    apply_all(cx, documents, args.change).await
}

async fn apply_all(
    cx: &Context,
    documents: Vec<Document>,
    args: ChangeArgs,
) -> Result<Exit, CommandError> {
    for document in documents {
        apply_one(cx, document, args).await?;
    }
    Ok(Exit::Done)
}

async fn apply_one(cx: &Context, document: Document, args: ChangeArgs) -> Result<(), CommandError> {
    let Document { key, mut value } = document;
    let present = cx.client.find(&key).await?;
    keep_omitted(key.kind, present.as_ref().map(|(old, _)| old), &mut value);
    let (expect, what) = match (&present, args.expect) {
        (_, Some(rev)) => (Some(rev), "changed"),
        (Some((_, rev)), None) => (Some(*rev), "changed"),
        (None, None) => (None, "created"),
    };
    if let Some((old, rev)) = &present
        && args.change_id.is_none()
        && args.expect.is_none_or(|e| e == *rev)
        && equal(&key, old, &value)
    {
        return cx.out.unchanged(&key, *rev, "unchanged");
    }
    let id = args.change_id.unwrap_or_else(random::change_id);
    let request =
        ChangeRequest { id, repeated: args.change_id.is_some(), key, value: Some(value), expect };
    let change = cx.client.change(&request).await?;
    cx.out.change(&change, what)
}

/// Fills in fields that a file may omit because other commands change them: the keys of a team, the
/// state and withdrawn replicas of a target, and the previous version of a model. They keep their
/// present values. If the version of a model changes, its present version becomes the previous one.
fn keep_omitted(kind: Kind, old: Option<&Value>, new: &mut Value) {
    let Some(fields) = new.as_object_mut() else { return };
    let omittable: &[&str] = match kind {
        Kind::Team => &["keys"],
        Kind::Target => &["state", "withdrawn"],
        Kind::Model => &["previous"],
        Kind::Template => &[],
    };
    let new_version =
        kind == Kind::Model && old.and_then(|o| o.get("version")) != fields.get("version");
    for &field in omittable {
        if fields.contains_key(field) {
            continue;
        }
        let from = if new_version { "version" } else { field };
        if let Some(value) = old.and_then(|o| o.get(from)) {
            fields.insert(field.into(), value.clone());
        }
    }
    if kind == Kind::Team {
        fields.entry("keys").or_insert(Value::Array(Vec::new()));
    }
}

/// Whether both documents have the same contents. An invalid document never equals another one, so
/// that it is sent and the instance lists its errors.
fn equal(key: &DocKey, old: &Value, new: &Value) -> bool {
    match (read_doc(key, old.clone()), read_doc(key, new.clone())) {
        (Ok(old), Ok(new)) => old == new,
        _ => false,
    }
}
