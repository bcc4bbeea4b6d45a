//! How the engines of a target are divided between short and long prompts.

use std::{sync::Arc, time::Duration};

use fleet::Engine;
use ident::Time;
use place::{Headroom, Load, PlacementRequest, Pool, ReplicaLoad};

mod simulated;

use simulated::{A, B, Deployment, Figures, Play, play, replicas};

const SHORT: Load = Load { prefill_tokens: 383, memory_tokens: 389, requests: 1 };
const LONG: Load = Load { prefill_tokens: 17_060, memory_tokens: 17_077, requests: 1 };
const ENGINES: usize = 40;

fn engine() -> Engine {
    let (capacity, bytes, link) = (74_000, 18_432, 88_000.0);
    Engine {
        slots: 12,
        capacity_tokens: capacity,
        token_bytes: bytes,
        link_mbps: link,
        models: vec!["m".into()],
    }
}

/// Chosen replica of a context, and its preferred one.
fn choose(pool: &Pool, load: Load, context: &str, now: Time) -> (Arc<str>, Arc<str>) {
    let request = PlacementRequest {
        target: "t",
        context: Some(context),
        load,
        shared_tokens: load.prefill_tokens * 3 / 4,
        model: Some(("m", 1)),
        min_version: 0,
        software: None,
        headroom: Headroom::Any,
        zone: "a",
        tried: &[],
        permits: &[],
        engine: Some(&engine()),
        goal: Duration::from_millis(300),
        tie_breaker: 1,
    };
    let choice = pool.choose(&request, now).expect("replicas are usable");
    let preferred = choice.preferred.map_or_else(|| choice.replica.id.clone(), |p| p.id.clone());
    (choice.replica.id.clone(), preferred)
}

/// The engines that short prompts prefer. Sorted.
fn short_engines(pool: &Pool, now: Time) -> Vec<Arc<str>> {
    let mut out: Vec<_> = (0..400).map(|n| choose(pool, SHORT, &format!("c-{n}"), now).1).collect();
    out.sort();
    out.dedup();
    out
}

fn pool() -> Pool {
    let mut pool = Pool::default();
    pool.sync(&replicas(ENGINES));
    // Instances with many peers sample engines.
    (0..20).for_each(|n| pool.set_peer_loads(&format!("i-{n}").into(), Vec::new(), Time(1000)));
    pool
}

/// Records reports every 100 ms: `busy` requests at the engines that short prompts prefer, `other`
/// at the others.
fn report(pool: &mut Pool, busy: u32, other: u32, from: Time, span_ms: u64) -> Time {
    for tick in 0..span_ms / 100 {
        let now = Time(from.0 + tick * 100);
        let short = short_engines(pool, now);
        for replica in replicas(ENGINES) {
            let requests = if short.contains(&replica.id) { busy } else { other };
            pool.record_report(&replica.id, ReplicaLoad::of_requests(requests), now);
        }
    }
    Time(from.0 + span_ms)
}

/// Guards against moving contexts while a quarter of the engines is enough, and against a share that
/// stays high after a burst.
#[test]
fn the_share_grows_with_demand_and_shrinks_to_a_quarter() {
    let mut pool = pool();
    let quarter = short_engines(&pool, Time(2000));
    assert_eq!(quarter.len(), ENGINES / 4);
    let now = report(&mut pool, 8, 2, Time(2000), 3000);
    assert_eq!(short_engines(&pool, now), quarter);
    let now = report(&mut pool, 20, 2, now, 1500);
    let more = short_engines(&pool, now);
    assert!(more.len() > quarter.len(), "{} engines", more.len());
    assert!(quarter.iter().all(|id| more.contains(id)), "the first engines stay");
    let now = report(&mut pool, 2, 2, now, 20_000);
    assert_eq!(short_engines(&pool, now), quarter);
}

/// Guards against taking engines from long prompts that need them as well.
#[test]
fn long_prompts_keep_their_share_of_the_engines() {
    let share = |long: bool| {
        let mut pool = pool();
        // This instance's own requests show which kind the engines run.
        for replica in replicas(ENGINES) {
            let is_short = short_engines(&pool, Time(2000)).contains(&replica.id);
            (0..4).for_each(|_| pool.add_load(&replica.id, if is_short { SHORT } else { LONG }));
        }
        let now = report(&mut pool, 30, if long { 8 } else { 0 }, Time(2000), 4000);
        short_engines(&pool, now).len()
    };
    let (alone, contended) = (share(false), share(true));
    assert!(contended < alone && contended >= ENGINES / 4, "{contended} of {alone} engines");
}

/// Guards against queueing short prompts at full engines, while others have free slots.
#[test]
fn short_prompts_go_to_free_engines_of_the_other_part() {
    let mut pool = pool();
    let short = short_engines(&pool, Time(2000));
    let now = Time(2000);
    let full = ReplicaLoad::of_requests(30);
    short.iter().for_each(|id| pool.record_report(id, full, now));
    let (chosen, _) = choose(&pool, SHORT, "c", now);
    assert!(!short.contains(&chosen));
    replicas(ENGINES).iter().for_each(|r| pool.record_report(&r.id, full, now));
    let (chosen, _) = choose(&pool, SHORT, "c", now);
    assert!(short.contains(&chosen), "no other engine has a free slot");
}

fn burst(deployment: Deployment, instances: usize, bursts: [f64; 2]) -> [Figures; 2] {
    let [mut short, mut long] = play(Play {
        deployment,
        instances,
        seed: 1,
        length: 10_000,
        bursts,
        has_slow: false,
        has_pace: false,
    });
    for (class, figures) in [("short", &mut short), ("long", &mut long)] {
        println!(
            "{instances} instances, {class}: {:.3} on time, median {} ms, {} of {} rejected, \
             busiest {:.2} of the mean",
            figures.on_time_share(),
            figures.median(),
            figures.rejected,
            figures.sent,
            figures.imbalance()
        );
    }
    [short, long]
}

/// With a fixed quarter of the engines, 110 instances answer 0.15 of the short prompts on time and
/// reject 0.08.
#[test]
fn a_burst_of_short_prompts_is_answered_on_time() {
    for instances in [1, 8, 110] {
        let [short, long] = burst(B, instances, [1.6, 1.0]);
        assert!(short.on_time_share() > 0.95, "{instances} instances: {}", short.on_time_share());
        assert!(long.on_time_share() > 0.95, "{instances} instances: {}", long.on_time_share());
        assert_eq!(short.rejected, 0, "{instances} instances");
    }
}

/// Guards against a share that costs long prompts their engines while short prompts are few.
#[test]
fn the_usual_load_is_answered_on_time() {
    for deployment in [A, B] {
        for instances in [1, 8, 110] {
            let [short, long] = burst(deployment, instances, [1.0, 1.0]);
            let (short, long) = (short.on_time_share(), long.on_time_share());
            assert!(short > 0.98 && long > 0.9, "{instances} instances: {short:.3}, {long:.3}");
        }
    }
}
