//! Leases with fencing numbers, and the rollout of a weight version over a target's replicas.
//!
//! A lease is a row in the table service. Points in time of two instances are never compared: the
//! holder counts the term on its own clock from before it wrote the row, and another instance
//! takes the lease only after it has itself seen the row unchanged for a whole term and a margin
//! for clocks that run at different rates. A paused holder may still believe it holds the lease;
//! the fencing number, which grows with each new holder, lets a target refuse it.

mod held;
mod rollout;
mod row;
mod slots;
mod upgrade;
mod watch;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ident::{Clock, Fence, Name, Time};
use parking_lot::Mutex;
use table::{Expect, Row, Table, TableError};

pub use crate::{
    held::{Held, LeaseError},
    rollout::{Block, Bounds, Demand, LONGEST_ORDER, Order, Replica, Rollout, Step, Wanted},
    slots::Slots,
    upgrade::{Moves, Reading, Upgrade},
};
use crate::{
    row::{Owner, RowWire},
    watch::Watches,
};

/// Tries at writing one row.
const TRIES: usize = 4;

/// Acquires, renews and releases leases for one process.
pub struct Leases {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    node: Name,
    /// Tells this process's claims from those of the instance's earlier lives.
    boot: Time,
    /// Number of the next claim.
    claim: AtomicU64,
    /// When each foreign row was first seen at its present version.
    watches: Mutex<Watches>,
    /// Only one process runs under `node` at any time.
    sole: bool,
}

impl Leases {
    /// Leases held by the instance `node`.
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, node: Name) -> Self {
        let (boot, claim, watches) = (clock.now(), AtomicU64::new(1), Mutex::default());
        Self { table, clock, node, boot, claim, watches, sole: false }
    }

    /// For instances of which only one process runs at any time: a lease that an earlier life of
    /// this instance held is taken over without waiting until it lapses.
    pub fn sole(self) -> Self {
        Self { sole: true, ..self }
    }

    /// Takes the lease `name` for `term`, if it is free, released or lapsed. A lease that another
    /// holder leaves alone is seen to have lapsed by calling this again and again.
    pub async fn acquire(&self, name: &Name, term: Duration) -> Result<Held, LeaseError> {
        self.acquire_row(row::lease(name), term).await
    }

    pub(crate) async fn acquire_row(
        &self,
        sort: Arc<str>,
        term: Duration,
    ) -> Result<Held, LeaseError> {
        let claim = self.claim.fetch_add(1, Ordering::Relaxed);
        let owner = Owner { node: self.node.clone(), boot: self.boot, claim };
        // Whether a write of this claim may have taken effect unseen, and since when it runs.
        let mut lost: Option<Time> = None;
        for _ in 0..TRIES {
            let row = self.table.get(row::PART, &sort).await?;
            let now = self.clock.now();
            let (expect, fence) = match &row {
                None => (Expect::Absent, Fence(1)),
                Some(row) => {
                    let wire = RowWire::read(row)?;
                    if let Some(start) = lost.filter(|_| wire.owner == owner) {
                        return Ok(Held::new(sort, owner, wire.fence, row.version, term, start));
                    }
                    self.check_free(row, &wire, now)?;
                    (Expect::Version(row.version), Fence(wire.fence.0 + 1))
                }
            };
            let wire = RowWire { owner: owner.clone(), fence, term, released: false };
            match self.table.commit(vec![wire.write(&sort, expect)]).await {
                Ok(()) => {
                    let version = row.map_or(1, |r| r.version + 1);
                    return Ok(Held::new(sort, owner, fence, version, term, now));
                }
                Err(TableError::Refused(text)) => return Err(TableError::Refused(text).into()),
                Err(e) if !e.definite() => lost = lost.or(Some(now)),
                Err(_) => {}
            }
        }
        Err(TableError::Conflict.into())
    }

    /// Extends a lease by `term` from now. [`LeaseError::Lost`] is final; after any other error
    /// the lease stands until [`Held::until`] and may be renewed again.
    pub async fn renew(&self, held: &mut Held, term: Duration) -> Result<(), LeaseError> {
        let now = self.clock.now();
        if !held.valid(now) {
            return Err(LeaseError::Lost);
        }
        let wire = held.wire(term, false);
        for _ in 0..TRIES {
            match self.table.commit(vec![wire.write(&held.sort, held.expect())]).await {
                Ok(()) => {
                    held.extend(held.version + 1, term, now);
                    return Ok(());
                }
                Err(TableError::Refused(text)) => return Err(TableError::Refused(text).into()),
                Err(_) => {}
            }
            // Only the holder writes a row that has not lapsed, so a higher version with the same
            // owner is this renewal or a lost one before it.
            let row = self.table.get(row::PART, &held.sort).await?.ok_or(LeaseError::Lost)?;
            let seen = RowWire::read(&row)?;
            if seen.owner != held.owner || seen.released {
                held.forfeit();
                return Err(LeaseError::Lost);
            }
            held.version = row.version;
        }
        Err(TableError::Conflict.into())
    }

    /// Gives a lease up, so that another instance need not wait for it to lapse. An error costs
    /// that wait only.
    pub async fn release(&self, held: Held) -> Result<(), LeaseError> {
        let wire = held.wire(held.term, true);
        match self.table.commit(vec![wire.write(&held.sort, held.expect())]).await {
            Err(TableError::Conflict) => Err(LeaseError::Lost),
            other => Ok(other?),
        }
    }

    /// Whether the row may be taken over by this process at `now`.
    fn check_free(&self, row: &Row, wire: &RowWire, now: Time) -> Result<(), LeaseError> {
        let own = wire.owner.node == self.node && wire.owner.boot != self.boot;
        if wire.released || (self.sole && own) {
            return Ok(());
        }
        let free = self.watches.lock().free_at(&row.sort, row.version, wire.term, now);
        match free.passed(now) {
            true => Ok(()),
            false => Err(LeaseError::Taken { holder: wire.owner.node.clone(), until: free }),
        }
    }
}
