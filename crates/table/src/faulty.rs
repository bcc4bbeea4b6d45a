//! A table whose calls fail, get lost or take effect late at random, for tests.

use std::sync::Arc;

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{Memory, Row, Table, TableError, Write};

/// Most task switches before and after a call's effect.
const MAX_YIELDS: u32 = 3;
/// Task switches of a call that is held up.
const STALL_YIELDS: u32 = 100;

/// How likely each fault is, in percent. At most one strikes a call, but for
/// `arrive` and `stall`.
#[derive(Debug, Clone, Copy, Default)]
pub struct Odds {
    /// A commit takes effect and its answer is lost.
    pub lose: u32,
    /// A commit is lost on its way.
    pub drop: u32,
    /// A commit gets no answer and stays under way.
    pub delay: u32,
    /// A commit that is under way arrives during a call, and takes effect if its conditions hold.
    /// Besides the others.
    pub arrive: u32,
    /// A commit is refused.
    pub refuse: u32,
    /// A commit ends in a conflict with no cause.
    pub conflict: u32,
    /// A read gets no answer.
    pub unread: u32,
    /// A call is held up for long, before or after its effect. Besides the others.
    pub stall: u32,
}

struct Inner {
    rng: SmallRng,
    odds: Odds,
    /// Commits that are still under way after their caller gave up.
    late: Vec<Vec<Write>>,
}

enum Fault {
    None,
    Lose,
    Drop,
    Delay,
    Refuse,
    Conflict,
}

/// An unreliable way to a [`Memory`] table. With one seed and a single-threaded runtime a run is
/// the same each time.
pub struct Faulty {
    table: Arc<Memory>,
    inner: Mutex<Inner>,
}

impl Faulty {
    /// A way to `table` with these faults.
    pub fn new(table: Arc<Memory>, seed: u64, odds: Odds) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { table, inner: Mutex::new(Inner { rng, odds, late: Vec::new() }) }
    }

    /// Changes the odds from now on.
    pub fn set_odds(&self, odds: Odds) {
        self.inner.lock().odds = odds;
    }

    /// Lets every late commit arrive.
    pub async fn flush(&self) {
        let late = std::mem::take(&mut self.inner.lock().late);
        for writes in late {
            let _ = self.table.commit(writes).await;
        }
    }

    /// Lets other tasks run and perhaps a late commit arrive.
    async fn pass(&self) {
        let (yields, late) = self.inner.lock().chance();
        if let Some(writes) = late {
            let _ = self.table.commit(writes).await;
        }
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
    }

    fn unread(&self) -> Result<(), TableError> {
        let mut inner = self.inner.lock();
        let percent = inner.odds.unread;
        match inner.rng.random_range(0..100) < percent {
            true => Err(lost()),
            false => Ok(()),
        }
    }
}

impl Inner {
    fn chance(&mut self) -> (u32, Option<Vec<Write>>) {
        let mut yields = self.rng.random_range(0..=MAX_YIELDS);
        if self.odds.stall > 0 && self.rng.random_range(0..100) < self.odds.stall {
            yields = STALL_YIELDS;
        }
        let arrives = self.rng.random_range(0..100) < self.odds.arrive && !self.late.is_empty();
        let late = arrives.then(|| {
            let at = self.rng.random_range(0..self.late.len());
            self.late.swap_remove(at)
        });
        (yields, late)
    }

    fn fault(&mut self) -> Fault {
        let mut roll = self.rng.random_range(0..100);
        let o = self.odds;
        let odds = [
            (o.lose, Fault::Lose),
            (o.drop, Fault::Drop),
            (o.delay, Fault::Delay),
            (o.refuse, Fault::Refuse),
            (o.conflict, Fault::Conflict),
        ];
        for (percent, fault) in odds {
            if roll < percent {
                return fault;
            }
            roll -= percent;
        }
        Fault::None
    }
}

fn lost() -> TableError {
    TableError::Unknown("no answer".into())
}

#[async_trait]
impl Table for Faulty {
    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        self.pass().await;
        self.unread()?;
        let row = self.table.get(part, sort).await;
        self.pass().await;
        row
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.pass().await;
        self.unread()?;
        let rows = self.table.range(part, after, limit).await;
        self.pass().await;
        rows
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        self.pass().await;
        let fault = self.inner.lock().fault();
        let answer = match fault {
            Fault::None => self.table.commit(writes).await,
            Fault::Lose => self.table.commit(writes).await.and(Err(lost())),
            Fault::Drop => Err(lost()),
            Fault::Delay => {
                self.inner.lock().late.push(writes);
                Err(lost())
            }
            Fault::Refuse => Err(TableError::Refused("throttled".into())),
            Fault::Conflict => Err(TableError::Conflict),
        };
        self.pass().await;
        answer
    }
}
