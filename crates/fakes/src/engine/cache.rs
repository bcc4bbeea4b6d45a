//! The simulated prefix cache in accelerator memory.

use std::sync::Arc;

use crate::{
    model::{State, digest},
    sorted::SortedMap,
};

/// Key of a piece: a digest of salt, model, weights and the prompt up to the end of the piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceKey(State);

impl AsRef<Self> for PieceKey {
    fn as_ref(&self) -> &Self {
        self
    }
}

impl PieceKey {
    /// Returns the key from which the key of the first piece is derived.
    pub fn root(salt: &str, model: &str, weights: &str) -> Self {
        Self(digest(&[b"root", salt.as_bytes(), model.as_bytes(), weights.as_bytes()]))
    }

    /// Returns the key of the piece `text` that follows this one.
    pub fn next(&self, text: &[u8]) -> Self {
        Self(digest(&[b"then", &self.0, text]))
    }
}

#[derive(Debug)]
struct Entry {
    state: State,
    request: Arc<str>,
    last_used: u64,
}

/// States of pieces. The least recently used piece is evicted first.
///
/// Invariant: holds at most `capacity` pieces.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    entries: SortedMap<PieceKey, Entry>,
    /// Counts each use and insertion of a piece.
    tick: u64,
    /// Value of `Control::evictions` at the last time that the cache was emptied for it.
    pub evictions: u64,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, entries: SortedMap::default(), tick: 0, evictions: 0 }
    }

    /// Returns the states of the longest cached prefix of `keys` and marks its pieces as used.
    pub fn cached_prefix(&mut self, keys: &[PieceKey]) -> Vec<State> {
        let hits = keys.iter().map_while(|k| self.entries.get(k).map(|e| e.state));
        let states: Vec<State> = hits.collect();
        // The last piece is marked first, so that it is evicted first.
        for key in keys[..states.len()].iter().rev() {
            self.tick += 1;
            if let Some(entry) = self.entries.get_mut(key) {
                entry.last_used = self.tick;
            }
        }
        states
    }

    /// Inserts the pieces of a request. Returns the requests that a piece was evicted from, each
    /// once.
    pub fn insert(
        &mut self,
        keys: &[PieceKey],
        states: &[State],
        request: &Arc<str>,
    ) -> Vec<Arc<str>> {
        for (key, state) in keys.iter().zip(states).rev() {
            self.tick += 1;
            let entry = Entry { state: *state, request: request.clone(), last_used: self.tick };
            self.entries.put(*key, entry);
        }
        let mut evicted = Vec::new();
        while self.entries.len() > self.capacity {
            evicted.extend(self.evict());
        }
        evicted.sort();
        evicted.dedup();
        evicted
    }

    /// Removes all pieces.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn evict(&mut self) -> Option<Arc<str>> {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.last_used).map(|(k, _)| *k)?;
        self.entries.remove(&oldest).map(|e| e.request)
    }
}
