//! A table that injects random faults, for tests: calls fail, are lost or take effect late.

use std::sync::Arc;

use async_trait::async_trait;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{Memory, Row, Table, TableError, Write};

/// Most task switches before a call takes effect, and again after it.
const MAX_YIELDS: u32 = 3;
/// Number of task switches of a stalled call.
const STALL_YIELDS: u32 = 100;

/// Probability of each fault, in percent. A call has at most one of the faults, except that
/// `arrive` and `stall` are independent of the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Odds {
    /// A commit takes effect, but its answer is lost.
    pub lose: u32,
    /// A commit is lost before it takes effect.
    pub drop: u32,
    /// A commit gets no answer and is delayed: it may take effect during a later call.
    pub delay: u32,
    /// During a call, a delayed commit arrives and takes effect if its conditions hold.
    pub arrive: u32,
    /// A commit fails with [`TableError::Refused`].
    pub refuse: u32,
    /// A commit fails with [`TableError::Conflict`] although its conditions may hold.
    pub conflict: u32,
    /// A read fails with [`TableError::Unknown`].
    pub unread: u32,
    /// A call takes long, before or after it takes effect.
    pub stall: u32,
}

struct Inner {
    rng: SmallRng,
    odds: Odds,
    /// Delayed commits, whose callers already got an error.
    delayed: Vec<Vec<Write>>,
}

enum Fault {
    None,
    Lose,
    Drop,
    Delay,
    Refuse,
    Conflict,
}

/// Wraps a [`Memory`] table and injects random faults. With the same seed and a single-threaded
/// runtime, every run is the same.
pub struct Faulty {
    table: Arc<Memory>,
    inner: Mutex<Inner>,
}

impl Faulty {
    /// Wraps `table` with faults of the given probabilities.
    pub fn new(table: Arc<Memory>, seed: u64, odds: Odds) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { table, inner: Mutex::new(Inner { rng, odds, delayed: Vec::new() }) }
    }

    /// Replaces the probabilities for the calls from now on.
    pub fn set_odds(&self, odds: Odds) {
        self.inner.lock().odds = odds;
    }

    /// Applies every delayed commit whose conditions hold.
    pub async fn flush(&self) {
        let delayed = std::mem::take(&mut self.inner.lock().delayed);
        for writes in delayed {
            let _ = self.table.commit(writes).await;
        }
    }

    /// Lets other tasks run, and applies a delayed commit if the random draw says so.
    async fn interleave(&self) {
        let (yields, late) = self.inner.lock().draw_interleaving();
        if let Some(writes) = late {
            let _ = self.table.commit(writes).await;
        }
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
    }

    /// Fails a read if the random draw says so.
    fn maybe_fail_read(&self) -> Result<(), TableError> {
        let mut inner = self.inner.lock();
        let percent = inner.odds.unread;
        match inner.rng.random_range(0..100) < percent {
            true => Err(no_answer()),
            false => Ok(()),
        }
    }
}

impl Inner {
    /// Draws the number of task switches and the delayed commit that arrives, if any.
    fn draw_interleaving(&mut self) -> (u32, Option<Vec<Write>>) {
        let mut yields = self.rng.random_range(0..=MAX_YIELDS);
        if self.odds.stall > 0 && self.rng.random_range(0..100) < self.odds.stall {
            yields = STALL_YIELDS;
        }
        let arrives = self.rng.random_range(0..100) < self.odds.arrive && !self.delayed.is_empty();
        let late = arrives.then(|| {
            let at = self.rng.random_range(0..self.delayed.len());
            self.delayed.swap_remove(at)
        });
        (yields, late)
    }

    /// Draws the fault of a commit.
    fn draw_fault(&mut self) -> Fault {
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

fn no_answer() -> TableError {
    TableError::Unknown("no answer".into())
}

#[async_trait]
impl Table for Faulty {
    fn era(&self) -> u64 {
        self.table.era()
    }

    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        self.interleave().await;
        self.maybe_fail_read()?;
        let row = self.table.get(part, sort).await;
        self.interleave().await;
        row
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        self.interleave().await;
        self.maybe_fail_read()?;
        let rows = self.table.range(part, after, limit).await;
        self.interleave().await;
        rows
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        self.interleave().await;
        let fault = self.inner.lock().draw_fault();
        let answer = match fault {
            Fault::None => self.table.commit(writes).await,
            Fault::Lose => self.table.commit(writes).await.and(Err(no_answer())),
            Fault::Drop => Err(no_answer()),
            Fault::Delay => {
                self.inner.lock().delayed.push(writes);
                Err(no_answer())
            }
            Fault::Refuse => Err(TableError::Refused("throttled".into())),
            Fault::Conflict => Err(TableError::Conflict),
        };
        self.interleave().await;
        answer
    }
}
