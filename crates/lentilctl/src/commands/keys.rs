//! Random keys and the API keys of teams.

use conf::{DocKey, Kind};
use ident::{Digest, Name};
use serde_json::{Value, json};

use super::Context;
use crate::{
    edit::{self, EditOptions, EditOutcome},
    error::CommandError,
    exit::Exit,
    output::{self, Output},
    random,
};

/// Prints a random key and its digest.
pub fn random(out: Output) -> Result<Exit, CommandError> {
    let key = random::key();
    let digest = Digest::of(key.as_bytes());
    let value = json!({"key": key, "digest": digest});
    out.show(&format!("key: {key}\ndigest: {digest}"), &value)?;
    Ok(Exit::Done)
}

/// Creates a random key, stores its digest with the team and prints the key. The key is also
/// printed if the outcome is unknown: its digest may have been stored, and the key can't be printed
/// later.
pub async fn new(cx: &Context, team: Name) -> Result<Exit, CommandError> {
    let key = random::key();
    let digest = Digest::of(key.as_bytes());
    let doc = DocKey { kind: Kind::Team, name: team };
    let add = |doc: &mut Value| {
        let digest = json!(digest);
        edit_keys(doc, |keys| {
            if !keys.contains(&digest) {
                keys.push(digest);
            }
        });
        Ok(())
    };
    let done = edit::edit(&cx.client, &doc, EditOptions::RETRY, add).await;
    let rev = match &done {
        Ok(EditOutcome::Changed(change)) => Some(change.rev),
        Ok(EditOutcome::Unchanged(rev)) => Some(*rev),
        Err(CommandError::OutcomeUnknown { .. }) => None,
        Err(_) => return done.map(|_| Exit::Done),
    };
    let value = json!({"team": doc.name, "key": key, "digest": digest, "rev": rev});
    cx.out.show(&format!("key: {key}\ndigest: {digest}"), &value)?;
    done?;
    if !cx.out.json {
        output::print_line(
            "Keep the key now: only its digest is stored, it can't be shown again.",
        )?;
    }
    Ok(Exit::Done)
}

/// Removes a key from a team.
pub async fn remove(cx: &Context, team: Name, digest: Digest) -> Result<Exit, CommandError> {
    let doc = DocKey { kind: Kind::Team, name: team };
    let digest = json!(digest);
    let remove_key = |doc: &mut Value| {
        edit_keys(doc, |keys| keys.retain(|k| *k != digest));
        Ok(())
    };
    match edit::edit(&cx.client, &doc, EditOptions::RETRY, remove_key).await? {
        EditOutcome::Changed(change) => cx.out.change(&change, "key removed")?,
        EditOutcome::Unchanged(rev) => cx.out.unchanged(&doc, rev, "has no such key")?,
    }
    Ok(Exit::Done)
}

fn edit_keys<F>(doc: &mut Value, change: F)
where
    F: FnOnce(&mut Vec<Value>),
{
    if let Some(keys) = doc.get_mut("keys").and_then(Value::as_array_mut) {
        change(keys);
    }
}
