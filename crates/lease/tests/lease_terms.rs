//! Single steps: acquire, renew, lose and release a lease.

mod common;

use std::{sync::Arc, time::Duration};

use common::{ManualClock, TERM, leases, name};
use ident::{Clock, Fence};
use lease::LeaseError;
use table::Memory;

#[tokio::test]
async fn expiry_is_observed() {
    let t = Arc::new(Memory::new());
    // The clocks differ by more than an hour. Only durations count.
    let (ca, cb) = (ManualClock::at(5_000_000), ManualClock::at(1_000_000));
    let (a, b) = (leases(&t, &ca, "a"), leases(&t, &cb, "b"));
    let mut held = a.acquire(&name("x"), TERM).await.unwrap();
    assert_eq!(held.fence(), Fence(1));
    cb.advance(TERM * 10);
    assert!(matches!(b.acquire(&name("x"), TERM).await, Err(LeaseError::Taken { .. })));
    cb.advance(TERM);
    assert!(b.acquire(&name("x"), TERM).await.is_err(), "the margin for clock rates has to pass");
    ca.advance(TERM / 2);
    a.renew(&mut held, TERM).await.unwrap();
    cb.advance(TERM / 2);
    assert!(b.acquire(&name("x"), TERM).await.is_err(), "the renewal restarts the observation");
    cb.advance(TERM * 2);
    assert_eq!(b.acquire(&name("x"), TERM).await.unwrap().fence(), Fence(2));
    assert!(held.is_valid(ca.now()), "the paused holder can't know");
    assert_eq!(a.renew(&mut held, TERM).await, Err(LeaseError::Lost));
    assert!(!held.is_valid(ca.now()));
}

#[tokio::test]
async fn release_frees_at_once() {
    let t = Arc::new(Memory::new());
    let c = ManualClock::at(1);
    let (a, b) = (leases(&t, &c, "a"), leases(&t, &c, "b"));
    let held = a.acquire(&name("x"), TERM).await.unwrap();
    a.release(held).await.unwrap();
    assert_eq!(b.acquire(&name("x"), TERM).await.unwrap().fence(), Fence(2));
}

/// A holder that released the lease tells the next one when it may act; one that was lost does not.
#[tokio::test]
async fn what_is_said_at_a_release_reaches_the_next_holder_only() {
    let t = Arc::new(Memory::new());
    let c = ManualClock::at(1);
    let (a, b) = (leases(&t, &c, "a"), leases(&t, &c, "b"));
    let mut held = a.acquire(&name("x"), TERM).await.unwrap();
    assert_eq!(held.act_after(), None);
    held.set_act_after(Some(7));
    a.renew(&mut held, TERM).await.unwrap();
    assert!(b.acquire(&name("x"), TERM).await.is_err());
    a.release(held).await.unwrap();
    assert_eq!(b.acquire(&name("x"), TERM).await.unwrap().act_after(), Some(7));
    assert!(a.acquire(&name("x"), TERM).await.is_err());
    c.advance(TERM * 2);
    assert_eq!(a.acquire(&name("x"), TERM).await.unwrap().act_after(), None, "it was not released");
}

#[tokio::test]
async fn lost_answers_are_read_back() {
    let t = Arc::new(Memory::new());
    let c = ManualClock::at(1);
    let a = leases(&t, &c, "a");
    t.lose_answers(1);
    let mut held = a.acquire(&name("x"), TERM).await.unwrap();
    t.lose_answers(1);
    c.advance(TERM / 2);
    a.renew(&mut held, TERM).await.unwrap();
    assert_eq!(held.expires(), c.now().after(TERM));
    t.down(true);
    assert!(matches!(a.renew(&mut held, TERM).await, Err(LeaseError::Table(_))));
    assert!(held.is_valid(c.now()));
    c.advance(TERM);
    assert!(!held.is_valid(c.now()));
    t.down(false);
    assert_eq!(a.renew(&mut held, TERM).await, Err(LeaseError::Lost));
}

#[tokio::test]
async fn slots_are_bounded() {
    let t = Arc::new(Memory::new());
    let c = ManualClock::at(1);
    let all: Vec<_> = (0..5).map(|i| leases(&t, &c, &format!("n{i}"))).collect();
    let mut held = Vec::new();
    for l in &all {
        match l.slots(&name("loads"), 3).acquire(TERM).await {
            Ok(h) => held.push((l, h)),
            Err(e) => assert!(matches!(e, LeaseError::Taken { .. }), "{e}"),
        }
    }
    assert_eq!(held.len(), 3);
    let (l, h) = held.pop().unwrap();
    l.release(h).await.unwrap();
    c.advance(Duration::from_secs(1));
    all[4].slots(&name("loads"), 3).acquire(TERM).await.unwrap();
    assert!(all[3].slots(&name("loads"), 3).acquire(TERM).await.is_err());
}

/// After all instances had lost power, nobody held the lease for five seconds, although the process
/// of its holder was back after one second.
#[tokio::test]
async fn a_restarted_process_takes_its_own_lease_over() {
    let t = Arc::new(Memory::new());
    let (first, later) = (ManualClock::at(5_000), ManualClock::at(9_000));
    let held = leases(&t, &first, "a").acquire(&name("x"), TERM).await.unwrap();
    let again = leases(&t, &later, "a");
    assert!(again.acquire(&name("x"), TERM).await.is_err(), "another process may be alive");
    let other = leases(&t, &later, "b").with_own_takeover();
    assert!(other.acquire(&name("x"), TERM).await.is_err(), "it is another instance's");
    let sole = again.with_own_takeover();
    let mine = sole.acquire(&name("x"), TERM).await.unwrap();
    assert!(mine.fence() > held.fence());
    assert!(sole.acquire(&name("x"), TERM).await.is_err(), "this process holds it already");
}
