//! Which replica is chosen for a request, and when none is.

use std::{sync::Arc, time::Duration};

use fleet::{Engine, Replica};
use ident::Time;
use place::{Choice, Headroom, Load, Outcome, PeerLoad, PlacementError, PlacementRequest, Pool};

mod common;

use common::replica;

/// Requests that an engine runs at once.
const SLOTS: u32 = 64;
const NOW: Time = Time(10_000);
const LONG: Load = Load { prefill_tokens: 17_000, memory_tokens: 17_100, requests: 1 };
const SHORT: Load = Load { prefill_tokens: 380, memory_tokens: 400, requests: 1 };

fn engine() -> Engine {
    let (capacity, bytes, link) = (74_000, 18_432, 88_000.0);
    Engine {
        slots: SLOTS,
        capacity_tokens: capacity,
        token_bytes: bytes,
        link_mbps: link,
        models: vec!["m".into()],
    }
}

fn pool(count: usize) -> Pool {
    let mut pool = Pool::default();
    let replicas: Vec<_> = (0..count).map(|n| replica(n, 1, SLOTS)).collect();
    pool.sync(&replicas);
    pool
}

fn request<'a>(load: Load, engine: &'a Engine, context: &'a str) -> PlacementRequest<'a> {
    PlacementRequest {
        target: "t",
        context: Some(context),
        load,
        shared_tokens: load.prefill_tokens * 3 / 4,
        model: Some(("m", 1)),
        min_version: 0,
        software: None,
        headroom: Headroom::Ample,
        zone: "a",
        tried: &[],
        permits: &[],
        engine: Some(engine),
        goal: Duration::from_millis(500),
        tie_breaker: 0,
    }
}

fn preferred_replicas(pool: &Pool, load: Load) -> Vec<Arc<str>> {
    let engine = engine();
    let mut out: Vec<Arc<str>> = (0..200)
        .map(|n| {
            let context = format!("c-{n}");
            let choice =
                pool.choose(&request(load, &engine, &context), NOW).expect("all replicas are idle");
            assert!(choice.preferred.is_none(), "the preferred replica is idle");
            choice.replica.id.clone()
        })
        .collect();
    out.sort();
    out.dedup();
    out
}

fn fill(pool: &mut Pool, ids: &[Arc<str>], share: f64) {
    let memory = (engine().capacity_tokens as f64 * share) as u64;
    ids.iter().for_each(|id| {
        pool.add_load(id, Load { prefill_tokens: 0, memory_tokens: memory, requests: 3 })
    });
}

#[test]
fn a_context_keeps_its_preferred_replica() {
    let (pool, engine) = (pool(12), engine());
    let one =
        |p: &Pool| p.choose(&request(LONG, &engine, "ctx"), NOW).map(|c| c.replica.id.clone());
    let preferred = one(&pool);
    assert_eq!(preferred, one(&pool));
    let mut smaller = Pool::default();
    let gone = preferred_replicas(&pool, SHORT)[0].clone();
    let rest: Vec<_> = (0..12)
        .map(|n| replica(n, 1, SLOTS))
        .filter(|r| r.id != gone && Ok(&r.id) != preferred.as_ref())
        .collect();
    smaller.sync(&rest);
    assert!(one(&smaller).is_ok(), "another replica is chosen");
}

/// Long prompts at the same replica would evict the parts of short ones from its memory.
#[test]
fn short_and_long_prompts_prefer_different_replicas() {
    let pool = pool(12);
    let (short, long) = (preferred_replicas(&pool, SHORT), preferred_replicas(&pool, LONG));
    assert_eq!((short.len(), long.len()), (3, 9));
    assert!(short.iter().all(|id| !long.contains(id)));
}

/// Guards against sending long prompts to full engines, for example while replicas are down: parts
/// that are fetched for queued requests are evicted, and the prompts are prefilled twice.
#[test]
fn a_long_prompt_waits_while_all_engines_are_full() {
    let (mut pool, engine) = (pool(12), engine());
    let long = preferred_replicas(&pool, LONG);
    fill(&mut pool, &long, 0.8);
    let mut request = request(LONG, &engine, "ctx");
    assert_eq!(
        pool.choose(&request, NOW).map(|c| c.delay_ms).unwrap_err(),
        PlacementError::Overloaded
    );
    request.headroom = Headroom::Tight;
    let chosen = pool.choose(&request, NOW).expect("replicas for short prompts have headroom");
    assert!(!long.contains(&chosen.replica.id));
    let all: Vec<Arc<str>> = (0..12).map(|n| format!("r-{n:02}").into()).collect();
    fill(&mut pool, &all, 0.9);
    assert_eq!(
        pool.choose(&request, NOW).map(|c| c.delay_ms).unwrap_err(),
        PlacementError::Overloaded
    );
    request.headroom = Headroom::Any;
    assert!(pool.choose(&request, NOW).is_ok(), "no headroom is required");
}

#[test]
fn a_short_prompt_does_not_wait_behind_long_ones() {
    let (mut pool, engine) = (pool(12), engine());
    let long = preferred_replicas(&pool, LONG);
    fill(&mut pool, &long, 1.5);
    let choice =
        pool.choose(&request(SHORT, &engine, "ctx"), NOW).expect("a short prompt never waits");
    assert!(choice.delay_ms < 100.0, "{} ms", choice.delay_ms);
}

#[test]
fn the_load_of_peers_counts_while_it_is_fresh() {
    let (mut pool, engine) = (pool(12), engine());
    let loads: Vec<PeerLoad> = preferred_replicas(&pool, LONG)
        .into_iter()
        .map(|replica| PeerLoad {
            replica,
            load: Load { prefill_tokens: 0, memory_tokens: 70_000, requests: 4 },
        })
        .collect();
    pool.set_peer_loads(&"other".into(), loads, NOW);
    assert_eq!(
        pool.choose(&request(LONG, &engine, "c"), NOW).map(|_| ()),
        Err(PlacementError::Overloaded)
    );
    assert!(pool.choose(&request(LONG, &engine, "c"), Time(NOW.0 + 2000)).is_ok());
}

#[test]
fn the_preferred_replica_has_the_same_version() {
    let engine = engine();
    let mut pool = Pool::default();
    let replicas: Vec<_> = (0..12).map(|n| replica(n, 1 + (n as u64 % 2), SLOTS)).collect();
    pool.sync(&replicas);
    for n in 0..50 {
        let context = format!("c-{n}");
        let mut request = request(LONG, &engine, &context);
        request.model = Some(("m", 2));
        let choice: Choice = pool.choose(&request, NOW).expect("some replicas have headroom");
        let preferred = choice.preferred.as_ref().map(|p| p.version("m"));
        assert!(
            preferred.is_none_or(|v| v == choice.version),
            "KV cache of another version can't be used"
        );
        request.min_version = 2;
        let newest = pool.choose(&request, NOW).expect("half of the replicas have version 2");
        assert_eq!(newest.version, Some(2), "retired weights are not used");
    }
}

#[test]
fn a_replica_that_does_not_answer_is_excluded_and_tried_again() {
    let (mut pool, engine) = (pool(1), engine());
    let request = request(SHORT, &engine, "ctx");
    pool.record_outcome("r-00", Outcome::NoAnswer, NOW);
    assert!(pool.choose(&request, NOW).is_ok(), "one failure does not exclude a replica");
    pool.record_outcome("r-00", Outcome::NoAnswer, NOW);
    let Err(PlacementError::Excluded { until }) = pool.choose(&request, NOW) else {
        panic!("the replica is not excluded")
    };
    assert!(pool.choose(&request, until).is_ok());
    pool.record_outcome("r-00", Outcome::Answered, until);
    pool.record_outcome("r-00", Outcome::NoAnswer, until);
    assert!(pool.choose(&request, until).is_ok(), "an answer resets the count of failures");
}

#[test]
fn an_unreachable_replica_is_excluded_at_once() {
    let (mut pool, engine) = (pool(2), engine());
    let request = request(SHORT, &engine, "ctx");
    let first = pool.choose(&request, NOW).expect("both replicas are idle").replica.id.clone();
    pool.mark_unreachable(&first, NOW);
    assert_ne!(pool.choose(&request, NOW).expect("the other replica is idle").replica.id, first);
}

#[test]
fn a_restart_resets_load_and_health() {
    let (mut pool, engine) = (pool(1), engine());
    pool.add_load("r-00", LONG);
    pool.record_outcome("r-00", Outcome::NoAnswer, NOW);
    pool.record_outcome("r-00", Outcome::NoAnswer, NOW);
    let restarted = Replica { started_ms: 2, ..(*replica(0, 1, SLOTS)).clone() };
    pool.sync(&[Arc::new(restarted)]);
    let choice =
        pool.choose(&request(SHORT, &engine, "c"), NOW).expect("the replica is a new incarnation");
    assert_eq!(choice.load, Load::default());
}

#[test]
fn replicas_without_an_engine_get_equal_load() {
    let (mut pool, engine) = (pool(3), engine());
    let request = PlacementRequest {
        engine: None,
        context: None,
        model: None,
        ..request(SHORT, &engine, "x")
    };
    let mut counts = [0; 3];
    for draw in 0..300 {
        let choice = pool
            .choose(&PlacementRequest { tie_breaker: draw, ..request.clone() }, NOW)
            .expect("all replicas are usable");
        let at: usize = choice.replica.id[2..].parse().expect("the id ends with a number");
        counts[at] += 1;
        pool.add_load(
            &choice.replica.id.clone(),
            Load { prefill_tokens: 0, memory_tokens: 0, requests: 1 },
        );
    }
    assert!(counts.iter().all(|c| (95..=105).contains(c)), "{counts:?}");
}

/// Guards against keeping the largest prompts waiting for engines whose reports show many requests,
/// as if each were a long one.
#[test]
fn a_large_prompt_does_not_wait_for_sizes_that_are_guessed() {
    let (mut pool, engine) = (pool(12), engine());
    for n in 0..20 {
        pool.set_peer_loads(&format!("i-{n}").into(), Vec::new(), NOW);
    }
    // Typical prompts of this instance are long.
    (0..40).for_each(|_| pool.add_load("r-00", LONG));
    (0..40).for_each(|_| pool.remove_load("r-00", LONG));
    (0..12).for_each(|n| pool.record_report(&format!("r-{n:02}"), 4, NOW));
    let large = Load { prefill_tokens: 45_000, memory_tokens: 45_100, requests: 1 };
    assert!(pool.choose(&request(large, &engine, "ctx"), NOW).is_ok());
}
