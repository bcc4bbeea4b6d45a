//! Snapshots of the view, so that a new instance need not read the whole log.

use std::sync::Arc;

use ident::Rev;
use table::{Expect, TableError, Write};

use super::{HEAD, LoadError, PAGE, Store, body, read};
use crate::{
    Change, View,
    wire::{PointerWire, ViewWire},
};

/// Whoever accepts a change whose revision is a multiple of this writes a snapshot.
pub const SNAPSHOT_EVERY: u64 = 256;
/// Prefix of snapshots in the object store.
const PREFIX: &str = "conf/snapshot";
/// Sort key of the pointer.
const POINTER: &str = "snapshot";
/// Tries at moving the pointer.
const TRIES: usize = 4;

impl Store {
    /// Whether the acceptor of `change` is to write a snapshot.
    pub fn snapshot_due(change: &Change) -> bool {
        change.rev.0.is_multiple_of(SNAPSHOT_EVERY)
    }

    /// The view at the end of the log: the newest snapshot and the changes after it, or the whole
    /// log where there is no snapshot or it can't be read.
    pub async fn load(&self) -> Result<View, LoadError> {
        let mut view = self.load_snapshot().await?.unwrap_or_default();
        loop {
            let changes = self.changes(view.rev(), PAGE).await?;
            if changes.is_empty() {
                return Ok(view);
            }
            view.extend(&changes)?;
        }
    }

    /// Writes a snapshot of `view` and points at it. The pointer never moves back; an older view
    /// than the one pointed at changes nothing.
    pub async fn snapshot(&self, view: &View) -> Result<(), LoadError> {
        let old = self.pointer().await?;
        if old.is_some_and(|(rev, _, _)| rev >= view.rev()) {
            return Ok(());
        }
        let bytes = serde_json::to_vec(&ViewWire::from(view))
            .expect("wire types have string keys and always serialise");
        let digest = self.blob.put(PREFIX, bytes.into()).await?;
        let wire = body(&PointerWire { rev: view.rev().0, digest });
        for _ in 0..TRIES {
            let old = self.pointer().await?;
            if old.is_some_and(|(rev, _, _)| rev >= view.rev()) {
                return Ok(());
            }
            let expect = old.map_or(Expect::Absent, |(_, _, version)| Expect::Version(version));
            match self.table.commit(vec![pointer_write(expect, wire.clone())]).await {
                Err(TableError::Conflict) => {}
                other => return Ok(other?),
            }
        }
        Err(TableError::Conflict.into())
    }

    /// Revision and digest of the newest snapshot, and the pointer row's version.
    async fn pointer(&self) -> Result<Option<(Rev, ident::Digest, u64)>, TableError> {
        let Some(row) = self.table.get(HEAD, POINTER).await? else { return Ok(None) };
        let wire: PointerWire = read(&row)?;
        Ok(Some((Rev(wire.rev), wire.digest, row.version)))
    }

    /// The newest snapshot; `None` where it is missing, damaged or out of reach. The log holds the
    /// same, so that costs time only.
    async fn load_snapshot(&self) -> Result<Option<View>, TableError> {
        let Some((rev, digest, _)) = self.pointer().await? else { return Ok(None) };
        let bytes = match self.blob.get(PREFIX, digest).await {
            Ok(bytes) => bytes,
            Err(e) => {
                tracing::warn!(%rev, error = %e, "snapshot not readable, reading the whole log");
                return Ok(None);
            }
        };
        let view = serde_json::from_slice::<ViewWire>(&bytes).ok().map(View::from);
        Ok(view.filter(|v| v.rev() == rev))
    }
}

fn pointer_write(expect: Expect, body: Arc<str>) -> Write {
    Write { part: HEAD.into(), sort: POINTER.into(), expect, body: Some(body) }
}
