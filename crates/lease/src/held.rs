//! A lease that this process holds.

use std::{sync::Arc, time::Duration};

use ident::{Fence, Name, Time};
use table::{Expect, TableError, Version};

use crate::row::{Holder, RowWire};

/// Error of acquiring, renewing or releasing a lease.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// Another holder has the lease.
    #[error("the lease is held by {holder}; try again at {until}")]
    Taken {
        /// Instance that holds the lease.
        holder: Name,
        /// When this process may take the lease over, on its own clock, if the row does not change.
        until: Time,
    },
    /// The lease expired or was taken over.
    #[error("the lease is lost; stop acting on it and acquire it anew")]
    Lost,
    /// The row could not be read, decoded or written.
    #[error("the lease's row could not be read or written: {0}")]
    Table(#[from] TableError),
}

/// A lease that this process holds.
///
/// Invariants: `fence` is higher than that of every earlier holder; `until` is counted from a point
/// before the row was written.
#[derive(Debug)]
pub struct HeldLease {
    /// Sort key of the lease's row.
    pub(crate) sort: Arc<str>,
    pub(crate) holder: Holder,
    /// Version of the row as this process last wrote or read it.
    pub(crate) version: Version,
    pub(crate) duration: Duration,
    fence: Fence,
    /// When the lease expires, on this process's clock.
    until: Time,
}

impl HeldLease {
    pub(crate) fn new(
        sort: Arc<str>,
        holder: Holder,
        fence: Fence,
        version: Version,
        duration: Duration,
        start: Time,
    ) -> Self {
        assert!(fence.0 > 0, "fencing numbers start at 1");
        Self { sort, holder, version, duration, fence, until: start.after(duration) }
    }

    /// Fencing number of this holder.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// When the lease expires, on this process's clock.
    pub fn expires(&self) -> Time {
        self.until
    }

    /// Whether the lease is valid at `now`. Callers check this just before each order. The order
    /// may still reach its target after the lease expired; the fencing number covers that case.
    pub fn is_valid(&self, now: Time) -> bool {
        !self.until.passed(now)
    }

    pub(crate) fn expect(&self) -> Expect {
        Expect::Version(self.version)
    }

    pub(crate) fn wire(&self, duration: Duration, released: bool) -> RowWire {
        RowWire { holder: self.holder.clone(), fence: self.fence, duration, released }
    }

    pub(crate) fn extend(&mut self, version: Version, duration: Duration, start: Time) {
        assert!(version > self.version, "a renewal must increase the version of the row");
        (self.version, self.duration, self.until) = (version, duration, start.after(duration));
    }

    /// Makes the lease invalid at once.
    pub(crate) fn expire(&mut self) {
        self.until = Time(0);
    }
}
