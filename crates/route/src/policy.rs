//! What is asked of a policy and what it answers.

use std::{net::SocketAddr, time::Duration};

use ident::{Class, Name, Time};

use crate::{Links, Pool, Replica, health::Standing};

/// Advice when no replica can serve before a change in the pool.
const POOL_PAUSE: Duration = Duration::from_secs(2);
/// Shortest advice.
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// Kept KV cache of a prompt at a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kept {
    /// The store.
    pub store: Name,
    /// Leading pieces whose records were found and checked.
    pub pieces: u32,
    /// Bytes of those pieces.
    pub bytes: u64,
}

/// A replica whose own prefix cache may still hold the context.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hot {
    /// The replica.
    pub replica: Name,
    /// Leading pieces it computed or imported.
    pub pieces: u32,
    /// Chance that it still holds them, in percent.
    pub trust: u8,
}

/// What the team weighs: relative costs of a second of time to first token and of a recomputed
/// prompt share of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Value {
    /// Weight of time to first token.
    pub latency: u16,
    /// Weight of the recomputed share.
    pub recompute: u16,
}

/// A prompt to be routed.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// Targets it may go to.
    pub targets: &'a [Name],
    /// The weight version it must be served by.
    pub weights: &'a Name,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Full pieces of the prompt.
    pub pieces: u32,
    /// Kept cache, where a store has some.
    pub kept: Option<Kept>,
    /// The replica that used the context last.
    pub hot: Option<Hot>,
    /// Its urgency.
    pub class: Class,
    /// What its team weighs.
    pub value: Value,
    /// The zone of the asking instance.
    pub zone: &'a Name,
    /// When a first token is of no more use.
    pub deadline: Time,
    /// Replicas that were tried already.
    pub exclude: &'a [Name],
}

impl Ask<'_> {
    /// Prompt tokens left to compute when `pieces` leading pieces are there.
    pub fn rest(&self, pieces: u32) -> u32 {
        if self.pieces == 0 {
            return self.tokens;
        }
        let pieces = u64::from(pieces.min(self.pieces));
        let saved = u64::from(self.tokens) * pieces / u64::from(self.pieces);
        // The last token is always computed: its result starts the answer.
        (u64::from(self.tokens) - saved).max(1) as u32
    }
}

/// Where the prompt's leading pieces come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// The replica's own prefix cache.
    Hot {
        /// Leading pieces expected there.
        pieces: u32,
    },
    /// A store.
    Import {
        /// The store.
        store: Name,
        /// Leading pieces to import.
        pieces: u32,
        /// Their bytes, to be reserved with [`Links::reserve`].
        bytes: u64,
    },
    /// All is computed.
    Recompute,
}

/// A replica and how it gets the prompt's cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The replica.
    pub replica: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Where the leading pieces come from.
    pub plan: Plan,
    /// Prompt tokens expected to be computed.
    pub tokens: u32,
    /// Expected time of the first token.
    pub first_token: Time,
    /// The replica failed before: only a new connection may be used.
    pub probe: bool,
}

/// Why no replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No replica of the targets takes new work.
    NoReplica,
    /// No replica serves the wanted weight version.
    WrongWeights,
    /// All replicas failed of late.
    Suspect,
    /// All replicas are full.
    Full,
    /// All replicas were tried.
    Tried,
    /// No replica can answer before the deadline.
    Late,
}

/// No replica can take the prompt; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no replica can take the request ({reason:?}); come back at {retry_at}")]
pub struct NoRoute {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_at: Time,
}

/// Picks a replica and a plan.
pub trait Policy: Send {
    /// Chooses for `ask`; `draw` is a fresh random number.
    fn choose(
        &mut self,
        pool: &Pool,
        links: &Links,
        ask: &Ask<'_>,
        draw: u64,
        now: Time,
    ) -> Result<Choice, NoRoute>;

    /// The policy's name on the command line and in reports.
    fn name(&self) -> &'static str;
}

/// The replicas that may take the prompt: of its targets, serving its weight version, not leaving,
/// not tried, not full and not failed of late. Replicas due for a probe count only for batch
/// requests, or when there are no others.
pub(crate) fn candidates<'p>(
    pool: &'p Pool,
    ask: &Ask<'_>,
    draw: u64,
    now: Time,
) -> Result<Vec<&'p Replica>, NoRoute> {
    let mut found = Vec::new();
    let mut probes = Vec::new();
    let mut miss = Miss::default();
    for replica in pool.replicas() {
        if !ask.targets.contains(&replica.target) || replica.is_leaving() {
            continue;
        }
        match standing(replica, ask, &mut miss, now) {
            Some(Standing::Live) => found.push(replica),
            Some(Standing::Probe) => probes.push(replica),
            _ => {}
        }
    }
    if found.is_empty() || ask.class == Class::Batch {
        found.append(&mut probes);
    }
    if found.is_empty() { Err(miss.no_route(draw, now)) } else { Ok(found) }
}

fn standing(replica: &Replica, ask: &Ask<'_>, miss: &mut Miss, now: Time) -> Option<Standing> {
    if replica.weights.as_ref() != Some(ask.weights) {
        miss.note(Reason::WrongWeights, now.after(POOL_PAUSE));
        return None;
    }
    if ask.exclude.contains(&replica.name) {
        miss.note(Reason::Tried, now.after(POOL_PAUSE));
        return None;
    }
    if !replica.hold.passed(now) {
        miss.note(Reason::Full, replica.hold);
        return None;
    }
    let standing = replica.standing(now);
    if let Standing::Paused(until) = standing {
        miss.note(Reason::Suspect, until);
    }
    Some(standing)
}

/// The most telling cause of having no candidate, and the earliest change.
#[derive(Debug, Default)]
struct Miss {
    cause: Option<(Reason, Time)>,
}

impl Miss {
    fn note(&mut self, reason: Reason, at: Time) {
        let weight = |r| match r {
            Reason::Full => 3,
            Reason::Suspect => 2,
            Reason::Tried => 1,
            _ => 0,
        };
        self.cause = match self.cause {
            Some((old, time)) if old == reason => Some((old, time.min(at))),
            Some((old, time)) if weight(old) > weight(reason) => Some((old, time)),
            _ => Some((reason, at)),
        };
    }

    fn no_route(&self, draw: u64, now: Time) -> NoRoute {
        let (reason, at) = self.cause.unwrap_or((Reason::NoReplica, now.after(POOL_PAUSE)));
        NoRoute { reason, retry_at: spread(at, draw, now) }
    }
}

/// A point between `at` and twice as far from `now`, so that callers do not return together.
pub(crate) fn spread(at: Time, draw: u64, now: Time) -> Time {
    let span = at.since(now).max(MIN_PAUSE);
    let part = (draw >> 40) as f64 / (1_u64 << 24) as f64;
    now.after(span + span.mul_f64(part))
}
