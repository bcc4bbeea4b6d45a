//! Setting single fields.

use std::fmt::Write;

use conf::{DocKey, Kind};
use ident::Name;

use super::Context;
use crate::{
    cli::ChangeArgs,
    edit::{self, Edit, Rules},
    exit::Exit,
    failure::Failure,
    patch::Assignment,
};

/// Sets fields of one document in one change.
pub async fn run(
    cx: &Context,
    kind: Kind,
    name: Name,
    fields: &[Assignment],
    retry: bool,
    args: ChangeArgs,
) -> Result<Exit, Failure> {
    let key = DocKey { kind, name };
    let rules = Rules { id: args.change_id, expect: args.expect, retry };
    let set = |doc: &mut _| {
        fields.iter().try_for_each(|field| field.apply(doc))?;
        Ok(())
    };
    match edit::edit(&cx.client, &key, rules, set).await {
        Ok(Edit::Changed(change)) => cx.out.change(&change, "changed")?,
        Ok(Edit::Same(rev)) => cx.out.unchanged(&key, rev, "unchanged")?,
        Err(Failure::Conflict { kind, name, current, .. }) => {
            let now = present(cx, &key, fields).await;
            return Err(Failure::Conflict { kind, name, current, retry: !retry, now });
        }
        Err(e) => return Err(e),
    }
    Ok(Exit::Done)
}

/// What the fields hold now, for whoever lost the race.
async fn present(cx: &Context, key: &DocKey, fields: &[Assignment]) -> String {
    let mut text = String::new();
    if let Ok((doc, rev)) = cx.client.doc(key).await {
        for field in fields {
            let (path, now) = (field.dotted(), field.current(&doc));
            write!(text, "\n{path} is {now} at {rev}, wanted {}", field.value)
                .expect("a string takes any text");
        }
    }
    text
}
