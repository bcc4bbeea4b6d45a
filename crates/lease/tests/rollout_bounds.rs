//! Rollouts over engines that load slowly, lose orders or leave.

mod common;

use std::time::Duration;

use common::name;
use ident::{Fence, Time};
use lease::{
    BlockReason, DesiredState, ORDER_TIMEOUT, Order, Replica, Rollout, RolloutLimits, Step,
    VersionShare,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SEEDS: u64 = 300;
const TICK: Duration = Duration::from_millis(500);
const MAX_TICKS: u32 = 20_000;
const FLOOR: u32 = 60;

fn wanted(version: &str) -> DesiredState {
    DesiredState { weights: name(version), role: name("mixed") }
}

/// An engine: its state, and its state as last read.
struct Engine {
    replica: Replica,
    read: Replica,
    loaded: Time,
}

impl Engine {
    fn new(i: usize, capacity: u32) -> Self {
        let replica = Replica {
            name: name(&format!("r{i:02}")),
            capacity,
            ordered: Some(wanted("v1")),
            actual: Some(wanted("v1")),
            fence: Fence(1),
            live: true,
            read_at: Time(0),
        };
        Self { read: replica.clone(), replica, loaded: Time(0) }
    }

    fn take(&mut self, order: &DesiredState, fence: Fence, checks: bool, loaded: Time) -> bool {
        if checks && fence < self.replica.fence {
            return false;
        }
        self.replica.fence = if checks { fence } else { self.replica.fence };
        self.replica.ordered = Some(order.clone());
        if self.replica.actual.as_ref() != Some(order) {
            self.replica.actual = None;
            self.loaded = loaded;
        }
        true
    }

    fn tick(&mut self, now: Time) {
        if self.replica.actual.is_none() && self.loaded.passed(now) {
            self.replica.actual = self.replica.ordered.clone();
        }
    }
}

/// Kind of failure in a run.
#[derive(Clone, Copy, PartialEq)]
enum Failure {
    None,
    LostOrders,
    FormerHolder,
    Leaving,
}

struct Sim {
    rng: SmallRng,
    now: Time,
    engines: Vec<Engine>,
    in_flight: Vec<(Time, Order)>,
    failure: Failure,
    checks: bool,
    loads: usize,
    /// Percentage of the capacity that must serve. It is lower if one replica has a large share.
    floor: u8,
    /// When the delayed order of the former holder arrived, and the index of its engine.
    former: Option<(Time, usize)>,
}

impl Sim {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let failure = match seed % 4 {
            0 => Failure::None,
            1 => Failure::LostOrders,
            2 => Failure::FormerHolder,
            _ => Failure::Leaving,
        };
        let n = rng.random_range(4..16);
        let mut engines: Vec<_> = (0..n).map(|i| Engine::new(i, rng.random_range(1..4))).collect();
        // The former holder has already upgraded some replicas.
        for e in engines.iter_mut().filter(|_| rng.random_bool(0.2)) {
            e.replica.ordered = Some(wanted("v2"));
            e.replica.actual = Some(wanted("v2"));
            e.read = e.replica.clone();
        }
        let total: u32 = engines.iter().map(|e| e.replica.capacity).sum();
        let largest = engines.iter().map(|e| e.replica.capacity).max().unwrap();
        let floor = FLOOR.min((total - largest) * 100 / total) as u8;
        let (checks, loads) = (rng.random_bool(0.5), rng.random_range(1..4));
        let (now, in_flight) = (Time(1_000_000), Vec::new());
        Self { rng, now, engines, in_flight, failure, checks, loads, floor, former: None }
    }

    fn readings(&mut self) -> Vec<Replica> {
        for e in &mut self.engines {
            if self.rng.random_bool(0.7) {
                e.read = Replica { read_at: self.now, ..e.replica.clone() };
            }
        }
        self.engines.iter().map(|e| e.read.clone()).collect()
    }

    fn send(&mut self, orders: Vec<Order>) {
        let lossy = matches!(self.failure, Failure::LostOrders | Failure::FormerHolder);
        for order in orders {
            if lossy && self.rng.random_bool(0.3) {
                continue;
            }
            let most = if lossy { ORDER_TIMEOUT } else { TICK };
            let delay = self.rng.random_range(0..most.as_millis() as u64);
            self.in_flight.push((Time(self.now.0 + delay), order));
        }
    }

    fn tick(&mut self) {
        self.now = self.now.after(TICK);
        let (now, checks) = (self.now, self.checks);
        let arrived: Vec<_> = self.in_flight.extract_if(.., |(at, _)| at.passed(now)).collect();
        for (_, order) in arrived {
            let loaded = now.after(Duration::from_millis(self.rng.random_range(1_000..40_000)));
            let mut all = self.engines.iter_mut();
            let e = all.find(|e| e.replica.name == order.replica).unwrap();
            e.take(&order.wanted, order.fence, checks, loaded);
        }
        if self.failure == Failure::FormerHolder
            && self.former.is_none()
            && self.rng.random_bool(0.02)
        {
            let at = self.rng.random_range(0..self.engines.len());
            let loaded = now.after(Duration::from_secs(5));
            self.engines[at].take(&wanted("v0"), Fence(1), checks, loaded);
            self.former = Some((now, at));
        }
        if self.failure == Failure::Leaving && self.rng.random_bool(0.01) {
            let at = self.rng.random_range(0..self.engines.len());
            self.engines[at].replica.live = self.rng.random_bool(0.5);
        }
        self.engines.iter_mut().for_each(|e| e.tick(now));
    }

    fn total(&self) -> u32 {
        self.engines.iter().map(|e| e.replica.capacity).sum()
    }

    fn serving(&self, version: Option<&str>) -> u32 {
        let serves = |e: &&Engine| {
            let actual = e.replica.actual.as_ref();
            actual.is_some_and(|a| version.is_none_or(|v| a.weights == name(v)))
        };
        self.engines.iter().filter(serves).map(|e| e.replica.capacity).sum()
    }

    fn check_bounds(&self, keep: u8) {
        let loading = self.engines.iter().filter(|e| e.replica.actual.is_none()).count();
        assert!(loading <= self.loads, "{loading} loads at once, {} allowed", self.loads);
        let total = self.total();
        assert!(self.serving(None) * 100 >= total * u32::from(self.floor), "below the floor");
        assert!(self.serving(Some("v1")) * 100 >= total * u32::from(keep), "v1 has too little");
    }
}

/// Runs a rollout to its end and returns the number of ticks.
fn run(seed: u64) -> u32 {
    let mut sim = Sim::new(seed);
    let limits = RolloutLimits { min_capacity: sim.floor, max_loads: sim.loads };
    let first_order = Rollout::first_order_at(sim.now, Duration::from_secs(15));
    let mut rollout = Rollout::new(wanted("v2"), Fence(2), sim.checks, first_order, limits);
    let mut keep = 30.min(sim.serving(Some("v1")) * 100 / sim.total()) as u8;
    for ticks in 0..MAX_TICKS {
        if ticks == 300 {
            keep = 0;
        }
        let version_shares = [VersionShare { version: name("v1"), share: keep }];
        let readings = sim.readings();
        match rollout.step(&readings, &version_shares, sim.loads, sim.now) {
            Step::Orders(orders) => sim.send(orders),
            Step::Done => {
                check_done(&mut sim);
                return ticks;
            }
            Step::Superseded => panic!("nobody else holds the lease"),
            Step::Wait(_) | Step::Loading | Step::Blocked(_) | Step::Confirming => {}
        }
        sim.tick();
        if matches!(sim.failure, Failure::None | Failure::LostOrders) {
            sim.check_bounds(keep);
        }
    }
    panic!("the rollout never ended");
}

fn check_done(sim: &mut Sim) {
    let (now, checks) = (sim.now, sim.checks);
    for (i, e) in sim.engines.iter_mut().enumerate().filter(|(_, e)| e.read.live) {
        let unseen = sim.former.is_some_and(|(at, j)| j == i && at >= e.read.read_at);
        let state = e.replica.actual.as_ref();
        assert!(unseen || state == Some(&wanted("v2")), "done with {state:?}");
        if checks {
            let old = e.take(&wanted("v0"), Fence(1), checks, now);
            assert!(!old, "an engine takes the former holder's order after the rollout");
        }
    }
}

#[test]
fn bounds_hold_to_the_end() {
    let mut most = 0;
    for seed in 0..SEEDS {
        let ticks = std::panic::catch_unwind(|| run(seed));
        most = most.max(ticks.unwrap_or_else(|_| panic!("seed {seed}")));
    }
    println!("longest rollout: {most} ticks");
}

fn steady_replica(i: usize, version: &str, read: u64) -> Replica {
    let mut r = Engine::new(i, 1).replica;
    (r.ordered, r.actual, r.read_at) = (Some(wanted(version)), Some(wanted(version)), Time(read));
    r
}

#[test]
fn unfenced_rollout_waits_and_reads_twice() {
    let first_order = Rollout::first_order_at(Time(1_000), Duration::from_secs(5));
    assert_eq!(first_order, Time(16_000));
    let limits = RolloutLimits { min_capacity: 0, max_loads: 1 };
    let mut r = Rollout::new(wanted("v1"), Fence(2), false, first_order, limits);
    assert_eq!(
        r.step(&[steady_replica(0, "v1", 15_000)], &[], 1, Time(15_000)),
        Step::Wait(first_order)
    );
    assert_ne!(r.step(&[steady_replica(0, "v1", 15_000)], &[], 1, Time(16_000)), Step::Done);
    assert_eq!(r.step(&[steady_replica(0, "v1", 17_000)], &[], 1, Time(17_000)), Step::Confirming);
    assert_eq!(r.step(&[steady_replica(0, "v1", 17_000)], &[], 1, Time(18_000)), Step::Confirming);
    // A delayed order of the former holder takes effect; the replica is ordered again.
    let back = r.step(&[steady_replica(0, "v0", 19_000)], &[], 1, Time(19_000));
    assert!(matches!(back, Step::Orders(ref o) if o.len() == 1), "{back:?}");
    assert_eq!(r.step(&[steady_replica(0, "v1", 30_000)], &[], 1, Time(30_000)), Step::Confirming);
    assert_eq!(r.step(&[steady_replica(0, "v1", 31_000)], &[], 1, Time(31_000)), Step::Done);
}

#[test]
fn block_reasons_are_reported() {
    let step = |floor, share, slots, fence| {
        let limits = RolloutLimits { min_capacity: floor, max_loads: 1 };
        let mut r = Rollout::new(wanted("v2"), Fence(fence), true, Time(0), limits);
        let version_shares = [VersionShare { version: name("v1"), share }];
        r.step(
            &[steady_replica(0, "v1", 1_000), steady_replica(1, "v1", 1_000)],
            &version_shares,
            slots,
            Time(1_000),
        )
    };
    assert_eq!(step(51, 0, 1, 2), Step::Blocked(BlockReason::Floor));
    assert_eq!(step(0, 51, 1, 2), Step::Blocked(BlockReason::InUse(name("v1"))));
    assert_eq!(step(0, 0, 0, 2), Step::Blocked(BlockReason::Slots));
    assert_eq!(step(0, 0, 1, 0), Step::Superseded);
    assert!(matches!(step(50, 50, 1, 2), Step::Orders(o) if o.len() == 1));
}
