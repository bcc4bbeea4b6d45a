//! Upgrades the replicas of a model to its newest weights, for engines that count their orders.
//!
//! This module does no I/O: readings of the replicas go in, the replicas to order come out. An
//! order states how many orders the replica must have accepted so far. So the replica refuses an
//! order that arrives after a newer one, and an order without an answer can safely be repeated.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// At most one in this many replicas of a model, but at least one, is being upgraded at the same
/// time: it finishes its requests in flight, then loads. Loads slow down when more than a fifth of
/// the replicas load. A quarter stays below that, because about half of an upgrade's time goes to
/// finishing requests.
const MAX_LOADING_DIVISOR: usize = 4;
/// The same while some of the replicas to order have weights that may no longer be used. These serve
/// nothing and have little to finish, so that loads may slow down.
const MAX_UNUSABLE_DIVISOR: usize = 2;
/// How long an order counts as in flight unless a reading shows it as done. Also the maximum age of
/// a reading that shows a replica as busy.
const IN_FLIGHT_TTL: Duration = Duration::from_millis(1500);
/// Maximum age of a reading on which an order is based.
const MAX_READING_AGE: Duration = Duration::from_millis(700);

/// State of a replica as it last reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaReport {
    /// Identifier of the replica.
    pub replica: Arc<str>,
    /// Weights version that the replica serves.
    pub version: u64,
    /// Number of orders that the replica accepted since its start.
    pub orders: u64,
    /// Whether the replica is carrying out an order.
    pub busy: bool,
    /// When the replica was asked, on this process's clock.
    pub asked_at: Time,
}

/// An order that no reading has shown as done yet.
#[derive(Debug, Clone)]
struct SentOrder {
    replica: Arc<str>,
    /// When the order stops counting as in flight.
    expires: Time,
}

/// The upgrade of one model by one holder of the lease.
#[derive(Debug, Default)]
pub struct Upgrade {
    /// Orders in flight, sorted by replica.
    in_flight: Vec<SentOrder>,
}

/// The next actions of an upgrade.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpgradeActions {
    /// Replicas whose state is to be read before they are ordered again.
    pub read: Vec<Arc<str>>,
    /// Replicas to be ordered, each with the reading on which the order is based.
    pub order: Vec<ReplicaReport>,
    /// Replicas that are loading, or that have an order in flight.
    pub loading: Vec<Arc<str>>,
}

impl Upgrade {
    /// Returns the next actions. `wanted` is the version to reach, `usable` the oldest one that may
    /// be used now. `registered` holds the replicas that take work, with the versions that they
    /// registered; `readings` holds later reports of some of them.
    pub fn step(
        &mut self,
        wanted: u64,
        usable: u64,
        registered: &[(Arc<str>, u64)],
        readings: &[ReplicaReport],
        now: Time,
    ) -> UpgradeActions {
        let reading = |id: &str| readings.iter().find(|r| &*r.replica == id);
        let done = |id: &str| reading(id).is_some_and(|r| r.version >= wanted && !r.busy);
        self.in_flight.retain(|s| !s.expires.passed(now) && !done(&s.replica));
        let mut actions = UpgradeActions::default();
        for (id, _) in registered {
            let busy = reading(id).is_some_and(|r| r.busy && now.since(r.asked_at) < IN_FLIGHT_TTL);
            if busy || self.is_in_flight(id) {
                actions.loading.push(id.clone());
                actions.read.push(id.clone());
            }
        }
        let mut outdated: Vec<_> = registered
            .iter()
            .filter(|(id, version)| *version < wanted && !done(id) && !actions.loading.contains(id))
            .collect();
        // The oldest version is the first that must no longer be used.
        outdated.sort_by_key(|(_, version)| *version);
        for (chosen, (id, version)) in (actions.loading.len()..).zip(outdated) {
            let divisor =
                if *version < usable { MAX_UNUSABLE_DIVISOR } else { MAX_LOADING_DIVISOR };
            if chosen >= (registered.len() / divisor).max(1) {
                break;
            }
            match reading(id).filter(|r| now.since(r.asked_at) < MAX_READING_AGE) {
                Some(reading) => actions.order.push(reading.clone()),
                None => actions.read.push(id.clone()),
            }
        }
        actions
    }

    /// Records that an order was sent, whatever its outcome.
    pub fn record_sent(&mut self, replica: &Arc<str>, now: Time) {
        let order = SentOrder { replica: replica.clone(), expires: now.after(IN_FLIGHT_TTL) };
        match self.in_flight.binary_search_by(|s| s.replica.cmp(replica)) {
            Ok(at) => self.in_flight[at] = order,
            Err(at) => self.in_flight.insert(at, order),
        }
    }

    fn is_in_flight(&self, replica: &str) -> bool {
        self.in_flight.binary_search_by(|s| (*s.replica).cmp(replica)).is_ok()
    }
}
