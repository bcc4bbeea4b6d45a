//! Single steps around a return of the table from an older copy.

mod common;

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use common::{ManualClock, TERM, leases, name};
use ident::{Clock, Fence};
use lease::{HeldLease, LeaseError, Leases};
use table::{Expect, Memory, Row, Table, TableError, Write};

const PART: &str = "lease";
/// Wait after a return: the lease duration and a sixteenth of it.
const WAIT: Duration = Duration::from_secs(17);
/// Lowest fence of the first era after a return.
const SECOND_ERA: u64 = 1 << 32;

async fn acquire(leases: &Leases) -> Result<HeldLease, LeaseError> {
    leases.acquire(&name("x"), TERM).await
}

/// Checks that the lease is free only once the era has been seen for [`WAIT`], and acquires it.
async fn acquire_after_wait(leases: &Leases, clock: &ManualClock) -> HeldLease {
    let seen = clock.now();
    let Err(LeaseError::Taken { until, .. }) = acquire(leases).await else {
        panic!("the lease is free at once");
    };
    assert_eq!(until, seen.after(WAIT));
    clock.advance(WAIT - Duration::from_millis(1));
    assert!(matches!(acquire(leases).await, Err(LeaseError::Taken { .. })), "a moment too early");
    clock.advance(Duration::from_millis(1));
    acquire(leases).await.unwrap()
}

/// Writes `body` over the row of the lease, as a late write whose number matches by chance.
async fn overwrite(table: &Memory, body: &Arc<str>) {
    let row = &table.rows(PART)[0];
    let (part, sort, expect) = (row.part.clone(), row.sort.clone(), Expect::Version(row.version));
    table.commit(vec![Write { part, sort, expect, body: Some(body.clone()) }]).await.unwrap();
}

fn row(table: &Memory) -> Row {
    table.rows(PART)[0].clone()
}

#[tokio::test]
async fn a_rise_ends_the_lease_at_once() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let a = leases(&t, &c, "a");
    let mut held = acquire(&a).await.unwrap();
    assert!(held.is_valid(c.now()));
    t.restore(t.copy());
    assert!(!held.is_valid(c.now()));
    let writes = t.writes();
    assert_eq!(a.renew(&mut held, TERM).await, Err(LeaseError::Lost));
    assert_eq!(a.release(held).await, Err(LeaseError::Lost));
    assert_eq!(t.writes(), writes);
}

#[tokio::test]
async fn a_row_that_is_gone_is_waited_for() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let copy = t.copy();
    let a = leases(&t, &c, "a");
    let held = acquire(&a).await.unwrap();
    t.restore(copy);
    let b = leases(&t, &c, "b");
    let next = acquire_after_wait(&b, &c).await;
    assert_eq!((held.fence(), next.fence()), (Fence(1), Fence(SECOND_ERA + 1)));
}

#[tokio::test]
async fn a_released_lease_is_waited_for() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let (a, b) = (leases(&t, &c, "a"), leases(&t, &c, "b"));
    a.release(acquire(&a).await.unwrap()).await.unwrap();
    let copy = t.copy();
    let held = acquire(&b).await.unwrap();
    t.restore(copy);
    let next = acquire_after_wait(&a, &c).await;
    assert!(next.fence() > held.fence() && next.fence().0 > SECOND_ERA);
    a.release(next).await.unwrap();
    let after = acquire(&a).await.unwrap();
    assert!(after.fence().0 > SECOND_ERA + 1, "released in this era, so it is free at once");
}

#[tokio::test]
async fn an_earlier_process_is_waited_for() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let held = acquire(&leases(&t, &c, "a")).await.unwrap();
    t.restore(t.copy());
    c.advance(Duration::from_secs(1));
    let again = leases(&t, &c, "a").with_own_takeover();
    let next = acquire_after_wait(&again, &c).await;
    assert!(next.fence() > held.fence());
    c.advance(Duration::from_secs(1));
    let third = leases(&t, &c, "a").with_own_takeover();
    acquire_after_wait(&third, &c).await;
}

#[tokio::test]
async fn slots_are_void_after_a_return() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let (a, b) = (leases(&t, &c, "a"), leases(&t, &c, "b"));
    let (slots, later) = (a.slots(&name("loads"), 2), b.slots(&name("loads"), 2));
    let held = slots.acquire(TERM).await.unwrap();
    t.restore(t.copy());
    assert!(!held.is_valid(c.now()));
    assert!(matches!(later.acquire(TERM).await, Err(LeaseError::Taken { .. })));
    c.advance(WAIT);
    assert!(later.acquire(TERM).await.unwrap().fence().0 > SECOND_ERA);
}

/// The late write says that the lease was released, while its holder of the new era renews it.
#[tokio::test]
async fn a_late_write_of_an_earlier_era_frees_nothing() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let a = leases(&t, &c, "a");
    a.release(acquire(&a).await.unwrap()).await.unwrap();
    let released = row(&t).body;
    t.restore(t.copy());
    let (b, d) = (leases(&t, &c, "b"), leases(&t, &c, "d"));
    assert!(acquire(&b).await.is_err() && acquire(&d).await.is_err() && acquire(&a).await.is_err());
    c.advance(WAIT);
    let mut held = acquire(&b).await.unwrap();
    overwrite(&t, &released).await;
    assert!(held.is_valid(c.now()));
    assert!(matches!(acquire(&d).await, Err(LeaseError::Taken { .. })));
    assert!(matches!(acquire(&a.with_own_takeover()).await, Err(LeaseError::Taken { .. })));
    assert_eq!(b.renew(&mut held, TERM).await, Err(LeaseError::Lost));
    c.advance(WAIT);
    let next = acquire(&d).await.unwrap();
    assert!(next.fence() > held.fence(), "{:?} after {:?}", next.fence(), held.fence());
}

/// Returns from an older copy during the first commit, and carries it out only then.
struct LateCommit(Arc<Memory>);

#[async_trait]
impl Table for LateCommit {
    fn era(&self) -> u64 {
        self.0.era()
    }

    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        self.0.get(part, sort).await
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.0.range(part, after, limit).await
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        if self.0.era() > 0 {
            return self.0.commit(writes).await;
        }
        self.0.restore(self.0.copy());
        self.0.commit(writes).await?;
        Err(TableError::Unknown("no answer".into()))
    }
}

#[tokio::test]
async fn a_late_claim_is_no_lease() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let a = Leases::new(Arc::new(LateCommit(t.clone())), c.clone(), name("a"));
    let error = acquire(&a).await.unwrap_err();
    assert!(matches!(error, LeaseError::Taken { .. }), "{error}");
    assert!(row(&t).body.contains("\"fence\":1,"), "the claim was carried out");
    c.advance(WAIT);
    assert!(acquire(&a).await.unwrap().fence().0 > SECOND_ERA);
}

#[tokio::test]
async fn a_fence_of_a_later_era_is_malformed() {
    let (t, c) = (Arc::new(Memory::new()), ManualClock::at(1));
    let a = leases(&t, &c, "a");
    acquire(&a).await.unwrap();
    let body = row(&t).body.replace("\"fence\":1,", "\"fence\":4294967297,");
    assert!(body.contains("4294967297"), "{body}");
    overwrite(&t, &body.into()).await;
    c.advance(WAIT);
    let error = acquire(&a).await.unwrap_err();
    assert!(matches!(error, LeaseError::Table(TableError::Malformed(_))), "{error}");
    assert!(error.to_string().contains("later era than its version 0.2"), "{error}");
}
