//! Replicas in evacuated zones.

use std::sync::Arc;

use fleet::Replica;
use ident::Time;
use place::{Headroom, Load, PlacementError, PlacementRequest, Pool};

mod common;

const NOW: Time = Time(1_000_000);

fn request() -> PlacementRequest<'static> {
    PlacementRequest {
        target: "t",
        context: Some("context"),
        load: Load { prefill_tokens: 100, memory_tokens: 110, requests: 1 },
        shared_tokens: 50,
        model: Some(("m", 1)),
        min_version: 1,
        software: None,
        headroom: Headroom::Any,
        zone: "b",
        tried: &[],
        permits: &[],
        engine: None,
        goal: std::time::Duration::from_millis(300),
        tie_breaker: 7,
    }
}

fn pool() -> Pool {
    let replica = |n: usize| -> Arc<Replica> {
        let zone = if n < 4 { "a" } else { "b" };
        Arc::new(Replica { zone: zone.into(), ..(*common::replica(n, 1, 8)).clone() })
    };
    let mut pool = Pool::default();
    pool.sync(&(0..8).map(replica).collect::<Vec<_>>());
    pool
}

/// Guards against choices in an evacuated zone, also as the replica from which others fetch.
#[test]
fn replicas_in_evacuated_zones_are_not_chosen() {
    let mut pool = pool();
    pool.set_evacuated(&["b".into()]);
    for tie_breaker in 0..64 {
        let choice = pool.choose(&PlacementRequest { tie_breaker, ..request() }, NOW);
        let choice = choice.expect("zone a has replicas");
        assert_eq!(&*choice.replica.zone, "a");
        assert!(choice.preferred.is_none_or(|p| &*p.zone == "a"));
    }
}

/// Guards against callers that wait, and are told that the target has no replica.
#[test]
fn a_target_whose_zones_are_all_evacuated_is_told_from_one_without_replicas() {
    let mut pool = pool();
    pool.set_evacuated(&["a".into(), "b".into()]);
    assert_eq!(pool.choose(&request(), NOW).unwrap_err(), PlacementError::Evacuated);
    let other = PlacementRequest { target: "other", ..request() };
    assert_eq!(pool.choose(&other, NOW).unwrap_err(), PlacementError::NoReplica);
    pool.set_evacuated(&[]);
    assert!(pool.choose(&request(), NOW).is_ok());
}
