//! Read, modify and write back.

use std::time::Duration;

use admin::ChangeWire;
use conf::DocKey;
use ident::{RequestId, Rev};
use serde_json::Value;

use crate::{
    client::{Client, Wanted},
    failure::Failure,
    random,
};

/// How often a lost race is run again.
const RACES: u32 = 16;

/// How often an instance is asked for the revision that won, and the pause between.
const READS: u32 = 50;

/// Pause between two reads.
const PAUSE: Duration = Duration::from_millis(100);

/// What became of an edit.
#[derive(Debug)]
pub enum Edit {
    /// The document already was as wanted.
    Same(Rev),
    /// The change was accepted.
    Changed(ChangeWire),
}

/// How an edit is made.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// The id of the change, where one is given.
    pub id: Option<RequestId>,
    /// The revision the document must have.
    pub expect: Option<Rev>,
    /// Whether to read again and edit again when another change came first.
    pub retry: bool,
}

impl Rules {
    /// Edits again until it wins.
    pub const RETRY: Self = Self { id: None, expect: None, retry: true };
}

/// Changes a document that exists. `apply` edits its fields and may run more than once.
pub async fn edit<F>(client: &Client, key: &DocKey, rules: Rules, apply: F) -> Result<Edit, Failure>
where
    F: Fn(&mut Value) -> Result<(), Failure>,
{
    let (mut doc, mut rev) = client.doc(key).await?;
    for race in 1.. {
        let mut value = doc.clone();
        apply(&mut value)?;
        if value == doc && rules.id.is_none() {
            return Ok(Edit::Same(rev));
        }
        let id = rules.id.unwrap_or_else(random::change_id);
        let expect = Some(rules.expect.unwrap_or(rev));
        let repeated = rules.id.is_some();
        let wanted = Wanted { id, repeated, key: key.clone(), value: Some(value), expect };
        match client.change(&wanted).await {
            Ok(change) => return Ok(Edit::Changed(change)),
            Err(Failure::Conflict { current: Some(_), .. })
                if rules.retry && rules.expect.is_none() && race < RACES =>
            {
                (doc, rev) = newer(client, key, rev).await?;
            }
            Err(e) => return Err(e),
        }
    }
    unreachable!("the last race returns")
}

/// Reads until an instance has caught up with the change that won over `old`.
async fn newer(client: &Client, key: &DocKey, old: Rev) -> Result<(Value, Rev), Failure> {
    for _ in 0..READS {
        let (doc, rev) = client.doc(key).await?;
        if rev != old {
            return Ok((doc, rev));
        }
        tokio::time::sleep(PAUSE).await;
    }
    let (kind, name) = (key.kind, key.name.clone());
    Err(Failure::Behind { kind, name })
}
