//! Reads a document, edits it and writes it back.

use std::time::Duration;

use admin::ChangeWire;
use conf::DocKey;
use ident::{RequestId, Rev};
use serde_json::Value;

use crate::{
    client::{ChangeRequest, Client},
    error::CommandError,
    random,
};

/// How often an edit is attempted if other changes are accepted first.
const MAX_ATTEMPTS: u32 = 16;

/// How often a document is read until it shows the change that was accepted first.
const MAX_READS: u32 = 50;

/// Pause between two such reads.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of an edit.
#[derive(Debug)]
pub enum EditOutcome {
    /// The document needed no change; holds its revision.
    Unchanged(Rev),
    /// The change was accepted.
    Changed(ChangeWire),
}

/// Options of an edit.
#[derive(Debug, Clone, Copy)]
pub struct EditOptions {
    /// Change id that the operator gave; `None` creates one for each attempt.
    pub id: Option<RequestId>,
    /// Revision that the document must have; `None` takes the one that was read.
    pub expect: Option<Rev>,
    /// Whether to read and edit again if another change was accepted first.
    pub retry: bool,
}

impl EditOptions {
    /// Repeats the edit if another change was accepted first.
    pub const RETRY: Self = Self { id: None, expect: None, retry: true };
}

/// Edits an existing document. `apply` edits its fields and may run more than once.
pub async fn edit<F>(
    client: &Client,
    key: &DocKey,
    options: EditOptions,
    apply: F,
) -> Result<EditOutcome, CommandError>
where
    F: Fn(&mut Value) -> Result<(), CommandError>,
{
    let (mut doc, mut rev) = client.doc(key).await?;
    for attempt in 1.. {
        let mut value = doc.clone();
        apply(&mut value)?;
        if value == doc && options.id.is_none() {
            return Ok(EditOutcome::Unchanged(rev));
        }
        let id = options.id.unwrap_or_else(random::change_id);
        let expect = Some(options.expect.unwrap_or(rev));
        let repeated = options.id.is_some();
        let request = ChangeRequest { id, repeated, key: key.clone(), value: Some(value), expect };
        match client.change(&request).await {
            Ok(change) => return Ok(EditOutcome::Changed(change)),
            Err(CommandError::Conflict { current: Some(_), .. })
                if options.retry && options.expect.is_none() && attempt < MAX_ATTEMPTS =>
            {
                (doc, rev) = read_newer(client, key, rev).await?;
            }
            Err(e) => return Err(e),
        }
    }
    unreachable!("the last attempt returns")
}

/// Reads the document until its revision is no longer `old`. An instance may lag behind the log.
async fn read_newer(client: &Client, key: &DocKey, old: Rev) -> Result<(Value, Rev), CommandError> {
    for _ in 0..MAX_READS {
        let (doc, rev) = client.doc(key).await?;
        if rev != old {
            return Ok((doc, rev));
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
    let (kind, name) = (key.kind, key.name.clone());
    Err(CommandError::InstanceBehind { kind, name })
}
