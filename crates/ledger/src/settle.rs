//! Ending a claim: its outcome, its voiding, and what could not be written at once.

use table::{Expect, TableError};

use crate::{
    Claim, Ledger, LedgerError, Outcome, TRIES,
    call::Ticket,
    row::{Entry, State},
};

/// Most rows kept for [`Ledger::sweep`]. One that finds no room is dropped; its key then reads as
/// "may have run" for good.
const MAX_PENDING: usize = 4096;

/// How a claim is to end.
#[derive(Debug, Clone)]
enum End {
    /// It ran and this came back.
    Finish(Outcome),
    /// The holder never sent.
    Void,
    /// The claim's write was lost and the holder never sent.
    Withdraw,
}

/// A row still to be written.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    ticket: Ticket,
    end: End,
}

impl Pending {
    /// The end of a claim whose write was lost.
    pub(crate) fn withdraw(ticket: Ticket) -> Self {
        Self { ticket, end: End::Withdraw }
    }

    fn serial(&self) -> u64 {
        self.ticket.holder.serial
    }
}

/// Why a claim could not be ended now.
enum EndError {
    /// Worth another try later.
    Later(std::sync::Arc<str>),
    /// Never.
    NotHeld,
}

impl From<TableError> for EndError {
    fn from(error: TableError) -> Self {
        Self::Later(error.to_string().into())
    }
}

impl Ledger {
    /// Stores the outcome of a call that was sent. Idempotent. When it can't be written now it is
    /// kept in memory for [`Ledger::sweep`]; the caller may hand out the outcome all the same.
    pub async fn finish(&self, claim: &Claim, outcome: Outcome) -> Result<(), LedgerError> {
        self.end(Pending { ticket: claim.ticket().clone(), end: End::Finish(outcome) }).await
    }

    /// Frees the key of a call that did not run. Only for a holder that sent no byte of it, or
    /// whose target refused it before running it. Because the claim is consumed, the call does not
    /// run later either, even where this returns [`LedgerError::Deferred`].
    pub async fn void(&self, claim: Claim) -> Result<(), LedgerError> {
        self.end(Pending { ticket: claim.ticket().clone(), end: End::Void }).await
    }

    /// Writes what could not be written before, and stops at the first row that still can't be.
    /// Returns the number of rows left.
    pub async fn sweep(&self) -> usize {
        self.sweep_some(MAX_PENDING).await
    }

    /// Like [`Ledger::sweep`] for at most `most` rows, outcomes before claims to be withdrawn, so
    /// that instances with long lists do not flood a table service that has just come back.
    pub async fn sweep_some(&self, most: usize) -> usize {
        let mut batch = self.pending.lock().clone();
        batch.sort_by_key(|p| matches!(p.end, End::Withdraw));
        batch.truncate(most);
        for pending in batch {
            if let Err(EndError::Later(_)) = self.try_end(&pending).await {
                break;
            }
            let mut list = self.pending.lock();
            if let Ok(at) = list.binary_search_by_key(&pending.serial(), Pending::serial) {
                list.remove(at);
            }
        }
        self.pending()
    }

    /// Keeps a row for the next sweep.
    pub(crate) fn defer(&self, pending: Pending) {
        let mut list = self.pending.lock();
        match list.binary_search_by_key(&pending.serial(), Pending::serial) {
            Ok(at) => list[at] = pending,
            Err(at) if list.len() < MAX_PENDING => list.insert(at, pending),
            Err(_) => {}
        }
    }

    async fn end(&self, pending: Pending) -> Result<(), LedgerError> {
        match self.try_end(&pending).await {
            Ok(()) => Ok(()),
            Err(EndError::NotHeld) => Err(LedgerError::NotHeld),
            Err(EndError::Later(reason)) => {
                self.defer(pending);
                Err(LedgerError::Deferred(reason))
            }
        }
    }

    async fn try_end(&self, pending: &Pending) -> Result<(), EndError> {
        let ticket = &pending.ticket;
        let state = match &pending.end {
            End::Withdraw => return self.withdraw(ticket).await,
            End::Void => State::Void,
            End::Finish(outcome) => {
                let kept = self.keep(&ticket.call, outcome).await;
                State::Done(kept.map_err(|e| EndError::Later(e.to_string().into()))?)
            }
        };
        let entry = ticket.entry(state);
        let mut reason = TableError::Conflict;
        for _ in 0..TRIES {
            let expect = Expect::Version(ticket.version());
            match self.write(&ticket.call, expect, &entry).await {
                Ok(()) => return Ok(()),
                Err(TableError::Refused(text)) => return Err(EndError::Later(text)),
                Err(e) => reason = e,
            }
            match self.read(&ticket.call).await? {
                Some(e) if e.holder == entry.holder && e.state == entry.state => return Ok(()),
                Some(e) if e.held_by(&ticket.holder) => {}
                _ => return Err(EndError::NotHeld),
            }
        }
        Err(reason.into())
    }

    /// Makes sure that a claim whose write was lost neither stands nor appears later: voids it,
    /// or writes over the state that its write asked for.
    async fn withdraw(&self, ticket: &Ticket) -> Result<(), EndError> {
        let void = ticket.entry(State::Void);
        for _ in 0..TRIES {
            let Some(expect) = open(self.read(&ticket.call).await?, ticket) else { return Ok(()) };
            match self.write(&ticket.call, expect, &void).await {
                Ok(()) => return Ok(()),
                Err(TableError::Conflict) => {}
                Err(e) => return Err(e.into()),
            }
        }
        Err(TableError::Conflict.into())
    }
}

/// The condition for voiding the row; `None` when the lost write neither took effect nor can.
fn open(entry: Option<Entry>, ticket: &Ticket) -> Option<Expect> {
    let now = entry.as_ref().map_or(Expect::Absent, |e| Expect::Version(e.version));
    match entry {
        Some(e) if e.held_by(&ticket.holder) => Some(now),
        _ if now == ticket.expect => Some(now),
        _ => None,
    }
}
