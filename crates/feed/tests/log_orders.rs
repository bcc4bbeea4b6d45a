//! What followers know of a source that several readers follow, each by its own pace.

use std::sync::Arc;

use feed::{Delta, Log};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use table::Version;

const KEYS: u64 = 12;

/// A source whose rows hold the number of the write that wrote them.
#[derive(Debug, Clone, Default)]
struct Source {
    /// Number of keys that may have rows.
    keys: u64,
    era: u64,
    number: u64,
    /// Key, number of the write, and the value; `None` where it removed the row.
    writes: Vec<(u64, u64, Option<u64>)>,
}

fn key(at: u64) -> Arc<str> {
    format!("k{at}").into()
}

impl Source {
    fn write(&mut self, at: u64, value: bool) {
        self.number += 1;
        self.writes.push((at, self.number, value.then_some(self.era * 1000 + self.number)));
    }

    fn position(&self) -> Version {
        Version { era: self.era, number: self.number }
    }

    /// The value of a row after the write with a number.
    fn value(&self, at: u64, number: u64) -> Option<u64> {
        let mut past = self.writes.iter().rev().filter(|(k, n, _)| *k == at && *n <= number);
        past.next().and_then(|(_, _, value)| *value)
    }

    fn rows(&self) -> Vec<(Arc<str>, u64)> {
        let row = |at| Some((key(at), self.value(at, self.number)?));
        let mut rows: Vec<_> = (0..self.keys).filter_map(row).collect();
        rows.sort();
        rows
    }

    /// The changes after a position, as a reader gets them; `None` if it must read all.
    fn changes(&self, after: Version) -> Option<Vec<(Arc<str>, Option<u64>)>> {
        let later = self.writes.iter().filter(|(_, n, _)| *n > after.number);
        (after.era == self.era).then(|| later.map(|(k, _, v)| (key(*k), *v)).collect())
    }

    /// Returns from a copy in which the last `lost` writes are missing.
    fn rise(&mut self, lost: usize) {
        self.writes.truncate(self.writes.len().saturating_sub(lost));
        self.number = self.writes.last().map_or(0, |(_, n, _)| *n);
        self.era += 1;
    }

    /// Checks that a log holds each row as it was at the log's position or later.
    fn check(&self, log: &Log<u64>, run: usize, at_log: usize) {
        let Some(at) = log.position().filter(|p| p.era == self.era) else { return };
        let rows = log.since(None).expect("its position is known").rows;
        for k in 0..self.keys {
            let held = rows.iter().find(|(name, _)| *name == key(k)).map(|(_, v)| *v);
            let possible = (at.number..=self.number).any(|n| self.value(k, n) == held);
            assert!(
                possible,
                "run {run}, log {at_log} at {at:?} of {self:?} holds {held:?} as row {k}"
            );
        }
    }
}

fn read(log: &mut Log<u64>, source: &Source) {
    let changes = log.position().and_then(|p| source.changes(p));
    let next = source.position();
    if !changes.is_some_and(|changes| log.apply(changes, next)) {
        log.clear();
        log.replace(source.rows(), next);
    }
}

fn take(log: &mut Log<u64>, delta: Delta<u64>) {
    if delta.full {
        log.replace(delta.rows, delta.next);
        return;
    }
    let rows = delta.rows.into_iter().map(|(k, v)| (k, Some(v)));
    let gone = delta.removed.into_iter().map(|k| (k, None));
    assert!(log.apply(rows.chain(gone).collect(), delta.next), "a difference follows");
}

/// Follows another log, unless that is of an earlier era or knows nothing.
fn follow(log: &mut Log<u64>, reader: &Log<u64>) {
    let Some(delta) = reader.since(log.position()) else { return };
    if log.position().is_none_or(|p| p.era <= delta.next.era) {
        take(log, delta);
    }
}

#[test]
fn followers_of_any_readers_never_go_back() {
    for seed in 0..400 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut source = Source { keys: KEYS, ..Source::default() };
        let mut logs: Vec<Log<u64>> = vec![Log::default(); 6];
        for step in 0..300 {
            let known: Vec<_> = logs.iter().map(Log::position).collect();
            match rng.random_range(0..20) {
                0..8 => source.write(rng.random_range(0..KEYS), rng.random_bool(0.7)),
                8..12 => read(&mut logs[rng.random_range(0..2)], &source),
                12..18 => {
                    let (from, to) = (rng.random_range(0..6), rng.random_range(2..6));
                    let reader = logs[from].clone();
                    follow(&mut logs[to], &reader);
                }
                18 => logs[rng.random_range(0..6)].clear(),
                _ => source.rise(rng.random_range(0..4)),
            }
            for (at, log) in logs.iter().enumerate() {
                source.check(log, seed as usize, at);
                let back = known[at].filter(|_| log.position().is_some()) > log.position();
                assert!(!back, "seed {seed}, step {step}: log {at} went back");
            }
        }
        read(&mut logs[0], &source);
        let reader = logs[0].clone();
        for log in &mut logs[1..] {
            follow(log, &reader);
            let all = log.since(None).expect("it was read").rows;
            assert_eq!(all, source.rows(), "seed {seed}: all rows in the end");
        }
    }
}

/// Every order of seven events of a small deployment: two readers, a follower, a source.
#[test]
fn no_order_of_events_brings_an_older_row_back() {
    const EVENTS: usize = 8;
    const LENGTH: u32 = 6;
    for order in 0..EVENTS.pow(LENGTH) {
        let mut source = Source { keys: 2, ..Source::default() };
        source.write(0, true);
        source.write(1, true);
        let mut logs: Vec<Log<u64>> = vec![Log::default(); 3];
        read(&mut logs[0], &source);
        read(&mut logs[1], &source);
        let mut rest = order;
        for _ in 0..LENGTH {
            match rest % EVENTS {
                0 => source.write(0, source.value(0, source.number).is_none()),
                1 => source.write(1, true),
                2 => source.rise(1),
                3 => read(&mut logs[0], &source),
                4 => read(&mut logs[1], &source),
                5 => logs[0].clear(),
                at => {
                    let reader = logs[at - 6].clone();
                    follow(&mut logs[2], &reader);
                }
            }
            rest /= EVENTS;
            logs.iter().enumerate().for_each(|(at, log)| source.check(log, order, at));
        }
    }
}

#[test]
fn a_follower_that_knows_the_rows_gets_no_rows() {
    let mut source = Source { keys: KEYS, ..Source::default() };
    (0..KEYS).for_each(|at| source.write(at, true));
    let mut log = Log::default();
    read(&mut log, &source);
    let at = log.position();
    // The rows were written again with what they hold, as by heartbeats.
    let same = source.rows().into_iter().map(|(k, v)| (k, Some(v))).collect();
    let next = Version { era: 0, number: 50 };
    assert!(log.apply(same, next));
    let delta = log.since(at).expect("its position is known");
    assert!(delta.is_empty());
    assert_eq!(delta.next, next);
}

#[test]
fn removed_rows_are_forgotten_in_time() {
    let mut log: Log<u64> = Log::default();
    log.replace(Vec::new(), Version { era: 0, number: 1 });
    let first = log.position();
    for n in 2..5000_u64 {
        let change = vec![(format!("r{n}").into(), Some(n)), (format!("r{}", n - 1).into(), None)];
        assert!(log.apply(change, Version { era: 0, number: n }));
    }
    assert!(log.since(first).expect("it is known").full, "it can't tell what was removed");
    let lately = Version { era: 0, number: 4990 };
    let delta = log.since(Some(lately)).expect("it is known");
    assert_eq!((delta.full, delta.rows.len(), delta.removed.len()), (false, 1, 9));
}
