//! The prefix cache in accelerator memory.

use std::sync::Arc;

use crate::{
    model::{State, digest},
    sorted::Sorted,
};

/// Key of a piece: salt, model, weights and the prompt up to the end of the piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PieceKey(State);

impl AsRef<Self> for PieceKey {
    fn as_ref(&self) -> &Self {
        self
    }
}

impl PieceKey {
    /// The key before the first piece.
    pub fn root(salt: &str, model: &str, weights: &str) -> Self {
        Self(digest(&[b"root", salt.as_bytes(), model.as_bytes(), weights.as_bytes()]))
    }

    /// The key after one more piece.
    pub fn then(&self, text: &[u8]) -> Self {
        Self(digest(&[b"then", &self.0, text]))
    }
}

#[derive(Debug)]
struct Entry {
    state: State,
    owner: Arc<str>,
    used: u64,
}

/// States of pieces; the least recently used go first.
///
/// Invariant: holds at most `capacity` pieces.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    entries: Sorted<PieceKey, Entry>,
    tick: u64,
    /// Evictions of everything that were carried out.
    pub evictions: u64,
}

impl Cache {
    /// An empty cache.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, entries: Sorted::default(), tick: 0, evictions: 0 }
    }

    /// The states of the longest unbroken run of `keys` from the first one on.
    pub fn run(&mut self, keys: &[PieceKey]) -> Vec<State> {
        let hits = keys.iter().map_while(|k| self.entries.get(k).map(|e| e.state));
        let states: Vec<State> = hits.collect();
        // The tail is touched first, so that it is evicted first.
        for key in keys[..states.len()].iter().rev() {
            self.tick += 1;
            if let Some(entry) = self.entries.get_mut(key) {
                entry.used = self.tick;
            }
        }
        states
    }

    /// Adds the pieces of a request; returns the requests that lost one.
    pub fn add(&mut self, keys: &[PieceKey], states: &[State], owner: &Arc<str>) -> Vec<Arc<str>> {
        for (key, state) in keys.iter().zip(states).rev() {
            self.tick += 1;
            let entry = Entry { state: *state, owner: owner.clone(), used: self.tick };
            self.entries.put(*key, entry);
        }
        let mut losers = Vec::new();
        while self.entries.len() > self.capacity {
            losers.extend(self.evict());
        }
        losers.sort();
        losers.dedup();
        losers
    }

    /// Drops everything, as when other weights take the memory.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    fn evict(&mut self) -> Option<Arc<str>> {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.used).map(|(k, _)| *k)?;
        self.entries.remove(&oldest).map(|e| e.owner)
    }
}
