//! Work that all instances have sent to engines, kept at one instance for each engine.
//!
//! Load that it answers: long prompts of many instances, each of which sends too few to know how much
//! work an engine has. Datagrams that tell of loads are older than a prefill takes, so choices by them
//! are close to random, and some engines get several long prompts while others have none.

use std::sync::Arc;

use ident::{Time, rendezvous_first};

use crate::{Load, Peers};

/// Most reservations that a tracker keeps: far above what the engines of a target can run.
const MAX_RESERVATIONS: usize = 8192;

/// A request at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reservation {
    /// Identifies the request among those of all instances.
    key: u64,
    /// Identifier of the engine.
    replica: Arc<str>,
    /// What the request still needs.
    load: Load,
    /// When it is over at the latest, also if its release was lost.
    until: Time,
}

/// The requests at the engines that an instance tracks.
///
/// Invariant: `entries` is sorted by key, each once.
#[derive(Debug, Default)]
pub struct Tracker {
    entries: Vec<Reservation>,
}

impl Tracker {
    /// Adds a request that was sent to an engine, or replaces it.
    pub fn reserve(&mut self, key: u64, replica: &Arc<str>, load: Load, until: Time) {
        let entry = Reservation { key, replica: replica.clone(), load, until };
        match self.find(key) {
            Ok(at) => self.entries[at] = entry,
            Err(at) if self.entries.len() < MAX_RESERVATIONS => self.entries.insert(at, entry),
            Err(_) => {}
        }
    }

    /// Removes the prefill of a request that has its first token.
    pub fn prefill_done(&mut self, key: u64) {
        if let Ok(at) = self.find(key) {
            self.entries[at].load.prefill_tokens = 0;
        }
    }

    /// Removes a request that has ended.
    pub fn release(&mut self, key: u64) {
        if let Ok(at) = self.find(key) {
            self.entries.remove(at);
        }
    }

    /// What the requests at an engine still need.
    pub fn work(&self, replica: &str, now: Time) -> Load {
        let mut out = Load::default();
        let open = self.entries.iter().filter(|e| *e.replica == *replica && !e.until.passed(now));
        open.for_each(|e| out.add(e.load));
        out
    }

    /// Drops the requests that are over.
    pub fn expire(&mut self, now: Time) {
        self.entries.retain(|e| !e.until.passed(now));
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn find(&self, key: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |e| e.key)
    }
}

impl Peers {
    /// The instance that tracks an engine. Instances that see different ones alive may disagree
    /// about the engines of those.
    pub fn tracker(&self, replica: &str) -> Option<&Arc<str>> {
        rendezvous_first(replica.as_bytes(), &self.alive, |name| name)
    }
}
