//! Bandwidth budgets of the links to the stores.

use std::time::Duration;

use ident::{Class, Name, Time};

/// Largest burst on a link, given as the time that its transfer takes at the link's limit.
const BURST: Duration = Duration::from_millis(500);
/// Share of the burst that batch imports leave for interactive imports.
const BATCH_RESERVE_SHARE: f64 = 0.5;
/// Share of the burst that exports leave for imports.
const EXPORT_RESERVE_SHARE: f64 = 0.9;
/// Weight of a new transfer in the moving average of the measured rate.
const RATE_ALPHA: f64 = 0.2;
/// Lowest rate that a link is assumed to have, in bytes per second.
const MIN_BYTES_PER_S: f64 = 1e5;
/// Cooldown of a link after a failed transfer; each further failure doubles it, up to
/// [`MAX_COOLDOWN`].
const FIRST_COOLDOWN: Duration = Duration::from_secs(1);
/// Longest cooldown of a link after failed transfers.
const MAX_COOLDOWN: Duration = Duration::from_secs(30);

/// When a transfer may start and is expected to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Earliest start of the transfer.
    pub start: Time,
    /// Expected end of the transfer.
    pub end: Time,
}

/// A planned transfer. At its end it must be passed to [`Links::settle`] or [`Links::failed`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a transfer that is not settled counts as in flight forever"]
pub struct Transfer {
    id: u64,
    /// Store that the bytes are read from or written to.
    pub store: Name,
    /// Number of bytes to transfer.
    pub bytes: u64,
    /// Earliest start of the transfer.
    pub start: Time,
}

/// The purpose of a transfer. Earlier variants have precedence over later ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Purpose {
    Import(Class),
    Export,
}

/// The link to one store.
///
/// Invariants: `level` is at most the burst. The bytes planned to start within any time span are at
/// most the limit for that span plus one burst and one transfer. `in_flight` is sorted by id.
#[derive(Debug)]
struct Link {
    store: Name,
    /// This instance's share of the link, in bytes per second.
    limit: f64,
    /// Bytes whose transfer the budget allows to start now; negative if transfers that start later
    /// have used it in advance.
    level: f64,
    /// Time for which `level` holds.
    at: Time,
    /// Measured rate of the whole link, in bytes per second.
    rate: f64,
    /// Transfers planned or running.
    in_flight: Vec<InFlight>,
    /// Number of failed transfers since the last success.
    failures: u32,
    /// No transfer before this time, because one failed.
    excluded_until: Time,
}

#[derive(Debug)]
struct InFlight {
    id: u64,
    bytes: u64,
    start: Time,
    /// Bytes of all transfers in flight on the link when this one was planned, including its own.
    total_at_plan: u64,
}

/// The links to all stores that an instance uses.
#[derive(Debug, Default)]
pub struct Links {
    /// Sorted by store.
    links: Vec<Link>,
    /// Identifier of the last planned transfer.
    last_id: u64,
}

impl Links {
    /// Sets the stores and this instance's share of each link, in bytes per second. Links to other
    /// stores are removed.
    pub fn sync(&mut self, limits: &[(Name, u64)], now: Time) {
        self.links.retain(|l| limits.iter().any(|(store, _)| *store == l.store));
        for (store, limit) in limits {
            let limit = *limit as f64;
            match self.links.binary_search_by(|l| l.store.cmp(store)) {
                Ok(at) => self.links[at].set_limit(limit, now),
                Err(at) => self.links.insert(at, Link::new(store.clone(), limit, now)),
            }
        }
    }

    /// Returns when an import of `bytes` from `store` can run; `None` if the store is unknown or
    /// its link is excluded after a failure.
    pub fn window(&self, store: &Name, bytes: u64, class: Class, now: Time) -> Option<Window> {
        let link = &self.links[self.at(store)?];
        link.excluded_until.passed(now).then(|| link.window(bytes, Purpose::Import(class), now))
    }

    /// Plans an import of `bytes` from `store`; `None` if the store can't be used now.
    pub fn reserve_import(
        &mut self,
        store: &Name,
        bytes: u64,
        class: Class,
        now: Time,
    ) -> Option<Transfer> {
        let window = self.window(store, bytes, class, now)?;
        Some(self.plan(store, bytes, window.start, now))
    }

    /// Plans an export of `bytes` to `store`; `None` if the link has no spare bandwidth for it now.
    pub fn reserve_export(&mut self, store: &Name, bytes: u64, now: Time) -> Option<Transfer> {
        let link = &self.links[self.at(store)?];
        let window = link.window(bytes, Purpose::Export, now);
        let is_free = link.excluded_until.passed(now) && window.start <= now;
        is_free.then(|| self.plan(store, bytes, now, now))
    }

    fn plan(&mut self, store: &Name, bytes: u64, start: Time, now: Time) -> Transfer {
        self.last_id += 1;
        let id = self.last_id;
        let at = self.at(store).expect("the link of the store is unknown");
        self.links[at].add(id, bytes, start, now);
        Transfer { id, store: store.clone(), bytes, start }
    }

    /// Records that a transfer ended after `moved` bytes.
    pub fn settle(&mut self, transfer: Transfer, moved: u64, now: Time) {
        if let Some(at) = self.at(&transfer.store) {
            self.links[at].settle(&transfer, moved, now);
        }
    }

    /// Records that a transfer failed, because the store did not answer or the connection broke.
    pub fn failed(&mut self, transfer: Transfer, now: Time) {
        if let Some(at) = self.at(&transfer.store) {
            self.links[at].fail(&transfer, now);
        }
    }

    /// Bytes planned or running on the link to `store`.
    pub fn inflight(&self, store: &Name) -> u64 {
        self.at(store).map_or(0, |at| self.links[at].inflight())
    }

    fn at(&self, store: &Name) -> Option<usize> {
        self.links.binary_search_by(|l| l.store.cmp(store)).ok()
    }
}

impl Link {
    fn new(store: Name, limit: f64, now: Time) -> Self {
        Self {
            store,
            limit: limit.max(1.0),
            level: limit * BURST.as_secs_f64(),
            at: now,
            rate: limit.max(MIN_BYTES_PER_S),
            in_flight: Vec::new(),
            failures: 0,
            excluded_until: Time(0),
        }
    }

    fn set_limit(&mut self, limit: f64, now: Time) {
        self.refill(now);
        self.limit = limit.max(1.0);
        self.level = self.level.min(self.burst());
    }

    fn burst(&self) -> f64 {
        self.limit * BURST.as_secs_f64()
    }

    fn level_at(&self, now: Time) -> f64 {
        let gained = self.limit * now.since(self.at).as_secs_f64();
        (self.level + gained).min(self.burst())
    }

    fn refill(&mut self, now: Time) {
        self.level = self.level_at(now);
        self.at = self.at.max(now);
    }

    fn window(&self, bytes: u64, purpose: Purpose, now: Time) -> Window {
        let reserve = match purpose {
            Purpose::Import(Class::Interactive) => 0.0,
            Purpose::Import(Class::Batch) => BATCH_RESERVE_SHARE * self.burst(),
            Purpose::Export => EXPORT_RESERVE_SHARE * self.burst(),
        };
        let missing = (reserve - self.level_at(now)).max(0.0);
        let start = now.after(Duration::from_secs_f64((missing / self.limit).min(1e6)));
        let running: u64 =
            self.in_flight.iter().filter(|f| f.start <= start).map(|f| f.bytes).sum();
        let secs = (running + bytes) as f64 / self.rate;
        Window { start, end: start.after(Duration::from_secs_f64(secs.min(1e6))) }
    }

    fn add(&mut self, id: u64, bytes: u64, start: Time, now: Time) {
        self.refill(now);
        self.level -= bytes as f64;
        let total_at_plan = self.inflight() + bytes;
        self.in_flight.push(InFlight { id, bytes, start, total_at_plan });
        assert!(self.level <= self.burst(), "the level of the link exceeds its burst");
    }

    fn remove(&mut self, transfer: &Transfer) -> Option<InFlight> {
        let at = self.in_flight.binary_search_by_key(&transfer.id, |f| f.id).ok()?;
        Some(self.in_flight.remove(at))
    }

    fn settle(&mut self, transfer: &Transfer, moved: u64, now: Time) {
        let Some(flight) = self.remove(transfer) else { return };
        self.refill(now);
        let unused = flight.bytes.saturating_sub(moved) as f64;
        self.level = (self.level + unused).min(self.burst());
        self.failures = 0;
        let secs = now.since(flight.start).as_secs_f64();
        if moved > 0 && secs > 0.0 {
            let share = moved as f64 / flight.bytes.max(1) as f64;
            // The link carried all transfers in flight in this time, not just this one.
            let rate = flight.total_at_plan as f64 * share / secs;
            self.rate += (rate - self.rate) * RATE_ALPHA;
            self.rate = self.rate.max(MIN_BYTES_PER_S);
        }
    }

    fn fail(&mut self, transfer: &Transfer, now: Time) {
        if self.remove(transfer).is_none() {
            return;
        }
        let cooldown = FIRST_COOLDOWN * (1 << self.failures.min(5));
        self.excluded_until = now.after(cooldown.min(MAX_COOLDOWN));
        self.failures = self.failures.saturating_add(1);
    }

    fn inflight(&self) -> u64 {
        self.in_flight.iter().map(|f| f.bytes).sum()
    }
}
