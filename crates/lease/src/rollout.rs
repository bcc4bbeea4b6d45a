//! Rolls a weights version out over the replicas of one target.
//!
//! This module does no I/O: readings of the replicas go in, orders come out. Each order states the
//! complete wanted state and carries the lease's fencing number. So an order can safely be
//! repeated, and an engine that checks fencing numbers refuses the orders of an earlier holder.
//!
//! Engines that check fencing numbers: a new holder sends an order to each replica, even if the
//! replica already has the wanted state, because only an order makes the engine refuse earlier
//! holders.
//!
//! Engines that ignore fencing numbers: a new holder sends nothing before the old lease has expired
//! and the last order of its holder has arrived or timed out ([`Rollout::first_order_at`]). Then it
//! reads all replicas and orders those that differ. The rollout is done only once two rounds of
//! readings agree, where the second round started after the first had ended. A former holder that
//! was paused for longer than [`ORDER_TIMEOUT`] between the check of its lease and its order can
//! still overwrite a state. The next reading shows that, and the replica is ordered again.

mod plan;
mod reading;

use std::time::Duration;

use ident::{Fence, Name, Time};

pub use self::{
    plan::BlockReason,
    reading::{DesiredState, Replica, VersionShare},
};
use self::{plan::Plan, reading::Readings};

/// Timeout of an order at its sender.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits that a rollout observes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutLimits {
    /// Percentage of the target's capacity that must keep serving, in any version; at most 100.
    pub min_capacity: u8,
    /// Maximum number of replicas that load at the same time; at least 1.
    pub max_loads: usize,
}

/// An order to one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Instance name of the replica.
    pub replica: Name,
    /// Fencing number of the lease holder that sends the order.
    pub fence: Fence,
    /// Complete state that the replica is to take.
    pub wanted: DesiredState,
    /// When the sender gives up at the latest.
    pub deadline: Time,
}

/// The next step of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send nothing before this point: orders of the former holder may be in flight.
    Wait(Time),
    /// Send these orders; there is at least one. An order that changes the state of its replica
    /// counts as a load from now on, sent or not, until a reading shows it or is later than its
    /// deadline. For a replica without a reading it counts until the deadline passes.
    Orders(Vec<Order>),
    /// Replicas are loading; read them again.
    Loading,
    /// No replica loads and none may be ordered.
    Blocked(BlockReason),
    /// Every live replica has the wanted state; read them again to confirm it.
    Confirming,
    /// Every live replica has the wanted state.
    Done,
    /// A replica has accepted an order of a newer holder; this holder must stop.
    Superseded,
}

/// An order that no reading has shown yet.
#[derive(Debug, Clone)]
struct SentOrder {
    replica: Name,
    sent_at: Time,
    deadline: Time,
    /// Whether the order makes the replica load.
    makes_load: bool,
}

/// The rollout of one wanted state by one holder of the target's lease.
#[derive(Debug)]
pub struct Rollout {
    wanted: DesiredState,
    fence: Fence,
    limits: RolloutLimits,
    /// Whether the target's engines refuse older fencing numbers.
    fenced: bool,
    /// No order is sent before this point.
    no_order_before: Time,
    /// Orders that no reading has shown yet, at most one for each replica. Sorted by replica.
    in_flight: Vec<SentOrder>,
    /// Since when all readings agree; `None` while one differs.
    agreed_since: Option<Time>,
}

impl Rollout {
    /// Creates a rollout of `wanted` by the holder of `fence`. `fenced` tells whether the target's
    /// engines refuse older fencing numbers. `first_order` is the result of
    /// [`Rollout::first_order_at`]; it is ignored for fenced engines.
    pub fn new(
        wanted: DesiredState,
        fence: Fence,
        fenced: bool,
        first_order: Time,
        limits: RolloutLimits,
    ) -> Self {
        assert!(limits.min_capacity <= 100, "the minimum capacity must be at most 100 percent");
        assert!(limits.max_loads > 0, "the limit on loads must be at least 1");
        let first_order = if fenced { Time(0) } else { first_order };
        Self {
            wanted,
            fence,
            limits,
            fenced,
            no_order_before: first_order,
            in_flight: Vec::new(),
            agreed_since: None,
        }
    }

    /// When the holder of a lease acquired at `acquired` may send its first order to engines that
    /// ignore fencing numbers: after the former holder's lease duration `former` and the timeout of
    /// an order that it may still have sent.
    pub fn first_order_at(acquired: Time, former: Duration) -> Time {
        acquired.after(former).after(ORDER_TIMEOUT)
    }

    /// Returns the next step. `replicas` holds the newest reading of each replica in the instance
    /// list, in any order; a replica that can't be read is passed with its last reading. `slots` is
    /// the number of load slots that the caller holds. `version_shares` holds the versions in use.
    pub fn step(
        &mut self,
        replicas: &[Replica],
        version_shares: &[VersionShare],
        slots: usize,
        now: Time,
    ) -> Step {
        if !self.no_order_before.passed(now) {
            return Step::Wait(self.no_order_before);
        }
        let readings = Readings::new(replicas, now);
        if readings.all().any(|r| r.fence > self.fence) {
            return Step::Superseded;
        }
        self.drop_shown_or_expired(&readings, now);
        if readings.live().all(|r| self.has_state(r) && readings.is_fresh(r)) {
            return self.finish(&readings, now);
        }
        self.agreed_since = None;
        let without_fence = self.without_fence(&readings);
        let mut orders: Vec<Order> =
            without_fence.into_iter().map(|r| self.order(r, false, now)).collect();
        let load_ordered = self.load_ordered();
        let max_loads = self.limits.max_loads.min(slots);
        let mut plan = Plan::new(
            &readings,
            &load_ordered,
            version_shares,
            self.limits.min_capacity,
            max_loads,
        );
        let chosen = plan.choose(&self.wanted);
        orders.extend(chosen.into_iter().map(|r| self.order(r, true, now)));
        match orders.is_empty() {
            false => Step::Orders(orders),
            true if plan.loading() > 0 || !self.in_flight.is_empty() => Step::Loading,
            true => Step::Blocked(plan.block_reason()),
        }
    }

    /// Whether a reading shows the wanted state; for fenced engines also this holder's fencing
    /// number.
    fn has_state(&self, replica: &Replica) -> bool {
        let (wanted, actual) = (replica.ordered.as_ref(), replica.actual.as_ref());
        let fenced = !self.fenced || replica.fence == self.fence;
        let same = actual == Some(&self.wanted) && wanted.is_none_or(|w| *w == self.wanted);
        same && fenced && replica.read_at >= self.no_order_before
    }

    /// Replicas that have the wanted state but not yet this holder's fencing number.
    fn without_fence(&self, readings: &Readings<'_>) -> Vec<Name> {
        let stale = |r: &&Replica| {
            self.fenced && r.fence < self.fence && r.ordered.as_ref() == Some(&self.wanted)
        };
        let idle =
            |r: &&Replica| self.in_flight.binary_search_by(|s| s.replica.cmp(&r.name)).is_err();
        let list = readings.live().filter(|r| readings.is_fresh(r)).filter(stale).filter(idle);
        list.map(|r| r.name.clone()).collect()
    }

    /// Replicas with an order in flight that makes them load. Sorted.
    fn load_ordered(&self) -> Vec<Name> {
        self.in_flight.iter().filter(|s| s.makes_load).map(|s| s.replica.clone()).collect()
    }

    /// Drops orders that a reading shows or that can no longer arrive.
    fn drop_shown_or_expired(&mut self, readings: &Readings<'_>, now: Time) {
        let (wanted, fence) = (&self.wanted, if self.fenced { self.fence } else { Fence(0) });
        let shown = |r: &Replica| r.ordered.as_ref() == Some(wanted) && r.fence >= fence;
        self.in_flight.retain(|s| match readings.find(&s.replica) {
            Some(r) if r.read_at > s.sent_at && shown(r) => false,
            Some(r) => r.read_at <= s.deadline,
            None => !s.deadline.passed(now),
        });
    }

    /// Ends the rollout. Without fencing, the readings must agree twice first.
    fn finish(&mut self, readings: &Readings<'_>, now: Time) -> Step {
        let first = *self.agreed_since.get_or_insert(now);
        match self.fenced || readings.oldest().is_some_and(|t| t > first) {
            true => Step::Done,
            false => Step::Confirming,
        }
    }

    fn order(&mut self, replica: Name, makes_load: bool, now: Time) -> Order {
        let deadline = now.after(ORDER_TIMEOUT);
        let sent = SentOrder { replica: replica.clone(), sent_at: now, deadline, makes_load };
        match self.in_flight.binary_search_by(|s| s.replica.cmp(&replica)) {
            Ok(at) => self.in_flight[at] = sent,
            Err(at) => self.in_flight.insert(at, sent),
        }
        Order { replica, fence: self.fence, wanted: self.wanted.clone(), deadline }
    }
}
