//! A lease held by this process.

use std::{sync::Arc, time::Duration};

use ident::{Fence, Name, Time};
use table::{Expect, TableError};

use crate::row::{Owner, RowWire};

/// Why a lease is not held.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// Another holder has it.
    #[error("the lease is held by {holder}; try again at {until}")]
    Taken {
        /// The holder's instance.
        holder: Name,
        /// When it will have lapsed, on this process's clock, if it is not renewed.
        until: Time,
    },
    /// The lease lapsed or was taken over.
    #[error("the lease is lost; stop acting on it and acquire it anew")]
    Lost,
    /// The table service did not answer, or refused.
    #[error("the lease's row could not be read or written: {0}")]
    Table(#[from] TableError),
}

/// A lease held by this process.
///
/// Invariants: `fence` is higher than that of every earlier holder; `until` counts from before the
/// row was written.
#[derive(Debug)]
pub struct Held {
    pub(crate) sort: Arc<str>,
    pub(crate) owner: Owner,
    pub(crate) version: u64,
    pub(crate) term: Duration,
    fence: Fence,
    until: Time,
}

impl Held {
    pub(crate) fn new(
        sort: Arc<str>,
        owner: Owner,
        fence: Fence,
        version: u64,
        term: Duration,
        start: Time,
    ) -> Self {
        assert!(fence.0 > 0, "the first holder's fencing number is 1");
        Self { sort, owner, version, term, fence, until: start.after(term) }
    }

    /// The holder's fencing number.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// When the lease lapses, on this process's clock.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Whether the lease stands at `now`. Asked just before each order; an order may still reach
    /// its target later, which is what the fencing number is for.
    pub fn valid(&self, now: Time) -> bool {
        !self.until.passed(now)
    }

    pub(crate) fn expect(&self) -> Expect {
        Expect::Version(self.version)
    }

    pub(crate) fn wire(&self, term: Duration, released: bool) -> RowWire {
        RowWire { owner: self.owner.clone(), fence: self.fence, term, released }
    }

    pub(crate) fn extend(&mut self, version: u64, term: Duration, start: Time) {
        assert!(version > self.version, "each renewal writes the row");
        (self.version, self.term, self.until) = (version, term, start.after(term));
    }

    /// Ends the lease at once.
    pub(crate) fn forfeit(&mut self) {
        self.until = Time(0);
    }
}
