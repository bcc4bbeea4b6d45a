//! At-most-once calls: a call with an idempotency key is sent to its target at most once.
//!
//! A call is claimed by a row in the table service before its first byte is sent. From then on
//! only the holder of the claim may say that the call did not run, by voiding the row; every other
//! caller with the same key hears the stored outcome, "running" or "may have run". A holder that
//! was paused past its send deadline must not send any more; see [`Claim::may_send`].

mod call;
mod row;
mod settle;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use blob::Blob;
use ident::{Clock, Digest, Name, RequestId, Time};
use parking_lot::Mutex;
use table::{Expect, Table, TableError};

pub use crate::call::{Begin, CallId, Claim, KeyError, LedgerError, Outcome, SEND_WINDOW, Status};
use crate::{
    call::{Holder, Ticket},
    row::{Entry, State},
    settle::Pending,
};

/// Tries at writing one row.
const TRIES: usize = 4;

/// Claims calls and keeps their outcomes.
pub struct Ledger {
    table: Arc<dyn Table>,
    blob: Arc<dyn Blob>,
    clock: Arc<dyn Clock>,
    node: Name,
    /// Serial number of the next claim.
    serial: AtomicU64,
    /// Rows still to be written. Sorted by the claim's serial number, one per claim.
    pending: Mutex<Vec<Pending>>,
}

impl Ledger {
    /// A ledger of the instance `node`.
    pub fn new(
        table: Arc<dyn Table>,
        blob: Arc<dyn Blob>,
        clock: Arc<dyn Clock>,
        node: Name,
    ) -> Self {
        let (serial, pending) = (AtomicU64::new(1), Mutex::default());
        Self { table, blob, clock, node, serial, pending }
    }

    /// Claims `call` or says what has become of it. `token` is drawn anew for each attempt, `body`
    /// is the digest of the request, `deadline` is when the caller gives up.
    ///
    /// Dropping the future may leave a claim without a holder, which then reads as "may have run";
    /// so run each attempt in a task that outlives the caller's connection.
    pub async fn begin(
        &self,
        call: &CallId,
        token: RequestId,
        body: Digest,
        deadline: Time,
    ) -> Result<Begin, LedgerError> {
        let mut ticket = self.ticket(call, token, body, deadline);
        // Whether a write of this claim may have taken effect, or may yet, unseen.
        let mut lost = false;
        let mut reason = TableError::Conflict;
        for _ in 0..TRIES {
            match self.write(call, ticket.expect, &ticket.running()).await {
                Ok(()) => return Ok(Begin::Send(Claim::new(ticket))),
                Err(e) => {
                    lost |= !e.definite();
                    reason = e;
                }
            }
            let entry = match self.read(call).await {
                Ok(entry) => entry,
                Err(e) => return Err(self.give_up(ticket, lost, LedgerError::unread(&e))),
            };
            match entry {
                Some(e) if lost && e.held_by(&ticket.holder) => {
                    return Ok(Begin::Send(Claim::new(ticket)));
                }
                Some(e) if !e.void() => return self.taken(call, &e, &body).await,
                free => ticket.expect = free.map_or(Expect::Absent, |e| Expect::Version(e.version)),
            }
            if matches!(reason, TableError::Refused(_)) {
                break;
            }
        }
        Err(self.give_up(ticket, lost, LedgerError::not_claimed(&reason)))
    }

    /// A claim that is still to be written.
    fn ticket(&self, call: &CallId, token: RequestId, body: Digest, until: Time) -> Ticket {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let holder = Holder { token, node: self.node.clone(), serial };
        let send_by = until.min(self.clock.now().after(SEND_WINDOW));
        Ticket { call: call.clone(), holder, body, send_by, until, expect: Expect::Absent }
    }

    /// What has become of a call; `None` when its key was never used.
    pub async fn lookup(&self, call: &CallId) -> Result<Option<Status>, LedgerError> {
        let entry = self.read(call).await.map_err(|e| LedgerError::unread(&e))?;
        let Some(entry) = entry else { return Ok(None) };
        let status = match &entry.state {
            State::Void => Status::NotRun,
            State::Running { until } => match late(*until, self.clock.now()) {
                true => Status::MayHaveRun,
                false => Status::Running,
            },
            State::Done(outcome) => Status::Stored(self.fetch(call, outcome).await?),
        };
        Ok(Some(status))
    }

    /// Rows still to be written by [`Ledger::sweep`].
    pub fn pending(&self) -> usize {
        self.pending.lock().len()
    }

    /// The answer to a caller whose key is taken.
    async fn taken(
        &self,
        call: &CallId,
        entry: &Entry,
        body: &Digest,
    ) -> Result<Begin, LedgerError> {
        assert!(!entry.void(), "a void row is free to be claimed");
        if entry.body != *body {
            return Ok(Begin::Mismatch);
        }
        match &entry.state {
            State::Done(outcome) => Ok(Begin::Stored(self.fetch(call, outcome).await?)),
            State::Running { until } if !late(*until, self.clock.now()) => Ok(Begin::Running),
            _ => Ok(Begin::MayHaveRun),
        }
    }

    /// Ends an attempt that holds no claim it knows of. The ticket is dropped or kept for a
    /// withdrawal only, so nothing is ever sent under its token.
    fn give_up(&self, ticket: Ticket, lost: bool, error: LedgerError) -> LedgerError {
        if lost {
            self.defer(Pending::withdraw(ticket));
        }
        error
    }
}

/// Whether a claim's caller has given up, with allowance for skewed clocks. Decides between
/// "running" and "may have run" only; neither lets the call be sent again.
fn late(until: Time, now: Time) -> bool {
    until.after(call::SKEW).passed(now)
}
