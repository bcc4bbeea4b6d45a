//! Listing, printing and removing documents.

use admin::{ListWire, plural};
use conf::{DocKey, Kind};
use ident::Name;
use serde_json::json;

use super::Context;
use crate::{cli::ChangeArgs, client::Wanted, document, exit::Exit, failure::Failure, random};

/// Lists names and revisions.
pub async fn list(cx: &Context, kind: Kind) -> Result<Exit, Failure> {
    let path = format!("/admin/v1/{}", plural(kind));
    let (list, _) = cx.client.any::<Vec<ListWire>>(&path).await?;
    let rows = list.iter().map(|l| vec![l.name.to_string(), l.rev.to_string()]).collect();
    cx.out.table(&["NAME", "REV"], rows, &list)?;
    Ok(Exit::Done)
}

/// Prints a document; its revision stands in a comment.
pub async fn get(cx: &Context, kind: Kind, name: Name) -> Result<Exit, Failure> {
    let (value, rev) = cx.client.doc(&DocKey { kind, name }).await?;
    let text = format!("# {rev}\n{}", document::write(&value));
    cx.out.show(&text, &value)?;
    Ok(Exit::Done)
}

/// Removes a document.
pub async fn remove(
    cx: &Context,
    kind: Kind,
    name: Name,
    args: ChangeArgs,
) -> Result<Exit, Failure> {
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
    let wanted = Wanted { id, repeated, key, value: None, expect: Some(expect) };
    let change = cx.client.change(&wanted).await?;
    cx.out.change(&change, "removed")?;
    Ok(Exit::Done)
}
