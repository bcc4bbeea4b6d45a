//! Budget of retries.

use std::time::Duration;

use ident::Time;

/// Retries earned by one admitted request.
const RATIO: f64 = 0.1;
/// Most retries saved up.
const MAX_SAVED: f64 = 20.0;
/// With nothing saved, one retry is allowed per this time, so that a quiet instance can retry.
const FLOOR_PAUSE: Duration = Duration::from_secs(10);

/// Allows retries for a tenth of the admitted work and one in ten seconds besides.
///
/// Invariant: `saved` is between 0 and [`MAX_SAVED`].
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: f64,
    /// The next retry without savings is allowed from this time on.
    floor: Time,
}

impl RetryBudget {
    /// Notes an admitted request, not counting its retries.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RATIO).min(MAX_SAVED);
    }

    /// Takes one retry; false when none is left, and the request must be given up.
    pub fn withdraw(&mut self, now: Time) -> bool {
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return true;
        }
        if self.floor.passed(now) {
            self.floor = now.after(FLOOR_PAUSE);
            return true;
        }
        false
    }
}
