//! Store instances and the bandwidth of the links to them.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

use ident::{Class, Name, Time, rendezvous_order};
use outbound::{ListEntry, ListState, Role};
use parking_lot::{Mutex, RwLock};
use route::{Links, Transfer};

/// Link rate assumed until a store instance has reported one.
const DEFAULT_LINK_BYTES_PER_S: u64 = 100_000_000;
/// Initial value of the mean size of a piece, before any piece was transferred.
const INITIAL_PIECE_BYTES: u64 = 16 * 1024;
/// Decay of the mean size of a piece: the previous mean counts 7/8 and a new piece 1/8.
const PIECE_SIZE_DECAY: u64 = 8;

/// Name and address of a store instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRef {
    /// Unique name of the store instance.
    pub name: Name,
    /// Socket address of the store instance.
    pub addr: SocketAddr,
    /// Organisation whose pieces the store instance keeps.
    pub org: Name,
}

/// The store instances that this instance knows.
pub struct Stores {
    /// Invariant: sorted by name.
    listed: RwLock<Vec<StoreRef>>,
    /// Reported link rates in bytes per second. Invariant: sorted by name.
    rates: Mutex<Vec<(Name, u64)>>,
    /// Bandwidth budget of the links.
    pub links: Mutex<Links>,
    mean_piece_bytes: AtomicU64,
}

impl Default for Stores {
    fn default() -> Self {
        Self {
            listed: RwLock::default(),
            rates: Mutex::default(),
            links: Mutex::default(),
            mean_piece_bytes: AtomicU64::new(INITIAL_PIECE_BYTES),
        }
    }
}

impl Stores {
    /// Replaces the known store instances by those in the platform's list. A list without any store
    /// instance is ignored: a damaged list is more likely than all store instances leaving at once.
    pub fn sync(&self, listed: &[ListEntry]) {
        let is_store = |l: &&ListEntry| l.role == Role::Store && l.state == ListState::Live;
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

    /// Returns all known store instances.
    pub fn all(&self) -> Vec<StoreRef> {
        self.listed.read().clone()
    }

    /// Records the rate limit of the link to a store instance, in bytes per second.
    pub fn record_link_rate(&self, store: &Name, rate: u64) {
        let mut rates = self.rates.lock();
        match rates.binary_search_by(|(s, _)| s.cmp(store)) {
            Ok(at) => rates[at].1 = rate,
            Err(at) => rates.insert(at, (store.clone(), rate)),
        }
    }

    /// Divides the rate of each link evenly among `instances` instances and limits this instance to
    /// its share.
    pub fn update_link_shares(&self, instances: usize, now: Time) {
        let rates = self.rates.lock();
        let rate = |s: &StoreRef| match rates.binary_search_by(|(n, _)| n.cmp(&s.name)) {
            Ok(at) => rates[at].1,
            Err(_) => DEFAULT_LINK_BYTES_PER_S,
        };
        let divisor = instances.max(1) as u64;
        let limits: Vec<_> =
            self.listed.read().iter().map(|s| (s.name.clone(), rate(s) / divisor)).collect();
        self.links.lock().sync(&limits, now);
    }

    /// Returns the store instance that keeps a context of `org`: the first one in the context's
    /// rendezvous order whose link did not fail recently. `None` if there is none.
    pub fn preferred(&self, org: &Name, context: &[u8], now: Time) -> Option<StoreRef> {
        let listed = self.listed.read();
        let own: Vec<&StoreRef> = listed.iter().filter(|s| s.org == *org).collect();
        let links = self.links.lock();
        let usable = |s: &&StoreRef| links.window(&s.name, 0, Class::Interactive, now).is_some();
        rendezvous_order(context, &own, |s| s.name.as_str())
            .into_iter()
            .copied()
            .find(usable)
            .cloned()
    }

    /// Reserves the link to a store instance for a small request, which the caller sends. Its
    /// result shows whether the link works. Returns `None` if the link may not be used now.
    pub fn reserve_lookup(&self, store: &Name, now: Time) -> Option<Transfer> {
        self.links.lock().reserve_import(store, 0, Class::Interactive, now)
    }

    /// Returns the mean size of a piece, in bytes.
    pub fn piece_bytes(&self) -> u64 {
        self.mean_piece_bytes.load(Ordering::Relaxed)
    }

    /// Records the size of a piece, in bytes.
    pub fn record_piece_size(&self, bytes: u64) {
        let mean = self.piece_bytes();
        let next = (mean * (PIECE_SIZE_DECAY - 1) + bytes) / PIECE_SIZE_DECAY;
        self.mean_piece_bytes.store(next.max(1), Ordering::Relaxed);
    }
}
