//! Withdrawing a replica.

use admin::StatusWire;
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::{Value, json};

use super::Context;
use crate::{
    edit::{self, Edit, Rules},
    exit::Exit,
    failure::Failure,
};

/// Adds the replica to its target's withdrawn ones, or takes it out again.
pub async fn run(
    cx: &Context,
    replica: Name,
    target: Option<Name>,
    undo: bool,
) -> Result<Exit, Failure> {
    let name = match target {
        Some(target) => target,
        None => target_of(cx, &replica).await?,
    };
    let key = DocKey { kind: Kind::Target, name };
    let wanted = json!(replica);
    let apply = |doc: &mut Value| {
        let mut list = doc["withdrawn"].as_array().cloned().unwrap_or_default();
        match (undo, list.contains(&wanted)) {
            (false, false) => list.push(wanted.clone()),
            (true, true) => list.retain(|r| *r != wanted),
            _ => return Ok(()),
        }
        doc["withdrawn"] = Value::Array(list);
        Ok(())
    };
    let what = if undo { "takes work again" } else { "withdrawn" };
    match edit::edit(&cx.client, &key, Rules::RETRY, apply).await? {
        Edit::Changed(change) => cx.out.change(&change, &format!("{replica} {what}"))?,
        Edit::Same(rev) => {
            cx.out.unchanged(&key, rev, &format!("{replica} {what} already"))?;
        }
    }
    Ok(Exit::Done)
}

async fn target_of(cx: &Context, replica: &Name) -> Result<Name, Failure> {
    let answers = cx.client.all::<StatusWire>("/admin/v1/status").await;
    let replicas = answers.into_iter().flatten().flat_map(|s| s.replicas);
    let found = replicas.into_iter().find(|r| r.name == *replica);
    found.map(|r| r.target).ok_or_else(|| Failure::NoReplica(replica.clone()))
}
