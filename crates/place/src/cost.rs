//! What a request costs at a replica.

use ident::Time;

use crate::{
    Permit, PlacementRequest, Pool,
    choice::Member,
    pool::Entry,
    speed::{Estimate, PREFILL_TOKENS_PER_MS, Speed},
};

/// Delay of a first token for each request that runs at the replica, in ms.
const RUNNING_COST_MS: f64 = 1.5;
/// Cost of each request beyond the number of an engine's slots, in ms.
const QUEUED_COST_MS: f64 = 50.0;
/// Cost of a replica that is not an engine and whose slots are all in use, in ms. The cost of other
/// loads is proportional.
const FULL_SLOTS_COST_MS: f64 = 100.0;
/// Part of its own time that a request at a replica whose slots are all in use is assumed to lose.
const SPREAD_SHARE: f64 = 0.25;
/// Cost of a cold replica, in ms: that of a replica whose slots are all in use.
const COLD_COST_MS: f64 = 100.0;
/// Cost of a replica in another zone, in ms.
const CROSS_ZONE_COST_MS: f64 = 3.0;
/// Cost of a fallback replica instead of the preferred one for the context, in ms, in addition to
/// the time of the transfer. 25 ms and 160 ms give a lower benchmark score; with 300 ms fewer
/// requests are answered in time.
const FALLBACK_COST_MS: f64 = 80.0;
/// Cost of memory that an engine would have to take from other requests, in ms for its whole
/// memory. The cost of smaller amounts is proportional.
const MEMORY_COST_MS: f64 = 4000.0;
/// Share of an engine's memory above which [`MEMORY_COST_MS`] applies.
const MEMORY_COST_THRESHOLD: f64 = 0.85;
/// Cost of a replica whose weights are not the newest, in ms.
const OLD_WEIGHTS_COST_MS: f64 = 150.0;
/// Cost of a short prompt at a replica for long prompts, in ms.
const SHORT_FALLBACK_COST_MS: f64 = 40.0;
/// Cost of a long prompt at a replica for short prompts, in ms.
const LONG_FALLBACK_COST_MS: f64 = 400.0;

/// Time until a slot is free at the usual pace, in ms, where typical requests take as long as short
/// or long prompts.
fn queue_ms(speed: &Speed, estimate: Estimate, slots: u32, is_long: bool) -> f64 {
    let slots = f64::from(if estimate.slots > 0 { estimate.slots } else { slots }.max(1));
    (estimate.requests + 1.0 - slots).max(0.0) * speed.slot_ms(is_long) / slots
}

/// Time until the answer of a replica that is not an engine, in ms. Of replicas with free slots, the
/// one with fewer requests comes first.
fn completion_ms(speed: &Speed, estimate: Estimate, is_long: bool) -> f64 {
    let queue = queue_ms(speed, estimate, 1, is_long);
    let own = speed.slot_ms(is_long);
    let spread = (estimate.requests / f64::from(estimate.slots.max(1))).min(1.0);
    (queue + own * (1.0 + spread * SPREAD_SHARE)) * estimate.slowdown
}

impl Pool {
    /// Expected delay of the first token, or of the answer if the replica is not an engine, in ms.
    pub(crate) fn cost(
        &self,
        member: &Member<'_>,
        preferred: Option<&Entry>,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> f64 {
        let entry = member.entry;
        let total = match request.engine {
            Some(_) => self.engine_load(entry, member.for_short, now),
            None => self.total_load(entry, now),
        };
        let zone = if &*entry.replica.zone == request.zone { 0.0 } else { CROSS_ZONE_COST_MS };
        let cold = if request.permit(entry) == Some(Permit::Cold) { COLD_COST_MS } else { 0.0 };
        let noise =
            (request.tie_breaker.wrapping_mul(entry.replica.addr.port().into()) % 64) as f64 / 64.0;
        let Some(engine) = request.engine else {
            let load = match self.speed(request.target) {
                Some(speed) => completion_ms(speed, self.estimate(entry, now), false),
                None => {
                    let load = f64::from(self.requests(entry, now)) + 1.0;
                    load / f64::from(entry.replica.slots.max(1)) * FULL_SLOTS_COST_MS
                }
            };
            return load + zone + cold + noise;
        };
        let is_preferred = preferred.is_some_and(|p| p.replica.id == entry.replica.id);
        // A limited replica gets few requests; those that are permitted should be used.
        let fallback = match is_preferred || request.shared_tokens == 0 {
            false if request.permit(entry) != Some(Permit::Now) => FALLBACK_COST_MS,
            _ => 0.0,
        };
        let transfer = request.shared_tokens as f64 * engine.token_bytes as f64 * 8.0
            / (engine.link_mbps * 1000.0);
        let transfer = if is_preferred { 0.0 } else { transfer };
        let own = request.load.prefill_tokens.saturating_sub(request.shared_tokens);
        let speed = self.speed(request.target);
        let rate = speed.map_or(PREFILL_TOKENS_PER_MS, Speed::prefill_rate);
        let prefill = (total.prefill_tokens + own) as f64 / rate;
        let capacity = engine.capacity_tokens.max(1) as f64;
        let over = ((total.memory_tokens + request.load.memory_tokens) as f64 / capacity
            - MEMORY_COST_THRESHOLD)
            .max(0.0);
        let old = match request.model {
            Some((model, newest)) if entry.version(model) < Some(newest) => OLD_WEIGHTS_COST_MS,
            _ => 0.0,
        };
        let work = match speed {
            Some(speed) => {
                let estimate = self.estimate(entry, now);
                let wait = queue_ms(speed, estimate, engine.slots, !member.for_short);
                let running = estimate.requests * RUNNING_COST_MS;
                (prefill + wait + running + speed.slot_ms(!request.is_short())) * estimate.slowdown
            }
            None => {
                let running = f64::from(self.requests(entry, now));
                let queued = (running + 1.0 - f64::from(engine.slots)).max(0.0) * QUEUED_COST_MS;
                prefill + queued + running * RUNNING_COST_MS
            }
        };
        let mismatch = match (request.is_short(), member.for_short) {
            (true, false) => SHORT_FALLBACK_COST_MS,
            (false, true) => LONG_FALLBACK_COST_MS,
            _ => 0.0,
        };
        work + transfer + over * MEMORY_COST_MS + fallback + zone + cold + noise + old + mismatch
    }
}
