//! The policy in use: chooses the replica and plan with the lowest cost among a few candidates.

use std::time::Duration;

use ident::{Name, Time};

use crate::{
    Averages, Choice, Links, Plan, Policy, Pool, Reason, Replica, RouteError, RoutingRequest,
    policy::{candidates, jitter},
};

/// Additional time to reach a replica in another zone.
const CROSS_ZONE_DELAY: Duration = Duration::from_millis(2);
/// Margin before the deadline, as a share of the expected time to first token.
const DEADLINE_MARGIN_RATIO: f64 = 0.5;
/// Number of random candidates in addition to the hot replica.
const RANDOM_CANDIDATES: usize = 2;

/// Compares the hot replica and two random ones, each with all plans that it can run. The cost is
/// the time to first token and the recomputed share of the prompt, weighted as the team configured.
#[derive(Debug, Default)]
pub struct Cost;

impl Policy for Cost {
    fn choose(
        &mut self,
        pool: &Pool,
        links: &Links,
        request: &RoutingRequest<'_>,
        random_bits: u64,
        now: Time,
    ) -> Result<Choice, RouteError> {
        let found = candidates(pool, request, random_bits, now)?;
        let averages = pool.averages(found.iter().copied());
        let evaluator = Evaluator { links, request, averages, now };
        let mut best: Option<Candidate> = None;
        for replica in shortlist(&found, request, random_bits) {
            for candidate in evaluator.candidates(replica) {
                if best.as_ref().is_none_or(|b| candidate.beats(b)) {
                    best = Some(candidate);
                }
            }
        }
        let best = best.expect("the shortlist has no candidate");
        if best.first > request.deadline {
            let over = best.first.since(request.deadline);
            let retry_at = jitter(now.after(over), random_bits, now);
            return Err(RouteError { reason: Reason::Late, retry_at });
        }
        Ok(best.choice(now))
    }

    fn name(&self) -> &'static str {
        "ours"
    }
}

/// Returns the hot replica, if it is a candidate, and others chosen by `random_bits`.
fn shortlist<'p>(
    found: &[&'p Replica],
    request: &RoutingRequest<'_>,
    random_bits: u64,
) -> Vec<&'p Replica> {
    let mut out: Vec<&Replica> = Vec::with_capacity(RANDOM_CANDIDATES + 1);
    if let Some(hot) = &request.hot {
        out.extend(found.iter().find(|r| r.name == hot.replica));
    }
    let (first, step) = (random_bits as u32 as usize, (random_bits >> 32) as usize);
    for i in 0..RANDOM_CANDIDATES.min(found.len()) {
        let at = match i {
            0 => first % found.len(),
            _ => (first % found.len() + 1 + step % (found.len() - 1)) % found.len(),
        };
        if out.iter().all(|r| r.name != found[at].name) {
            out.push(found[at]);
        }
    }
    out
}

/// A replica with a plan and its cost.
struct Candidate<'p> {
    replica: &'p Replica,
    plan: Plan,
    /// Prompt tokens expected to be computed.
    tokens: u32,
    /// Expected time of the first token.
    first: Time,
    /// Whether the first token is expected before the deadline, including the margin.
    is_safe: bool,
    cost: f64,
}

impl Candidate<'_> {
    /// Whether this candidate is better than `other`. A safe candidate is better than one that
    /// isn't. Of two safe candidates the one with the lower cost is better, of two others the
    /// earlier one.
    fn beats(&self, other: &Self) -> bool {
        match (self.is_safe, other.is_safe) {
            (true, true) => self.cost < other.cost,
            (false, false) => self.first < other.first,
            (safe, _) => safe,
        }
    }

    fn choice(self, now: Time) -> Choice {
        Choice {
            replica: self.replica.name.clone(),
            addr: self.replica.addr,
            plan: self.plan,
            tokens: self.tokens,
            first_token: self.first,
            probe: self.replica.health_state(now) != crate::health::HealthState::Healthy,
        }
    }
}

struct Evaluator<'a> {
    links: &'a Links,
    request: &'a RoutingRequest<'a>,
    averages: Averages,
    now: Time,
}

impl Evaluator<'_> {
    fn candidates<'p>(&self, replica: &'p Replica) -> Vec<Candidate<'p>> {
        let mut out =
            vec![self.candidate(replica, Plan::Recompute, f64::from(self.request.tokens), None)];
        out.extend(self.hot(replica));
        out.extend(self.import(replica));
        out
    }

    fn hot<'p>(&self, replica: &'p Replica) -> Option<Candidate<'p>> {
        let hot =
            self.request.hot.as_ref().filter(|h| h.replica == replica.name && h.pieces > 0)?;
        let all = f64::from(self.request.tokens);
        let saved = all - f64::from(self.request.remaining_tokens(hot.pieces));
        let tokens = all - saved * f64::from(hot.trust.min(100)) / 100.0;
        Some(self.candidate(replica, Plan::Hot { pieces: hot.pieces }, tokens, None))
    }

    fn import<'p>(&self, replica: &'p Replica) -> Option<Candidate<'p>> {
        let stored = self.request.stored.as_ref().filter(|s| s.pieces > 0)?;
        let window =
            self.links.window(&stored.store, stored.bytes, self.request.class, self.now)?;
        let (store, pieces, bytes): (Name, _, _) =
            (stored.store.clone(), stored.pieces, stored.bytes);
        let plan = Plan::Import { store, pieces, bytes };
        let tokens = f64::from(self.request.remaining_tokens(pieces));
        Some(self.candidate(replica, plan, tokens, Some(window.end)))
    }

    /// Returns the candidate for `plan`. An import that ends at `import` runs while the request is
    /// queued; the prefill starts after both.
    fn candidate<'p>(
        &self,
        replica: &'p Replica,
        plan: Plan,
        tokens: f64,
        import: Option<Time>,
    ) -> Candidate<'p> {
        let tokens = tokens.ceil() as u32;
        let mut wait = replica.queue(self.request.class, &self.averages, self.now);
        if replica.zone != *self.request.zone {
            wait += CROSS_ZONE_DELAY;
        }
        let ready = self.now.after(wait).max(import.unwrap_or(self.now));
        let first = ready.after(replica.prefill(tokens));
        let share = f64::from(tokens) / f64::from(self.request.tokens.max(1));
        let value = self.request.value;
        let cost = f64::from(value.latency) * first.since(self.now).as_secs_f64()
            + f64::from(value.recompute) * share;
        let margin = first.since(self.now).mul_f64(DEADLINE_MARGIN_RATIO);
        let is_safe = first.after(margin) <= self.request.deadline;
        Candidate { replica, plan, tokens, first, is_safe, cost }
    }
}
