//! Budget of retries.

use std::time::Duration;

use ident::Time;

/// Retries earned by one admitted request. With the savings and the debt below, tries stay within
/// 1.1 for each admitted request from the first hundred on.
const RATIO: f64 = 0.08;
/// Most retries saved up.
const MAX_SAVED: f64 = 10.0;
/// Most retries taken in advance, so that a quiet instance can retry.
const MAX_DEBT: f64 = 1.0;
/// Least time between two retries taken in advance.
const DEBT_PAUSE: Duration = Duration::from_secs(10);

/// Allows retries for less than a tenth of the admitted work, of which one may come in advance.
///
/// Invariant: `saved` is between `-MAX_DEBT` and `MAX_SAVED`.
#[derive(Debug, Default)]
pub struct RetryBudget {
    saved: f64,
    /// The next retry in advance is allowed from this time on.
    next: Time,
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
        let in_advance = self.saved - 1.0 >= -MAX_DEBT && self.next.passed(now);
        if in_advance {
            self.saved -= 1.0;
            self.next = now.after(DEBT_PAUSE);
        }
        assert!(self.saved >= -MAX_DEBT, "the debt is bounded");
        in_advance
    }
}
