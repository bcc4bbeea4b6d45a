//! Placement while some replicas are slow for a short time.

use std::{sync::Arc, time::Duration};

use fleet::Replica;
use ident::Time;
use place::{Headroom, Load, PlacementRequest, Pool, ReplicaLoad};

mod simulated;

use simulated::{A, B, Deployment, Play, play, replicas};

const NOW: Time = Time(10_000);

/// Shares of short and long prompts that are on time.
fn shares(
    deployment: Deployment,
    instances: usize,
    bursts: [f64; 2],
    has_pace: bool,
) -> (f64, f64) {
    let (seed, length, has_slow) = (1, 10_000, true);
    let [mut short, mut long] =
        play(Play { deployment, instances, seed, length, bursts, has_slow, has_pace });
    for figures in [&mut short, &mut long] {
        println!(
            "{instances} instances, pace {has_pace}: {:.3} on time, median {} ms, {} rejected, \
             busiest {:.2} of the mean",
            figures.on_time_share(),
            figures.median(),
            figures.rejected,
            figures.imbalance()
        );
    }
    (short.on_time_share(), long.on_time_share())
}

/// Guards against placing requests at slow engines that say so, and against placing all of them at
/// the others.
#[test]
fn reported_paces_keep_short_prompts_on_time() {
    for instances in [1, 8, 110] {
        let hidden = shares(B, instances, [1.0, 1.0], false);
        let reported = shares(B, instances, [1.0, 1.0], true);
        assert!(reported.0 > hidden.0, "{instances} instances");
        assert!(reported.1 > hidden.1 - 0.02, "{instances} instances: long prompts");
    }
}

/// Guards against eight instances that all choose the engine that old reports show as the best.
#[test]
fn few_instances_do_not_herd() {
    let hidden = shares(A, 8, [1.0, 2.5], false);
    let reported = shares(A, 8, [1.0, 2.5], true);
    assert!(reported.1 > hidden.1 + 0.1, "{hidden:?}, {reported:?}");
}

fn servers(count: usize) -> Vec<Arc<Replica>> {
    let plain = |r: &Arc<Replica>| Arc::new(Replica { models: Vec::new(), ..(**r).clone() });
    replicas(count).iter().map(plain).collect()
}

fn choose(pool: &Pool, tie_breaker: u64, now: Time) -> (Arc<str>, f64) {
    let request = PlacementRequest {
        target: "t",
        context: None,
        load: Load { prefill_tokens: 0, memory_tokens: 0, requests: 1 },
        shared_tokens: 0,
        model: None,
        min_version: 0,
        software: None,
        headroom: Headroom::Any,
        zone: "a",
        tried: &[],
        permits: &[],
        engine: None,
        goal: Duration::from_millis(300),
        tie_breaker,
    };
    let choice = pool.choose(&request, now).expect("all servers are usable");
    (choice.replica.id.clone(), choice.delay_ms)
}

fn load(running: u32, waiting: u32, pace: u32) -> ReplicaLoad {
    ReplicaLoad { running, waiting, slots: 6, pace: Some(pace) }
}

/// Guards against choosing by counts alone, and against a pace that counts after it has passed.
#[test]
fn a_slow_server_is_avoided_while_its_report_is_fresh() {
    let mut pool = Pool::default();
    let servers = servers(3);
    pool.sync(&servers);
    pool.record_report(&servers[0].id, load(1, 0, 250), NOW);
    servers[1..].iter().for_each(|s| pool.record_report(&s.id, load(3, 0, 100), NOW));
    let slow = |now| (0..90).filter(|n| choose(&pool, *n, now).0 == servers[0].id).count();
    assert_eq!(slow(NOW), 0);
    assert!(slow(NOW.after(Duration::from_secs(3))) > 0);
}

/// Guards against a constant in place of the times that requests take.
#[test]
fn the_expected_time_follows_measured_ones() {
    let mut pool = Pool::default();
    let servers = servers(1);
    pool.sync(&servers);
    pool.record_report(&servers[0].id, load(1, 0, 100), NOW);
    for _ in 0..100 {
        pool.record_end(&servers[0].id, false, Duration::from_millis(15), NOW);
    }
    let (_, free) = choose(&pool, 1, NOW);
    pool.record_report(&servers[0].id, load(6, 5, 100), NOW);
    let (_, queued) = choose(&pool, 1, NOW);
    assert!((15.0..25.0).contains(&free) && (28.0..40.0).contains(&queued), "{free}, {queued}");
}

/// Guards against many instances that all send to the one server that was idle in the last report.
#[test]
fn many_instances_do_not_choose_the_same_server() {
    let servers = servers(6);
    let mut counts = [0; 6];
    for instance in 0..110 {
        let mut pool = Pool::default();
        pool.sync(&servers);
        pool.set_peer_loads(&"other".into(), Vec::new(), NOW);
        for (at, server) in servers.iter().enumerate() {
            pool.record_report(&server.id, load(if at == 0 { 0 } else { 5 }, 0, 100), NOW);
        }
        let (chosen, _) = choose(&pool, instance * 7919, NOW);
        counts[servers.iter().position(|s| s.id == chosen).expect("it is known")] += 1;
    }
    assert!(counts.iter().all(|c| *c <= 50), "{counts:?}");
    assert!(counts[0] > 110 / 6, "the idle server is preferred: {counts:?}");
}
