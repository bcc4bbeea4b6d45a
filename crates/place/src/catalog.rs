//! The catalog of a store: which parts it holds completely, according to its events and lists.

use std::{sync::Arc, time::Duration};

use ident::Time;

/// How long a catalog counts as fresh after the store's last answer.
const CATALOG_TTL: Duration = Duration::from_millis(1200);
/// Time after a store's last answer within which a fetch from it must end. The deadline is given by
/// the engines' clock.
const FETCH_TIMEOUT_MS: u64 = 1800;
/// Time from the first known answer of an epoch until parts are saved to the store, on the engines'
/// clock. All fetches that were planned in the epoch before must have ended: the store gave its last
/// answer in that epoch before the first one in this epoch. The store may have been away for any time.
const SAVE_DELAY_MS: u64 = FETCH_TIMEOUT_MS + 200;

/// A part that a store holds completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldPart {
    /// Cache salt under which the part was computed.
    pub salt: Arc<str>,
    /// Identifier of the part.
    pub part: Arc<str>,
    /// Length of the part, in tokens.
    pub tokens: u64,
}

/// A change of its contents that a store reported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The store now holds the part completely.
    Added(HeldPart),
    /// The store no longer holds the part.
    Removed {
        /// Cache salt of the part.
        salt: Arc<str>,
        /// Identifier of the part.
        part: Arc<str>,
    },
}

/// The parts that one store holds.
///
/// Invariants: `held` describes the epoch `epoch`. A part is in `held` only if an event or a list
/// of that epoch reported it as complete.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Epoch that `held` describes; `None` until the store's list is read.
    epoch: Option<u64>,
    /// Sorted by salt, then part.
    held: Vec<HeldPart>,
    /// When the request that the store answered last was sent.
    asked_at: Time,
    /// Time of the store's last answer by the engines' clock, in ms.
    clock_ms: u64,
    /// Epoch of the store's last answer, and the time of the first answer that is known of it, by the
    /// engines' clock, in ms. Stays while the contents are unknown.
    epoch_start: Option<(u64, u64)>,
    /// Salt and identifier of each part that this instance recently asked an engine to save, and
    /// the time until which no other request saves it. Sorted.
    saving: Vec<(Arc<str>, Arc<str>, Time)>,
}

impl Catalog {
    /// Whether the contents of the store are unknown, so that its complete list must be requested
    /// next.
    pub fn needs_list(&self) -> bool {
        self.epoch.is_none()
    }

    /// Replaces the contents by a complete list of the store.
    pub fn replace(&mut self, epoch: u64, mut held: Vec<HeldPart>) {
        held.sort_by(|a, b| (&a.salt, &a.part).cmp(&(&b.salt, &b.part)));
        (self.epoch, self.held) = (Some(epoch), held);
    }

    /// Applies the answer to a request for events that was sent at `asked`. `gap` tells that events
    /// are missing. Returns false if the complete list must be requested; the catalog is then
    /// empty.
    pub fn apply(
        &mut self,
        epoch: u64,
        gap: bool,
        changes: Vec<Change>,
        clock_ms: u64,
        asked: Time,
    ) -> bool {
        if gap || self.epoch != Some(epoch) {
            self.clear();
            return false;
        }
        changes.into_iter().for_each(|c| self.change(c));
        (self.asked_at, self.clock_ms) = (asked, clock_ms);
        if self.epoch_start.is_none_or(|(known, _)| known != epoch) {
            self.epoch_start = Some((epoch, clock_ms));
        }
        true
    }

    /// Clears the catalog, because the store did not answer or its answer is of another epoch.
    pub fn clear(&mut self) {
        (self.epoch, self.asked_at) = (None, Time(0));
        self.held.clear();
    }

    /// Returns how many tokens of a part the store holds; `None` if it does not hold the part or
    /// the catalog is not fresh.
    pub fn tokens(&self, salt: &str, part: &str, now: Time) -> Option<u64> {
        if !self.is_fresh(now) {
            return None;
        }
        self.find(salt, part).ok().map(|at| self.held[at].tokens)
    }

    /// Whether the store's last answer is recent enough for the catalog to be used.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.epoch.is_some() && !self.fresh_until().passed(now)
    }

    /// Whether parts may be saved to the store: the catalog is fresh, and no fetch that any instance
    /// planned before the store's last restart is still under way.
    pub fn allows_saves(&self, now: Time) -> bool {
        let start = self.epoch_start.filter(|(epoch, _)| self.epoch == Some(*epoch));
        self.is_fresh(now) && start.is_some_and(|(_, ms)| self.clock_ms >= ms + SAVE_DELAY_MS)
    }

    /// Time until which the catalog counts as fresh.
    pub fn fresh_until(&self) -> Time {
        self.asked_at.after(CATALOG_TTL)
    }

    /// Deadline of a fetch that is planned from this catalog, in ms of the engines' clock.
    pub fn fetch_deadline(&self) -> u64 {
        self.clock_ms + FETCH_TIMEOUT_MS
    }

    /// When the request that the store answered last was sent.
    pub fn asked_at(&self) -> Time {
        self.asked_at
    }

    /// Returns the time of the store's last answer by the engines' clock, in ms.
    pub fn clock_ms(&self) -> u64 {
        self.clock_ms
    }

    /// Removes parts, given as salt and identifier, from the catalog. The store has freed them but
    /// not yet reported them as removed.
    pub fn remove(&mut self, parts: &[(Arc<str>, Arc<str>)]) {
        for (salt, part) in parts {
            if let Ok(at) = self.find(salt, part) {
                self.held.remove(at);
            }
        }
    }

    /// Total tokens of all parts held.
    pub fn total_tokens(&self) -> u64 {
        self.held.iter().map(|h| h.tokens).sum()
    }

    /// Epoch of the store that the catalog describes; `None` if the contents are unknown.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns the parts for which `is_match` returns true.
    pub fn matching<F>(&self, is_match: F) -> Vec<HeldPart>
    where
        F: Fn(&HeldPart) -> bool,
    {
        self.held.iter().filter(|h| is_match(h)).cloned().collect()
    }

    /// Registers that a request saves the part, until the time `until`. Returns false if another
    /// request is registered for the part already.
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
            Change::Added(held) => match self.find(&held.salt, &held.part) {
                Ok(at) => self.held[at] = held,
                Err(at) => self.held.insert(at, held),
            },
            Change::Removed { salt, part } => {
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
