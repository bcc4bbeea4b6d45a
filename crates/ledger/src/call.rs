//! Types of calls, claims, outcomes and errors.

use std::{fmt, sync::Arc, time::Duration};

use blob::BlobError;
use bytes::Bytes;
use ident::{Digest, Name, RequestId, Time};
use table::{Expect, TableError, Version};

use crate::row::{Entry, State};

/// How long after its claim a holder may start to send. A holder that was paused for longer must
/// not send.
pub const MAX_SEND_DELAY: Duration = Duration::from_secs(5);
/// Margin for the difference between the clocks of two instances. If they differ by more, a caller
/// is told "may have run" too early or too late.
pub(crate) const CLOCK_MARGIN: Duration = Duration::from_secs(10);
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Error for a text that is not a valid idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an idempotency key is 1 to {MAX_KEY_BYTES} visible ASCII characters")]
pub struct KeyError;

/// Identifier of a call: a team and an idempotency key, which is unique within the team.
///
/// Invariant: the key is 1 to 128 visible ASCII characters.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    team: Name,
    key: Arc<str>,
}

impl CallId {
    /// Creates the identifier of a call of `team`. Fails if `key` is not a valid idempotency key.
    pub fn new(team: Name, key: &str) -> Result<Self, KeyError> {
        let visible = key.bytes().all(|b| b.is_ascii_graphic());
        if key.is_empty() || key.len() > MAX_KEY_BYTES || !visible {
            return Err(KeyError);
        }
        Ok(Self { team, key: key.into() })
    }

    /// Team that makes the call.
    pub fn team(&self) -> &Name {
        &self.team
    }

    /// Idempotency key of the call.
    pub fn key(&self) -> &str {
        &self.key
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.key)
    }
}

/// A target's response to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Arc<str>,
    /// Body as far as it came.
    pub body: Bytes,
    /// Whether the body is known to be complete. If not, only the target's connection has ended.
    pub framed: bool,
}

/// The attempt that wrote a claim. The instance and its serial number tell claims apart if two
/// attempts use the same token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) token: RequestId,
    pub(crate) node: Name,
    pub(crate) serial: u64,
}

/// Content of a claim.
#[derive(Debug, Clone)]
pub(crate) struct ClaimRecord {
    pub(crate) call: CallId,
    pub(crate) holder: Holder,
    pub(crate) request_digest: Digest,
    /// From this point on the holder must not start to send.
    pub(crate) send_by: Time,
    /// When the caller gives up waiting.
    pub(crate) deadline: Time,
    /// Condition on the row under which the claim was written.
    pub(crate) expect: Expect,
}

impl ClaimRecord {
    /// Version of the row once the claim is written.
    pub(crate) fn version(&self) -> Version {
        match self.expect {
            Expect::Absent => Version::first_era(1),
            Expect::Version(v) => v.next(),
        }
    }

    /// The row of the claim while its outcome is not known.
    pub(crate) fn running(&self) -> Entry {
        self.entry(State::Running { deadline: self.deadline })
    }

    /// The row of the claim in `state`.
    pub(crate) fn entry(&self, state: State) -> Entry {
        Entry {
            version: Version::default(),
            holder: self.holder.clone(),
            request_digest: self.request_digest,
            state,
        }
    }
}

/// The right to send one call to its target.
#[derive(Debug)]
pub struct Claim {
    record: ClaimRecord,
}

impl Claim {
    pub(crate) fn new(record: ClaimRecord) -> Self {
        Self { record }
    }

    pub(crate) fn record(&self) -> &ClaimRecord {
        &self.record
    }

    /// Identifier of the claimed call.
    pub fn call(&self) -> &CallId {
        &self.record.call
    }

    /// Token of the attempt that holds the claim.
    pub fn token(&self) -> RequestId {
        self.record.holder.token
    }

    /// Whether the holder may start to send at `now`. The holder checks this with the process clock
    /// just before the first byte. Once the result is false it stays false; the holder then calls
    /// [`crate::Ledger::mark_not_run`] instead.
    pub fn may_send(&self, now: Time) -> bool {
        !self.record.send_by.passed(now)
    }
}

/// Result of [`crate::Ledger::begin`].
#[derive(Debug)]
pub enum Begin {
    /// The caller holds the claim and may send as long as [`Claim::may_send`] is true.
    Send(Claim),
    /// The call ran with this outcome.
    Stored(Outcome),
    /// Another attempt holds the claim and may still be running.
    Running,
    /// Another attempt held the claim, stored no outcome and is past its deadline.
    MayHaveRun,
    /// The idempotency key was already used for a different request.
    Mismatch,
}

/// Result of [`crate::Ledger::lookup`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Status {
    /// An attempt holds the claim and may still be running.
    Running,
    /// An attempt held the claim, stored no outcome and is past its deadline.
    MayHaveRun,
    /// The call ran with this outcome.
    Stored(Outcome),
    /// The holder of the last claim declared that the call did not run. The key may be used again.
    NotRun,
}

/// Error of a ledger operation.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LedgerError {
    /// The key was free, but this attempt could not claim it. Nothing was or will be sent with its
    /// token.
    #[error("the call could not be claimed and was not run ({0}); retry it with the same key")]
    NotClaimed(Arc<str>),
    /// The row of the key could not be read. Nothing was or will be sent with this attempt's token.
    /// It is not known whether an earlier attempt with the same key ran.
    #[error(
        "this attempt was not run, and earlier ones can't be looked up ({0}); retry with the same key"
    )]
    Unread(Arc<str>),
    /// The call ran, but its outcome can't be read at present.
    #[error("the call ran, but its outcome can't be read now ({0}); ask again with the same key")]
    Outcome(BlobError),
    /// The row could not be written. It is kept in memory, unless too many rows wait already, and
    /// [`crate::Ledger::write_pending`] tries again.
    #[error("the call's row could not be written yet ({0}); it is kept and retried")]
    Deferred(Arc<str>),
    /// The row does not belong to this claim, or no longer does.
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

    /// Whether the call has certainly not run so far: neither by this attempt nor by one that ended
    /// before it.
    pub fn not_run(&self) -> bool {
        matches!(self, Self::NotClaimed(_))
    }
}
