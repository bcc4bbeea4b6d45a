//! How fast the replicas of a target work, from measured times and from the pace that they report.
//!
//! The load that it handles: replicas share machines with other work, for example 15 % of them take
//! 2.5 times as long for 600 ms. Only targets whose replicas report a pace have a [`Speed`]; for the
//! others nothing is learned, and requests are placed by counts.

use std::{sync::Arc, time::Duration};

use ident::Time;

use crate::{Pool, pool::Entry};

/// Prompt tokens that an engine prefills per ms, until its target's speed is learned.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 45.0;
/// Learned speeds differ from [`PREFILL_TOKENS_PER_MS`] by at most this factor, so that a few odd
/// times don't spoil the choice.
const MAX_SPEED_FACTOR: f64 = 8.0;
/// Variance of prompt lengths that the initial speed counts for, in square tokens.
const PRIOR_VARIANCE: f64 = 1e6;
/// Least squared difference from the mean length, in square tokens, with which a prompt counts for
/// the speed.
const MIN_VARIANCE: f64 = 250_000.0;
/// Weight of a new measurement in the speed: other requests at the engine add up to a few hundred ms.
const SPEED_WEIGHT: f64 = 0.02;
/// Weight of a new measurement in the other figures.
const WEIGHT: f64 = 0.05;
/// Time in a slot that is assumed before any was measured, in ms.
const INITIAL_SLOT_MS: f64 = 200.0;
/// Time constant with which a reported pace wears off. Where slow phases last 600 ms, one that was
/// observed goes on for 300 ms on average.
const PACE_TIME: Duration = Duration::from_millis(300);
/// Weight of a new report in a replica's mean number of requests.
pub(crate) const USUAL_WEIGHT: f64 = 0.1;
/// Time constant with which a reported number of requests tends to the replica's mean.
const REQUESTS_TIME: Duration = Duration::from_millis(1200);

/// What was learned of the replicas of one target.
#[derive(Debug)]
pub(crate) struct Speed {
    target: Arc<str>,
    /// Mean time in a slot at the usual pace, in ms, of short and of long prompts. Requests without
    /// a prompt count as short.
    slot_ms: [Option<f64>; 2],
    /// Mean prompt tokens to prefill and time to the first byte at the usual pace, of long prompts.
    /// The prefill of short ones takes less time than one step of an engine.
    first: Option<(f64, f64)>,
    /// Covariance of time and tokens, and variance of tokens, around those means.
    moments: (f64, f64),
}

/// What is expected of a replica now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Requests that run or wait.
    pub(crate) requests: f64,
    /// How long work takes, as a multiple of the usual time.
    pub(crate) slowdown: f64,
    /// Requests that the replica runs at once; 0 if unknown.
    pub(crate) slots: u32,
}

impl Speed {
    fn new(target: &Arc<str>) -> Self {
        let moments = (PRIOR_VARIANCE / PREFILL_TOKENS_PER_MS, PRIOR_VARIANCE);
        let target = target.clone();
        Self { target, slot_ms: [None; 2], first: None, moments }
    }

    /// Prompt tokens that an engine prefills per ms at the usual pace.
    pub(crate) fn prefill_rate(&self) -> f64 {
        let (covariance, variance) = self.moments;
        let (low, high) =
            (PREFILL_TOKENS_PER_MS / MAX_SPEED_FACTOR, PREFILL_TOKENS_PER_MS * MAX_SPEED_FACTOR);
        if covariance <= 0.0 { high } else { (variance / covariance).clamp(low, high) }
    }

    /// Time that a request takes in a slot at the usual pace, in ms.
    pub(crate) fn slot_ms(&self, is_long: bool) -> f64 {
        let [short, long] = self.slot_ms;
        let known = if is_long { long.or(short) } else { short.or(long) };
        known.unwrap_or(INITIAL_SLOT_MS)
    }

    fn record_first(&mut self, tokens: f64, ms: f64) {
        let (mean_tokens, mean_ms) = self.first.get_or_insert((tokens, ms));
        let (more_tokens, more_ms) = (tokens - *mean_tokens, ms - *mean_ms);
        *mean_tokens += more_tokens * WEIGHT;
        *mean_ms += more_ms * WEIGHT;
        let (covariance, variance) = &mut self.moments;
        // Prompts of about the same length tell nothing of the speed.
        if more_tokens * more_tokens >= MIN_VARIANCE {
            *covariance += (more_tokens * more_ms - *covariance) * SPEED_WEIGHT;
            *variance += (more_tokens * more_tokens - *variance) * SPEED_WEIGHT;
        }
    }

    fn record_end(&mut self, is_long: bool, ms: f64) {
        let mean = self.slot_ms[usize::from(is_long)].get_or_insert(ms);
        *mean += (ms - *mean) * WEIGHT;
    }
}

impl Pool {
    /// What was learned of a target; `None` if its replicas report no pace.
    pub(crate) fn speed(&self, target: &str) -> Option<&Speed> {
        let found = self.speeds.binary_search_by(|s| (*s.target).cmp(target));
        found.ok().map(|at| &self.speeds[at])
    }

    fn speed_mut(&mut self, target: &str) -> Option<&mut Speed> {
        let found = self.speeds.binary_search_by(|s| (*s.target).cmp(target));
        found.ok().map(|at| &mut self.speeds[at])
    }

    /// Begins to learn of a target, a replica of which has named a pace.
    pub(crate) fn learn_speed(&mut self, target: &Arc<str>) {
        if let Err(at) = self.speeds.binary_search_by(|s| s.target.cmp(target)) {
            self.speeds.insert(at, Speed::new(target));
        }
    }

    /// Target and slowdown of a replica whose requests do not wait.
    fn measured(&self, id: &str, now: Time) -> Option<(Arc<str>, f64)> {
        let at = self.entries.binary_search_by(|e| (*e.replica.id).cmp(id)).ok()?;
        let entry = &self.entries[at];
        let (load, _) = entry.reported.filter(|(load, _)| load.waiting == 0)?;
        load.pace?;
        Some((entry.replica.target.clone(), slowdown(entry, now)))
    }

    /// Learns from the time until the first byte of the answer to a long prompt, of which `tokens`
    /// were to be prefilled.
    pub fn record_first_byte(&mut self, id: &str, tokens: u64, time: Duration, now: Time) {
        let Some((target, slowdown)) = self.measured(id, now).filter(|_| tokens > 0) else {
            return;
        };
        let ms = time.as_secs_f64() * 1000.0 / slowdown;
        if let Some(speed) = self.speed_mut(&target) {
            speed.record_first(tokens as f64, ms);
        }
    }

    /// Learns from the time that a request took at a replica, from its sending to the end of its
    /// answer.
    pub fn record_end(&mut self, id: &str, is_long: bool, time: Duration, now: Time) {
        let Some((target, slowdown)) = self.measured(id, now) else { return };
        let ms = time.as_secs_f64() * 1000.0 / slowdown;
        if let Some(speed) = self.speed_mut(&target) {
            speed.record_end(is_long, ms);
        }
    }

    /// What is expected of a replica by its last report, this instance's requests since, and what
    /// peers have in flight. The older the report, the less it counts.
    pub(crate) fn estimate(&self, entry: &Entry, now: Time) -> Estimate {
        let counted = f64::from(self.total_load(entry, now).requests);
        let Some((load, at)) = entry.reported else {
            return Estimate { requests: counted, slowdown: 1.0, slots: entry.replica.slots };
        };
        let reported = f64::from(load.requests().saturating_add(entry.sent_since));
        let weight = decay(now.since(at), REQUESTS_TIME);
        let requests = reported * weight + entry.usual_requests * (1.0 - weight);
        let slots = if load.slots > 0 { load.slots } else { entry.replica.slots };
        Estimate { requests: requests.max(counted), slowdown: slowdown(entry, now), slots }
    }
}

fn slowdown(entry: &Entry, now: Time) -> f64 {
    entry
        .reported
        .map_or(1.0, |(load, at)| 1.0 + (load.slowdown() - 1.0) * decay(now.since(at), PACE_TIME))
}

fn decay(age: Duration, time: Duration) -> f64 {
    (-age.as_secs_f64() / time.as_secs_f64()).exp()
}
