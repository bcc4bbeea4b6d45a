//! Operators race over an unreliable table. The log has no gaps, a change id is accepted at most
//! once, and a change that was reported as not accepted is not in the log.

mod common;

use std::{cell::RefCell, rc::Rc, sync::Arc};

use common::{World, key, model};
use conf::{AcceptError, Change, Doc, Kind, Store};
use ident::{RequestId, Rev};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use table::{Faulty, Odds};

const SEEDS: u64 = 150;
const OPERATORS: u128 = 4;
const CHANGES: u128 = 12;
const MODELS: u32 = 3;
const ODDS: Odds =
    Odds { lose: 8, drop: 6, delay: 12, arrive: 30, refuse: 4, conflict: 5, unread: 6, stall: 0 };

/// The last answer that an operator got for one change.
struct Answered {
    id: RequestId,
    expect: Option<Rev>,
    answer: Result<Change, AcceptError>,
    /// Whether an earlier answer was "unknown".
    repeated: bool,
}

/// Changes one model, repeating the request with the same id while the answer is "unknown".
async fn change(store: &Store, rng: &mut SmallRng, id: RequestId) -> Answered {
    if rng.random_bool(0.6) {
        let _ = store.refresh().await;
    }
    let name = format!("m{}", rng.random_range(0..MODELS));
    let at = key(Kind::Model, &name);
    let expect = store.view().doc(&at).map(|(_, rev)| rev);
    let doc: Option<Doc> =
        rng.random_bool(0.8).then(|| model(&name, &format!("v{}", id.0))).or_else(|| {
            // Removing a document that does not exist is always refused.
            expect.is_none().then(|| model(&name, "v0"))
        });
    let mut repeated = false;
    loop {
        let answer = store.accept(id, at.clone(), doc.clone(), expect).await;
        if !matches!(answer, Err(AcceptError::Unknown(_))) || rng.random_bool(0.05) {
            return Answered { id, expect, answer, repeated };
        }
        repeated = true;
    }
}

async fn race(seed: u64) -> (Vec<Answered>, Vec<Change>) {
    let w = World::new();
    let faulty = Arc::new(Faulty::new(w.table.clone(), seed, ODDS));
    let answers = Rc::new(RefCell::new(Vec::new()));
    let (tasks, mut handles) = (tokio::task::LocalSet::new(), Vec::new());
    for op in 0..OPERATORS {
        let (table, blob, answers) = (faulty.clone(), w.blob.clone(), answers.clone());
        handles.push(tasks.spawn_local(async move {
            let store = Store::new(table, blob);
            let mut rng = SmallRng::seed_from_u64(seed * 100 + op as u64);
            for n in 0..CHANGES {
                let one = change(&store, &mut rng, RequestId(op * 1000 + n)).await;
                answers.borrow_mut().push(one);
            }
        }));
    }
    tasks.await;
    for handle in handles {
        handle.await.unwrap();
    }
    faulty.flush().await;
    let log = w.store().changes(Rev(0), 10_000).await.unwrap();
    (Rc::into_inner(answers).unwrap().into_inner(), log)
}

/// The revision of the changed document before `change`.
fn before(log: &[Change], change: &Change) -> Option<Rev> {
    let earlier = log.iter().rev().find(|c| c.rev < change.rev && c.key == change.key);
    earlier.filter(|c| c.doc.is_some()).map(|c| c.rev)
}

#[tokio::test(flavor = "current_thread")]
async fn log_has_no_gaps_and_matches_the_answers() {
    let (mut accepted, mut stale, mut unavailable, mut unknown) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let (answers, log) = race(seed).await;
        for (i, c) in log.iter().enumerate() {
            assert_eq!(c.rev, Rev(i as u64 + 1), "seed {seed}");
        }
        for t in &answers {
            let found: Vec<&Change> = log.iter().filter(|c| c.id == t.id).collect();
            assert!(found.len() <= 1, "seed {seed}: {} was accepted {} times", t.id, found.len());
            if let Some(c) = found.first() {
                assert_eq!(before(&log, c), t.expect, "seed {seed}: {} overwrote unseen", t.id);
            }
            match &t.answer {
                Ok(c) => {
                    accepted += 1;
                    assert_eq!(found, [c], "seed {seed}");
                }
                Err(AcceptError::Stale { current }) => {
                    stale += 1;
                    assert_ne!(*current, t.expect);
                    assert!(found.is_empty(), "seed {seed}: {} is stale and in the log", t.id);
                }
                Err(AcceptError::Unavailable(_)) => {
                    unavailable += 1;
                    assert!(found.is_empty() || t.repeated, "seed {seed}: {} is in the log", t.id);
                }
                Err(AcceptError::Unknown(_)) => unknown += 1,
                Err(e) => panic!("seed {seed}: {e}"),
            }
        }
    }
    println!("accepted {accepted}, stale {stale}, unavailable {unavailable}, unknown {unknown}");
    assert!(accepted > 1000 && stale > 100 && unavailable > 10 && unknown > 10);
}

#[tokio::test]
async fn outage_is_not_reported_as_accepted() {
    let w = World::new();
    let s = w.store();
    let doc = model("m", "v1");
    let accept = || s.accept(RequestId(1), doc.key(), Some(doc.clone()), None);
    w.table.down(true);
    assert!(matches!(accept().await, Err(AcceptError::Unknown(_))));
    w.table.down(false);
    w.table.refuse(true);
    assert!(matches!(accept().await, Err(AcceptError::Unavailable(_))));
    w.table.refuse(false);
    w.table.lose_answers(1);
    assert_eq!(accept().await.unwrap().rev, Rev(1));
    assert_eq!(accept().await.unwrap().rev, Rev(1));
}
