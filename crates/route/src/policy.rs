//! The interface of routing policies, and the replicas that they may choose from.

use std::{net::SocketAddr, time::Duration};

use ident::{Class, Name, Time};

use crate::{Links, Pool, Replica, health::HealthState};

/// Retry delay if no replica can serve the request until the pool changes.
const POOL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Shortest retry delay, before jitter.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// KV cache of a prompt that a store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPieces {
    /// Store that holds the pieces.
    pub store: Name,
    /// Number of leading pieces whose records were found and verified.
    pub pieces: u32,
    /// Total size of those pieces, in bytes.
    pub bytes: u64,
}

/// The replica that used the context last and may still have it in its prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HotReplica {
    /// Name of the replica.
    pub replica: Name,
    /// Number of leading pieces that the replica computed or imported.
    pub pieces: u32,
    /// Probability that the replica still holds the pieces, in percent.
    pub trust: u8,
}

/// The weights that a team gives to the two parts of the cost. They are relative to each other: one
/// second of time to first token counts `latency`, recomputing the whole prompt counts `recompute`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CostWeights {
    /// Weight of time to first token.
    pub latency: u16,
    /// Weight of the recomputed share of the prompt.
    pub recompute: u16,
}

/// A prompt to be routed.
#[derive(Debug, Clone)]
pub struct RoutingRequest<'a> {
    /// Targets that the prompt may be sent to.
    pub targets: &'a [Name],
    /// Weights version that must serve the prompt.
    pub weights: &'a Name,
    /// Length of the prompt, in tokens.
    pub tokens: u32,
    /// Number of full pieces of the prompt.
    pub pieces: u32,
    /// Pieces that a store holds; `None` if there are none.
    pub stored: Option<StoredPieces>,
    /// Replica that used the context last; `None` if it is unknown.
    pub hot: Option<HotReplica>,
    /// Class of the request: interactive or batch.
    pub class: Class,
    /// Weights that the team gives to latency and recomputing.
    pub value: CostWeights,
    /// Zone of the instance that makes the choice.
    pub zone: &'a Name,
    /// Deadline of the first token.
    pub deadline: Time,
    /// Replicas that were tried already and must not be chosen.
    pub tried: &'a [Name],
}

impl RoutingRequest<'_> {
    /// Prompt tokens that still have to be computed if `pieces` leading pieces are in the cache.
    pub fn remaining_tokens(&self, pieces: u32) -> u32 {
        if self.pieces == 0 {
            return self.tokens;
        }
        let pieces = u64::from(pieces.min(self.pieces));
        let saved = u64::from(self.tokens) * pieces / u64::from(self.pieces);
        // The last token is always computed, because the first token of the answer follows from it.
        (u64::from(self.tokens) - saved).max(1) as u32
    }
}

/// The source of the prompt's leading pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// The pieces are in the replica's own prefix cache.
    Hot {
        /// Number of leading pieces expected in the cache.
        pieces: u32,
    },
    /// The pieces are imported from a store.
    Import {
        /// Store to import from.
        store: Name,
        /// Number of leading pieces to import.
        pieces: u32,
        /// Size of the pieces, in bytes. The import must be reserved with
        /// [`Links::reserve_import`].
        bytes: u64,
    },
    /// All pieces are computed.
    Recompute,
}

/// The chosen replica, and where it gets the KV cache of the prompt from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Name of the replica.
    pub replica: Name,
    /// Address that the replica listens on.
    pub addr: SocketAddr,
    /// Source of the leading pieces.
    pub plan: Plan,
    /// Prompt tokens expected to be computed.
    pub tokens: u32,
    /// Expected time of the first token.
    pub first_token: Time,
    /// Whether the request is a probe of a replica that failed before; only a new connection may be
    /// used.
    pub probe: bool,
}

/// Why no replica was chosen. If the replicas differ, the most informative reason is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No replica of the targets accepts new requests.
    NoReplica,
    /// No replica serves the required weights version.
    WrongWeights,
    /// At least one replica is excluded after a failure, and none can be used.
    Suspect,
    /// At least one replica is full, and none can be used.
    Full,
    /// At least one replica was tried already, and none can be used.
    Tried,
    /// No replica can answer before the deadline.
    Late,
}

/// The error if no replica can accept the prompt. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no replica can take the request ({reason:?}); come back at {retry_at}")]
pub struct RouteError {
    /// Reason that no replica was chosen.
    pub reason: Reason,
    /// Time at which the caller may retry.
    pub retry_at: Time,
}

/// Chooses a replica and a plan for a prompt.
pub trait Policy: Send {
    /// Chooses a replica and a plan for `request`. `random_bits` must be a new random number.
    ///
    /// Returns an error if no replica can accept the prompt or answer before the deadline.
    fn choose(
        &mut self,
        pool: &Pool,
        links: &Links,
        request: &RoutingRequest<'_>,
        random_bits: u64,
        now: Time,
    ) -> Result<Choice, RouteError>;

    /// Name of the policy on the command line and in reports.
    fn name(&self) -> &'static str;
}

/// Returns the replicas that may be chosen for the prompt: those of its targets that serve its
/// weights version, are not leaving, were not tried, and have neither refused work nor failed
/// recently. Replicas that are due for a probe are included only for batch requests, or if there
/// are no others.
pub(crate) fn candidates<'p>(
    pool: &'p Pool,
    request: &RoutingRequest<'_>,
    random_bits: u64,
    now: Time,
) -> Result<Vec<&'p Replica>, RouteError> {
    let mut found = Vec::new();
    let mut probes = Vec::new();
    let mut no_candidate = NoCandidate::default();
    for replica in pool.replicas() {
        if !request.targets.contains(&replica.target) || replica.is_leaving() {
            continue;
        }
        match check_replica(replica, request, &mut no_candidate, now) {
            Some(HealthState::Healthy) => found.push(replica),
            Some(HealthState::Probe) => probes.push(replica),
            _ => {}
        }
    }
    if found.is_empty() || request.class == Class::Batch {
        found.append(&mut probes);
    }
    if found.is_empty() { Err(no_candidate.no_route(random_bits, now)) } else { Ok(found) }
}

/// Returns the replica's health state; `None` if the request can't be sent to it for a reason other
/// than its health. Records the reason if the replica can't be used.
fn check_replica(
    replica: &Replica,
    request: &RoutingRequest<'_>,
    no_candidate: &mut NoCandidate,
    now: Time,
) -> Option<HealthState> {
    if replica.weights.as_ref() != Some(request.weights) {
        no_candidate.add(Reason::WrongWeights, now.after(POOL_RETRY_DELAY));
        return None;
    }
    if request.tried.contains(&replica.name) {
        no_candidate.add(Reason::Tried, now.after(POOL_RETRY_DELAY));
        return None;
    }
    if !replica.full_until.passed(now) {
        no_candidate.add(Reason::Full, replica.full_until);
        return None;
    }
    let state = replica.health_state(now);
    if let HealthState::Excluded(until) = state {
        no_candidate.add(Reason::Suspect, until);
    }
    Some(state)
}

/// The most informative reason for having no candidate, and the earliest time at which it may
/// change.
#[derive(Debug, Default)]
struct NoCandidate {
    cause: Option<(Reason, Time)>,
}

impl NoCandidate {
    fn add(&mut self, reason: Reason, at: Time) {
        let rank = |r| match r {
            Reason::Full => 3,
            Reason::Suspect => 2,
            Reason::Tried => 1,
            _ => 0,
        };
        self.cause = match self.cause {
            Some((old, time)) if old == reason => Some((old, time.min(at))),
            Some((old, time)) if rank(old) > rank(reason) => Some((old, time)),
            _ => Some((reason, at)),
        };
    }

    fn no_route(&self, random_bits: u64, now: Time) -> RouteError {
        let (reason, at) = self.cause.unwrap_or((Reason::NoReplica, now.after(POOL_RETRY_DELAY)));
        RouteError { reason, retry_at: jitter(at, random_bits, now) }
    }
}

/// Returns a random time between `at` and twice as far from `now`, so that callers do not all retry
/// at the same time.
pub(crate) fn jitter(at: Time, random_bits: u64, now: Time) -> Time {
    let delay = at.since(now).max(MIN_RETRY_DELAY);
    let share = (random_bits >> 40) as f64 / (1_u64 << 24) as f64;
    now.after(delay + delay.mul_f64(share))
}
