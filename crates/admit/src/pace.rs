//! The pace at which queued requests start.

use std::time::Duration;

use ident::Time;

/// Weight of a new start in the moving averages.
const ALPHA: f64 = 0.1;
/// Starts from which the pace is known. The estimate from fewer is off by more than a third.
const MIN_STARTS: u32 = 9;
/// Time without a start after which an earlier pace says nothing.
const PACE_TTL: Duration = Duration::from_secs(10);

/// The measured pace of a queue: work started per time while requests wait.
#[derive(Debug, Default)]
pub(crate) struct Pace {
    /// Moving average of the work of a start, in seconds.
    work: f64,
    /// Moving average of the time between two starts while requests wait, in seconds.
    gap: f64,
    starts: u32,
    /// The last start, or when the queue was last empty before it.
    last: Time,
}

impl Pace {
    /// Records that the first request is queued.
    pub(crate) fn begin(&mut self, now: Time) {
        if now.since(self.last) >= PACE_TTL {
            self.starts = 0;
        }
        self.last = now;
    }

    /// Records that a queued request starts.
    pub(crate) fn started(&mut self, work: Duration, now: Time) {
        // The first averages are plain means.
        let weight = ALPHA.max(1.0 / f64::from(self.starts + 1));
        self.work += (work.as_secs_f64() - self.work) * weight;
        self.gap += (now.since(self.last).as_secs_f64() - self.gap) * weight;
        self.starts = self.starts.saturating_add(1);
        self.last = now;
    }

    /// Expected time until `work` has started; `None` if the pace is not known.
    pub(crate) fn time_for(&self, work: Duration, now: Time) -> Option<Duration> {
        if self.starts < MIN_STARTS || now.since(self.last) >= PACE_TTL {
            return None;
        }
        let per_work = self.gap / self.work.max(1e-6);
        Some(Duration::from_secs_f64((work.as_secs_f64() * per_work).min(1e6)))
    }

    /// The shortest time until `work` has started that is likely: the mean of `n` gaps is off by more
    /// than two standard errors, `2 / sqrt(n)` of it, in one of twenty cases.
    pub(crate) fn least_time_for(&self, work: Duration, now: Time) -> Option<Duration> {
        let n = f64::from(self.starts).min(2.0 / ALPHA);
        Some(self.time_for(work, now)?.div_f64(1.0 + 2.0 / n.sqrt()))
    }
}
