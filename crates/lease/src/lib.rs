//! Leases with fencing numbers, and the order in which replicas change their weights version:
//! [`Rollout`] for engines that check or ignore fencing numbers, [`Upgrade`] for engines that count
//! their orders.
//!
//! A lease is a row in the table service. Clock readings of two instances are never compared. The
//! holder counts the lease duration on its own clock from a point before it wrote the row. Another
//! instance takes the lease over only after it has seen the row unchanged for the lease duration
//! and a margin for clocks that run at different rates. A holder that was paused may still believe
//! that it holds the lease. The fencing number grows with each new holder, so a target can refuse
//! the orders of an earlier one.
//!
//! The table service may return from an older copy of its content, which begins a new era. A lease
//! ends with its era, and the first holder of the next one waits until all leases of earlier eras
//! have expired. `docs/design/restored-store.md` gives the reasons.

mod held;
mod rollout;
mod row;
mod slots;
mod upgrade;
mod observations;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ident::{Clock, Fence, Name, Time};
use parking_lot::Mutex;
use table::{Expect, Row, Table, TableError, Version};

pub use crate::{
    held::{HeldLease, LeaseError},
    rollout::{
        BlockReason, DesiredState, ORDER_TIMEOUT, Order, Replica, Rollout, RolloutLimits, Step,
        VersionShare,
    },
    slots::Slots,
    upgrade::{ReplicaReport, Upgrade, UpgradeActions},
};
use crate::{
    observations::Observations,
    row::{Holder, RowWire},
};

/// Maximum number of attempts to write one row.
const MAX_TRIES: usize = 4;

/// Acquires, renews and releases leases for one process.
pub struct Leases {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    node: Name,
    /// Start of this process. Distinguishes its claims from those of earlier processes of the
    /// instance.
    started: Time,
    /// Number of the next claim of this process.
    claim: AtomicU64,
    /// For each row that this process did not get: the version last seen, and when the row may be
    /// taken over if that does not change.
    observations: Mutex<Observations>,
    era_seen: Mutex<EraSeen>,
    /// Whether a lease of an earlier process of `node` may be taken over at once. This requires
    /// that only one process of `node` runs at any time.
    own_takeover: bool,
}

/// The newest era of the table service that this process has seen.
#[derive(Debug, Clone, Copy)]
struct EraSeen {
    era: u64,
    since: Time,
}

impl Leases {
    /// Creates the leases of the instance `node`.
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, node: Name) -> Self {
        let (started, claim, observations) = (clock.now(), AtomicU64::new(1), Mutex::default());
        let era_seen = Mutex::new(EraSeen { era: table.era(), since: started });
        Self { table, clock, node, started, claim, observations, era_seen, own_takeover: false }
    }

    /// Allows taking over a lease of an earlier process of this instance without waiting until it
    /// expires. Use it only if at most one process of the instance runs at any time.
    pub fn with_own_takeover(self) -> Self {
        Self { own_takeover: true, ..self }
    }

    /// Acquires the lease `name` for `duration` if nobody ever held it, or if it was released or
    /// has expired. Expiry of another holder's lease is only observed across calls: call this
    /// repeatedly.
    ///
    /// After the table service has returned from an older copy, nobody acquires any lease until it
    /// has seen the new era for the duration and a margin for clock rates.
    pub async fn acquire(&self, name: &Name, duration: Duration) -> Result<HeldLease, LeaseError> {
        self.acquire_row(row::lease_key(name), duration).await
    }

    pub(crate) async fn acquire_row(
        &self,
        sort: Arc<str>,
        duration: Duration,
    ) -> Result<HeldLease, LeaseError> {
        let claim = self.claim.fetch_add(1, Ordering::Relaxed);
        let holder = Holder { node: self.node.clone(), started: self.started, claim };
        // When the first write with an unknown outcome began. That write may have taken effect.
        let mut unknown_since: Option<Time> = None;
        for _ in 0..MAX_TRIES {
            let era_before = self.table.era();
            let row = self.table.get(row::PARTITION, &sort).await?;
            let (now, era) = (self.clock.now(), self.table.era());
            let since = self.era_since(era, now);
            // An absent row has no version that says in which era it was absent.
            if row.as_ref().map_or(era_before, |r| r.version.era) != era {
                continue;
            }
            let (expect, fence) = match &row {
                None => {
                    check_era_age(era, since, duration, now)?;
                    (Expect::Absent, row::first_fence(era)?)
                }
                Some(row) => {
                    let wire = RowWire::read(row)?;
                    let own = wire.holder == holder && wire.is_of_era(row.version);
                    if let Some(start) = unknown_since.filter(|_| own) {
                        return Ok(self.held(
                            sort,
                            holder,
                            wire.fence,
                            row.version,
                            duration,
                            start,
                        ));
                    }
                    self.check_free(row, &wire, now)?;
                    check_era_age(era, since, duration.max(wire.duration), now)?;
                    (Expect::Version(row.version), row::next_fence(&wire, row.version)?)
                }
            };
            let previous = row.as_ref().and_then(|row| {
                let wire = RowWire::read(row).ok()?;
                wire.act_after.filter(|_| wire.released && wire.is_of_era(row.version))
            });
            let (holder_wire, act_after) = (holder.clone(), None);
            let wire = RowWire { holder: holder_wire, fence, duration, released: false, act_after };
            let answer = self.table.commit_versioned(vec![wire.write(&sort, expect)]).await;
            match answer {
                // Answered in a later era: nobody knows in which one it took effect.
                Ok(_) if self.table.era() != era => {}
                Ok(written) => {
                    let next = row.map_or(Version { era, number: 1 }, |r| r.version.next());
                    let version = written.filter(|v| v.era == era).unwrap_or(next);
                    let held = self.held(sort, holder, fence, version, duration, now);
                    return Ok(held.after(previous));
                }
                Err(TableError::Refused(text)) => return Err(TableError::Refused(text).into()),
                Err(e) if !e.definite() => unknown_since = unknown_since.or(Some(now)),
                Err(_) => {}
            }
        }
        Err(TableError::Conflict.into())
    }

    fn held(
        &self,
        sort: Arc<str>,
        holder: Holder,
        fence: Fence,
        version: Version,
        duration: Duration,
        start: Time,
    ) -> HeldLease {
        HeldLease::new(self.table.clone(), sort, holder, fence, version, duration, start)
    }

    /// Renews a lease for `duration` from now. [`LeaseError::Lost`] is final. After any other error
    /// the lease stays valid until [`HeldLease::expires`] or the end of its era, and the caller may
    /// renew it again.
    pub async fn renew(&self, held: &mut HeldLease, duration: Duration) -> Result<(), LeaseError> {
        let now = self.clock.now();
        if !held.is_valid(now) {
            return Err(LeaseError::Lost);
        }
        let wire = held.wire(duration, false);
        for _ in 0..MAX_TRIES {
            let write = wire.write(&held.sort, held.expect());
            let answer = self.table.commit_versioned(vec![write]).await;
            self.check_era(held)?;
            match answer {
                Ok(written) => {
                    let follows = |v: &Version| v.era == held.era() && *v > held.version;
                    let version = written.filter(follows).unwrap_or(held.version.next());
                    held.extend(version, duration, now);
                    return Ok(());
                }
                Err(TableError::Refused(text)) => return Err(TableError::Refused(text).into()),
                Err(_) => {}
            }
            // Only the holder writes the row of a lease that has not expired. So a higher version
            // with the same holder is from this renewal or from an earlier one without an answer.
            let row = self.table.get(row::PARTITION, &held.sort).await;
            self.check_era(held)?;
            let row = row?.ok_or(LeaseError::Lost)?;
            let current = RowWire::read(&row)?;
            if current.holder != held.holder || current.released || row.version.era != held.era() {
                held.expire();
                return Err(LeaseError::Lost);
            }
            held.version = row.version;
        }
        Err(TableError::Conflict.into())
    }

    /// Releases a lease, so that another instance need not wait until it expires. After an error
    /// another instance has to wait.
    pub async fn release(&self, mut held: HeldLease) -> Result<(), LeaseError> {
        self.check_era(&mut held)?;
        let wire = held.wire(held.duration, true);
        for _ in 0..MAX_TRIES {
            let answer = self.table.commit(vec![wire.write(&held.sort, held.expect())]).await;
            self.check_era(&mut held)?;
            match answer {
                Ok(()) => return Ok(()),
                Err(TableError::Refused(text)) => return Err(TableError::Refused(text).into()),
                Err(_) => {}
            }
            // As with a renewal, a higher version with the same holder is from a write of its own.
            let row = self.table.get(row::PARTITION, &held.sort).await;
            self.check_era(&mut held)?;
            let row = row?.ok_or(LeaseError::Lost)?;
            let current = RowWire::read(&row)?;
            if current.holder != held.holder || row.version.era != held.era() {
                return Err(LeaseError::Lost);
            }
            if current.released {
                return Ok(());
            }
            held.version = row.version;
        }
        Err(TableError::Conflict.into())
    }

    /// Ends a lease of an earlier era.
    fn check_era(&self, held: &mut HeldLease) -> Result<(), LeaseError> {
        let era = self.table.era();
        if era == held.era() {
            return Ok(());
        }
        self.era_since(era, self.clock.now());
        held.expire();
        Err(LeaseError::Lost)
    }

    /// Returns since when this process has seen `era`, or a later one, which may begin `now`.
    fn era_since(&self, era: u64, now: Time) -> Time {
        let mut seen = self.era_seen.lock();
        if era > seen.era {
            *seen = EraSeen { era, since: now };
        }
        seen.since
    }

    /// Checks that this process may take over the row at `now`.
    fn check_free(&self, row: &Row, wire: &RowWire, now: Time) -> Result<(), LeaseError> {
        let earlier_process = wire.holder.node == self.node && wire.holder.started != self.started;
        let given_up = wire.released || (self.own_takeover && earlier_process);
        // A row of an earlier era may hide a holder of this one, so it is observed in any case.
        if given_up && wire.is_of_era(row.version) {
            return Ok(());
        }
        let free = self.observations.lock().observe(&row.sort, row.version, wire.duration, now);
        match free.passed(now) {
            true => Ok(()),
            false => Err(LeaseError::Taken { holder: Some(wire.holder.node.clone()), until: free }),
        }
    }
}

/// Checks that an era seen since `since` is old enough for a lease of `duration`: each lease of an
/// earlier era was last renewed before then, and has expired. Era 0 follows no other.
fn check_era_age(era: u64, since: Time, duration: Duration, now: Time) -> Result<(), LeaseError> {
    let until = observations::free_at(since, duration);
    match era == 0 || until.passed(now) {
        true => Ok(()),
        false => Err(LeaseError::Taken { holder: None, until }),
    }
}
