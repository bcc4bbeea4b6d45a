//! At-most-once calls: a call with an idempotency key is sent to its target at most once.
//!
//! An attempt claims the call by a row in the table service before it sends the first byte. From
//! then on only the holder of the claim may declare that the call did not run, by updating the row.
//! Every other caller with the same key gets the stored outcome, "running" or "may have run". A
//! holder that was paused past its send deadline must no longer send; see [`Claim::may_send`].

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

pub use crate::call::{
    Begin, CallId, Claim, KeyError, LedgerError, MAX_SEND_DELAY, Outcome, Status,
};
use crate::{
    call::{ClaimRecord, Holder},
    row::{Entry, State},
    settle::PendingWrite,
};

/// Maximum number of attempts to write one row.
const MAX_TRIES: usize = 4;

/// Claims calls and stores their outcomes.
pub struct Ledger {
    table: Arc<dyn Table>,
    blob: Arc<dyn Blob>,
    clock: Arc<dyn Clock>,
    node: Name,
    /// Serial number of the next claim of this process.
    serial: AtomicU64,
    /// Writes to be tried again, at most one for each claim. Sorted by the claim's serial number.
    pending: Mutex<Vec<PendingWrite>>,
}

impl Ledger {
    /// Creates the ledger of the instance `node`.
    pub fn new(
        table: Arc<dyn Table>,
        blob: Arc<dyn Blob>,
        clock: Arc<dyn Clock>,
        node: Name,
    ) -> Self {
        let (serial, pending) = (AtomicU64::new(1), Mutex::default());
        Self { table, blob, clock, node, serial, pending }
    }

    /// Claims `call`, or returns its state if the key is taken. `token` must be new for each
    /// attempt. `deadline` is when the caller gives up.
    ///
    /// Dropping the future may leave a claim without a holder, which other callers then see as "may
    /// have run". So run each attempt in a task that outlives the caller's connection.
    pub async fn begin(
        &self,
        call: &CallId,
        token: RequestId,
        request_digest: Digest,
        deadline: Time,
    ) -> Result<Begin, LedgerError> {
        let mut record = self.record(call, token, request_digest, deadline);
        // Whether the outcome of a write is unknown: it may have taken effect, or may do so later.
        let mut outcome_unknown = false;
        let mut reason = TableError::Conflict;
        for _ in 0..MAX_TRIES {
            match self.write(call, record.expect, &record.running()).await {
                Ok(()) => return Ok(Begin::Send(Claim::new(record))),
                Err(e) => {
                    outcome_unknown |= !e.definite();
                    reason = e;
                }
            }
            let entry = match self.read(call).await {
                Ok(entry) => entry,
                Err(e) => {
                    return Err(self.give_up(record, outcome_unknown, LedgerError::unread(&e)));
                }
            };
            match entry {
                Some(e) if outcome_unknown && e.held_by(&record.holder) => {
                    return Ok(Begin::Send(Claim::new(record)));
                }
                Some(e) if !e.is_marked_not_run() => {
                    return self.answer_existing(call, &e, &request_digest).await;
                }
                free => record.expect = free.map_or(Expect::Absent, |e| Expect::Version(e.version)),
            }
            if matches!(reason, TableError::Refused(_)) {
                break;
            }
        }
        Err(self.give_up(record, outcome_unknown, LedgerError::not_claimed(&reason)))
    }

    /// Creates the content of a claim that is still to be written.
    fn record(
        &self,
        call: &CallId,
        token: RequestId,
        request_digest: Digest,
        deadline: Time,
    ) -> ClaimRecord {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let holder = Holder { token, node: self.node.clone(), serial };
        let send_by = deadline.min(self.clock.now().after(MAX_SEND_DELAY));
        ClaimRecord {
            call: call.clone(),
            holder,
            request_digest,
            send_by,
            deadline,
            expect: Expect::Absent,
        }
    }

    /// Returns the state of a call; `None` if its key was never used.
    pub async fn lookup(&self, call: &CallId) -> Result<Option<Status>, LedgerError> {
        let entry = self.read(call).await.map_err(|e| LedgerError::unread(&e))?;
        let Some(entry) = entry else { return Ok(None) };
        let status = match &entry.state {
            State::NotRun => Status::NotRun,
            State::Running { deadline } => match caller_gave_up(*deadline, self.clock.now()) {
                true => Status::MayHaveRun,
                false => Status::Running,
            },
            State::Done(outcome) => Status::Stored(self.load_outcome(call, outcome).await?),
        };
        Ok(Some(status))
    }

    /// Number of rows that [`Ledger::write_pending`] still has to write.
    pub fn pending_count(&self) -> usize {
        self.pending.lock().len()
    }

    /// Result for a caller whose key is already claimed by `entry`.
    async fn answer_existing(
        &self,
        call: &CallId,
        entry: &Entry,
        request_digest: &Digest,
    ) -> Result<Begin, LedgerError> {
        assert!(!entry.is_marked_not_run(), "a row that is marked as not run can be claimed");
        if entry.request_digest != *request_digest {
            return Ok(Begin::Mismatch);
        }
        match &entry.state {
            State::Done(outcome) => Ok(Begin::Stored(self.load_outcome(call, outcome).await?)),
            State::Running { deadline } if !caller_gave_up(*deadline, self.clock.now()) => {
                Ok(Begin::Running)
            }
            _ => Ok(Begin::MayHaveRun),
        }
    }

    /// Ends an attempt that does not know of a claim of its own. The record is dropped, or kept
    /// only to withdraw the claim, so nothing is ever sent with its token.
    fn give_up(
        &self,
        record: ClaimRecord,
        outcome_unknown: bool,
        error: LedgerError,
    ) -> LedgerError {
        if outcome_unknown {
            self.defer(PendingWrite::withdraw(record));
        }
        error
    }
}

/// Whether the caller of a claim has given up, with a margin for clock differences. This only
/// decides between "running" and "may have run"; neither allows sending the call again.
fn caller_gave_up(deadline: Time, now: Time) -> bool {
    deadline.after(call::CLOCK_MARGIN).passed(now)
}
