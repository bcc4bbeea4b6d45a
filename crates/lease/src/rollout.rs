//! Rolling a weight version out over the replicas of one target.
//!
//! Pure: readings of the replicas go in, orders come out. Each order states the whole wanted state
//! and carries the lease's fencing number, so repeating one does no harm and an engine that checks
//! refuses an older holder's.
//!
//! Engines that check fencing numbers: a new holder sends each replica an order, also where the
//! state is the wanted one already, because only an order makes the engine refuse older holders.
//!
//! Engines that ignore them: a new holder sends nothing before the old lease has lapsed
//! and the longest order of its holder has arrived or died ([`Rollout::quiet_until`]). Then it
//! reads all replicas back, orders those that differ, and is done only once two rounds of readings
//! agree, the second taken wholly after the first. A former holder that was paused for longer than
//! [`LONGEST_ORDER`] between its last look at its lease and its order can still overwrite one; that
//! shows in the next reading and is ordered again.

mod plan;
mod reading;

use std::time::Duration;

use ident::{Fence, Name, Time};

pub use self::{
    plan::Block,
    reading::{Demand, Replica, Wanted},
};
use self::{plan::Plan, reading::Readings};

/// How long an order may be under way: its sender's timeout.
pub const LONGEST_ORDER: Duration = Duration::from_secs(10);

/// What a rollout must keep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Percentage of the target's capacity that serves, whatever the version; at most 100.
    pub floor: u8,
    /// Most replicas that load at once; at least 1.
    pub loads: usize,
}

/// An order for one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The replica.
    pub replica: Name,
    /// The holder's fencing number.
    pub fence: Fence,
    /// The whole state the replica is to take.
    pub wanted: Wanted,
    /// The sender gives up at this point, at the latest.
    pub deadline: Time,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this point: orders of the former holder may be under way.
    Wait(Time),
    /// Send these, at least one. Each counts as a load from now on, sent or not, until a reading
    /// shows it or its deadline passes.
    Orders(Vec<Order>),
    /// Replicas are loading; read again.
    Loading,
    /// Nothing loads and nothing may be ordered.
    Blocked(Block),
    /// Every live replica has the wanted state; read again to see whether that lasts.
    Settling,
    /// Every live replica has the wanted state.
    Done,
    /// A replica has taken an order of a newer holder: this holder must stop.
    Superseded,
}

/// An order that no reading has shown yet.
#[derive(Debug, Clone)]
struct Sent {
    replica: Name,
    sent: Time,
    deadline: Time,
    /// Whether the replica is to load because of it.
    loads: bool,
}

/// The rollout of one wanted state by one holder of the target's lease.
#[derive(Debug)]
pub struct Rollout {
    wanted: Wanted,
    fence: Fence,
    bounds: Bounds,
    fenced: bool,
    /// No order is sent before this point.
    quiet: Time,
    /// Sorted by replica, one each.
    sent: Vec<Sent>,
    /// When all readings first agreed; unset again by any that does not.
    agreed: Option<Time>,
}

impl Rollout {
    /// A rollout of `wanted` by the holder of `fence`. `fenced`: the target's engines refuse older
    /// fencing numbers. `quiet`: see [`Rollout::quiet_until`]; ignored for fenced engines.
    pub fn new(wanted: Wanted, fence: Fence, fenced: bool, quiet: Time, bounds: Bounds) -> Self {
        assert!(bounds.floor <= 100, "the floor is a percentage");
        assert!(bounds.loads > 0, "a rollout without loads never ends");
        let quiet = if fenced { Time(0) } else { quiet };
        Self { wanted, fence, bounds, fenced, quiet, sent: Vec::new(), agreed: None }
    }

    /// When a lease acquired at `acquired` may first be used on engines that ignore fencing
    /// numbers: after the former holder's term and the longest order that it could still send.
    pub fn quiet_until(acquired: Time, former: Duration) -> Time {
        acquired.after(former).after(LONGEST_ORDER)
    }

    /// The next step, given the newest reading of each replica that the instance list names, in
    /// any order. `slots` is how many loads the caller holds load slots for. A replica that can't
    /// be read is passed with its last reading. `demands` are the versions in use.
    pub fn step(
        &mut self,
        replicas: &[Replica],
        demands: &[Demand],
        slots: usize,
        now: Time,
    ) -> Step {
        if !self.quiet.passed(now) {
            return Step::Wait(self.quiet);
        }
        let readings = Readings::new(replicas, now);
        if readings.all().any(|r| r.fence > self.fence) {
            return Step::Superseded;
        }
        self.settle(&readings, now);
        if readings.live().all(|r| self.has_state(r) && readings.fresh(r)) {
            return self.agreed(&readings, now);
        }
        self.agreed = None;
        let repeats = self.repeats(&readings);
        let mut orders: Vec<Order> =
            repeats.into_iter().map(|r| self.order(r, false, now)).collect();
        let pending = self.loading();
        let loads = self.bounds.loads.min(slots);
        let mut plan = Plan::new(&readings, &pending, demands, self.bounds.floor, loads);
        let chosen = plan.choose(&self.wanted);
        orders.extend(chosen.into_iter().map(|r| self.order(r, true, now)));
        match orders.is_empty() {
            false => Step::Orders(orders),
            true if plan.loading() > 0 || !self.sent.is_empty() => Step::Loading,
            true => Step::Blocked(plan.block()),
        }
    }

    /// Whether a reading shows the wanted state, by this holder's order where that counts.
    fn has_state(&self, replica: &Replica) -> bool {
        let (wanted, actual) = (replica.wanted.as_ref(), replica.actual.as_ref());
        let fenced = !self.fenced || replica.fence == self.fence;
        let same = actual == Some(&self.wanted) && wanted.is_none_or(|w| *w == self.wanted);
        same && fenced && replica.read >= self.quiet
    }

    /// Replicas that have the wanted state but not this holder's fencing number yet.
    fn repeats(&self, readings: &Readings<'_>) -> Vec<Name> {
        let stale = |r: &&Replica| {
            self.fenced && r.fence < self.fence && r.wanted.as_ref() == Some(&self.wanted)
        };
        let idle = |r: &&Replica| self.sent.binary_search_by(|s| s.replica.cmp(&r.name)).is_err();
        let list = readings.live().filter(|r| readings.fresh(r)).filter(stale).filter(idle);
        list.map(|r| r.name.clone()).collect()
    }

    /// Replicas with an order under way that makes them load. Sorted.
    fn loading(&self) -> Vec<Name> {
        self.sent.iter().filter(|s| s.loads).map(|s| s.replica.clone()).collect()
    }

    /// Forgets orders that a reading shows or that can't arrive any more.
    fn settle(&mut self, readings: &Readings<'_>, now: Time) {
        let (wanted, fence) = (&self.wanted, if self.fenced { self.fence } else { Fence(0) });
        let shown = |r: &Replica| r.wanted.as_ref() == Some(wanted) && r.fence >= fence;
        self.sent.retain(|s| match readings.find(&s.replica) {
            Some(r) if r.read > s.sent && shown(r) => false,
            Some(r) => r.read <= s.deadline,
            None => !s.deadline.passed(now),
        });
    }

    /// The end of the rollout, once the readings have agreed twice where orders aren't fenced.
    fn agreed(&mut self, readings: &Readings<'_>, now: Time) -> Step {
        let first = *self.agreed.get_or_insert(now);
        match self.fenced || readings.oldest().is_some_and(|t| t > first) {
            true => Step::Done,
            false => Step::Settling,
        }
    }

    fn order(&mut self, replica: Name, loads: bool, now: Time) -> Order {
        let deadline = now.after(LONGEST_ORDER);
        let sent = Sent { replica: replica.clone(), sent: now, deadline, loads };
        match self.sent.binary_search_by(|s| s.replica.cmp(&replica)) {
            Ok(at) => self.sent[at] = sent,
            Err(at) => self.sent.insert(at, sent),
        }
        Order { replica, fence: self.fence, wanted: self.wanted.clone(), deadline }
    }
}
