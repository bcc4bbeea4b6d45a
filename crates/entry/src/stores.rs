//! Store instances and the budget of the links to them.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use ident::{Class, Name, Time, rank};
use outbound::{ListState, Listed, Role};
use parking_lot::{Mutex, RwLock};
use route::{Links, Transfer};

/// Link rate assumed before a store instance has reported one, in bytes per second.
const FIRST_RATE: u64 = 100_000_000;
/// Size of a piece assumed before any was seen, in bytes.
const FIRST_PIECE: u64 = 16 * 1024;
/// Weight of the pieces seen before against the last ones, in the mean size.
const MEAN_INERTIA: u64 = 8;

/// A store instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRef {
    /// Its name.
    pub name: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// The organisation whose blocks it keeps.
    pub org: Name,
}

/// The store instances this instance knows.
pub struct Stores {
    /// Invariant: sorted by name.
    listed: RwLock<Vec<StoreRef>>,
    /// Reported link rates in bytes per second. Invariant: sorted by name.
    rates: Mutex<Vec<(Name, u64)>>,
    /// Budget of the links.
    pub links: Mutex<Links>,
    piece: AtomicU64,
}

impl Default for Stores {
    fn default() -> Self {
        Self {
            listed: RwLock::default(),
            rates: Mutex::default(),
            links: Mutex::default(),
            piece: AtomicU64::new(FIRST_PIECE),
        }
    }
}

impl Stores {
    /// Takes over the platform's list. A list without any store is ignored: stores that all left
    /// at once are less likely than a damaged list.
    pub fn sync(&self, listed: &[Listed]) {
        let is_store = |l: &&Listed| l.role == Role::Store && l.state == ListState::Live;
        let stores = listed.iter().filter(is_store).filter_map(|l| {
            Some(StoreRef { name: l.name.clone(), addr: l.addr, org: l.org.clone()? })
        });
        let mut stores: Vec<_> = stores.collect();
        if stores.is_empty() {
            return;
        }
        stores.sort_by(|a, b| a.name.cmp(&b.name));
        *self.listed.write() = stores;
    }

    /// All store instances.
    pub fn all(&self) -> Vec<StoreRef> {
        self.listed.read().clone()
    }

    /// Notes the rate a store instance's link is limited to.
    pub fn report(&self, store: &Name, rate: u64) {
        let mut rates = self.rates.lock();
        match rates.binary_search_by(|(s, _)| s.cmp(store)) {
            Ok(at) => rates[at].1 = rate,
            Err(at) => rates.insert(at, (store.clone(), rate)),
        }
    }

    /// Divides every link's rate between `instances` instances and takes this one's part.
    pub fn share(&self, instances: usize, now: Time) {
        let rates = self.rates.lock();
        let rate = |s: &StoreRef| match rates.binary_search_by(|(n, _)| n.cmp(&s.name)) {
            Ok(at) => rates[at].1,
            Err(_) => FIRST_RATE,
        };
        let divisor = instances.max(1) as u64;
        let limits: Vec<_> =
            self.listed.read().iter().map(|s| (s.name.clone(), rate(s) / divisor)).collect();
        self.links.lock().sync(&limits, now);
    }

    /// The store instance that keeps a context of `org`: the first in the context's rendezvous
    /// order whose link did not just fail.
    pub fn home(&self, org: &Name, context: &[u8], now: Time) -> Option<StoreRef> {
        let listed = self.listed.read();
        let own: Vec<&StoreRef> = listed.iter().filter(|s| s.org == *org).collect();
        let links = self.links.lock();
        let usable = |s: &&StoreRef| links.window(&s.name, 0, Class::Interactive, now).is_some();
        rank(context, &own, |s| s.name.as_str()).into_iter().copied().find(usable).cloned()
    }

    /// Begins a small exchange with a store instance, which tells whether its link works.
    pub fn probe(&self, store: &Name, now: Time) -> Option<Transfer> {
        self.links.lock().reserve(store, 0, Class::Interactive, now)
    }

    /// Mean size of a piece, in bytes.
    pub fn piece_bytes(&self) -> u64 {
        self.piece.load(Ordering::Relaxed)
    }

    /// Notes the size of a piece.
    pub fn saw_piece(&self, bytes: u64) {
        let mean = self.piece_bytes();
        let next = (mean * (MEAN_INERTIA - 1) + bytes) / MEAN_INERTIA;
        self.piece.store(next.max(1), Ordering::Relaxed);
    }
}
