//! The change log in the table service, with snapshots in the object store.
//!
//! One accepted change is one transaction over four rows: the next row of the log, the head, the
//! document and the change id. The head is the lock: its condition holds only while no other
//! change was accepted since the view that the change was checked against. Each transaction writes
//! the head once, so the head row's version equals the revision.

mod accept;
mod snapshot;

use std::sync::Arc;

use blob::{Blob, BlobError};
use ident::Rev;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use table::{Row, Table, TableError};

pub use self::{accept::AcceptError, snapshot::SNAPSHOT_EVERY};
use crate::{ApplyError, Change, View, wire::ChangeWire};

/// Partition of the change log; sort keys are revisions, padded to equal length.
const LOG: &str = "conf/log";
/// Partition of the head and of the snapshot's pointer.
const HEAD: &str = "conf/head";
/// Partition of single documents.
const DOCS: &str = "conf/doc";
/// Partition of change ids.
const IDS: &str = "conf/id";
/// Changes read at once while catching up.
const PAGE: usize = 500;

/// Why the configuration could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// The table service did not deliver the log.
    #[error("the change log could not be read: {0}")]
    Table(#[from] TableError),
    /// The log does not follow the view.
    #[error("the change log does not follow the view: {0}")]
    Apply(#[from] ApplyError),
    /// The object store did not take or deliver a snapshot.
    #[error("the snapshot could not be moved: {0}")]
    Blob(#[from] BlobError),
}

/// The accepted configuration: reads, follows and extends it.
pub struct Store {
    table: Arc<dyn Table>,
    blob: Arc<dyn Blob>,
    /// The newest view known. Its revision never decreases.
    view: Mutex<Arc<View>>,
}

impl Store {
    /// A store over these services. Reads nothing yet.
    pub fn new(table: Arc<dyn Table>, blob: Arc<dyn Blob>) -> Self {
        Self { table, blob, view: Mutex::new(Arc::default()) }
    }

    /// The newest view this store has seen. Cheap: documents are shared.
    pub fn view(&self) -> Arc<View> {
        self.view.lock().clone()
    }

    /// Up to `limit` changes after revision `after`, in order and without gaps. Fewer do not mean
    /// that there are no more; none does.
    pub async fn changes(&self, after: Rev, limit: usize) -> Result<Vec<Change>, TableError> {
        let rows = self.table.range(LOG, &log_sort(after), limit).await?;
        let changes: Vec<Change> =
            rows.iter().map(|r| read::<ChangeWire>(r).map(Into::into)).collect::<Result<_, _>>()?;
        let mut rev = after;
        for change in &changes {
            if change.rev != rev.next() {
                let text = format!("the log has {} after {rev}", change.rev);
                return Err(TableError::Malformed(text.into()));
            }
            rev = change.rev;
        }
        Ok(changes)
    }

    /// Takes in changes from wherever they came, such as a peer; known ones are ignored. Returns
    /// the view's revision.
    pub fn learn(&self, changes: &[Change]) -> Result<Rev, ApplyError> {
        let mut slot = self.view.lock();
        if changes.last().is_some_and(|c| c.rev > slot.rev()) {
            // Copies the view only while a reader still holds it.
            Arc::make_mut(&mut slot).extend(changes)?;
        }
        Ok(slot.rev())
    }

    /// Reads from the table until nothing newer is there and returns the view, which is at least
    /// as new as the log was when the call began.
    pub async fn refresh(&self) -> Result<Arc<View>, LoadError> {
        if self.view().rev() == Rev(0) {
            self.offer(self.load().await?);
        }
        loop {
            let changes = self.changes(self.view().rev(), PAGE).await?;
            if changes.is_empty() {
                return Ok(self.view());
            }
            self.learn(&changes)?;
        }
    }

    /// Keeps `view` when it is newer than the one held.
    fn offer(&self, view: View) {
        let mut slot = self.view.lock();
        if view.rev() > slot.rev() {
            *slot = Arc::new(view);
        }
    }
}

/// The log's sort key of a revision.
fn log_sort(rev: Rev) -> String {
    format!("{:020}", rev.0)
}

/// Reads a row's body.
fn read<T>(row: &Row) -> Result<T, TableError>
where
    T: DeserializeOwned,
{
    serde_json::from_str(&row.body).map_err(|e| {
        let text = format!("row {} {} is not understood: {e}", row.part, row.sort);
        TableError::Malformed(text.into())
    })
}

/// Writes a row's body.
fn body<T>(wire: &T) -> Arc<str>
where
    T: serde::Serialize,
{
    serde_json::to_string(wire).expect("wire types have string keys and always serialise").into()
}
