//! Sets single fields of a document.

use std::fmt::Write;

use conf::{DocKey, Kind};
use ident::Name;

use super::Context;
use crate::{
    cli::ChangeArgs,
    edit::{self, EditOptions, EditOutcome},
    error::CommandError,
    exit::Exit,
    patch::Assignment,
};

/// Sets one or more fields of a document in one change.
pub async fn run(
    cx: &Context,
    kind: Kind,
    name: Name,
    fields: &[Assignment],
    retry: bool,
    args: ChangeArgs,
) -> Result<Exit, CommandError> {
    let key = DocKey { kind, name };
    let options = EditOptions { id: args.change_id, expect: args.expect, retry };
    let set = |doc: &mut _| {
        fields.iter().try_for_each(|field| field.apply(doc))?;
        Ok(())
    };
    match edit::edit(&cx.client, &key, options, set).await {
        Ok(EditOutcome::Changed(change)) => cx.out.change(&change, "changed")?,
        Ok(EditOutcome::Unchanged(rev)) => cx.out.unchanged(&key, rev, "unchanged")?,
        Err(CommandError::Conflict { kind, name, current, .. }) => {
            let now = current_values(cx, &key, fields).await;
            return Err(CommandError::Conflict { kind, name, current, retry: !retry, now });
        }
        Err(e) => return Err(e),
    }
    Ok(Exit::Done)
}

/// Current values of the fields, for the error message after a conflict. Empty if they can't be
/// read.
async fn current_values(cx: &Context, key: &DocKey, fields: &[Assignment]) -> String {
    let mut text = String::new();
    if let Ok((doc, rev)) = cx.client.doc(key).await {
        for field in fields {
            let (path, now) = (field.dotted(), field.current(&doc));
            write!(text, "\n{path} is {now} at {rev}, wanted {}", field.value)
                .expect("writing to a string does not fail");
        }
    }
    text
}
