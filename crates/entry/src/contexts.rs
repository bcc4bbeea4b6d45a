//! Replicas that last served each context, in shards that have a lock each.

use std::time::Duration;

use ident::{Digest, Name, Time};
use parking_lot::Mutex;
use route::{Contexts, HotReplica, LastUse};

/// Number of shards, each with its own lock.
const SHARDS: usize = 16;

/// Recently served contexts and the replicas that served them.
pub struct ContextShards(Vec<Mutex<Contexts>>);

impl ContextShards {
    /// Creates shards that hold about `max` contexts in total.
    pub fn new(max: usize) -> Self {
        let each = max.div_ceil(SHARDS);
        Self((0..SHARDS).map(|_| Mutex::new(Contexts::new(each))).collect())
    }

    /// Returns the replica that may still have a context in its cache, and how long ago the replica
    /// used it. `None` if no such replica is known for `weights`.
    pub fn hot(
        &self,
        context: &Digest,
        weights: &Name,
        now: Time,
    ) -> Option<(HotReplica, Duration)> {
        let shard = self.shard(context).lock();
        let hot = shard.hot(context, weights, now)?;
        let at = shard.last(context)?.at;
        Some((hot, now.since(at)))
    }

    /// Records that a replica used a context.
    pub fn put(&self, context: Digest, used: LastUse) {
        self.shard(&context).lock().record(context, used);
    }

    /// Records whether a replica still had a context in its cache, `age` after its last use.
    pub fn observed(&self, context: &Digest, age: Duration, held: bool) {
        self.shard(context).lock().record_observation(age, held);
    }

    /// Removes all contexts of a replica whose cache was cleared.
    pub fn cleared(&self, replica: &Name) {
        for shard in &self.0 {
            shard.lock().remove_replica(replica);
        }
    }

    /// Returns the number of contexts held.
    pub fn len(&self) -> usize {
        self.0.iter().map(|s| s.lock().len()).sum()
    }

    /// Returns whether no context is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, context: &Digest) -> &Mutex<Contexts> {
        &self.0[usize::from(context.0[0]) % SHARDS]
    }
}
