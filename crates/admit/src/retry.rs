//! The retry budget of an instance.

use std::time::Duration;

use ident::Time;

/// Retries that one admitted request adds to the budget. For n admitted requests
/// there are at most `0.08 n + MAX_DEBT` retries, so the number of attempts stays within 1.1 per
/// admitted request after the first 100 requests.
const RETRY_RATIO: f64 = 0.08;
/// Largest number of unused retries in the budget.
const MAX_CREDIT: f64 = 10.0;
/// Largest number of retries taken in advance, so that an instance with few requests can retry.
const MAX_DEBT: f64 = 1.0;
/// Shortest time between two retries taken in advance.
const DEBT_INTERVAL: Duration = Duration::from_secs(10);

/// Allows retries for less than a tenth of the admitted requests. One retry may be taken in
/// advance.
///
/// Invariant: `credit` is between `-MAX_DEBT` and `MAX_CREDIT`.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Retries that may be taken; negative after a retry taken in advance.
    credit: f64,
    /// Earliest time of the next retry in advance.
    next_advance: Time,
}

impl RetryBudget {
    /// Records an admitted request. Must not be called for its retries.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + RETRY_RATIO).min(MAX_CREDIT);
    }

    /// Takes one retry from the budget. Returns false if none is left; the request must not be
    /// retried then.
    pub fn try_retry(&mut self, now: Time) -> bool {
        if self.credit >= 1.0 {
            self.credit -= 1.0;
            return true;
        }
        let in_advance = self.credit - 1.0 >= -MAX_DEBT && self.next_advance.passed(now);
        if in_advance {
            self.credit -= 1.0;
            self.next_advance = now.after(DEBT_INTERVAL);
        }
        assert!(self.credit >= -MAX_DEBT, "the debt of the retry budget exceeds its limit");
        in_advance
    }
}
