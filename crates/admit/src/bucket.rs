//! A token bucket that limits the rate of a team's requests.

use ident::Time;

/// Capacity of a bucket, in seconds of its rate. Requests arrive in bursts, and one of several
/// instances sees larger bursts than all together. A smaller capacity would refuse requests of
/// teams that are well below their limit.
const BURST_SECS: f64 = 10.0;

/// The token bucket. The rate is passed with each call, because a team's limit can change.
///
/// Invariant: `level` is between 0 and the burst of the rate last passed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bucket {
    /// Tokens in the bucket.
    level: f64,
    /// Time for which `level` holds.
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

    /// Whether the bucket has at least one token.
    pub(crate) fn has_token(&mut self, rate: f64, now: Time) -> bool {
        self.refill(rate, now);
        self.level >= 1.0
    }

    pub(crate) fn take(&mut self) {
        assert!(self.level >= 1.0, "a token is taken from an empty bucket");
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
