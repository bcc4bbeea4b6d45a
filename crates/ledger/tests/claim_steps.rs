//! Single steps: claim a call, store its outcome and look it up.

mod common;

use std::sync::atomic::Ordering;

use common::{World, call, outcome, request};
use ident::{Clock, Digest, Name, RequestId};
use ledger::{Begin, CallId, Claim, Ledger, LedgerError, Status};

async fn claim(l: &Ledger, w: &World, key: &str, token: u128) -> Claim {
    match l.begin(&call(key), RequestId(token), request(), w.until(3_000)).await.unwrap() {
        Begin::Send(claim) => claim,
        other => panic!("expected a claim, got {other:?}"),
    }
}

async fn begin(l: &Ledger, w: &World, key: &str, token: u128) -> Begin {
    l.begin(&call(key), RequestId(token), request(), w.until(3_000)).await.unwrap()
}

#[test]
fn keys_are_checked() {
    let team = || Name::new("desk").unwrap();
    for bad in ["", "a b", "é", "a\n", &"x".repeat(129)] {
        assert!(CallId::new(team(), bad).is_err(), "{bad:?}");
    }
    assert!(CallId::new(team(), &"~".repeat(128)).is_ok());
}

#[tokio::test]
async fn a_claimed_call_has_one_outcome() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    assert_eq!(a.lookup(&call("k")).await.unwrap(), None);
    let c = claim(&a, &w, "k", 1).await;
    assert!(matches!(begin(&b, &w, "k", 2).await, Begin::Running));
    assert_eq!(b.lookup(&call("k")).await.unwrap(), Some(Status::Running));
    a.store_outcome(&c, outcome("booked")).await.unwrap();
    a.store_outcome(&c, outcome("booked")).await.unwrap();
    assert!(matches!(begin(&b, &w, "k", 3).await, Begin::Stored(o) if o == outcome("booked")));
    let other = b.begin(&call("k"), RequestId(4), Digest::of(b"x"), w.until(3_000)).await.unwrap();
    assert!(matches!(other, Begin::Mismatch));
}

#[tokio::test]
async fn claim_past_its_deadline_may_have_run() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    let c = claim(&a, &w, "k", 1).await;
    assert!(c.may_send(w.clock.now()));
    w.clock.advance(1_000_000);
    assert!(!c.may_send(w.clock.now()));
    assert!(matches!(begin(&b, &w, "k", 2).await, Begin::MayHaveRun));
    assert_eq!(b.lookup(&call("k")).await.unwrap(), Some(Status::MayHaveRun));
    a.mark_not_run(c).await.unwrap();
    assert_eq!(b.lookup(&call("k")).await.unwrap(), Some(Status::NotRun));
    claim(&b, &w, "k", 3).await;
}

#[tokio::test]
async fn claim_without_an_answer_is_found() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    w.table.lose_answers(1);
    claim(&a, &w, "k", 1).await;
    assert!(matches!(begin(&b, &w, "k", 2).await, Begin::Running));
}

#[tokio::test]
async fn same_token_claims_once() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    claim(&a, &w, "k", 1).await;
    assert!(matches!(begin(&a, &w, "k", 1).await, Begin::Running));
    assert!(matches!(begin(&b, &w, "k", 1).await, Begin::Running));
}

#[tokio::test]
async fn refused_is_not_run() {
    let w = World::new();
    let a = w.ledger("a");
    w.table.refuse(true);
    let refused = a.begin(&call("k"), RequestId(1), request(), w.until(3_000)).await.unwrap_err();
    assert!(refused.not_run(), "{refused}");
    w.table.refuse(false);
    w.table.down(true);
    let unread = a.begin(&call("k"), RequestId(2), request(), w.until(3_000)).await.unwrap_err();
    assert!(matches!(unread, LedgerError::Unread(_)) && !unread.not_run());
    assert_eq!((a.pending_count(), a.write_pending().await), (1, 1));
    w.table.down(false);
    assert_eq!(a.write_pending().await, 0);
    // The withdrawal created the row, so the condition of a delayed claim fails.
    assert_eq!(a.lookup(&call("k")).await.unwrap(), Some(Status::NotRun));
    claim(&a, &w, "k", 3).await;
}

#[tokio::test]
async fn sweep_writes_outcomes_first() {
    let w = World::new();
    let a = w.ledger("a");
    w.table.down(true);
    for i in 0..3 {
        let (key, token) = (format!("k{i}"), RequestId(i));
        a.begin(&call(&key), token, request(), w.until(3_000)).await.unwrap_err();
    }
    w.table.down(false);
    let held = claim(&a, &w, "held", 8).await;
    w.table.down(true);
    let deferred = a.store_outcome(&held, outcome("done")).await;
    assert!(matches!(deferred, Err(LedgerError::Deferred(_))));
    w.table.down(false);
    assert_eq!(a.write_some_pending(1).await, 3);
    assert!(matches!(begin(&a, &w, "held", 9).await, Begin::Stored(o) if o == outcome("done")));
    assert_eq!(a.write_some_pending(2).await, 1);
    assert_eq!(a.write_some_pending(2).await, 0);
}

#[tokio::test]
async fn outcome_is_kept_through_outage() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    let large = "x".repeat(100_000);
    let c = claim(&a, &w, "k", 1).await;
    w.blob.down(true);
    let deferred = a.store_outcome(&c, outcome(&large)).await;
    assert!(matches!(deferred, Err(LedgerError::Deferred(_))));
    w.blob.down(false);
    w.table.lose_answers(1);
    assert_eq!(a.write_pending().await, 0);
    assert!(matches!(begin(&b, &w, "k", 2).await, Begin::Stored(o) if o == outcome(&large)));
    w.blob.down(true);
    let unread = b.lookup(&call("k")).await.unwrap_err();
    assert!(matches!(unread, LedgerError::Outcome(_)) && !unread.not_run());
    assert_eq!(w.clock.0.load(Ordering::Relaxed), 1_000_000);
}
