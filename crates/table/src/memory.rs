//! An in-memory table that can inject faults, for tests.

use std::sync::Arc;

use async_trait::async_trait;
use parking_lot::Mutex;

use crate::{Expect, Row, Table, TableError, Version, Write};

/// Rows of one partition.
#[derive(Debug, Clone, Default)]
struct Partition {
    name: Arc<str>,
    /// Sorted by sort key.
    rows: Vec<Row>,
}

/// Settings of the injected faults, and counters.
#[derive(Debug, Default)]
struct Faults {
    down: bool,
    refusing: bool,
    /// Number of commits that are still to end in a conflict.
    conflicts: u32,
    /// Number of commits whose answer is still to be lost.
    lost_answers: u32,
    reads: u64,
    writes: u64,
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by name.
    partitions: Vec<Partition>,
    era: u64,
    /// Number of commits so far, where the table numbers rows by it; `None` where it counts the
    /// writes to each row.
    commits: Option<u64>,
    faults: Faults,
}

/// The content of a [`Memory`] table at one moment.
#[derive(Debug, Clone)]
pub struct Content(Vec<Partition>);

/// A table held in memory. At the start no fault is injected.
#[derive(Debug, Default)]
pub struct Memory {
    inner: Mutex<Inner>,
}

impl Memory {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty table that gives all rows of a commit its number, as services do that count
    /// their transactions.
    pub fn counting_commits() -> Self {
        let inner = Inner { commits: Some(0), ..Inner::default() };
        Self { inner: Mutex::new(inner) }
    }

    /// While `on`, every call fails with [`TableError::Unknown`] and has no effect.
    pub fn down(&self, on: bool) {
        self.inner.lock().faults.down = on;
    }

    /// While `on`, every commit fails with [`TableError::Refused`]. Reads work.
    pub fn refuse(&self, on: bool) {
        self.inner.lock().faults.refusing = on;
    }

    /// The next `n` commits whose conditions hold take effect but return [`TableError::Unknown`].
    pub fn lose_answers(&self, n: u32) {
        self.inner.lock().faults.lost_answers = n;
    }

    /// The next `n` commits fail with [`TableError::Conflict`], whether or not their conditions
    /// hold.
    pub fn conflicts(&self, n: u32) {
        self.inner.lock().faults.conflicts = n;
    }

    /// Number of calls of `get` and `range` that were answered.
    pub fn reads(&self) -> u64 {
        self.inner.lock().faults.reads
    }

    /// Number of commits that took effect.
    pub fn writes(&self) -> u64 {
        self.inner.lock().faults.writes
    }

    /// Copies the content, to return to it later.
    pub fn copy(&self) -> Content {
        Content(self.inner.lock().partitions.clone())
    }

    /// Returns to an older copy of the content. A new era begins, in which the numbers of later
    /// versions are given out again.
    pub fn restore(&self, copy: Content) {
        let mut inner = self.inner.lock();
        inner.era += 1;
        let era = inner.era;
        inner.partitions = copy.0;
        let rows = inner.partitions.iter_mut().flat_map(|p| &mut p.rows);
        rows.for_each(|row| row.version.era = era);
    }

    /// Returns all rows of a partition, ordered by sort key, regardless of injected faults.
    pub fn rows(&self, part: &str) -> Vec<Row> {
        self.inner.lock().part(part).map(|p| p.rows.clone()).unwrap_or_default()
    }
}

impl Faults {
    /// Counts a read, or fails it as the settings say.
    fn read(&mut self) -> Result<(), TableError> {
        if self.down {
            return Err(TableError::Unknown("the table is down".into()));
        }
        self.reads += 1;
        Ok(())
    }

    /// Fails a write as the settings say.
    fn write(&mut self) -> Result<(), TableError> {
        if self.down {
            return Err(TableError::Unknown("the table is down".into()));
        }
        if self.refusing {
            return Err(TableError::Refused("the table refuses writes".into()));
        }
        if self.conflicts > 0 {
            self.conflicts -= 1;
            return Err(TableError::Conflict);
        }
        Ok(())
    }
}

impl Inner {
    fn part(&self, name: &str) -> Option<&Partition> {
        let at = self.partitions.binary_search_by(|p| (*p.name).cmp(name)).ok()?;
        Some(&self.partitions[at])
    }

    fn part_mut(&mut self, name: &Arc<str>) -> &mut Partition {
        let at = match self.partitions.binary_search_by(|p| p.name.cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.partitions.insert(at, Partition { name: name.clone(), rows: Vec::new() });
                at
            }
        };
        &mut self.partitions[at]
    }

    fn row(&self, part: &str, sort: &str) -> Option<&Row> {
        let rows = &self.part(part)?.rows;
        let at = rows.binary_search_by(|r| (*r.sort).cmp(sort)).ok()?;
        Some(&rows[at])
    }

    /// Whether the condition of the write holds.
    fn holds(&self, write: &Write) -> bool {
        let version = self.row(&write.part, &write.sort).map(|r| r.version);
        match write.expect {
            Expect::Absent => version.is_none(),
            Expect::Version(v) => version == Some(v),
        }
    }

    fn apply(&mut self, write: Write) {
        let (era, commits) = (self.era, self.commits);
        let numbered =
            |version: Version| Version { number: commits.unwrap_or(version.number), ..version };
        let rows = &mut self.part_mut(&write.part).rows;
        let found = rows.binary_search_by(|r| r.sort.cmp(&write.sort));
        match (found, write.body) {
            (Ok(at), Some(body)) => {
                rows[at].version = numbered(rows[at].version.next());
                rows[at].body = body;
            }
            (Ok(at), None) => {
                rows.remove(at);
            }
            (Err(at), Some(body)) => {
                let version = numbered(Version { era, number: 1 });
                rows.insert(at, Row { part: write.part, sort: write.sort, version, body });
            }
            (Err(_), None) => {}
        }
    }
}

#[async_trait]
impl Table for Memory {
    fn era(&self) -> u64 {
        self.inner.lock().era
    }

    async fn get(&self, part: &str, sort: &str) -> Result<Option<Row>, TableError> {
        let mut inner = self.inner.lock();
        inner.faults.read()?;
        Ok(inner.row(part, sort).cloned())
    }

    async fn range(&self, part: &str, after: &str, limit: usize) -> Result<Vec<Row>, TableError> {
        let mut inner = self.inner.lock();
        inner.faults.read()?;
        let Some(part) = inner.part(part) else { return Ok(Vec::new()) };
        let from = part.rows.partition_point(|r| *r.sort <= *after);
        Ok(part.rows[from..].iter().take(limit).cloned().collect())
    }

    async fn commit(&self, writes: Vec<Write>) -> Result<(), TableError> {
        let mut inner = self.inner.lock();
        inner.faults.write()?;
        if !writes.iter().all(|w| inner.holds(w)) {
            return Err(TableError::Conflict);
        }
        inner.commits = inner.commits.map(|n| n + 1);
        writes.into_iter().for_each(|w| inner.apply(w));
        inner.faults.writes += 1;
        if inner.faults.lost_answers > 0 {
            inner.faults.lost_answers -= 1;
            return Err(TableError::Unknown("the answer was lost".into()));
        }
        Ok(())
    }
}
