//! Many instances that choose among the same engines, each with old words of the others' loads.

use std::{sync::Arc, time::Duration};

use fleet::Engine;
use ident::Time;
use place::{Headroom, Load, LoadReport, PeerLoad, PlacementRequest, Pool};
use rand::{Rng, SeedableRng, rngs::SmallRng};

mod common;

use common::replica;

const INSTANCES: usize = 120;
const ENGINES: usize = 40;
/// Requests that an engine runs at once, and how many may wait besides.
const SLOTS: u32 = 12;
const QUEUE: usize = 36;
/// Prompt tokens that an engine reads in a ms.
const RATE: f64 = 38.0;
/// Time from the end of a prompt's prefill to the end of its answer.
const DECODE: Duration = Duration::from_millis(150);
/// Interval of an instance's datagrams to one peer.
const DATAGRAMS: u64 = 2000;
/// Delay of a replica's report on its way through a reader.
const SHARING: u64 = 300;
/// Time within which an answer must begin.
const AIM: u64 = 1000;
const LENGTH: u64 = 20_000;

struct Work {
    start: u64,
    end: u64,
}

/// An engine that reads one prompt after the other.
#[derive(Default)]
struct Sim {
    /// Requests that have not ended, in order of arrival.
    work: Vec<Work>,
    free_at: u64,
}

/// What callers get.
#[derive(Debug, Default)]
struct Figures {
    sent: u32,
    in_aim: u32,
    rejected: u32,
    arrivals: Vec<u32>,
}

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        capacity_tokens: 70_000,
        token_bytes: 18_432,
        link_mbps: 88_000.0,
        models: vec!["m".into()],
    }
}

/// Plays long prompts at a share of what the engines can read. Replicas' reports reach all instances
/// if `shared`, otherwise only the one that got the answer.
fn play(seed: u64, utilization: f64, shared: bool) -> Figures {
    let mut rng = SmallRng::seed_from_u64(seed);
    let replicas: Vec<_> = (0..ENGINES).map(|n| replica(n, 1, SLOTS)).collect();
    let mut pools: Vec<Pool> = (0..INSTANCES).map(|_| Pool::default()).collect();
    pools.iter_mut().for_each(|pool| pool.sync(&replicas));
    let names: Vec<Arc<str>> = (0..INSTANCES).map(|n| format!("i-{n}").into()).collect();
    let mut sims: Vec<Sim> = (0..ENGINES).map(|_| Sim::default()).collect();
    let mut figures = Figures { arrivals: vec![0; ENGINES], ..Figures::default() };
    let engine = engine();
    // Of each, 12,800 tokens are shared and mostly fetched.
    let prompt = |rng: &mut SmallRng| -> u64 { rng.random_range(2000..9000) };
    let gap = 5500.0 / (RATE * ENGINES as f64 * utilization);
    let (mut next, mut ends): (f64, Vec<(u64, usize, usize, Load)>) = (0.0, Vec::new());
    let mut begins: Vec<(u64, usize, usize, u64)> = Vec::new();
    let mut reports: Vec<(u64, LoadReport)> = Vec::new();
    for now in 0..LENGTH {
        let time = Time(100_000 + now);
        for (at, sim) in sims.iter_mut().enumerate() {
            sim.work.retain(|w| w.end > now);
            for (_, instance, _, prefill) in begins.extract_if(.., |b| b.2 == at && b.0 <= now) {
                let requests = sim.work.len() as u32;
                let id = replicas[at].id.clone();
                pools[instance].record_report(&id, requests, time);
                let done = Load { prefill_tokens: prefill, memory_tokens: 0, requests: 0 };
                pools[instance].remove_load(&id, done);
                reports.push((now + SHARING, LoadReport { replica: id, requests, at: time }));
            }
        }
        for (_, instance, at, load) in ends.extract_if(.., |e| e.0 <= now) {
            pools[instance].remove_load(&replicas[at].id, load);
        }
        for (_, report) in reports.extract_if(.., |r| r.0 <= now) {
            if shared {
                pools.iter_mut().for_each(|pool| pool.merge_report(&report));
            }
        }
        // Each instance tells each other of its load, in turn.
        for from in (0..INSTANCES).filter(|at| (*at as u64 * 17 + now).is_multiple_of(DATAGRAMS)) {
            let loads: Vec<PeerLoad> = pools[from].own_loads();
            for (to, pool) in pools.iter_mut().enumerate() {
                if to != from {
                    pool.set_peer_loads(&names[from], loads.clone(), time);
                }
            }
        }
        while next <= now as f64 {
            next += -gap * rng.random_range(f64::EPSILON..1.0_f64).ln();
            let instance = rng.random_range(0..INSTANCES);
            let prefill = prompt(&mut rng);
            let load = Load {
                prefill_tokens: prefill + 12_800,
                memory_tokens: prefill + 12_900,
                requests: 1,
            };
            let context = format!("c-{}", rng.random_range(0..600));
            let request = PlacementRequest {
                target: "t",
                context: Some(&context),
                load,
                shared_tokens: 12_800,
                model: Some(("m", 1)),
                min_version: 0,
                software: None,
                headroom: Headroom::Any,
                zone: "a",
                tried: &[],
                permits: &[],
                engine: Some(&engine),
                goal: Duration::from_millis(AIM),
                tie_breaker: rng.random(),
            };
            figures.sent += 1;
            let Ok(choice) = pools[instance].choose(&request, time) else {
                figures.rejected += 1;
                continue;
            };
            let at = replicas.iter().position(|r| r.id == choice.replica.id).expect("it is known");
            figures.arrivals[at] += 1;
            let sim = &mut sims[at];
            if sim.work.len() >= SLOTS as usize + QUEUE {
                figures.rejected += 1;
                continue;
            }
            let start = sim.free_at.max(now);
            let begin = start + (prefill as f64 / RATE) as u64;
            sim.free_at = begin;
            let end = begin + DECODE.as_millis() as u64;
            sim.work.push(Work { start, end });
            let load = Load { prefill_tokens: prefill, ..load };
            pools[instance].add_load(&replicas[at].id, load);
            begins.push((begin, instance, at, prefill));
            ends.push((end, instance, at, Load { prefill_tokens: 0, ..load }));
            figures.in_aim += u32::from(begin - now <= AIM);
        }
        debug_assert!(sims.iter().all(|s| s.work.iter().all(|w| w.start <= w.end)));
    }
    figures
}

#[test]
fn shared_reports_keep_answers_in_time() {
    for seed in 0..3 {
        let figures = play(seed, 0.6, true);
        let share = f64::from(figures.in_aim) / f64::from(figures.sent);
        assert!(share > 0.95, "seed {seed}: {share:.3} begin in time");
        let most = figures.arrivals.iter().max().copied().unwrap_or(0);
        let mean = figures.arrivals.iter().sum::<u32>() as f64 / ENGINES as f64;
        assert!(
            f64::from(most) <= 2.0 * mean,
            "seed {seed}: {most} at one engine, {mean} on average"
        );
        let alone = play(seed, 0.6, false);
        println!(
            "seed {seed}: {share:.3} in time, {} without reports of others",
            f64::from(alone.in_aim) / f64::from(alone.sent)
        );
        assert!(figures.in_aim >= alone.in_aim, "seed {seed}: reports of others do not harm");
    }
}
