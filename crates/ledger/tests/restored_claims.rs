//! Claims that end after the table service has returned from an older copy of its content.

mod common;

use common::{World, call, outcome, request};
use ident::RequestId;
use ledger::{Begin, Claim, Ledger, LedgerError, Status};

async fn begin(l: &Ledger, w: &World, token: u128) -> Begin {
    l.begin(&call("k"), RequestId(token), request(), w.until(3_000)).await.unwrap()
}

async fn claim(l: &Ledger, w: &World, token: u128) -> Claim {
    match begin(l, w, token).await {
        Begin::Send(claim) => claim,
        other => panic!("expected a claim, got {other:?}"),
    }
}

/// Guards against a second run of a call whose claim was lost while it ran.
#[tokio::test]
async fn an_outcome_is_stored_though_its_claim_is_gone() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    let copy = w.table.copy();
    let held = claim(&a, &w, 1).await;
    w.table.restore(copy);
    a.store_outcome(&held, outcome("booked")).await.unwrap();
    assert!(matches!(begin(&b, &w, 2).await, Begin::Stored(o) if o == outcome("booked")));
}

#[tokio::test]
async fn an_outcome_is_stored_over_the_attempt_that_its_claim_replaced() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    let first = claim(&b, &w, 1).await;
    b.mark_not_run(first).await.unwrap();
    let copy = w.table.copy();
    let held = claim(&a, &w, 2).await;
    w.table.restore(copy);
    a.store_outcome(&held, outcome("booked")).await.unwrap();
    assert!(matches!(begin(&b, &w, 3).await, Begin::Stored(o) if o == outcome("booked")));
}

/// Guards against an outcome that is never stored, since the claim's row has another version.
#[tokio::test]
async fn an_outcome_is_stored_where_the_copy_has_the_claim() {
    let w = World::new();
    let a = w.ledger("a");
    let held = claim(&a, &w, 1).await;
    w.table.restore(w.table.copy());
    a.store_outcome(&held, outcome("booked")).await.unwrap();
    assert!(matches!(begin(&a, &w, 2).await, Begin::Stored(o) if o == outcome("booked")));
}

#[tokio::test]
async fn a_lost_claim_that_did_not_run_frees_its_key() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    let copy = w.table.copy();
    let held = claim(&a, &w, 1).await;
    w.table.restore(copy);
    a.mark_not_run(held).await.unwrap();
    assert_eq!(b.lookup(&call("k")).await.unwrap(), Some(Status::NotRun));
    claim(&b, &w, 2).await;
}

#[tokio::test]
async fn a_claim_of_another_attempt_is_left_alone() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    let copy = w.table.copy();
    let lost = claim(&a, &w, 1).await;
    w.table.restore(copy);
    let held = claim(&b, &w, 2).await;
    let refused = a.store_outcome(&lost, outcome("first")).await;
    assert!(matches!(refused, Err(LedgerError::NotHeld)), "{refused:?}");
    b.store_outcome(&held, outcome("second")).await.unwrap();
    assert!(matches!(begin(&a, &w, 3).await, Begin::Stored(o) if o == outcome("second")));
}

#[tokio::test]
async fn a_kept_outcome_is_stored_after_the_return() {
    let w = World::new();
    let (a, b) = (w.ledger("a"), w.ledger("b"));
    let copy = w.table.copy();
    let held = claim(&a, &w, 1).await;
    w.table.down(true);
    let deferred = a.store_outcome(&held, outcome("booked")).await;
    assert!(matches!(deferred, Err(LedgerError::Deferred(_))));
    w.table.restore(copy);
    w.table.down(false);
    assert_eq!(a.write_pending().await, 0);
    assert!(matches!(begin(&b, &w, 2).await, Begin::Stored(o) if o == outcome("booked")));
}
