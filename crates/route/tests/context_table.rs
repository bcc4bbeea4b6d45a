//! The table of last uses is bounded and evicts the oldest; trust follows the observations.

use std::time::Duration;

use ident::{Digest, Name, Time};
use route::{Contexts, LastUse};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn used(replica: &str, at: u64) -> LastUse {
    LastUse { replica: name(replica), pieces: 8, weights: name("v1"), at: Time(at) }
}

fn key(i: u64) -> Digest {
    Digest::of(&i.to_le_bytes())
}

#[test]
fn the_oldest_contexts_are_evicted() {
    let mut contexts = Contexts::new(32);
    for i in 0..100 {
        contexts.record(key(i), used("w-0", i));
        assert!(contexts.len() <= 32);
    }
    assert!(contexts.last(&key(99)).is_some());
    assert!(contexts.last(&key(75)).is_some());
    assert!(contexts.last(&key(50)).is_none());
}

#[test]
fn a_context_of_other_weights_is_not_hot() {
    let mut contexts = Contexts::new(4);
    contexts.record(key(1), used("w-0", 1000));
    assert!(contexts.hot(&key(1), &name("v1"), Time(1000)).is_some());
    assert!(contexts.hot(&key(1), &name("v2"), Time(1000)).is_none());
}

#[test]
fn trust_falls_with_age_and_follows_observations() {
    let mut contexts = Contexts::new(4);
    contexts.record(key(1), used("w-0", 0));
    let trust =
        |c: &Contexts, secs: u64| c.hot(&key(1), &name("v1"), Time(secs * 1000)).unwrap().trust;
    assert!(trust(&contexts, 1) > trust(&contexts, 60));
    assert!(trust(&contexts, 60) > trust(&contexts, 3600));
    for _ in 0..200 {
        contexts.record_observation(Duration::from_secs(60), true);
        contexts.record_observation(Duration::from_secs(1), false);
    }
    assert!(trust(&contexts, 60) > 95);
    assert!(trust(&contexts, 1) < 5);
}

#[test]
fn a_late_eviction_event_does_not_remove_a_newer_use() {
    let mut contexts = Contexts::new(4);
    contexts.record(key(1), used("w-0", 1000));
    contexts.remove(&key(1), &name("w-0"), Time(900));
    contexts.remove(&key(1), &name("w-1"), Time(2000));
    assert!(contexts.last(&key(1)).is_some());
    contexts.remove(&key(1), &name("w-0"), Time(1000));
    assert!(contexts.last(&key(1)).is_none());
    contexts.record(key(2), used("w-2", 1));
    contexts.remove_replica(&name("w-2"));
    assert!(contexts.is_empty());
}
