//! Where contexts were last hot, in shards, each under its own lock.

use std::time::Duration;

use ident::{Digest, Name, Time};
use parking_lot::Mutex;
use route::{Contexts, Hot, Used};

/// Number of shards.
const SHARDS: usize = 16;

/// The contexts this instance served last.
pub struct ContextShards(Vec<Mutex<Contexts>>);

impl ContextShards {
    /// Remembers at most about `most` contexts.
    pub fn new(most: usize) -> Self {
        let each = most.div_ceil(SHARDS);
        Self((0..SHARDS).map(|_| Mutex::new(Contexts::new(each))).collect())
    }

    /// The replica that may still hold a context, and how long ago it used it.
    pub fn hot(&self, context: &Digest, weights: &Name, now: Time) -> Option<(Hot, Duration)> {
        let shard = self.shard(context).lock();
        let hot = shard.hot(context, weights, now)?;
        let at = shard.last(context)?.at;
        Some((hot, now.since(at)))
    }

    /// Notes a use.
    pub fn put(&self, context: Digest, used: Used) {
        self.shard(&context).lock().put(context, used);
    }

    /// Notes whether a replica still held a context it had used `age` ago.
    pub fn observed(&self, context: &Digest, age: Duration, held: bool) {
        self.shard(context).lock().observed(age, held);
    }

    /// Forgets everything a replica held.
    pub fn cleared(&self, replica: &Name) {
        for shard in &self.0 {
            shard.lock().cleared(replica);
        }
    }

    /// Number of contexts remembered.
    pub fn len(&self) -> usize {
        self.0.iter().map(|s| s.lock().len()).sum()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, context: &Digest) -> &Mutex<Contexts> {
        &self.0[usize::from(context.0[0]) % SHARDS]
    }
}
