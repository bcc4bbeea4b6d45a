//! The decisions of the policies, compared with golden files.

use ident::{Class, Name, Time};
use route::{
    Affinity, AlwaysImport, AlwaysRecompute, Cost, CostWeights, Entry, HotOrImport, HotReplica,
    LeastLoaded, Links, Load, Plan, Policy, Pool, Random, Reason, RoutingRequest, StoredPieces,
};

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Returns a pool of four replicas with a prefill rate of 10 000 tokens/s. At the replicas 0, 2, 4
/// and 6 requests wait; half of them count as interactive. `w-3` is in another zone.
fn pool() -> Pool {
    let mut pool = Pool::default();
    let entry = |i: u16| Entry {
        name: name(&format!("w-{i}")),
        target: name("writer"),
        zone: name(if i == 3 { "winnipeg" } else { "regina" }),
        addr: ([127, 0, 0, 1], 7000 + i).into(),
        leaving: false,
    };
    pool.sync_list((0..4).map(entry).collect(), Time(0));
    for i in 0..4_u32 {
        let w = name(&format!("w-{i}"));
        pool.set_weights(&w, Some(name("v1")));
        let load = Load { running: 1, waiting: 2 * i, prefill_rate: 10_000, measured_at: Time(0) };
        pool.report(&w, load, Time(0));
    }
    pool
}

fn links(rate: u64) -> Links {
    let mut links = Links::default();
    links.sync(&[(name("store-a"), rate)], Time(0));
    links
}

struct Case {
    hot: Option<(&'static str, u8)>,
    stored: u32,
    value: CostWeights,
    deadline: Time,
}

const LATENCY: CostWeights = CostWeights { latency: 10, recompute: 1 };
const RECOMPUTE: CostWeights = CostWeights { latency: 1, recompute: 10 };

fn choose(policy: &mut dyn Policy, links: &Links, case: &Case, random_bits: u64) -> String {
    let (targets, weights, zone) = ([name("writer")], name("v1"), name("regina"));
    let request = RoutingRequest {
        targets: &targets,
        weights: &weights,
        tokens: 10_000,
        pieces: 40,
        stored: (case.stored > 0).then(|| StoredPieces {
            store: name("store-a"),
            pieces: case.stored,
            bytes: u64::from(case.stored) * 10_000_000,
        }),
        hot: case.hot.map(|(w, trust)| HotReplica { replica: name(w), pieces: 36, trust }),
        class: Class::Interactive,
        value: case.value,
        zone: &zone,
        deadline: case.deadline,
        tried: &[],
    };
    match policy.choose(&pool(), links, &request, random_bits, Time(0)) {
        Ok(c) => {
            let plan = match c.plan {
                Plan::Hot { pieces } => format!("hot {pieces}"),
                Plan::Import { pieces, .. } => format!("import {pieces}"),
                Plan::Recompute => "recompute".into(),
            };
            format!("{} {plan} {} tokens at {}", c.replica, c.tokens, c.first_token)
        }
        Err(no_route) => format!("{:?} {}", no_route.reason, no_route.retry_at),
    }
}

#[test]
fn decisions_of_cost_match_the_golden_file() {
    let fast = links(1_000_000_000);
    let slow = links(50_000_000);
    let case = |hot, stored, value| Case { hot, stored, value, deadline: Time::NEVER };
    let cases = [
        ("cold", &fast, case(None, 0, LATENCY)),
        ("kept", &fast, case(None, 36, LATENCY)),
        ("kept, slow link, latency", &slow, case(None, 36, LATENCY)),
        ("kept, slow link, recompute", &slow, case(None, 36, RECOMPUTE)),
        ("hot", &fast, case(Some(("w-1", 95)), 36, LATENCY)),
        ("hot, no trust", &fast, case(Some(("w-1", 5)), 36, LATENCY)),
        ("hot, long queue, latency", &fast, case(Some(("w-3", 95)), 36, LATENCY)),
        ("late", &fast, Case { deadline: Time(100), ..case(None, 0, LATENCY) }),
    ];
    let got: Vec<_> = cases
        .iter()
        .map(|(what, links, case)| format!("{what}: {}", choose(&mut Cost, links, case, 1 << 32)))
        .collect();
    assert_eq!(got.join("\n"), include_str!("golden/cost.txt").trim_end());
}

#[test]
fn decisions_of_the_baselines_match_the_golden_file() {
    let fast = links(1_000_000_000);
    let case = Case { hot: Some(("w-2", 95)), stored: 36, value: LATENCY, deadline: Time::NEVER };
    let mut policies: [Box<dyn Policy>; 6] = [
        Box::new(Random),
        Box::new(LeastLoaded),
        Box::new(Affinity),
        Box::new(HotOrImport),
        Box::new(AlwaysImport),
        Box::new(AlwaysRecompute),
    ];
    let got: Vec<_> = policies
        .iter_mut()
        .map(|p| format!("{}: {}", p.name(), choose(p.as_mut(), &fast, &case, 3)))
        .collect();
    assert_eq!(got.join("\n"), include_str!("golden/baselines.txt").trim_end());
}

#[test]
fn tried_replicas_are_not_chosen_again() {
    let (targets, weights, zone) = ([name("writer")], name("v1"), name("regina"));
    let all: Vec<_> = (0..4).map(|i| name(&format!("w-{i}"))).collect();
    for tried in 0..=4 {
        let request = RoutingRequest {
            targets: &targets,
            weights: &weights,
            tokens: 100,
            pieces: 0,
            stored: None,
            hot: Some(HotReplica { replica: name("w-0"), pieces: 1, trust: 100 }),
            class: Class::Batch,
            value: LATENCY,
            zone: &zone,
            deadline: Time::NEVER,
            tried: &all[..tried],
        };
        for random_bits in 0..64_u64 {
            let random_bits = random_bits.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            match Cost.choose(&pool(), &Links::default(), &request, random_bits, Time(0)) {
                Ok(c) => assert!(!all[..tried].contains(&c.replica)),
                Err(no_route) => assert_eq!((tried, no_route.reason), (4, Reason::Tried)),
            }
        }
    }
}
