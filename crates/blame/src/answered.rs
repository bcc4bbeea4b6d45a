//! The parts that were answered whole lately.

use std::collections::HashMap;

use ident::Time;

use crate::PartKey;

/// Number of parts in one generation.
const GENERATION_SIZE: usize = 4096;

/// Parts with the time of their last whole answer. The oldest are forgotten when there are too
/// many.
#[derive(Debug, Default)]
pub(crate) struct Answered {
    young: HashMap<PartKey, Time>,
    /// The generation before.
    old: HashMap<PartKey, Time>,
}

impl Answered {
    pub(crate) fn insert(&mut self, part: PartKey, now: Time) {
        if self.young.len() >= GENERATION_SIZE && !self.young.contains_key(&part) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(part, now);
    }

    /// The last whole answer; `None` if none is remembered.
    pub(crate) fn last(&self, part: PartKey) -> Option<Time> {
        self.young.get(&part).or_else(|| self.old.get(&part)).copied()
    }
}
