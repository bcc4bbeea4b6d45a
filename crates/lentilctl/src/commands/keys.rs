//! Random keys and the API keys of teams.

use conf::{DocKey, Kind};
use ident::{Digest, Name};
use serde_json::{Value, json};

use super::Context;
use crate::{
    edit::{self, Edit, Rules},
    exit::Exit,
    failure::Failure,
    output::{self, Output},
    random,
};

/// Prints a random key and its digest.
pub fn random(out: Output) -> Result<Exit, Failure> {
    let key = random::key();
    let digest = Digest::of(key.as_bytes());
    let value = json!({"key": key, "digest": digest});
    out.show(&format!("key: {key}\ndigest: {digest}"), &value)?;
    Ok(Exit::Done)
}

/// Makes a random key, stores its digest with the team and prints the key. A key whose digest may
/// have been stored is printed too: nobody could ever print it again.
pub async fn new(cx: &Context, team: Name) -> Result<Exit, Failure> {
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
    let done = edit::edit(&cx.client, &doc, Rules::RETRY, add).await;
    let rev = match &done {
        Ok(Edit::Changed(change)) => Some(change.rev),
        Ok(Edit::Same(rev)) => Some(*rev),
        Err(Failure::Unknown { .. }) => None,
        Err(_) => return done.map(|_| Exit::Done),
    };
    let value = json!({"team": doc.name, "key": key, "digest": digest, "rev": rev});
    cx.out.show(&format!("key: {key}\ndigest: {digest}"), &value)?;
    done?;
    if !cx.out.json {
        output::line("Keep the key now: only its digest is stored, it can't be shown again.")?;
    }
    Ok(Exit::Done)
}

/// Takes a key from a team.
pub async fn remove(cx: &Context, team: Name, digest: Digest) -> Result<Exit, Failure> {
    let doc = DocKey { kind: Kind::Team, name: team };
    let digest = json!(digest);
    let drop = |doc: &mut Value| {
        edit_keys(doc, |keys| keys.retain(|k| *k != digest));
        Ok(())
    };
    match edit::edit(&cx.client, &doc, Rules::RETRY, drop).await? {
        Edit::Changed(change) => cx.out.change(&change, "key removed")?,
        Edit::Same(rev) => cx.out.unchanged(&doc, rev, "has no such key")?,
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
