//! Budget of the links to the stores.

use std::time::Duration;

use ident::{Class, Name, Time};

/// Bytes that may start at once after a quiet time, as the time the limit takes to move them.
const BURST: Duration = Duration::from_millis(500);
/// Part of the burst that batch imports leave to interactive ones.
const BATCH_FLOOR: f64 = 0.5;
/// Part of the burst that exports leave to imports.
const EXPORT_FLOOR: f64 = 0.9;
/// Weight of a new transfer in the measured rate.
const RATE_GAIN: f64 = 0.2;
/// Slowest rate a link is assumed to have, in bytes per second.
const MIN_RATE: f64 = 1e5;
/// Pause of a link after a failed transfer; doubles up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause of a link.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// When a transfer may start and is expected to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Not before this time.
    pub start: Time,
    /// Expected end.
    pub end: Time,
}

/// A planned transfer; given back to [`Links::settle`] or [`Links::failed`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a transfer that is not settled counts as in flight for ever"]
pub struct Transfer {
    id: u64,
    /// The store.
    pub store: Name,
    /// Bytes to move.
    pub bytes: u64,
    /// Not to be started before this time.
    pub start: Time,
}

/// What a transfer is for. The order is the order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Use {
    Import(Class),
    Export,
}

/// The link to one store.
///
/// Invariants: `level` is at most the burst; bytes planned to start within any span are at most
/// the limit over that span plus one burst and one transfer; `flights` is sorted by id.
#[derive(Debug)]
struct Link {
    store: Name,
    /// This instance's share of the link, in bytes per second.
    limit: f64,
    /// Bytes that may start now; negative when later starts are planned already.
    level: f64,
    /// When `level` was true.
    at: Time,
    /// Measured rate of the whole link, in bytes per second.
    rate: f64,
    flights: Vec<Flight>,
    fails: u32,
    /// No transfer before this time: the last one failed.
    hold: Time,
}

#[derive(Debug)]
struct Flight {
    id: u64,
    bytes: u64,
    start: Time,
    /// Bytes in flight when it was planned, its own among them.
    shared: u64,
}

/// The links to all stores an instance uses. Sorted by store.
#[derive(Debug, Default)]
pub struct Links {
    links: Vec<Link>,
    next: u64,
}

impl Links {
    /// Sets the stores and this instance's share of each link, in bytes per second; forgets
    /// all others.
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

    /// When an import of `bytes` from `store` could run; `None` when the store is not usable now.
    pub fn window(&self, store: &Name, bytes: u64, class: Class, now: Time) -> Option<Window> {
        let link = &self.links[self.at(store)?];
        link.hold.passed(now).then(|| link.window(bytes, Use::Import(class), now))
    }

    /// Plans an import.
    pub fn reserve(
        &mut self,
        store: &Name,
        bytes: u64,
        class: Class,
        now: Time,
    ) -> Option<Transfer> {
        let window = self.window(store, bytes, class, now)?;
        Some(self.plan(store, bytes, window.start, now))
    }

    /// Plans an export, if the link has room to spare for it now.
    pub fn spare(&mut self, store: &Name, bytes: u64, now: Time) -> Option<Transfer> {
        let link = &self.links[self.at(store)?];
        let window = link.window(bytes, Use::Export, now);
        let is_free = link.hold.passed(now) && window.start <= now;
        is_free.then(|| self.plan(store, bytes, now, now))
    }

    fn plan(&mut self, store: &Name, bytes: u64, start: Time, now: Time) -> Transfer {
        self.next += 1;
        let id = self.next;
        let at = self.at(store).expect("the caller looked the link up");
        self.links[at].add(id, bytes, start, now);
        Transfer { id, store: store.clone(), bytes, start }
    }

    /// A transfer ended after moving `moved` bytes.
    pub fn settle(&mut self, transfer: Transfer, moved: u64, now: Time) {
        if let Some(at) = self.at(&transfer.store) {
            self.links[at].settle(&transfer, moved, now);
        }
    }

    /// A transfer failed: the store did not answer or its link broke.
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
            rate: limit.max(MIN_RATE),
            flights: Vec::new(),
            fails: 0,
            hold: Time(0),
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

    fn window(&self, bytes: u64, usage: Use, now: Time) -> Window {
        let floor = match usage {
            Use::Import(Class::Interactive) => 0.0,
            Use::Import(Class::Batch) => BATCH_FLOOR * self.burst(),
            Use::Export => EXPORT_FLOOR * self.burst(),
        };
        let missing = (floor - self.level_at(now)).max(0.0);
        let start = now.after(Duration::from_secs_f64((missing / self.limit).min(1e6)));
        let running: u64 = self.flights.iter().filter(|f| f.start <= start).map(|f| f.bytes).sum();
        let secs = (running + bytes) as f64 / self.rate;
        Window { start, end: start.after(Duration::from_secs_f64(secs.min(1e6))) }
    }

    fn add(&mut self, id: u64, bytes: u64, start: Time, now: Time) {
        self.refill(now);
        self.level -= bytes as f64;
        let shared = self.inflight() + bytes;
        self.flights.push(Flight { id, bytes, start, shared });
        assert!(self.level <= self.burst(), "the budget never exceeds its burst");
    }

    fn remove(&mut self, transfer: &Transfer) -> Option<Flight> {
        let at = self.flights.binary_search_by_key(&transfer.id, |f| f.id).ok()?;
        Some(self.flights.remove(at))
    }

    fn settle(&mut self, transfer: &Transfer, moved: u64, now: Time) {
        let Some(flight) = self.remove(transfer) else { return };
        self.refill(now);
        let unused = flight.bytes.saturating_sub(moved) as f64;
        self.level = (self.level + unused).min(self.burst());
        self.fails = 0;
        let secs = now.since(flight.start).as_secs_f64();
        if moved > 0 && secs > 0.0 {
            let share = moved as f64 / flight.bytes.max(1) as f64;
            let seen = flight.shared as f64 * share / secs;
            self.rate += (seen - self.rate) * RATE_GAIN;
            self.rate = self.rate.max(MIN_RATE);
        }
    }

    fn fail(&mut self, transfer: &Transfer, now: Time) {
        if self.remove(transfer).is_none() {
            return;
        }
        let pause = FIRST_PAUSE * (1 << self.fails.min(5));
        self.hold = now.after(pause.min(MAX_PAUSE));
        self.fails = self.fails.saturating_add(1);
    }

    fn inflight(&self) -> u64 {
        self.flights.iter().map(|f| f.bytes).sum()
    }
}
