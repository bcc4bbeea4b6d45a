//! Snapshots of the view. With them a new instance need not read the whole log.

use std::sync::Arc;

use ident::Rev;
use table::{Expect, TableError, Version, Write};

use super::{
    HEAD_PARTITION, LoadError, PAGE_SIZE, Store, decode, encode, known::MAX_RECENT_CHANGES,
};
use crate::{
    Change, View,
    wire::{PointerWire, ViewWire},
};

/// Number of revisions between two snapshots. The instance that accepts a change with a multiple of
/// this revision writes a snapshot.
pub const SNAPSHOT_INTERVAL_REVS: u64 = 256;
/// Prefix of the snapshots in the object store.
const SNAPSHOT_PREFIX: &str = "conf/snapshot";
/// Sort key of the row that points to the newest snapshot.
const POINTER_KEY: &str = "snapshot";
/// Maximum number of attempts to write the pointer.
const MAX_TRIES: usize = 4;

impl Store {
    /// Whether the instance that accepted `change` has to write a snapshot.
    pub fn snapshot_due(change: &Change) -> bool {
        change.rev.0.is_multiple_of(SNAPSHOT_INTERVAL_REVS)
    }

    /// Loads the view at the end of the log: from the newest snapshot and the changes after it, or
    /// from the whole log if there is no snapshot that can be read.
    pub async fn load(&self) -> Result<View, LoadError> {
        Ok(self.load_changes().await?.0)
    }

    /// Loads the view, and returns it with its last changes, as far as they were read from the log.
    pub(super) async fn load_changes(&self) -> Result<(View, Vec<Change>), LoadError> {
        let mut view = self.load_snapshot().await?.unwrap_or_default();
        let mut last = Vec::new();
        loop {
            let changes = self.changes(view.rev(), PAGE_SIZE).await?;
            if changes.is_empty() {
                return Ok((view, last));
            }
            view.extend(&changes)?;
            last.extend(changes);
            last.drain(..last.len().saturating_sub(MAX_RECENT_CHANGES));
        }
    }

    /// Writes a snapshot of `view` and makes the pointer refer to it. The pointer never moves to an
    /// older revision: if its snapshot is at least as new as `view`, this does nothing.
    pub async fn snapshot(&self, view: &View) -> Result<(), LoadError> {
        let old = self.pointer().await?;
        if old.is_some_and(|(rev, _, _)| rev >= view.rev()) {
            return Ok(());
        }
        let bytes = serde_json::to_vec(&ViewWire::from(view))
            .expect("wire types have string keys and always serialise");
        let digest = self.blob.put(SNAPSHOT_PREFIX, bytes.into()).await?;
        let wire = encode(&PointerWire { rev: view.rev().0, digest });
        for _ in 0..MAX_TRIES {
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

    /// Revision and digest of the newest snapshot, and the version of the pointer row; `None` if
    /// there is no snapshot.
    async fn pointer(&self) -> Result<Option<(Rev, ident::Digest, Version)>, TableError> {
        let Some(row) = self.table.get(HEAD_PARTITION, POINTER_KEY).await? else { return Ok(None) };
        let wire: PointerWire = decode(&row)?;
        Ok(Some((Rev(wire.rev), wire.digest, row.version)))
    }

    /// Loads the newest snapshot; `None` if it is missing, damaged or can't be read. Loading the
    /// log instead gives the same view, but takes longer.
    async fn load_snapshot(&self) -> Result<Option<View>, TableError> {
        let Some((rev, digest, _)) = self.pointer().await? else { return Ok(None) };
        let bytes = match self.blob.get(SNAPSHOT_PREFIX, digest).await {
            Ok(bytes) => bytes,
            Err(e) => {
                tracing::warn!(%rev, error = %e, "snapshot could not be read; loading the whole change log");
                return Ok(None);
            }
        };
        let view = serde_json::from_slice::<ViewWire>(&bytes).ok().map(View::from);
        Ok(view.filter(|v| v.rev() == rev))
    }
}

fn pointer_write(expect: Expect, body: Arc<str>) -> Write {
    Write { part: HEAD_PARTITION.into(), sort: POINTER_KEY.into(), expect, body: Some(body) }
}
