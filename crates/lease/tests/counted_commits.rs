//! Leases at a service that numbers rows by its transactions: others write between two writes of the
//! lease, so its number rises by more than one.

mod common;

use std::sync::Arc;

use common::{ManualClock, TERM, leases, name};
use lease::LeaseError;
use table::{Expect, Memory, Table, Write};

/// Writes another row, as other instances do all the time.
async fn write_other(table: &Memory, key: &str) {
    let write = Write {
        part: "others".into(),
        sort: key.into(),
        expect: Expect::Absent,
        body: Some("x".into()),
    };
    table.commit(vec![write]).await.expect("the row does not exist");
}

#[tokio::test]
async fn a_release_frees_the_lease_at_once() {
    let t = Arc::new(Memory::counting_commits());
    let c = ManualClock::at(1);
    let (a, b) = (leases(&t, &c, "a"), leases(&t, &c, "b"));
    write_other(&t, "before").await;
    let mut held = a.acquire(&name("x"), TERM).await.unwrap();
    assert_eq!(a.release(held).await, Ok(()), "right after it was acquired");
    held = b.acquire(&name("x"), TERM).await.unwrap();
    write_other(&t, "between").await;
    b.renew(&mut held, TERM).await.unwrap();
    write_other(&t, "after").await;
    assert_eq!(b.release(held).await, Ok(()), "after a renewal");
    assert!(a.acquire(&name("x"), TERM).await.is_ok());
}

#[tokio::test]
async fn a_lease_that_was_taken_over_is_not_released() {
    let t = Arc::new(Memory::counting_commits());
    let c = ManualClock::at(1);
    let (a, b) = (leases(&t, &c, "a"), leases(&t, &c, "b"));
    write_other(&t, "before").await;
    let held = a.acquire(&name("x"), TERM).await.unwrap();
    assert!(b.acquire(&name("x"), TERM).await.is_err());
    c.advance(TERM * 2);
    let mut taken = b.acquire(&name("x"), TERM).await.unwrap();
    assert_eq!(a.release(held).await, Err(LeaseError::Lost));
    assert!(b.renew(&mut taken, TERM).await.is_ok(), "the next holder keeps it");
    assert!(a.acquire(&name("x"), TERM).await.is_err());
}

#[tokio::test]
async fn a_release_after_a_lost_answer_frees_the_lease() {
    for table in [Memory::new(), Memory::counting_commits()] {
        let (t, c) = (Arc::new(table), ManualClock::at(1));
        let (a, b) = (leases(&t, &c, "a"), leases(&t, &c, "b"));
        let mut held = a.acquire(&name("x"), TERM).await.unwrap();
        write_other(&t, "between").await;
        t.lose_answers(1);
        let _ = a.renew(&mut held, TERM).await;
        t.lose_answers(1);
        assert_eq!(a.release(held).await, Ok(()));
        assert!(b.acquire(&name("x"), TERM).await.is_ok());
    }
}
