//! The change log in the table service, with snapshots in the object store.
//!
//! Each accepted change is one transaction over four rows: the next row of the log, the head, the
//! document and the change id. The conditional write of the head serialises changes: it succeeds
//! only if no other change was accepted since the view against which the change was checked. Each
//! transaction writes the head once, so the version of the head row equals the revision.

mod accept;
mod known;
mod restore;
mod snapshot;

use std::sync::Arc;

use blob::{Blob, BlobError};
use ident::Rev;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use table::{Row, Table, TableError};

use self::known::Known;
pub use self::{accept::AcceptError, snapshot::SNAPSHOT_INTERVAL_REVS};
use crate::{ApplyError, Change, View, wire::ChangeWire};

/// Partition of the change log. Sort keys are revisions, padded with zeros to equal length.
const LOG_PARTITION: &str = "conf/log";
/// Partition of the head row and of the pointer to the newest snapshot.
const HEAD_PARTITION: &str = "conf/head";
/// Sort key of the head row.
const HEAD_KEY: &str = "head";
/// Partition of the documents.
const DOC_PARTITION: &str = "conf/doc";
/// Partition of the change ids.
const ID_PARTITION: &str = "conf/id";
/// Maximum number of changes in one read of the log.
const PAGE_SIZE: usize = 500;

/// Error of reading the configuration or writing a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LoadError {
    /// The change log could not be read from the table service.
    #[error("the change log could not be read: {0}")]
    Table(#[from] TableError),
    /// A change of the log can't be applied to the view: a revision is missing or a key differs.
    #[error("the change log does not follow the view: {0}")]
    Apply(#[from] ApplyError),
    /// A snapshot could not be written to or read from the object store.
    #[error("the snapshot could not be moved: {0}")]
    Blob(#[from] BlobError),
    /// The change log ends before the view, as after a return of the table service to an older
    /// copy, and this store does not hold all changes that it lacks.
    #[error(
        "the change log ends at {head} before {view}, and the changes between are not held here"
    )]
    Lost {
        /// Last revision of the log.
        head: Rev,
        /// Revision of the view.
        view: Rev,
    },
    /// The change log has another change at this revision than the view.
    #[error("the change log has another change at {0} than the configuration in force")]
    Diverged(Rev),
}

/// Reads and follows the accepted configuration, and accepts changes.
pub struct Store {
    table: Arc<dyn Table>,
    blob: Arc<dyn Blob>,
    known: Mutex<Known>,
}

impl Store {
    /// Creates a store over these services. It reads nothing yet.
    pub fn new(table: Arc<dyn Table>, blob: Arc<dyn Blob>) -> Self {
        Self { table, blob, known: Mutex::default() }
    }

    /// The newest view of this store. The call is cheap because the documents are shared.
    pub fn view(&self) -> Arc<View> {
        self.known.lock().view.clone()
    }

    /// The changes of the view after revision `after`, in order. Empty if this store does not hold
    /// all of them.
    pub fn recent(&self, after: Rev) -> Vec<Change> {
        self.known.lock().changes_after(after)
    }

    /// Reads up to `limit` changes after revision `after`, in order and without gaps. Fewer than
    /// `limit` changes do not mean that there are no more, but an empty result does.
    pub async fn changes(&self, after: Rev, limit: usize) -> Result<Vec<Change>, TableError> {
        let rows = self.table.range(LOG_PARTITION, &log_key(after), limit).await?;
        let changes: Vec<Change> = rows
            .iter()
            .map(|r| decode::<ChangeWire>(r).map(Into::into))
            .collect::<Result<_, _>>()?;
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

    /// Applies changes from any source, such as a peer. Known changes are ignored. Returns the
    /// revision of the view.
    pub fn apply(&self, changes: &[Change]) -> Result<Rev, ApplyError> {
        self.known.lock().extend(changes)
    }

    /// Reads up to `limit` changes after the view and applies them. Returns whether there may be
    /// more. Changes that the log has lost are written to it again.
    pub async fn follow(&self, limit: usize) -> Result<bool, LoadError> {
        // The log has what was known before it is read.
        let (rev, last) = self.known.lock().end();
        if rev == Rev(0) {
            let (view, changes) = self.load_changes().await?;
            self.known.lock().replace(view, changes);
            return Ok(false);
        }
        let mut changes = self.changes(Rev(rev.0 - 1), limit + 1).await?;
        let Some(first) = changes.first() else {
            self.restore().await?;
            return Ok(true);
        };
        if last.is_some_and(|id| id != first.id) {
            return Err(LoadError::Diverged(rev));
        }
        changes.remove(0);
        self.apply(&changes)?;
        // Only an empty answer shows that the end of the log is reached.
        Ok(!changes.is_empty())
    }

    /// Reads the log to its end and returns the view, which is at least as new as the log was when
    /// the call began.
    pub async fn refresh(&self) -> Result<Arc<View>, LoadError> {
        while self.follow(PAGE_SIZE).await? {}
        Ok(self.view())
    }
}

/// Sort key of a revision in the log.
fn log_key(rev: Rev) -> String {
    format!("{:020}", rev.0)
}

/// Decodes the body of a row.
fn decode<T>(row: &Row) -> Result<T, TableError>
where
    T: DeserializeOwned,
{
    serde_json::from_str(&row.body).map_err(|e| {
        let text = format!("row {} {} is not understood: {e}", row.part, row.sort);
        TableError::Malformed(text.into())
    })
}

/// Encodes the body of a row.
fn encode<T>(wire: &T) -> Arc<str>
where
    T: serde::Serialize,
{
    serde_json::to_string(wire).expect("wire types have string keys and always serialise").into()
}
