//! Where contexts were used last.

use std::time::Duration;

use ident::{Digest, Name, Time};

use crate::Hot;

/// Age groups of the trust table: each is twice as long as the one before, from one second on.
const AGES: usize = 16;
/// Weight of a new observation in the trust table.
const TRUST_GAIN: f64 = 0.05;
/// Trust in a context used just now, before anything was observed.
const FIRST_TRUST: f64 = 0.95;
/// Factor from one age group to the next, before anything was observed.
const TRUST_FALL: f64 = 0.85;

/// The last use of a context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Used {
    /// The replica that served it.
    pub replica: Name,
    /// Leading pieces in the replica's prefix cache after that.
    pub pieces: u32,
    /// The weight version that served it.
    pub weights: Name,
    /// When.
    pub at: Time,
}

/// A bounded memory of last uses: the least recently used context is forgotten first.
///
/// Invariants: `entries` is sorted by context and holds at most `cap`; `trust` does not grow with
/// age before something was observed.
#[derive(Debug)]
pub struct Contexts {
    entries: Vec<(Digest, Used)>,
    cap: usize,
    /// Chance that a replica still holds a context, by age group.
    trust: [f64; AGES],
}

impl Contexts {
    /// A memory of at most `cap` contexts.
    pub fn new(cap: usize) -> Self {
        let mut trust = [FIRST_TRUST; AGES];
        for i in 1..AGES {
            trust[i] = trust[i - 1] * TRUST_FALL;
        }
        Self { entries: Vec::new(), cap: cap.max(1), trust }
    }

    /// Number of contexts remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes a use.
    pub fn put(&mut self, context: Digest, used: Used) {
        match self.at(&context) {
            Ok(at) => self.entries[at].1 = used,
            Err(at) => self.entries.insert(at, (context, used)),
        }
        if self.entries.len() > self.cap {
            self.forget_oldest();
        }
        assert!(self.entries.len() <= self.cap, "the memory of contexts is bounded");
    }

    /// Drops a sixteenth of the entries, oldest first, so that the search is rare.
    fn forget_oldest(&mut self) {
        let drop = (self.cap / 16).max(1);
        let mut times: Vec<_> = self.entries.iter().map(|(_, u)| u.at).collect();
        let (_, limit, _) = times.select_nth_unstable(drop - 1);
        let limit = *limit;
        let mut left = drop;
        self.entries.retain(|(_, used)| {
            let goes = left > 0 && used.at <= limit;
            left -= usize::from(goes);
            !goes
        });
    }

    /// The replica that may still hold `context` under `weights`.
    pub fn hot(&self, context: &Digest, weights: &Name, now: Time) -> Option<Hot> {
        let used = &self.entries[self.at(context).ok()?].1;
        if used.weights != *weights {
            return None;
        }
        let trust = (self.trust[age_group(now.since(used.at))] * 100.0).round();
        Some(Hot { replica: used.replica.clone(), pieces: used.pieces, trust: trust as u8 })
    }

    /// Notes whether a replica still held a context that it had used `age` ago.
    pub fn observed(&mut self, age: Duration, held: bool) {
        let trust = &mut self.trust[age_group(age)];
        let seen = if held { 1.0 } else { 0.0 };
        *trust += (seen - *trust) * TRUST_GAIN;
    }

    /// The last use of a context.
    pub fn last(&self, context: &Digest) -> Option<&Used> {
        self.at(context).ok().map(|at| &self.entries[at].1)
    }

    /// `replica` evicted `context` at `at`. Ignored when the context was used there since.
    pub fn evicted(&mut self, context: &Digest, replica: &Name, at: Time) {
        if let Ok(i) = self.at(context) {
            let used = &self.entries[i].1;
            if used.replica == *replica && used.at <= at {
                self.entries.remove(i);
            }
        }
    }

    /// `replica` lost its prefix cache: it restarted, changed weights or its events have a gap
    /// that hides evictions.
    pub fn cleared(&mut self, replica: &Name) {
        self.entries.retain(|(_, used)| used.replica != *replica);
    }

    fn at(&self, context: &Digest) -> Result<usize, usize> {
        self.entries.binary_search_by(|(c, _)| c.cmp(context))
    }
}

fn age_group(age: Duration) -> usize {
    let secs = age.as_secs().max(1);
    (secs.ilog2() as usize).min(AGES - 1)
}
