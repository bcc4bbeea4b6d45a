//! The process clock and random numbers.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use entry::Draw;
use ident::{Boot, Clock, Time};

/// A clock anchored to the wall clock once, at start, and monotonic from then on.
pub struct ProcessClock {
    anchor: Time,
    start: Instant,
}

impl ProcessClock {
    /// Anchors a clock now.
    pub fn new() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { anchor: Time(0).after(since), start: Instant::now() }
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ProcessClock {
    fn now(&self) -> Time {
        self.anchor.after(self.start.elapsed())
    }
}

/// Random numbers from the operating system's seed.
pub struct Random;

impl Draw for Random {
    fn draw(&self) -> u64 {
        rand::random()
    }
}

/// A new process life.
pub(crate) fn boot() -> Boot {
    Boot(rand::random())
}
