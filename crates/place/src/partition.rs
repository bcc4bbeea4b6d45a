//! The division of a target's engines between short and long prompts.
//!
//! The load that it handles: short prompts that keep more than a quarter of the engines busy, for
//! example 1,500 a second at 112 engines of 12 slots, while the engines for long prompts have free
//! slots. One instance sends about one request in a hundred, so replicas' reports give the demand,
//! and the instance's own requests only tell short prompts from long ones in them.

use std::{sync::Arc, time::Duration};

use fleet::Engine;
use ident::{Time, rendezvous_order};

use crate::{Pool, pool::Entry};

/// One in this many engines of a target serves short prompts, whatever the demand. Long prompts
/// evict the parts of short ones from an engine's memory within seconds, and each prefill chunk of a
/// long prompt delays all short prompts at the same engine.
const MIN_SHORT_DIVISOR: usize = 4;
/// Share of the slots of the engines for short prompts that may be busy on average. Reports are old
/// and contexts uneven, so single engines are full before all are. In a simulated burst of 2.5
/// times the usual rate, 0.8 leaves 0.08 of the short prompts late, and 0.7 leaves 0.17 of the long
/// ones late.
const TARGET_OCCUPANCY: f64 = 0.75;
/// Share of the KV cache of the engines for long prompts that requests may need on average.
const TARGET_MEMORY: f64 = 0.75;
/// Interval between two observations of the demand.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant with which the demand follows higher observations. Short prompts have goals of a
/// few hundred ms.
const RISE_TIME: Duration = Duration::from_millis(300);
/// Time constant with which the demand follows lower observations. Each change moves contexts to
/// engines that have to prefill them again.
const FALL_TIME: Duration = Duration::from_secs(5);
/// Time constant of the mix of this instance's own requests: with 7 requests a second, 10 s give a
/// sample of 70.
const MIX_TIME: Duration = Duration::from_secs(10);
/// Own requests of a part's class that are assumed before any were observed.
const MIX_PRIOR: f64 = 0.5;

/// Requests at the engines of one part of a target, at one time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PartLoad {
    /// Engines' worth of slots that are in use, as reported or counted.
    pub(crate) busy: f64,
    /// Requests that run or wait, as reported or counted.
    pub(crate) requests: f64,
    /// This instance's own short prompts.
    pub(crate) own_short: f64,
    /// This instance's own long prompts.
    pub(crate) own_long: f64,
}

/// The demand of short and long prompts at the engines of one target.
#[derive(Debug)]
pub(crate) struct Demand {
    pub(crate) target: Arc<str>,
    /// Engines that short prompts keep busy.
    short: f64,
    /// Long prompts that run or wait.
    long: f64,
    /// Own short and long prompts in flight on average, at the engines for short prompts and at the
    /// others.
    mix: [(f64, f64); 2],
    observed: Time,
}

impl Demand {
    fn new(target: &Arc<str>) -> Self {
        let target = target.clone();
        Self { target, short: 0.0, long: 0.0, mix: [(0.0, 0.0); 2], observed: Time(0) }
    }

    /// Whether the next observation is due.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        now.since(self.observed) >= OBSERVE_INTERVAL
    }

    /// Records the load of the engines for short prompts and of the others.
    pub(crate) fn observe(&mut self, parts: [PartLoad; 2], now: Time) {
        let elapsed = now.since(self.observed);
        self.observed = now;
        let (mut short, mut long) = (0.0, 0.0);
        for (at, part) in parts.into_iter().enumerate() {
            let (own_short, own_long) = &mut self.mix[at];
            approach(own_short, part.own_short, elapsed, MIX_TIME);
            approach(own_long, part.own_long, elapsed, MIX_TIME);
            let prior = if at == 0 { MIX_PRIOR } else { 0.0 };
            let share = (*own_short + prior) / (*own_short + *own_long + MIX_PRIOR);
            short += part.busy * share;
            long += part.requests * (1.0 - share);
        }
        let time = if short > self.short { RISE_TIME } else { FALL_TIME };
        approach(&mut self.short, short, elapsed, time);
        approach(&mut self.long, long, elapsed, FALL_TIME);
    }

    /// Number of engines for short prompts, of `count` engines whose KV cache holds
    /// `long_capacity` typical long prompts each. Where both kinds need more than there are, each
    /// gets its share of the need.
    pub(crate) fn short_count(&self, count: usize, long_capacity: f64) -> usize {
        let least = least_short_count(count);
        let needed = self.short / TARGET_OCCUPANCY;
        if needed <= least as f64 || least == 0 {
            return least;
        }
        let long = self.long / (long_capacity * TARGET_MEMORY).max(1.0);
        let all = count as f64;
        let needed = if needed + long > all { all * needed / (needed + long) } else { needed };
        (needed.ceil() as usize).clamp(least, count)
    }
}

/// Number of engines for short prompts that is always reserved, of `count` engines.
pub(crate) fn least_short_count(count: usize) -> usize {
    count / MIN_SHORT_DIVISOR
}

fn approach(value: &mut f64, seen: f64, elapsed: Duration, time: Duration) {
    *value += (seen - *value) * (1.0 - (-elapsed.as_secs_f64() / time.as_secs_f64()).exp());
}

/// Returns the ids of the first `count` engines that serve short prompts, sorted.
pub(crate) fn first_engines<'e>(target: &str, entries: &[&'e Entry], count: usize) -> Vec<&'e str> {
    let order = rendezvous_order(target.as_bytes(), entries, |e| &e.replica.id);
    let mut out: Vec<&str> = order.iter().take(count).map(|e| &*e.replica.id).collect();
    out.sort_unstable();
    out
}

impl Pool {
    /// Number of a target's engines that serve short prompts.
    pub(crate) fn short_count(&self, target: &str, engine: Option<&Engine>, count: usize) -> usize {
        let found = self.demands.binary_search_by(|d| (*d.target).cmp(target));
        let Ok(at) = found else { return least_short_count(count) };
        let memory = self.typical[1].map_or(0.0, |(_, memory)| memory);
        let capacity = engine.map_or(f64::MAX, |e| e.capacity_tokens as f64);
        self.demands[at].short_count(count, capacity / memory.max(1.0))
    }

    /// Observes the demand at the engines of each target where that is due.
    pub(crate) fn observe_demand(&mut self, now: Time) {
        let mut demands = std::mem::take(&mut self.demands);
        for demand in demands.iter_mut().filter(|d| d.is_due(now)) {
            let takes = |e: &&Entry| e.replica.target == demand.target && !e.replica.leaving;
            let entries: Vec<&Entry> = self.entries.iter().filter(takes).collect();
            let count = demand.short_count(entries.len(), f64::MAX);
            let short = first_engines(&demand.target, &entries, count);
            let mut parts = [PartLoad::default(); 2];
            for entry in entries {
                let is_short = short.binary_search(&&*entry.replica.id).is_ok();
                let part = &mut parts[usize::from(!is_short)];
                let requests = f64::from(self.requests(entry, now));
                part.busy += (requests / f64::from(entry.replica.slots.max(1))).min(1.0);
                part.requests += requests;
                part.own_long += f64::from(entry.own_long);
                part.own_short += f64::from(entry.own.requests.saturating_sub(entry.own_long));
            }
            demand.observe(parts, now);
        }
        self.demands = demands;
    }

    /// Keeps one demand for each target with engines.
    pub(crate) fn sync_demands(&mut self) {
        let engines = self.entries.iter().filter(|e| !e.replica.models.is_empty());
        let mut targets: Vec<Arc<str>> = engines.map(|e| e.replica.target.clone()).collect();
        targets.sort();
        targets.dedup();
        self.demands.retain(|d| targets.binary_search(&d.target).is_ok());
        for target in targets {
            if let Err(at) = self.demands.binary_search_by(|d| d.target.cmp(&target)) {
                self.demands.insert(at, Demand::new(&target));
            }
        }
    }
}
