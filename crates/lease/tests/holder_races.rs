//! Instances race for a lease over an unreliable table. Clocks run at different rates and holders
//! pause. At most one instance holds a valid lease at a time, and fencing numbers grow.

mod common;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use common::name;
use ident::{Clock, Fence, Time};
use lease::{HeldLease, Leases};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use table::{Faulty, Memory, Odds};

const SEEDS: u64 = 60;
const NODES: usize = 3;
const TICKS: u32 = 6000;
const TERM: Duration = Duration::from_secs(4);
const ODDS: Odds =
    Odds { lose: 6, drop: 5, delay: 8, arrive: 30, refuse: 4, conflict: 4, unread: 5, stall: 2 };

/// A clock with an offset to true time and a rate of its own.
struct DriftingClock {
    real: Arc<AtomicU64>,
    offset: u64,
    /// Rate in thousandths of true time.
    rate: u64,
}

impl Clock for DriftingClock {
    fn now(&self) -> Time {
        Time(self.offset + self.real.load(Ordering::Relaxed) * self.rate / 1000)
    }
}

/// An engine that checks fencing numbers.
#[derive(Default)]
struct Engine {
    taken: Vec<Fence>,
    refused: u64,
}

/// Events of all nodes in one run.
#[derive(Default)]
struct History {
    engine: Engine,
    /// Fencing numbers in the order in which valid leases were acquired.
    fences: Vec<Fence>,
    /// Each node's lease end on its own clock.
    expiries: [Time; NODES],
}

struct Node {
    index: usize,
    clock: Arc<DriftingClock>,
    history: Rc<RefCell<History>>,
    stop: Rc<Cell<bool>>,
    rng: SmallRng,
}

impl Node {
    async fn pause(&mut self, most: u32) {
        for _ in 0..self.rng.random_range(0..=most) {
            tokio::task::yield_now().await;
        }
    }

    fn note(&self, until: Time) {
        self.history.borrow_mut().expiries[self.index] = until;
    }

    async fn run(mut self, leases: Leases) {
        while !self.stop.get() {
            if let Ok(held) = leases.acquire(&name("x"), TERM).await {
                if held.is_valid(self.clock.now()) {
                    self.note(held.expires());
                    self.history.borrow_mut().fences.push(held.fence());
                }
                self.hold(&leases, held).await;
            }
            self.pause(1).await;
        }
    }

    async fn hold(&mut self, leases: &Leases, mut held: HeldLease) {
        while !self.stop.get() && held.is_valid(self.clock.now()) {
            // The order may reach the engine long after the lease was checked.
            let most = if self.rng.random_bool(0.1) { 200 } else { 10 };
            self.pause(most).await;
            self.order(&held);
            if self.rng.random_bool(0.3) {
                continue;
            }
            let renewed = leases.renew(&mut held, TERM).await;
            self.note(held.expires());
            match self.rng.random_range(0..12) {
                0 => return,
                1 => {
                    self.note(Time(0));
                    let _ = leases.release(held).await;
                    return;
                }
                _ if renewed == Err(lease::LeaseError::Lost) => return,
                _ => {}
            }
        }
    }

    fn order(&mut self, held: &HeldLease) {
        let engine = &mut self.history.borrow_mut().engine;
        let newest = engine.taken.last().copied().unwrap_or_default();
        if held.fence() < newest {
            engine.refused += 1;
            assert!(!held.is_valid(self.clock.now()), "a valid holder is refused");
            return;
        }
        engine.taken.push(held.fence());
    }
}

async fn run(seed: u64) -> History {
    let table = Arc::new(Faulty::new(Arc::new(Memory::new()), seed, ODDS));
    let real = Arc::new(AtomicU64::new(1));
    let (history, stop) = (Rc::new(RefCell::new(History::default())), Rc::new(Cell::new(false)));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut clocks = Vec::new();
    let (tasks, mut joins) = (tokio::task::LocalSet::new(), Vec::new());
    for index in 0..NODES {
        let offset = rng.random_range(0..10_000_000);
        let rate = rng.random_range(985..=1015);
        let clock = Arc::new(DriftingClock { real: real.clone(), offset, rate });
        let leases = Leases::new(table.clone(), clock.clone(), name(&format!("n{index}")));
        let rng = SmallRng::seed_from_u64(seed * 100 + index as u64);
        let (history, stop) = (history.clone(), stop.clone());
        clocks.push(clock.clone());
        joins.push(tasks.spawn_local(Node { index, clock, history, stop, rng }.run(leases)));
    }
    let observed = history.clone();
    let driver = async move {
        for _ in 0..TICKS {
            real.fetch_add(rng.random_range(0..100), Ordering::Relaxed);
            let expiries = observed.borrow().expiries;
            let valid = expiries.iter().zip(&clocks).filter(|(u, c)| !u.passed(c.now())).count();
            assert!(valid <= 1, "seed {seed}: {valid} holders at once");
            tokio::task::yield_now().await;
        }
        stop.set(true);
        for join in joins {
            join.await.unwrap();
        }
    };
    tasks.run_until(driver).await;
    drop(tasks);
    Rc::into_inner(history).unwrap().into_inner()
}

#[tokio::test(flavor = "current_thread")]
async fn one_valid_holder() {
    let (mut holders, mut orders, mut refused) = (0, 0, 0);
    for seed in 0..SEEDS {
        let history = run(seed).await;
        let grow = history.fences.windows(2).all(|w| w[0] < w[1]);
        assert!(grow, "seed {seed}: fencing numbers {:?}", history.fences);
        holders += history.fences.len();
        orders += history.engine.taken.len();
        refused += history.engine.refused;
    }
    println!("holders {holders}, orders taken {orders}, refused {refused}");
    assert!(holders > 500 && orders > 2000 && refused > 50);
}
