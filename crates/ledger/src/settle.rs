//! Ends a claim: stores its outcome, marks it as not run, or withdraws it. Keeps writes that
//! failed.

use table::{Expect, TableError};

use crate::{
    Claim, Ledger, LedgerError, MAX_TRIES, Outcome,
    call::ClaimRecord,
    row::{Entry, State},
};

/// Maximum number of rows kept for [`Ledger::write_pending`]. A row above the limit is dropped; its
/// key then stays in the state "may have run" for ever.
const MAX_PENDING: usize = 4096;

/// How a claim ends.
#[derive(Debug, Clone)]
enum ClaimEnd {
    /// The call ran with this outcome.
    Store(Outcome),
    /// The call did not run.
    MarkNotRun,
    /// The outcome of the claim's write is unknown, and the holder sent nothing.
    Withdraw,
}

/// A row that is still to be written.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrite {
    record: ClaimRecord,
    end: ClaimEnd,
}

impl PendingWrite {
    /// Withdraws a claim whose write has an unknown outcome.
    pub(crate) fn withdraw(record: ClaimRecord) -> Self {
        Self { record, end: ClaimEnd::Withdraw }
    }

    fn serial(&self) -> u64 {
        self.record.holder.serial
    }
}

/// Error of ending a claim.
enum EndError {
    /// The row could not be read or written for this reason; try again later.
    Retry(std::sync::Arc<str>),
    /// The row does not belong to the claim; do not try again.
    NotHeld,
}

impl From<TableError> for EndError {
    fn from(error: TableError) -> Self {
        Self::Retry(error.to_string().into())
    }
}

impl Ledger {
    /// Stores the outcome of a call that was sent. This is idempotent. If the outcome can't be
    /// written now, it is kept in memory for [`Ledger::write_pending`] and
    /// [`LedgerError::Deferred`] is returned; the holder may return the outcome to its caller all
    /// the same.
    pub async fn store_outcome(&self, claim: &Claim, outcome: Outcome) -> Result<(), LedgerError> {
        self.end(PendingWrite { record: claim.record().clone(), end: ClaimEnd::Store(outcome) })
            .await
    }

    /// Marks a call as not run, so that its key may be used again. Only a holder that sent no byte
    /// of the call, or whose target refused the call before running it, may do so. The claim is
    /// consumed, so the call does not run later either, even if this returns
    /// [`LedgerError::Deferred`].
    pub async fn mark_not_run(&self, claim: Claim) -> Result<(), LedgerError> {
        self.end(PendingWrite { record: claim.record().clone(), end: ClaimEnd::MarkNotRun }).await
    }

    /// Writes the rows that could not be written before, and stops at the first that fails again.
    /// Returns the number of rows that are left.
    pub async fn write_pending(&self) -> usize {
        self.write_some_pending(MAX_PENDING).await
    }

    /// Like [`Ledger::write_pending`], but for at most `limit` rows, with outcomes before claims to
    /// be withdrawn. The limit keeps instances with long lists from overloading a table service
    /// that has just recovered.
    pub async fn write_some_pending(&self, limit: usize) -> usize {
        let mut batch = self.pending.lock().clone();
        batch.sort_by_key(|p| matches!(p.end, ClaimEnd::Withdraw));
        batch.truncate(limit);
        for pending in batch {
            if let Err(EndError::Retry(_)) = self.try_end(&pending).await {
                break;
            }
            let mut list = self.pending.lock();
            if let Ok(at) = list.binary_search_by_key(&pending.serial(), PendingWrite::serial) {
                list.remove(at);
            }
        }
        self.pending_count()
    }

    /// Keeps a row for the next [`Ledger::write_pending`].
    pub(crate) fn defer(&self, pending: PendingWrite) {
        let mut list = self.pending.lock();
        match list.binary_search_by_key(&pending.serial(), PendingWrite::serial) {
            Ok(at) => list[at] = pending,
            Err(at) if list.len() < MAX_PENDING => list.insert(at, pending),
            Err(_) => {}
        }
    }

    async fn end(&self, pending: PendingWrite) -> Result<(), LedgerError> {
        match self.try_end(&pending).await {
            Ok(()) => Ok(()),
            Err(EndError::NotHeld) => Err(LedgerError::NotHeld),
            Err(EndError::Retry(reason)) => {
                self.defer(pending);
                Err(LedgerError::Deferred(reason))
            }
        }
    }

    async fn try_end(&self, pending: &PendingWrite) -> Result<(), EndError> {
        let record = &pending.record;
        let state = match &pending.end {
            ClaimEnd::Withdraw => return self.withdraw(record).await,
            ClaimEnd::MarkNotRun => State::NotRun,
            ClaimEnd::Store(outcome) => {
                let kept = self.store(&record.call, outcome).await;
                State::Done(kept.map_err(|e| EndError::Retry(e.to_string().into()))?)
            }
        };
        let entry = record.entry(state);
        let mut reason = TableError::Conflict;
        let mut expect = Expect::Version(record.version());
        for _ in 0..MAX_TRIES {
            match self.write(&record.call, expect, &entry).await {
                Ok(()) => return Ok(()),
                Err(TableError::Refused(text)) => return Err(EndError::Retry(text)),
                Err(e) => reason = e,
            }
            expect = match self.read(&record.call).await? {
                Some(e) if e.holder == entry.holder && e.state == entry.state => return Ok(()),
                Some(e) if e.held_by(&record.holder) => Expect::Version(e.version),
                // The claim was in the row. It is lost if the table service has returned from an
                // older copy, and the key must not stay free.
                Some(e) if e.is_marked_not_run() => Expect::Version(e.version),
                None => Expect::Absent,
                Some(_) => return Err(EndError::NotHeld),
            };
        }
        Err(reason.into())
    }

    /// Makes sure that a claim whose write has an unknown outcome neither holds now nor appears
    /// later: marks it as not run, or changes the row so that the write's condition fails.
    async fn withdraw(&self, record: &ClaimRecord) -> Result<(), EndError> {
        let not_run = record.entry(State::NotRun);
        for _ in 0..MAX_TRIES {
            let Some(expect) = withdraw_condition(self.read(&record.call).await?, record) else {
                return Ok(());
            };
            match self.write(&record.call, expect, &not_run).await {
                Ok(()) => return Ok(()),
                Err(TableError::Conflict) => {}
                Err(e) => return Err(e.into()),
            }
        }
        Err(TableError::Conflict.into())
    }
}

/// Condition for marking the row as not run; `None` if the write with the unknown outcome neither
/// took effect nor can do so.
fn withdraw_condition(entry: Option<Entry>, record: &ClaimRecord) -> Option<Expect> {
    let now = entry.as_ref().map_or(Expect::Absent, |e| Expect::Version(e.version));
    match entry {
        Some(e) if e.held_by(&record.holder) => Some(now),
        _ if now == record.expect => Some(now),
        _ => None,
    }
}
