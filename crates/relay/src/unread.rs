//! Answers that are in memory until their clients read them.
//!
//! The load it handles: clients that ask for long answers and read slowly or never. An answer that is
//! ready is taken in at once, as refusing it would lose it. Beyond the limit, answers are given up of
//! which nothing was taken for a while, the one with the most bytes and the longest time first.

use std::{sync::Arc, time::Duration};

use ident::{Clock, Time};
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use tokio::sync::Notify;

/// How long a client may take nothing of an answer before it is given up for others.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Beyond this many times the limit, answers are given up however short their clients took nothing.
const HARD_FACTOR: usize = 2;

struct Entry {
    id: u64,
    bytes: usize,
    /// When the connection last took a part of it.
    taken: Time,
    is_given_up: bool,
    abort: Arc<Notify>,
}

/// The answers that are in memory.
pub(crate) struct Unread {
    max: usize,
    /// The next id, and the answers sorted by id.
    open: Mutex<(u64, Vec<Entry>)>,
    clock: Arc<dyn Clock>,
    rejected: IntCounterVec,
}

impl Unread {
    pub(crate) fn new(max: usize, clock: Arc<dyn Clock>, rejected: IntCounterVec) -> Arc<Self> {
        Arc::new(Self { max, open: Mutex::default(), clock, rejected })
    }

    /// Counts an answer until the guard is dropped. `abort` is notified if its connection must end.
    pub(crate) fn hold(self: &Arc<Self>, bytes: usize, abort: Arc<Notify>) -> Unsent {
        let now = self.clock.now();
        let mut open = self.open.lock();
        let (next, entries) = &mut *open;
        let id = *next;
        *next += 1;
        let kept = entries.iter().filter(|e| !e.is_given_up);
        let mut held = kept.map(|e| e.bytes).sum::<usize>() + bytes;
        while held > self.max {
            let stall = if held > self.max * HARD_FACTOR { Duration::ZERO } else { STALL_TIMEOUT };
            let slow = entries.iter_mut().filter(|e| !e.is_given_up);
            let slow = slow.filter(|e| now.since(e.taken) >= stall);
            let rank = |e: &&mut Entry| e.bytes as u128 * (now.since(e.taken).as_millis() + 1);
            let Some(worst) = slow.max_by_key(rank) else { break };
            worst.is_given_up = true;
            worst.abort.notify_one();
            held -= worst.bytes;
            self.rejected.with_label_values(&["answer_unread"]).inc();
        }
        entries.push(Entry { id, bytes, taken: now, is_given_up: false, abort });
        Unsent { list: self.clone(), id }
    }
}

/// An answer in memory.
pub(crate) struct Unsent {
    list: Arc<Unread>,
    id: u64,
}

impl Unsent {
    /// Records that the connection takes a part of the answer.
    pub(crate) fn record_taken(&self) {
        let now = self.list.clock.now();
        let entries = &mut self.list.open.lock().1;
        if let Ok(at) = entries.binary_search_by_key(&self.id, |e| e.id) {
            entries[at].taken = now;
        }
    }
}

impl Drop for Unsent {
    fn drop(&mut self) {
        let entries = &mut self.list.open.lock().1;
        if let Ok(at) = entries.binary_search_by_key(&self.id, |e| e.id) {
            entries.remove(at);
        }
    }
}
