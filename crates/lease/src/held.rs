//! A lease that this process holds.

use std::{fmt, sync::Arc, time::Duration};

use ident::{Fence, Name, Time};
use table::{Expect, Table, TableError, Version};

use crate::row::{Holder, RowWire};

/// Error of acquiring, renewing or releasing a lease.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// Another holder has the lease, or may have it.
    #[error("the lease is held by {}; try again at {until}", holder_text(.holder))]
    Taken {
        /// Instance that holds the lease. `None` if the table service has returned from an older
        /// copy and the holder of the earlier era can't be known.
        holder: Option<Name>,
        /// When this process may take the lease over, on its own clock, if the row does not change.
        until: Time,
    },
    /// The lease expired, was taken over, or ended with the era of the table service.
    #[error("the lease is lost; stop acting on it and acquire it anew")]
    Lost,
    /// The row could not be read, decoded or written.
    #[error("the lease's row could not be read or written: {0}")]
    Table(#[from] TableError),
}

fn holder_text(holder: &Option<Name>) -> &str {
    holder.as_ref().map_or("an unknown holder of an earlier era", Name::as_str)
}

/// A lease that this process holds. It ends with the era of the table service in which it was
/// acquired.
///
/// Invariants: `fence` is higher than that of every earlier holder, in this era and all earlier
/// ones; `until` is counted from a point before the row was written; the era of `version` never
/// changes.
pub struct HeldLease {
    table: Arc<dyn Table>,
    /// Sort key of the lease's row.
    pub(crate) sort: Arc<str>,
    pub(crate) holder: Holder,
    /// Version of the row as this process last wrote or read it.
    pub(crate) version: Version,
    pub(crate) duration: Duration,
    fence: Fence,
    /// When the lease expires, on this process's clock.
    until: Time,
    /// What the holder before this one said when it released the lease; see [`Self::act_after`].
    act_after: Option<u64>,
}

impl HeldLease {
    pub(crate) fn new(
        table: Arc<dyn Table>,
        sort: Arc<str>,
        holder: Holder,
        fence: Fence,
        version: Version,
        duration: Duration,
        start: Time,
    ) -> Self {
        assert!(fence.0 > 0, "fencing numbers start at 1");
        let until = start.after(duration);
        Self { table, sort, holder, version, duration, fence, until, act_after: None }
    }

    pub(crate) fn after(self, act_after: Option<u64>) -> Self {
        Self { act_after, ..self }
    }

    /// When this holder may act at the earliest, if the one before released the lease and said so, in
    /// ms of a clock that all holders know.
    pub fn act_after(&self) -> Option<u64> {
        self.act_after
    }

    /// Sets what the next holder is told if the lease is released.
    pub fn set_act_after(&mut self, at: Option<u64>) {
        self.act_after = at;
    }

    /// Fencing number of this holder.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// When the lease expires, on this process's clock.
    pub fn expires(&self) -> Time {
        self.until
    }

    /// Era of the table service in which the lease was acquired.
    pub fn era(&self) -> u64 {
        self.version.era
    }

    /// Whether the lease is valid at `now`: it has not expired, and the table service has answered
    /// in no later era. Callers check this just before each order. The order may still reach its
    /// target after the lease expired; the fencing number covers that case.
    pub fn is_valid(&self, now: Time) -> bool {
        !self.until.passed(now) && self.table.era() == self.version.era
    }

    pub(crate) fn expect(&self) -> Expect {
        Expect::Version(self.version)
    }

    pub(crate) fn wire(&self, duration: Duration, released: bool) -> RowWire {
        let act_after = self.act_after.filter(|_| released);
        RowWire { holder: self.holder.clone(), fence: self.fence, duration, released, act_after }
    }

    pub(crate) fn extend(&mut self, version: Version, duration: Duration, start: Time) {
        assert!(version > self.version, "a renewal must increase the version of the row");
        assert!(version.era == self.version.era, "a renewal must stay in the era of the lease");
        (self.version, self.duration, self.until) = (version, duration, start.after(duration));
    }

    /// Makes the lease invalid at once.
    pub(crate) fn expire(&mut self) {
        self.until = Time(0);
    }
}

impl fmt::Debug for HeldLease {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HeldLease")
            .field("sort", &self.sort)
            .field("holder", &self.holder)
            .field("version", &self.version)
            .field("duration", &self.duration)
            .field("fence", &self.fence)
            .field("until", &self.until)
            .finish_non_exhaustive()
    }
}
