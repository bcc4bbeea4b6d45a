//! The process clock and random numbers.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use entry::RandomSource;
use ident::{Boot, Clock, Time};

/// A clock that reads the wall clock once, at start, and is monotonic from then on.
pub struct ProcessClock {
    /// Wall clock time at `start`.
    start_time: Time,
    start: Instant,
}

impl ProcessClock {
    /// Creates a clock that starts at the current wall clock time.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start_time: Time(0).after(since_epoch), start: Instant::now() }
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ProcessClock {
    fn now(&self) -> Time {
        self.start_time.after(self.start.elapsed())
    }
}

/// Random numbers from a generator that the operating system seeds.
pub struct Random;

impl RandomSource for Random {
    fn next_u64(&self) -> u64 {
        rand::random()
    }
}

/// Draws a random identifier for this run of the process.
pub(crate) fn new_boot() -> Boot {
    Boot(rand::random())
}
