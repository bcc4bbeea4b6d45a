//! Calls, claims, outcomes and errors.

use std::{fmt, sync::Arc, time::Duration};

use blob::BlobError;
use bytes::Bytes;
use ident::{Digest, Name, RequestId, Time};
use table::{Expect, TableError};

use crate::row::{Entry, State};

/// How long after its claim a holder may start to send.
pub const SEND_WINDOW: Duration = Duration::from_secs(5);
/// Allowance for skew between the clocks of two instances.
pub(crate) const SKEW: Duration = Duration::from_secs(10);
/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 128;

/// Why a text is not an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key is 1 to {MAX_KEY} visible ASCII characters")]
pub struct KeyError;

/// The identity of a call: a team's idempotency key.
///
/// Invariant: the key is 1 to 128 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    team: Name,
    key: Arc<str>,
}

impl CallId {
    /// Checks `key` and makes it a call of `team`.
    pub fn new(team: Name, key: &str) -> Result<Self, KeyError> {
        let visible = key.bytes().all(|b| b.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_KEY || !visible {
            return Err(KeyError);
        }
        Ok(Self { team, key: key.into() })
    }

    /// The team.
    pub fn team(&self) -> &Name {
        &self.team
    }

    /// The idempotency key.
    pub fn key(&self) -> &str {
        &self.key
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.key)
    }
}

/// A target's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: Arc<str>,
    /// The whole body.
    pub body: Bytes,
}

/// Who wrote a claim: the attempt's token, and the process and its count of claims in case a
/// token is used twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) token: RequestId,
    pub(crate) node: Name,
    pub(crate) serial: u64,
}

/// A claim's content.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) call: CallId,
    pub(crate) holder: Holder,
    pub(crate) body: Digest,
    /// The holder must not start to send from this point on.
    pub(crate) send_by: Time,
    /// When the caller gives up.
    pub(crate) until: Time,
    /// The row's state that the claim's write asked for.
    pub(crate) expect: Expect,
}

impl Ticket {
    /// The version of the row once the claim is written.
    pub(crate) fn version(&self) -> u64 {
        match self.expect {
            Expect::Absent => 1,
            Expect::Version(v) => v + 1,
        }
    }

    pub(crate) fn running(&self) -> Entry {
        self.entry(State::Running { until: self.until })
    }

    pub(crate) fn entry(&self, state: State) -> Entry {
        Entry { version: 0, holder: self.holder.clone(), body: self.body, state }
    }
}

/// The right to send one call to its target.
#[derive(Debug)]
pub struct Claim {
    ticket: Ticket,
}

impl Claim {
    pub(crate) fn new(ticket: Ticket) -> Self {
        Self { ticket }
    }

    pub(crate) fn ticket(&self) -> &Ticket {
        &self.ticket
    }

    /// The call.
    pub fn call(&self) -> &CallId {
        &self.ticket.call
    }

    /// The attempt's token.
    pub fn token(&self) -> RequestId {
        self.ticket.holder.token
    }

    /// Whether the holder may send at `now`: asked with the process clock just before the first
    /// byte. Once it is false it stays false, and the holder voids the claim instead.
    pub fn may_send(&self, now: Time) -> bool {
        !self.ticket.send_by.passed(now)
    }
}

/// The answer to [`crate::Ledger::begin`].
#[derive(Debug)]
pub enum Begin {
    /// The caller holds the claim and may send, while [`Claim::may_send`] holds.
    Send(Claim),
    /// The call ran; this is its outcome.
    Stored(Outcome),
    /// Another attempt holds the claim.
    Running,
    /// Another attempt held the claim and left no outcome.
    MayHaveRun,
    /// The key was used for another request.
    Mismatch,
}

/// The answer to [`crate::Ledger::lookup`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status {
    /// An attempt holds the claim.
    Running,
    /// An attempt held the claim and left no outcome.
    MayHaveRun,
    /// The call ran; this is its outcome.
    Stored(Outcome),
    /// The last attempt's holder declared that it never sent. The key may be used again.
    NotRun,
}

/// Why the ledger has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The key was free, and this attempt got no claim: nothing was sent under its token and
    /// nothing ever will be.
    #[error("the call could not be claimed and was not run ({0}); retry it with the same key")]
    NotClaimed(Arc<str>),
    /// The key's row could not be read. Nothing was sent under this attempt's token and nothing
    /// ever will be; whether an earlier attempt with the same key ran is not known.
    #[error(
        "this attempt was not run, and earlier ones can't be looked up ({0}); retry with the same key"
    )]
    Unread(Arc<str>),
    /// The call ran; its outcome can't be read now.
    #[error("the call ran, but its outcome can't be read now ({0}); ask again with the same key")]
    Outcome(BlobError),
    /// The row could not be written now; [`crate::Ledger::sweep`] goes on trying.
    #[error("the call's row could not be written yet ({0}); it is kept and retried")]
    Deferred(Arc<str>),
    /// The row is not the claim's any more, or never was.
    #[error("the call's row does not belong to this claim")]
    NotHeld,
}

impl LedgerError {
    pub(crate) fn unread(error: &TableError) -> Self {
        Self::Unread(error.to_string().into())
    }

    pub(crate) fn not_claimed(error: &TableError) -> Self {
        Self::NotClaimed(error.to_string().into())
    }

    /// Whether the call certainly has not run, by this attempt or one before it that had ended.
    pub fn not_run(&self) -> bool {
        matches!(self, Self::NotClaimed(_))
    }
}
