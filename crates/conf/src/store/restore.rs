//! Writes changes to the log again that it has lost because the table service returned from an older
//! copy of its content.

use ident::Rev;
use table::{Expect, TableError, Version};

use super::{HEAD_KEY, HEAD_PARTITION, LoadError, Store, decode};
use crate::wire::RevWire;

/// Maximum number of writes in one call that fail because another instance writes, too.
const MAX_CONFLICTS: usize = 32;

/// The end of the log.
pub(super) struct Head {
    /// Last revision; 0 if the log is empty.
    pub(super) rev: Rev,
    /// Version of the row that names it; `None` if there is none.
    version: Option<Version>,
}

impl Head {
    /// Condition that the log still ends here.
    pub(super) fn expect(&self) -> Expect {
        self.version.map_or(Expect::Absent, Expect::Version)
    }
}

impl Store {
    /// Reads the end of the log.
    pub(super) async fn head(&self) -> Result<Head, TableError> {
        let Some(row) = self.table.get(HEAD_PARTITION, HEAD_KEY).await? else {
            return Ok(Head { rev: Rev(0), version: None });
        };
        Ok(Head { rev: Rev(decode::<RevWire>(&row)?.rev), version: Some(row.version) })
    }

    /// Writes the changes of the view again that the log lacks, in order of revision. Other
    /// instances may do the same at the same time.
    pub(super) async fn restore(&self) -> Result<(), LoadError> {
        let mut conflicts = 0;
        loop {
            let head = self.head().await?;
            let (view, _) = self.known.lock().end();
            if head.rev >= view {
                return Ok(());
            }
            self.check_same_change(head.rev).await?;
            let change = self.known.lock().change(head.rev.next()).cloned();
            let change = change.ok_or(LoadError::Lost { head: head.rev, view })?;
            match self.write(&change, &head).await {
                Ok(()) => {
                    tracing::info!(rev = %change.rev, id = %change.id, "change written to the log again")
                }
                Err(TableError::Conflict) if conflicts < MAX_CONFLICTS => conflicts += 1,
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Checks that the log and the view have the same change at `rev`, where both are known. Ids are
    /// compared, since a change that an instance of an older release has handed on may lack fields.
    async fn check_same_change(&self, rev: Rev) -> Result<(), LoadError> {
        let Some(id) = self.known.lock().change(rev).map(|c| c.id) else { return Ok(()) };
        let logged = self.changes(Rev(rev.0 - 1), 1).await?;
        match logged.first() {
            Some(change) if change.id != id => Err(LoadError::Diverged(rev)),
            _ => Ok(()),
        }
    }
}
