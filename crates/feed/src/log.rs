//! The rows of a source, and what changed after a position.

use std::sync::Arc;

use table::Version;

/// Most removed rows that are remembered. An older position gets all rows.
const MAX_REMOVED: usize = 1024;

/// A row, and the number of the position with which its last change was read.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Row<V> {
    key: Arc<str>,
    /// `None` if the row was removed.
    value: Option<V>,
    mark: u64,
}

/// What a follower at some position lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta<V> {
    /// Whether `rows` are all rows. Otherwise they are those that changed.
    pub full: bool,
    /// Rows with their values, sorted by key.
    pub rows: Vec<(Arc<str>, V)>,
    /// Rows that are gone, sorted.
    pub removed: Vec<Arc<str>>,
    /// Position that the follower has then.
    pub next: Version,
}

impl<V> Delta<V> {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        !self.full && self.rows.is_empty() && self.removed.is_empty()
    }
}

/// The rows of a source as of a position.
///
/// Invariants: `rows` is sorted by key. No mark is above `next`, and a row changed after position `p`
/// has a mark above `p`, if `p` is not below `start`. Within an era `next` never falls.
#[derive(Debug, Clone)]
pub struct Log<V> {
    rows: Vec<Row<V>>,
    /// Number of removed rows in `rows`.
    removed: usize,
    /// Positions below this number get all rows.
    start: u64,
    /// `None` before the first complete reading.
    next: Option<Version>,
}

impl<V> Default for Log<V> {
    fn default() -> Self {
        Self { rows: Vec::new(), removed: 0, start: 0, next: None }
    }
}

impl<V> Log<V>
where
    V: Clone + PartialEq,
{
    /// The position of the rows; `None` before the first complete reading.
    pub fn position(&self) -> Option<Version> {
        self.next
    }

    /// Forgets all rows, since the source is another one or changes are missing.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Replaces all rows by a complete reading as of `next`. Ignored where later rows of the same
    /// era are known.
    pub fn replace(&mut self, mut rows: Vec<(Arc<str>, V)>, next: Version) {
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows.dedup_by(|a, b| a.0 == b.0);
        if self.next.is_some_and(|known| known.era == next.era && known.number > next.number) {
            return;
        }
        // What was added and removed since the known position is not known, so that followers in
        // between need all rows.
        let row = |(key, value)| Row { key, value: Some(value), mark: next.number };
        self.rows = rows.into_iter().map(row).collect();
        (self.removed, self.start, self.next) = (0, next.number, Some(next));
    }

    /// Applies changes up to `next` in their order; `None` removes a row. Returns false if they
    /// don't follow what is known, so that all rows must be read.
    pub fn apply(&mut self, changes: Vec<(Arc<str>, Option<V>)>, next: Version) -> bool {
        let Some(known) = self.next.filter(|known| known.era == next.era) else { return false };
        if next.number < known.number {
            // A reader that is behind has nothing that is not known.
            return true;
        }
        for (key, value) in changes {
            self.set(key, value, next.number);
        }
        self.next = Some(next);
        self.trim();
        true
    }

    fn set(&mut self, key: Arc<str>, value: Option<V>, mark: u64) {
        match self.rows.binary_search_by(|r| r.key.cmp(&key)) {
            Ok(at) if self.rows[at].value == value => {}
            Ok(at) => {
                let row = &mut self.rows[at];
                self.removed += usize::from(value.is_none());
                self.removed -= usize::from(row.value.is_none());
                (row.value, row.mark) = (value, mark);
            }
            // A removed row may be known to a follower, though it never was to this instance.
            Err(at) => {
                self.removed += usize::from(value.is_none());
                self.rows.insert(at, Row { key, value, mark });
            }
        }
    }

    /// Forgets the rows that were removed first, if there are too many.
    fn trim(&mut self) {
        if self.removed <= MAX_REMOVED {
            return;
        }
        let removed = self.rows.iter().filter(|r| r.value.is_none());
        let mut marks: Vec<u64> = removed.map(|r| r.mark).collect();
        marks.sort_unstable();
        let last = marks[marks.len() / 2];
        self.rows.retain(|r| r.value.is_some() || r.mark > last);
        self.start = self.start.max(last);
        self.removed = self.rows.iter().filter(|r| r.value.is_none()).count();
    }

    /// What a follower at `position` lacks; `None` while this instance knows no rows itself.
    pub fn since(&self, position: Option<Version>) -> Option<Delta<V>> {
        let next = self.next?;
        let from = position.filter(|p| p.era == next.era && p.number >= self.start);
        let changed = |r: &&Row<V>| from.is_none_or(|p| r.mark > p.number);
        let value = |r: &Row<V>| Some((r.key.clone(), r.value.clone()?));
        let rows = self.rows.iter().filter(changed).filter_map(value).collect();
        let gone = self.rows.iter().filter(changed).filter(|r| r.value.is_none());
        let removed = match from {
            Some(_) => gone.map(|r| r.key.clone()).collect(),
            None => Vec::new(),
        };
        let next = from.map_or(next, |p| next.max(p));
        Some(Delta { full: from.is_none(), rows, removed, next })
    }
}
