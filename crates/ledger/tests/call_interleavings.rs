//! Many holders, an unreliable table, pauses and crashes: a call runs at most once, and nobody is
//! told "not run" of an attempt that was sent.

mod common;

use std::{cell::RefCell, rc::Rc, sync::Arc};

use bytes::Bytes;
use common::{Steps, World, call, outcome, request};
use ident::{Clock, Name, RequestId, Time};
use ledger::{Begin, Claim, Ledger, LedgerError, Outcome, Status};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use table::{Faulty, Odds};

const SEEDS: u64 = 300;
const NODES: u64 = 4;
const ATTEMPTS: u64 = 14;
const KEYS: u64 = 5;
const ODDS: Odds =
    Odds { lose: 8, drop: 5, delay: 10, arrive: 30, refuse: 5, conflict: 4, unread: 6, stall: 0 };

/// The target: what it was sent and ran, and what callers were told.
#[derive(Default)]
struct Model {
    /// Token and key of each request that reached the target.
    sent: Vec<(u64, u64)>,
    /// Key and answer of each that ran.
    ran: Vec<(u64, Bytes)>,
    /// Tokens whose callers heard that they did not run.
    not_run: Vec<u64>,
    may_have_run: u64,
    stored: u64,
    crashes: u64,
    late_holders: u64,
}

impl Model {
    /// The target's answer; `None` when it refuses before running.
    fn send(&mut self, token: u64, key: u64, refuse: bool) -> Option<Outcome> {
        self.sent.push((token, key));
        if refuse {
            return None;
        }
        let text = format!("run {token}");
        self.ran.push((key, text.clone().into()));
        Some(outcome(&text))
    }

    fn runs(&self, key: u64) -> usize {
        self.ran.iter().filter(|(k, _)| *k == key).count()
    }

    fn check_stored(&mut self, key: u64, stored: &Outcome) {
        self.stored += 1;
        assert!(self.ran.contains(&(key, stored.body.clone())), "an outcome of another call");
    }
}

struct Node {
    ledger: Ledger,
    clock: Arc<Steps>,
    model: Rc<RefCell<Model>>,
    rng: SmallRng,
}

impl Node {
    /// Lets other nodes run while time passes, sometimes beyond every deadline.
    async fn pause(&mut self) {
        for _ in 0..self.rng.random_range(0..6) {
            tokio::task::yield_now().await;
        }
        if self.rng.random_bool(0.3) {
            self.clock.step(self.rng.random_range(0..12_000));
        }
    }

    fn crashes(&mut self) -> bool {
        let crash = self.rng.random_bool(0.06);
        self.model.borrow_mut().crashes += u64::from(crash);
        crash
    }

    async fn attempt(&mut self, token: u64) {
        let key = self.rng.random_range(0..KEYS);
        let until = Time(self.clock.now().0 + 4_000);
        let id = call(&format!("k{key}"));
        let begun = self.ledger.begin(&id, RequestId(token.into()), request(), until).await;
        let mut model = self.model.borrow_mut();
        match begun {
            Ok(Begin::Send(claim)) => {
                drop(model);
                self.hold(claim, token, key).await;
            }
            Ok(Begin::Stored(o)) => model.check_stored(key, &o),
            Ok(Begin::MayHaveRun) => model.may_have_run += 1,
            Ok(Begin::Running) => {}
            Ok(Begin::Mismatch) => panic!("all requests are the same"),
            Err(e) => {
                assert!(matches!(e, LedgerError::NotClaimed(_) | LedgerError::Unread(_)), "{e}");
                model.not_run.push(token);
            }
        }
    }

    async fn hold(&mut self, claim: Claim, token: u64, key: u64) {
        if self.crashes() {
            return;
        }
        self.pause().await;
        if !claim.may_send(self.clock.now()) {
            self.model.borrow_mut().late_holders += 1;
            return self.void(claim, token).await;
        }
        // The holder may be paused between its look at the deadline and the first byte.
        self.pause().await;
        let refuse = self.rng.random_bool(0.2);
        let answer = self.model.borrow_mut().send(token, key, refuse);
        if self.crashes() {
            return;
        }
        self.pause().await;
        match answer {
            // The table may be away; the sweep goes on.
            Some(o) => drop(self.ledger.finish(&claim, o).await),
            None => self.void(claim, token).await,
        }
    }

    async fn void(&mut self, claim: Claim, token: u64) {
        let _ = self.ledger.void(claim).await;
        let mut model = self.model.borrow_mut();
        if !model.sent.iter().any(|(t, _)| *t == token) {
            model.not_run.push(token);
        }
    }
}

fn node(w: &World, table: &Arc<Faulty>, n: u64, life: u64) -> Ledger {
    let name = Name::new(&format!("n{n}-{life}")).unwrap();
    Ledger::new(table.clone(), w.blob.clone(), w.clock.clone(), name)
}

async fn run(seed: u64) -> Model {
    let w = World::new();
    let table = Arc::new(Faulty::new(w.table.clone(), seed, ODDS));
    let model = Rc::new(RefCell::new(Model::default()));
    let (tasks, mut joins) = (tokio::task::LocalSet::new(), Vec::new());
    for n in 0..NODES {
        let (ledger, again) = (node(&w, &table, n, 0), node(&w, &table, n, 1));
        let (clock, model) = (w.clock.clone(), model.clone());
        let rng = SmallRng::seed_from_u64(seed * 100 + n);
        joins.push(tasks.spawn_local(async move {
            let mut node = Node { ledger, clock, model, rng };
            for i in 0..ATTEMPTS {
                node.attempt(n * 1000 + i + 1).await;
                if i == ATTEMPTS / 2 && n % 2 == 0 {
                    break;
                }
                if node.rng.random_bool(0.3) {
                    node.ledger.sweep().await;
                }
            }
            // A new process: what the old one held in memory is gone.
            if n % 2 == 0 {
                node.ledger = again;
            }
            for i in ATTEMPTS..2 * ATTEMPTS {
                node.attempt(n * 1000 + i + 1).await;
            }
            while node.ledger.sweep().await > 0 {}
        }));
    }
    tasks.await;
    for join in joins {
        join.await.unwrap();
    }
    table.flush().await;
    table.set_odds(Odds::default());
    check_end(&node(&w, &table, 9, 0), &model, seed).await;
    Rc::into_inner(model).unwrap().into_inner()
}

/// Once all is quiet the table agrees with what the target ran.
async fn check_end(ledger: &Ledger, model: &Rc<RefCell<Model>>, seed: u64) {
    for key in 0..KEYS {
        let status = ledger.lookup(&call(&format!("k{key}"))).await.unwrap();
        let mut model = model.borrow_mut();
        match status {
            Some(Status::Stored(o)) => model.check_stored(key, &o),
            None | Some(Status::NotRun) => {
                assert_eq!(model.runs(key), 0, "seed {seed}: k{key} ran and is called not run");
            }
            Some(Status::Running | Status::MayHaveRun) => model.may_have_run += 1,
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_call_runs_at_most_once() {
    let (mut ran, mut not_run, mut may, mut stored, mut crashes, mut late) = (0, 0, 0, 0, 0, 0);
    for seed in 0..SEEDS {
        let m = run(seed).await;
        for key in 0..KEYS {
            assert!(m.runs(key) <= 1, "seed {seed}: k{key} ran {} times", m.runs(key));
        }
        for token in &m.not_run {
            let sent = m.sent.iter().any(|(t, _)| t == token);
            assert!(!sent, "seed {seed}: attempt {token} was called not run and sent");
        }
        ran += m.ran.len();
        not_run += m.not_run.len();
        (may, stored) = (may + m.may_have_run, stored + m.stored);
        (crashes, late) = (crashes + m.crashes, late + m.late_holders);
    }
    println!("ran {ran}, not run {not_run}, may have run {may}, stored answers {stored}");
    println!("crashes {crashes}, holders past their deadline {late}");
    assert!(ran > 500 && not_run > 500 && may > 100 && stored > 1000 && late > 100);
}

/// A claim whose write arrives after its holder gave up is not left standing.
#[tokio::test]
async fn late_claim_is_withdrawn() {
    let w = World::new();
    let odds = Odds { delay: 100, ..Odds::default() };
    let table = Arc::new(Faulty::new(w.table.clone(), 1, odds));
    let a = node(&w, &table, 1, 0);
    let until = w.until(3_000);
    let gone = a.begin(&call("k"), RequestId(1), request(), until).await.unwrap_err();
    assert!(matches!(gone, LedgerError::NotClaimed(_)));
    table.set_odds(Odds::default());
    assert_eq!(a.sweep().await, 0);
    table.flush().await;
    assert_eq!(a.lookup(&call("k")).await.unwrap(), Some(Status::NotRun));
    assert_eq!(w.table.rows("call/desk/k").len(), 1);
}

/// Two attempts with one token, the second of which never hears of its write.
#[tokio::test]
async fn shared_token_claims_once() {
    let w = World::new();
    let table = Arc::new(Faulty::new(w.table.clone(), 1, Odds::default()));
    let (a, b) = (node(&w, &table, 1, 0), node(&w, &table, 2, 0));
    let until = w.until(3_000);
    let first = a.begin(&call("k"), RequestId(1), request(), until).await.unwrap();
    assert!(matches!(first, Begin::Send(_)));
    table.set_odds(Odds { drop: 100, ..Odds::default() });
    let second = b.begin(&call("k"), RequestId(1), request(), until).await.unwrap();
    assert!(matches!(second, Begin::Running));
}
