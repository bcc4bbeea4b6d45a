//! Many holders with an unreliable table, pauses and crashes: a call runs at most once, and no
//! caller is told "not run" for an attempt that was sent.

mod common;

use std::{cell::RefCell, rc::Rc, sync::Arc};

use bytes::Bytes;
use common::{ManualClock, World, call, outcome, request};
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

/// The requests and runs of the target, and the answers that callers got.
#[derive(Default)]
struct TargetLog {
    /// Token and key of each request that reached the target.
    sent: Vec<(u64, u64)>,
    /// Key and body of each call that ran.
    ran: Vec<(u64, Bytes)>,
    /// Tokens of the attempts that were reported as not run.
    not_run: Vec<u64>,
    may_have_run: u64,
    stored: u64,
    crashes: u64,
    late_holders: u64,
}

impl TargetLog {
    /// Sends a call to the target and returns its outcome; `None` if it refuses before running.
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
    clock: Arc<ManualClock>,
    log: Rc<RefCell<TargetLog>>,
    rng: SmallRng,
}

impl Node {
    /// Lets other nodes run while time passes, sometimes past all deadlines.
    async fn pause(&mut self) {
        for _ in 0..self.rng.random_range(0..6) {
            tokio::task::yield_now().await;
        }
        if self.rng.random_bool(0.3) {
            self.clock.advance(self.rng.random_range(0..12_000));
        }
    }

    fn crashes(&mut self) -> bool {
        let crash = self.rng.random_bool(0.06);
        self.log.borrow_mut().crashes += u64::from(crash);
        crash
    }

    async fn attempt(&mut self, token: u64) {
        let key = self.rng.random_range(0..KEYS);
        let until = Time(self.clock.now().0 + 4_000);
        let id = call(&format!("k{key}"));
        let begun = self.ledger.begin(&id, RequestId(token.into()), request(), until).await;
        let mut log = self.log.borrow_mut();
        match begun {
            Ok(Begin::Send(claim)) => {
                drop(log);
                self.hold(claim, token, key).await;
            }
            Ok(Begin::Stored(o)) => log.check_stored(key, &o),
            Ok(Begin::MayHaveRun) => log.may_have_run += 1,
            Ok(Begin::Running) => {}
            Ok(Begin::Mismatch) => panic!("all requests are the same"),
            Err(e) => {
                assert!(matches!(e, LedgerError::NotClaimed(_) | LedgerError::Unread(_)), "{e}");
                log.not_run.push(token);
            }
        }
    }

    async fn hold(&mut self, claim: Claim, token: u64, key: u64) {
        if self.crashes() {
            return;
        }
        self.pause().await;
        if !claim.may_send(self.clock.now()) {
            self.log.borrow_mut().late_holders += 1;
            return self.mark_not_run(claim, token).await;
        }
        // The holder may be paused between the check of its deadline and the first byte.
        self.pause().await;
        let refuse = self.rng.random_bool(0.2);
        let answer = self.log.borrow_mut().send(token, key, refuse);
        if self.crashes() {
            return;
        }
        self.pause().await;
        match answer {
            // The table may be down; a later `write_pending` tries again.
            Some(o) => drop(self.ledger.store_outcome(&claim, o).await),
            None => self.mark_not_run(claim, token).await,
        }
    }

    async fn mark_not_run(&mut self, claim: Claim, token: u64) {
        let _ = self.ledger.mark_not_run(claim).await;
        let mut log = self.log.borrow_mut();
        if !log.sent.iter().any(|(t, _)| *t == token) {
            log.not_run.push(token);
        }
    }
}

fn node(w: &World, table: &Arc<Faulty>, n: u64, restart: u64) -> Ledger {
    let name = Name::new(&format!("n{n}-{restart}")).unwrap();
    Ledger::new(table.clone(), w.blob.clone(), w.clock.clone(), name)
}

async fn run(seed: u64) -> TargetLog {
    let w = World::new();
    let table = Arc::new(Faulty::new(w.table.clone(), seed, ODDS));
    let log = Rc::new(RefCell::new(TargetLog::default()));
    let (tasks, mut handles) = (tokio::task::LocalSet::new(), Vec::new());
    for n in 0..NODES {
        let (ledger, restarted) = (node(&w, &table, n, 0), node(&w, &table, n, 1));
        let (clock, log) = (w.clock.clone(), log.clone());
        let rng = SmallRng::seed_from_u64(seed * 100 + n);
        handles.push(tasks.spawn_local(async move {
            let mut node = Node { ledger, clock, log, rng };
            for i in 0..ATTEMPTS {
                node.attempt(n * 1000 + i + 1).await;
                if i == ATTEMPTS / 2 && n % 2 == 0 {
                    break;
                }
                if node.rng.random_bool(0.3) {
                    node.ledger.write_pending().await;
                }
            }
            // A new process starts without the memory of the old one.
            if n % 2 == 0 {
                node.ledger = restarted;
            }
            for i in ATTEMPTS..2 * ATTEMPTS {
                node.attempt(n * 1000 + i + 1).await;
            }
            while node.ledger.write_pending().await > 0 {}
        }));
    }
    tasks.await;
    for handle in handles {
        handle.await.unwrap();
    }
    table.flush().await;
    table.set_odds(Odds::default());
    check_end(&node(&w, &table, 9, 0), &log, seed).await;
    Rc::into_inner(log).unwrap().into_inner()
}

/// Checks that the final rows agree with the calls that the target ran.
async fn check_end(ledger: &Ledger, log: &Rc<RefCell<TargetLog>>, seed: u64) {
    for key in 0..KEYS {
        let status = ledger.lookup(&call(&format!("k{key}"))).await.unwrap();
        let mut log = log.borrow_mut();
        match status {
            Some(Status::Stored(o)) => log.check_stored(key, &o),
            None | Some(Status::NotRun) => {
                assert_eq!(log.runs(key), 0, "seed {seed}: k{key} ran and is called not run");
            }
            Some(Status::Running | Status::MayHaveRun) => log.may_have_run += 1,
        }
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_call_runs_at_most_once() {
    let (mut ran, mut not_run, mut may_have_run, mut stored, mut crashes, mut late_holders) =
        (0, 0, 0, 0, 0, 0);
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
        (may_have_run, stored) = (may_have_run + m.may_have_run, stored + m.stored);
        (crashes, late_holders) = (crashes + m.crashes, late_holders + m.late_holders);
    }
    println!("ran {ran}, not run {not_run}, may have run {may_have_run}, stored answers {stored}");
    println!("crashes {crashes}, holders past their deadline {late_holders}");
    assert!(
        ran > 500 && not_run > 500 && may_have_run > 100 && stored > 1000 && late_holders > 100
    );
}

/// A claim whose write takes effect after its holder gave up is withdrawn.
#[tokio::test]
async fn late_claim_is_withdrawn() {
    let w = World::new();
    let odds = Odds { delay: 100, ..Odds::default() };
    let table = Arc::new(Faulty::new(w.table.clone(), 1, odds));
    let a = node(&w, &table, 1, 0);
    let until = w.until(3_000);
    let error = a.begin(&call("k"), RequestId(1), request(), until).await.unwrap_err();
    assert!(matches!(error, LedgerError::NotClaimed(_)));
    table.set_odds(Odds::default());
    assert_eq!(a.write_pending().await, 0);
    table.flush().await;
    assert_eq!(a.lookup(&call("k")).await.unwrap(), Some(Status::NotRun));
    assert_eq!(w.table.rows("call/desk/k").len(), 1);
}

/// Two attempts use the same token; the write of the second one is lost.
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
