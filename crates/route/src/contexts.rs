//! The replica that used each context last.

use std::time::Duration;

use ident::{Digest, Name, Time};

use crate::HotReplica;

/// Number of age groups in the trust table. Group 0 covers ages below 2 s, group i those from 2^i
/// to 2^(i+1) s; the last group has no upper end.
const AGE_GROUPS: usize = 16;
/// Weight of a new observation in the moving average of a trust value.
const TRUST_ALPHA: f64 = 0.05;
/// Trust of the first age group before any observation.
const INITIAL_TRUST: f64 = 0.95;
/// Factor of the trust from one age group to the next before any observation.
const TRUST_DECAY: f64 = 0.85;

/// The last use of a context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LastUse {
    /// Replica that served the context.
    pub replica: Name,
    /// Number of leading pieces in the replica's prefix cache after the use.
    pub pieces: u32,
    /// Weights version that served the context.
    pub weights: Name,
    /// Time of the use.
    pub at: Time,
}

/// A bounded table of the last use of each context. The least recently used contexts are evicted
/// first.
///
/// Invariants: `entries` is sorted by context and has at most `cap` entries. Before any
/// observation, `trust` does not grow with age.
#[derive(Debug)]
pub struct Contexts {
    entries: Vec<(Digest, LastUse)>,
    /// Largest number of entries.
    cap: usize,
    /// Probability from 0 to 1 that a replica still holds a context, by age group of its last use.
    trust: [f64; AGE_GROUPS],
}

impl Contexts {
    /// Creates a table of at most `cap` contexts, and of at least one.
    pub fn new(cap: usize) -> Self {
        let mut trust = [INITIAL_TRUST; AGE_GROUPS];
        for i in 1..AGE_GROUPS {
            trust[i] = trust[i - 1] * TRUST_DECAY;
        }
        Self { entries: Vec::new(), cap: cap.max(1), trust }
    }

    /// Number of contexts in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records the last use of a context.
    pub fn record(&mut self, context: Digest, used: LastUse) {
        match self.at(&context) {
            Ok(at) => self.entries[at].1 = used,
            Err(at) => self.entries.insert(at, (context, used)),
        }
        if self.entries.len() > self.cap {
            self.evict_oldest();
        }
        assert!(self.entries.len() <= self.cap, "the table of contexts exceeds its limit");
    }

    /// Evicts the oldest sixteenth of the entries, so that the search for the oldest is rarely
    /// needed.
    fn evict_oldest(&mut self) {
        let count = (self.cap / 16).max(1);
        let mut times: Vec<_> = self.entries.iter().map(|(_, u)| u.at).collect();
        let (_, limit, _) = times.select_nth_unstable(count - 1);
        let limit = *limit;
        let mut left = count;
        self.entries.retain(|(_, used)| {
            let evict = left > 0 && used.at <= limit;
            left -= usize::from(evict);
            !evict
        });
    }

    /// Returns the replica that may still hold `context`; `None` if the context is unknown or was
    /// last used with another weights version than `weights`.
    pub fn hot(&self, context: &Digest, weights: &Name, now: Time) -> Option<HotReplica> {
        let used = &self.entries[self.at(context).ok()?].1;
        if used.weights != *weights {
            return None;
        }
        let trust = (self.trust[age_group(now.since(used.at))] * 100.0).round();
        Some(HotReplica { replica: used.replica.clone(), pieces: used.pieces, trust: trust as u8 })
    }

    /// Records whether a replica still held a context that it had used `age` ago.
    pub fn record_observation(&mut self, age: Duration, held: bool) {
        let trust = &mut self.trust[age_group(age)];
        let value = if held { 1.0 } else { 0.0 };
        *trust += (value - *trust) * TRUST_ALPHA;
    }

    /// Returns the last use of a context; `None` if the context is unknown.
    pub fn last(&self, context: &Digest) -> Option<&LastUse> {
        self.at(context).ok().map(|at| &self.entries[at].1)
    }

    /// Removes `context`, which `replica` evicted at `at`. Ignored if the replica used it again
    /// since.
    pub fn remove(&mut self, context: &Digest, replica: &Name, at: Time) {
        if let Ok(i) = self.at(context) {
            let used = &self.entries[i].1;
            if used.replica == *replica && used.at <= at {
                self.entries.remove(i);
            }
        }
    }

    /// Removes all contexts of `replica`, which lost its prefix cache: it restarted, changed
    /// weights, or its events have a gap that may hide evictions.
    pub fn remove_replica(&mut self, replica: &Name) {
        self.entries.retain(|(_, used)| used.replica != *replica);
    }

    fn at(&self, context: &Digest) -> Result<usize, usize> {
        self.entries.binary_search_by(|(c, _)| c.cmp(context))
    }
}

fn age_group(age: Duration) -> usize {
    let secs = age.as_secs().max(1);
    (secs.ilog2() as usize).min(AGE_GROUPS - 1)
}
