//! Withdraws a replica.

use admin::StatusWire;
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::{Value, json};

use super::Context;
use crate::{
    edit::{self, EditOptions, EditOutcome},
    error::CommandError,
    exit::Exit,
};

/// Adds the replica to the withdrawn replicas of its target, or removes it from them with `undo`.
/// If `target` is `None`, the instances are asked for it.
pub async fn run(
    cx: &Context,
    replica: Name,
    target: Option<Name>,
    undo: bool,
) -> Result<Exit, CommandError> {
    let name = match target {
        Some(target) => target,
        None => target_of(cx, &replica).await?,
    };
    let key = DocKey { kind: Kind::Target, name };
    let entry = json!(replica);
    let apply = |doc: &mut Value| {
        let mut list = doc["withdrawn"].as_array().cloned().unwrap_or_default();
        match (undo, list.contains(&entry)) {
            (false, false) => list.push(entry.clone()),
            (true, true) => list.retain(|r| *r != entry),
            _ => return Ok(()),
        }
        doc["withdrawn"] = Value::Array(list);
        Ok(())
    };
    let what = if undo { "takes work again" } else { "withdrawn" };
    match edit::edit(&cx.client, &key, EditOptions::RETRY, apply).await? {
        EditOutcome::Changed(change) => cx.out.change(&change, &format!("{replica} {what}"))?,
        EditOutcome::Unchanged(rev) => {
            cx.out.unchanged(&key, rev, &format!("{replica} {what} already"))?;
        }
    }
    Ok(Exit::Done)
}

async fn target_of(cx: &Context, replica: &Name) -> Result<Name, CommandError> {
    let answers = cx.client.get_all::<StatusWire>("/admin/v1/status").await;
    let replicas = answers.into_iter().flatten().flat_map(|s| s.replicas);
    let found = replicas.into_iter().find(|r| r.name == *replica);
    found.map(|r| r.target).ok_or_else(|| CommandError::UnknownReplica(replica.clone()))
}
