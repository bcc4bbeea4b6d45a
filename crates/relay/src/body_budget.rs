//! Decides which request bodies may take more memory, and which are given up when there is none.
//!
//! The load it handles: bodies that arrive at any speed, most of them small. Many clients may stop
//! sending within a body, or send it in tiny pieces, while ordinary requests go on. A body holds only
//! what has arrived, so that an announced length takes nothing from others. Bodies without a length
//! may take at most [`UNSIZED_SHARE`] of the memory, unless the largest allowed one needs more.

use std::time::Duration;

use ident::Time;

/// Largest share of the memory that bodies without a length hold together.
const UNSIZED_SHARE: f64 = 0.75;
/// How long a body waits for memory before the one that holds most and progresses least is given up.
pub const WAIT_TIMEOUT: Duration = Duration::from_millis(300);
/// A body that got no byte for this long is given up as soon as another one needs its memory: it is
/// not expected to end while that one waits.
const STALL_TIMEOUT: Duration = WAIT_TIMEOUT;
/// Mean time for which a body's memory is held, before any was measured.
const FIRST_MEAN_HOLD: Duration = Duration::from_millis(600);
/// Weight of one body in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Longest delay that is named to clients.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// What a body is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Its client is expected to send.
    Reading,
    /// It waits for memory. Its client is not read from, so silence says nothing about it.
    Waiting,
    /// All of it has arrived, or it is given up.
    Settled,
}

#[derive(Debug)]
struct Entry {
    id: u64,
    /// Bytes reserved.
    bytes: usize,
    /// Length that its head announced.
    len: Option<usize>,
    state: State,
    opened: Time,
    /// When its last byte arrived.
    heard: Time,
}

impl Entry {
    /// How much it holds without progress. The highest one is given up first.
    fn rank(&self, now: Time) -> u128 {
        let stalled = match self.state {
            State::Reading => now.since(self.heard),
            State::Waiting | State::Settled => Duration::ZERO,
        };
        self.bytes as u128 * (stalled.as_millis() + 1)
    }

    fn is_sized(&self) -> bool {
        self.len.is_some()
    }

    fn is_given_up(&self) -> bool {
        self.opened == Time::NEVER
    }

    /// Bytes that it is expected to need yet. A body without a length is expected to double.
    fn remaining(&self) -> usize {
        self.len.map_or(self.bytes, |len| len.saturating_sub(self.bytes))
    }
}

/// The answer to a body that needs more memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Grow {
    /// The memory is reserved.
    Granted,
    /// There is none now. The listed bodies are given up for it.
    Wait {
        /// Bodies that must drop what they hold.
        victims: Vec<u64>,
    },
}

/// The memory for request bodies, and who holds it.
#[derive(Debug)]
pub struct BodyBudget {
    /// Configured size.
    base: usize,
    /// Largest body that the configuration allows.
    max_body: usize,
    held: usize,
    unsized_held: usize,
    /// Bytes held by bodies that are given up and not yet dropped.
    leaving: usize,
    unsized_leaving: usize,
    /// Sorted by id, since ids rise.
    entries: Vec<Entry>,
    next: u64,
    mean_hold: Duration,
}

impl BodyBudget {
    /// Memory of `base` bytes, of which nothing is held.
    pub fn new(base: usize) -> Self {
        Self {
            base,
            max_body: 0,
            held: 0,
            unsized_held: 0,
            leaving: 0,
            unsized_leaving: 0,
            entries: Vec::new(),
            next: 0,
            mean_hold: FIRST_MEAN_HOLD,
        }
    }

    /// Bytes held by all bodies.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Number of bodies.
    pub fn bodies(&self) -> usize {
        self.entries.len()
    }

    /// Size of the memory. One body of the largest allowed length fits in any case.
    fn total(&self) -> usize {
        self.base.max(self.max_body)
    }

    /// Adds a body that holds nothing yet; `len` is the length that its head announced.
    pub fn open(&mut self, len: Option<usize>, max_body: usize, now: Time) -> u64 {
        self.max_body = max_body;
        let id = self.next;
        self.next += 1;
        let (state, bytes) = (State::Reading, 0);
        self.entries.push(Entry { id, bytes, len, state, opened: now, heard: now });
        id
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.entries.binary_search_by_key(&id, |e| e.id).ok()
    }

    /// What is missing for `more` bytes: of all memory, and of that for bodies without a length.
    fn missing(&self, sized: bool, more: usize) -> (usize, usize) {
        let total = self.total();
        let all = (self.held + more).saturating_sub(total);
        // Each kind has room for one largest body, as far as there is memory for both.
        let share = (total as f64 * UNSIZED_SHARE) as usize;
        let share = share.min(total - self.max_body.min(total)).max(self.max_body.min(total));
        let unsized_bytes = if sized { 0 } else { self.unsized_held + more };
        (all, unsized_bytes.saturating_sub(share))
    }

    /// Reserves `bytes` more for a body that has just received bytes or waits.
    pub fn grow(&mut self, id: u64, bytes: usize, now: Time) -> Grow {
        let Some(at) = self.position(id) else { return Grow::Granted };
        let entry = &mut self.entries[at];
        if entry.state == State::Settled {
            return Grow::Wait { victims: Vec::new() };
        }
        let (sized, state) = (entry.is_sized(), &mut entry.state);
        // Time spent waiting for memory is no silence of the client.
        (*state, entry.heard) = (State::Waiting, now);
        let (all, of_unsized) = self.missing(sized, bytes);
        if all == 0 && of_unsized == 0 {
            let entry = &mut self.entries[at];
            entry.state = State::Reading;
            entry.bytes += bytes;
            self.held += bytes;
            self.unsized_held += if sized { 0 } else { bytes };
            return Grow::Granted;
        }
        let mut victims = Vec::new();
        while self.leaving < all || self.unsized_leaving < of_unsized {
            let only_unsized = self.leaving >= all;
            let stalled =
                |e: &Entry| e.state == State::Reading && now.since(e.heard) >= STALL_TIMEOUT;
            let Some(victim) = self.worst(only_unsized, now, stalled) else { break };
            self.give_up(victim);
            victims.push(victim);
        }
        Grow::Wait { victims }
    }

    /// Decides what happens after a body waited for [`WAIT_TIMEOUT`]: the bodies to give up, which may
    /// include the waiting one. None are needed where enough others are being given up.
    ///
    /// So many waiting bodies are given up that the others can be read to their end: with one at a
    /// time, a crowd that holds all the memory in parts would wait until its deadlines.
    pub fn wait_over(&mut self, id: u64, bytes: usize, now: Time) -> Vec<u64> {
        let sized = self.position(id).is_none_or(|at| self.entries[at].is_sized());
        let (all, of_unsized) = self.missing(sized, bytes);
        let mut victims = Vec::new();
        if self.leaving >= all && self.unsized_leaving >= of_unsized {
            return victims;
        }
        let only_unsized = self.leaving >= all;
        let incomplete = |e: &Entry| e.state != State::Settled;
        let mut next = Some(self.worst(only_unsized, now, incomplete).unwrap_or(id));
        while let Some(victim) = next {
            self.give_up(victim);
            victims.push(victim);
            let waits = |e: &Entry| e.state == State::Waiting;
            next = match self.waiting_can_end(only_unsized) {
                true => None,
                false => self.worst(only_unsized, now, waits),
            };
        }
        victims
    }

    /// Whether the bodies that wait with a part of the memory find the rest in what is free, in what
    /// is being given up, and in what running requests release.
    fn waiting_can_end(&self, only_unsized: bool) -> bool {
        let entries = || self.entries.iter().filter(|e| !only_unsized || !e.is_sized());
        let waiting = entries().filter(|e| e.state == State::Waiting && e.bytes > 0);
        let remaining: usize = waiting.map(Entry::remaining).sum();
        let settled: usize = entries().filter(|e| e.state == State::Settled).map(|e| e.bytes).sum();
        let free = if only_unsized { 0 } else { self.total().saturating_sub(self.held) };
        remaining <= free + settled
    }

    fn worst<F>(&self, only_unsized: bool, now: Time, may: F) -> Option<u64>
    where
        F: Fn(&Entry) -> bool,
    {
        let entries = self.entries.iter().filter(|e| e.bytes > 0 && may(e));
        let entries = entries.filter(|e| !only_unsized || !e.is_sized());
        entries.max_by_key(|e| e.rank(now)).map(|e| e.id)
    }

    /// Marks a body as given up. Its memory counts as held until it is dropped.
    fn give_up(&mut self, id: u64) {
        let Some(at) = self.position(id) else { return };
        let entry = &mut self.entries[at];
        entry.state = State::Settled;
        // The mean is of bodies that were not given up.
        entry.opened = Time::NEVER;
        self.leaving += entry.bytes;
        self.unsized_leaving += if entry.is_sized() { 0 } else { entry.bytes };
    }

    /// Whether a body must drop what it holds.
    pub fn is_given_up(&self, id: u64) -> bool {
        self.position(id).is_some_and(|at| self.entries[at].is_given_up())
    }

    /// Records that bytes of a body arrived.
    pub fn record_arrival(&mut self, id: u64, now: Time) {
        if let Some(at) = self.position(id) {
            self.entries[at].heard = now;
        }
    }

    /// Records that all of a body arrived and takes `bytes` from now on, at most what it held.
    /// Returns false if it was given up before.
    pub fn complete(&mut self, id: u64, bytes: usize) -> bool {
        let Some(at) = self.position(id) else { return true };
        let entry = &mut self.entries[at];
        if entry.state == State::Settled {
            return false;
        }
        entry.state = State::Settled;
        let spare = entry.bytes.saturating_sub(bytes);
        entry.bytes -= spare;
        self.held -= spare;
        self.unsized_held -= if entry.is_sized() { 0 } else { spare };
        true
    }

    /// Releases what a body holds.
    pub fn close(&mut self, id: u64, now: Time) {
        let Some(at) = self.position(id) else { return };
        let entry = self.entries.remove(at);
        let of_unsized = if entry.is_sized() { 0 } else { entry.bytes };
        self.held -= entry.bytes;
        self.unsized_held -= of_unsized;
        if entry.is_given_up() {
            self.leaving -= entry.bytes;
            self.unsized_leaving -= of_unsized;
            return;
        }
        let time = now.since(entry.opened);
        self.mean_hold = self.mean_hold.mul_f64(1.0 - MEAN_WEIGHT) + time.mul_f64(MEAN_WEIGHT);
    }

    /// The time after which `bytes` are expected to be free. By Little's law, bodies release what is
    /// held within the mean time for which each is held.
    pub fn retry_delay(&self, bytes: usize) -> Duration {
        let share = bytes as f64 / self.held.max(1) as f64;
        self.mean_hold.mul_f64(share.min(1.0)).clamp(WAIT_TIMEOUT, MAX_RETRY_DELAY)
    }
}
