//! What a store of kept KV cache holds whole, as told by its events and lists.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// How long a store's last answer speaks for it. A store that restarted needs longer than this to
/// be back and to hold a half-written part again.
const TRUST: Duration = Duration::from_millis(1200);
/// How long after a store's last answer a fetch from it may still run, on the engines' clock.
const FETCH_LIMIT_MS: u64 = 1800;

/// A part that is held whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The cache salt it was made under.
    pub salt: Arc<str>,
    /// The part.
    pub part: Arc<str>,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A change that a store reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The part is held whole.
    Kept(Held),
    /// The part is gone.
    Gone {
        /// Its cache salt.
        salt: Arc<str>,
        /// The part.
        part: Arc<str>,
    },
}

/// The parts of one store.
///
/// Invariants: `held` belongs to the epoch `epoch`; a part is in it only if an event or a list of
/// that epoch said that it is whole.
#[derive(Debug, Default)]
pub struct Catalog {
    epoch: Option<u64>,
    /// Sorted by salt, then part.
    held: Vec<Held>,
    /// When the question behind the last answer was asked.
    asked: Time,
    /// The engines' clock at the last answer, in ms.
    clock: u64,
    /// Parts that this instance has lately asked an engine to save, and until when no other
    /// request need do so. Sorted.
    saving: Vec<(Arc<str>, Arc<str>, Time)>,
}

impl Catalog {
    /// Whether the next question must be for the whole list.
    pub fn unknown(&self) -> bool {
        self.epoch.is_none()
    }

    /// Takes in a whole list.
    pub fn replace(&mut self, epoch: u64, mut held: Vec<Held>) {
        held.sort_by(|a, b| (&a.salt, &a.part).cmp(&(&b.salt, &b.part)));
        (self.epoch, self.held) = (Some(epoch), held);
    }

    /// Takes in an answer to a question asked at `asked`; `gap` says that events are missing.
    /// Returns false when the list must be read.
    pub fn apply(
        &mut self,
        epoch: u64,
        gap: bool,
        changes: Vec<Change>,
        clock: u64,
        asked: Time,
    ) -> bool {
        if gap || self.epoch != Some(epoch) {
            self.forget();
            return false;
        }
        changes.into_iter().for_each(|c| self.change(c));
        (self.asked, self.clock) = (asked, clock);
        true
    }

    /// Forgets all: the store did not answer, or answers for another epoch.
    pub fn forget(&mut self) {
        (self.epoch, self.asked) = (None, Time(0));
        self.held.clear();
    }

    /// The tokens held of a part, if the knowledge is fresh.
    pub fn tokens(&self, salt: &str, part: &str, now: Time) -> Option<u64> {
        if !self.fresh(now) {
            return None;
        }
        self.find(salt, part).ok().map(|at| self.held[at].tokens)
    }

    /// Whether the last answer still speaks for the store.
    pub fn fresh(&self, now: Time) -> bool {
        self.epoch.is_some() && now.since(self.asked) < TRUST
    }

    /// The latest end of a fetch that is decided on this knowledge, on the engines' clock.
    pub fn until(&self) -> u64 {
        self.clock + FETCH_LIMIT_MS
    }

    /// The engines' clock at the last answer, in ms.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Notes that parts were freed, before an event says so.
    pub fn freed(&mut self, parts: &[(Arc<str>, Arc<str>)]) {
        for (salt, part) in parts {
            if let Ok(at) = self.find(salt, part) {
                self.held.remove(at);
            }
        }
    }

    /// Tokens held in all.
    pub fn total(&self) -> u64 {
        self.held.iter().map(|h| h.tokens).sum()
    }

    /// The store's epoch.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// The parts for which `dead` says yes.
    pub fn dead<F>(&self, dead: F) -> Vec<Held>
    where
        F: Fn(&Held) -> bool,
    {
        self.held.iter().filter(|h| dead(h)).cloned().collect()
    }

    /// Notes that a request is to save the part; false when one lately was.
    pub fn claim_save(&mut self, salt: &Arc<str>, part: &Arc<str>, until: Time, now: Time) -> bool {
        self.saving.retain(|(_, _, t)| !t.passed(now));
        match self.saving.binary_search_by(|(s, p, _)| (s, p).cmp(&(salt, part))) {
            Ok(_) => false,
            Err(at) => {
                self.saving.insert(at, (salt.clone(), part.clone(), until));
                true
            }
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Kept(held) => match self.find(&held.salt, &held.part) {
                Ok(at) => self.held[at] = held,
                Err(at) => self.held.insert(at, held),
            },
            Change::Gone { salt, part } => {
                if let Ok(at) = self.find(&salt, &part) {
                    self.held.remove(at);
                }
            }
        }
    }

    fn find(&self, salt: &str, part: &str) -> Result<usize, usize> {
        self.held.binary_search_by(|h| (&*h.salt, &*h.part).cmp(&(salt, part)))
    }
}
