//! A token bucket.

use ident::Time;

/// Seconds of its rate that a bucket holds. Requests come in clumps, more so at one of several
/// instances: a shorter burst refuses teams well below their limit.
const BURST_SECS: f64 = 10.0;

/// Invariant: `level` is between 0 and the burst of the last rate seen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    level: f64,
    at: Time,
}

impl Bucket {
    pub(crate) fn full(rate: f64, now: Time) -> Self {
        Self { level: burst(rate), at: now }
    }

    fn refill(&mut self, rate: f64, now: Time) {
        let gained = rate * now.since(self.at).as_secs_f64();
        self.level = (self.level + gained).min(burst(rate));
        self.at = self.at.max(now);
    }

    /// Whether a token is there.
    pub(crate) fn has_token(&mut self, rate: f64, now: Time) -> bool {
        self.refill(rate, now);
        self.level >= 1.0
    }

    pub(crate) fn take(&mut self) {
        assert!(self.level >= 1.0, "no token is taken from an empty bucket");
        self.level -= 1.0;
    }

    pub(crate) fn is_full(&mut self, rate: f64, now: Time) -> bool {
        self.refill(rate, now);
        self.level >= burst(rate)
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_SECS).max(1.0)
}
