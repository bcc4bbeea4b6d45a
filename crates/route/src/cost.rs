//! The policy in use: the cheapest of a few candidates and of import and recompute.

use std::time::Duration;

use ident::{Name, Time};

use crate::{
    Ask, Choice, Links, NoRoute, Plan, Policy, Pool, Reason, Replica, Usual,
    policy::{candidates, spread},
};

/// Extra time to reach a replica in another zone.
const CROSS_ZONE: Duration = Duration::from_millis(2);
/// Time to spare before the deadline, as a part of the expected time to first token.
const SLACK: f64 = 0.5;
/// Replicas drawn beside the hot one.
const DRAWN: usize = 2;

/// Weighs time to first token and recomputed share as the team does, over the hot replica and two
/// others drawn at random, each with the plans open to it.
#[derive(Debug, Default)]
pub struct Cost;

impl Policy for Cost {
    fn choose(
        &mut self,
        pool: &Pool,
        links: &Links,
        ask: &Ask<'_>,
        draw: u64,
        now: Time,
    ) -> Result<Choice, NoRoute> {
        let found = candidates(pool, ask, draw, now)?;
        let usual = pool.usual(found.iter().copied());
        let view = View { links, ask, usual, now };
        let mut best: Option<Candidate> = None;
        for replica in shortlist(&found, ask, draw) {
            for option in view.options(replica) {
                if best.as_ref().is_none_or(|b| option.beats(b)) {
                    best = Some(option);
                }
            }
        }
        let best = best.expect("every candidate can recompute");
        if best.first > ask.deadline {
            let over = best.first.since(ask.deadline);
            let retry_at = spread(now.after(over), draw, now);
            return Err(NoRoute { reason: Reason::Late, retry_at });
        }
        Ok(best.choice(now))
    }

    fn name(&self) -> &'static str {
        "ours"
    }
}

/// The hot replica, where it is a candidate, and others by `draw`.
fn shortlist<'p>(found: &[&'p Replica], ask: &Ask<'_>, draw: u64) -> Vec<&'p Replica> {
    let mut out: Vec<&Replica> = Vec::with_capacity(DRAWN + 1);
    if let Some(hot) = &ask.hot {
        out.extend(found.iter().find(|r| r.name == hot.replica));
    }
    let (first, step) = (draw as u32 as usize, (draw >> 32) as usize);
    for i in 0..DRAWN.min(found.len()) {
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
    tokens: u32,
    first: Time,
    /// Whether the first token is expected with some time to spare before the deadline.
    is_safe: bool,
    cost: f64,
}

impl Candidate<'_> {
    /// An option safely before the deadline goes before one that is not; else the cheaper one, or
    /// without any safe one the earlier one.
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
            probe: self.replica.standing(now) != crate::health::Standing::Live,
        }
    }
}

struct View<'a> {
    links: &'a Links,
    ask: &'a Ask<'a>,
    usual: Usual,
    now: Time,
}

impl View<'_> {
    fn options<'p>(&self, replica: &'p Replica) -> Vec<Candidate<'p>> {
        let mut out = vec![self.option(replica, Plan::Recompute, f64::from(self.ask.tokens), None)];
        out.extend(self.hot(replica));
        out.extend(self.import(replica));
        out
    }

    fn hot<'p>(&self, replica: &'p Replica) -> Option<Candidate<'p>> {
        let hot = self.ask.hot.as_ref().filter(|h| h.replica == replica.name && h.pieces > 0)?;
        let all = f64::from(self.ask.tokens);
        let saved = all - f64::from(self.ask.rest(hot.pieces));
        let tokens = all - saved * f64::from(hot.trust.min(100)) / 100.0;
        Some(self.option(replica, Plan::Hot { pieces: hot.pieces }, tokens, None))
    }

    fn import<'p>(&self, replica: &'p Replica) -> Option<Candidate<'p>> {
        let kept = self.ask.kept.as_ref().filter(|k| k.pieces > 0)?;
        let window = self.links.window(&kept.store, kept.bytes, self.ask.class, self.now)?;
        let (store, pieces, bytes): (Name, _, _) = (kept.store.clone(), kept.pieces, kept.bytes);
        let plan = Plan::Import { store, pieces, bytes };
        let tokens = f64::from(self.ask.rest(pieces));
        Some(self.option(replica, plan, tokens, Some(window.end)))
    }

    /// The cost of `plan`: an import runs beside the queue, prompt tokens after both.
    fn option<'p>(
        &self,
        replica: &'p Replica,
        plan: Plan,
        tokens: f64,
        import: Option<Time>,
    ) -> Candidate<'p> {
        let tokens = tokens.ceil() as u32;
        let mut wait = replica.queue(self.ask.class, &self.usual, self.now);
        if replica.zone != *self.ask.zone {
            wait += CROSS_ZONE;
        }
        let ready = self.now.after(wait).max(import.unwrap_or(self.now));
        let first = ready.after(replica.prefill(tokens));
        let share = f64::from(tokens) / f64::from(self.ask.tokens.max(1));
        let value = self.ask.value;
        let cost = f64::from(value.latency) * first.since(self.now).as_secs_f64()
            + f64::from(value.recompute) * share;
        let slack = first.since(self.now).mul_f64(SLACK);
        let is_safe = first.after(slack) <= self.ask.deadline;
        Candidate { replica, plan, tokens, first, is_safe, cost }
    }
}
