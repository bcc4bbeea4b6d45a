//! The parts and requests that were answered whole lately.

use std::collections::HashMap;

use ident::Time;

use crate::SuspectKey;

/// Number of parts in one generation.
const PARTS: usize = 4096;
/// Number of requests in one generation. Only those that come often matter.
const REQUESTS: usize = 1024;

/// Parts and requests with the time of their last whole answer. The oldest are forgotten when there
/// are too many.
#[derive(Debug, Default)]
pub(crate) struct Answered {
    parts: Generations,
    requests: Generations,
}

#[derive(Debug, Default)]
struct Generations {
    young: HashMap<SuspectKey, Time>,
    /// The generation before.
    old: HashMap<SuspectKey, Time>,
}

impl Answered {
    pub(crate) fn insert(&mut self, key: SuspectKey, now: Time) {
        let (size, generations) = match key {
            SuspectKey::Part(_) => (PARTS, &mut self.parts),
            SuspectKey::Request(_) => (REQUESTS, &mut self.requests),
        };
        if generations.young.len() >= size && !generations.young.contains_key(&key) {
            generations.old = std::mem::take(&mut generations.young);
        }
        generations.young.insert(key, now);
    }

    /// The last whole answer; `None` if none is remembered.
    pub(crate) fn last(&self, key: SuspectKey) -> Option<Time> {
        let generations = match key {
            SuspectKey::Part(_) => &self.parts,
            SuspectKey::Request(_) => &self.requests,
        };
        generations.young.get(&key).or_else(|| generations.old.get(&key)).copied()
    }
}
