//! Bringing the replicas of a model to its newest weights, for engines that count their orders.
//!
//! Pure: readings go in, the replicas to order come out. An order names the count of orders that
//! the replica must have accepted so far, so one that is carried out late, after a newer one, is
//! refused there; repeating an order without an answer does no harm.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// One in this many of a model's replicas finishes its runs or loads at once. Loads slow down when
/// more than a fifth do so; about half of the time goes to runs that end.
const LOAD_ONE_IN: usize = 4;
/// How long an order counts as under way without a reading that shows it.
const ORDER_TERM: Duration = Duration::from_millis(1500);
/// How old a reading may be to base an order on.
const READING_TERM: Duration = Duration::from_millis(700);

/// What a replica last said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// The replica.
    pub replica: Arc<str>,
    /// The version it has.
    pub version: u64,
    /// Orders accepted since its start.
    pub orders: u64,
    /// An order is being carried out.
    pub busy: bool,
    /// When it was asked.
    pub read: Time,
}

#[derive(Debug, Clone)]
struct Sent {
    replica: Arc<str>,
    until: Time,
}

/// The upgrade of one model by one holder of the lease.
#[derive(Debug, Default)]
pub struct Upgrade {
    /// Sorted by replica.
    sent: Vec<Sent>,
}

/// What to do next.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Moves {
    /// Replicas to be read before anything else.
    pub read: Vec<Arc<str>>,
    /// Replicas to be ordered, with the reading to base the order on.
    pub order: Vec<Reading>,
    /// Replicas that are loading or will be in a moment.
    pub loading: Vec<Arc<str>>,
}

impl Upgrade {
    /// The next moves. `registered` are the replicas that take work and the versions that they
    /// registered, `readings` what some of them said since.
    pub fn step(
        &mut self,
        wanted: u64,
        registered: &[(Arc<str>, u64)],
        readings: &[Reading],
        now: Time,
    ) -> Moves {
        let reading = |id: &str| readings.iter().find(|r| &*r.replica == id);
        let done = |id: &str| reading(id).is_some_and(|r| r.version >= wanted && !r.busy);
        self.sent.retain(|s| !s.until.passed(now) && !done(&s.replica));
        let most = (registered.len() / LOAD_ONE_IN).max(1);
        let mut moves = Moves::default();
        for (id, _) in registered {
            let busy = reading(id).is_some_and(|r| r.busy && now.since(r.read) < ORDER_TERM);
            if busy || self.under_way(id) {
                moves.loading.push(id.clone());
                moves.read.push(id.clone());
            }
        }
        let mut open: Vec<_> = registered
            .iter()
            .filter(|(id, version)| *version < wanted && !done(id) && !moves.loading.contains(id))
            .collect();
        // The oldest weights are the first that must not be used any more.
        open.sort_by_key(|(_, version)| *version);
        for (id, _) in open.into_iter().take(most.saturating_sub(moves.loading.len())) {
            match reading(id).filter(|r| now.since(r.read) < READING_TERM) {
                Some(reading) => moves.order.push(reading.clone()),
                None => moves.read.push(id.clone()),
            }
        }
        moves
    }

    /// Notes that an order was sent, whatever came of it.
    pub fn sent(&mut self, replica: &Arc<str>, now: Time) {
        let sent = Sent { replica: replica.clone(), until: now.after(ORDER_TERM) };
        match self.sent.binary_search_by(|s| s.replica.cmp(replica)) {
            Ok(at) => self.sent[at] = sent,
            Err(at) => self.sent.insert(at, sent),
        }
    }

    fn under_way(&self, replica: &str) -> bool {
        self.sent.binary_search_by(|s| (*s.replica).cmp(replica)).is_ok()
    }
}
