//! Lists, prints and removes documents.

use admin::{ListWire, plural};
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::json;

use super::Context;
use crate::{
    cli::ChangeArgs, client::ChangeRequest, document, error::CommandError, exit::Exit, random,
};

/// Prints names and revisions of all documents of a kind.
pub async fn list(cx: &Context, kind: Kind) -> Result<Exit, CommandError> {
    let path = format!("/admin/v1/{}", plural(kind));
    let (list, _) = cx.client.get_any::<Vec<ListWire>>(&path).await?;
    let rows = list.iter().map(|l| vec![l.name.to_string(), l.rev.to_string()]).collect();
    cx.out.table(&["NAME", "REV"], rows, &list)?;
    Ok(Exit::Done)
}

/// Prints a document as YAML, with its revision in a comment.
pub async fn get(cx: &Context, kind: Kind, name: Name) -> Result<Exit, CommandError> {
    let (value, rev) = cx.client.doc(&DocKey { kind, name }).await?;
    let text = format!("# {rev}\n{}", document::write(&value));
    cx.out.show(&text, &value)?;
    Ok(Exit::Done)
}

/// Removes a document; succeeds also if it does not exist.
pub async fn remove(
    cx: &Context,
    kind: Kind,
    name: Name,
    args: ChangeArgs,
) -> Result<Exit, CommandError> {
    let key = DocKey { kind, name };
    let expect = match (args.expect, cx.client.find(&key).await?) {
        (Some(rev), _) | (None, Some((_, rev))) => rev,
        (None, None) => {
            let text = format!("{} {}: not there", kind.as_str(), key.name);
            cx.out.show(&text, &json!({"kind": kind, "name": key.name, "rev": null}))?;
            return Ok(Exit::Done);
        }
    };
    let id = args.change_id.unwrap_or_else(random::change_id);
    let repeated = args.change_id.is_some();
    let request = ChangeRequest { id, repeated, key, value: None, expect: Some(expect) };
    let change = cx.client.change(&request).await?;
    cx.out.change(&change, "removed")?;
    Ok(Exit::Done)
}
