//! Simple policies that [`crate::Cost`] is compared with.

use ident::Time;

use crate::{
    Choice, Links, Plan, Policy, Pool, Replica, RouteError, RoutingRequest, health::HealthState,
    policy::candidates,
};

macro_rules! baseline {
    ($(#[$doc:meta])* $name:ident, $text:literal, $choose:path) => {
        $(#[$doc])*
        #[derive(Debug, Default)]
        pub struct $name;

        impl Policy for $name {
            fn choose(
                &mut self,
                pool: &Pool,
                links: &Links,
                request: &RoutingRequest<'_>,
                random_bits: u64,
                now: Time,
            ) -> Result<Choice, RouteError> {
                let found = candidates(pool, request, random_bits, now)?;
                Ok($choose(&found, links, request, random_bits, now))
            }

            fn name(&self) -> &'static str {
                $text
            }
        }
    };
}

baseline!(
    /// Chooses a random replica and recomputes what its prefix cache does not hold.
    Random,
    "random",
    random
);
baseline!(
    /// Chooses the replica with the fewest requests and recomputes what its prefix cache does not
    /// hold.
    LeastLoaded,
    "least-loaded",
    least_loaded_choice
);
baseline!(
    /// Chooses the replica that used the context last, whatever its load, or else a random one.
    Affinity,
    "affinity",
    affinity
);
baseline!(
    /// Chooses the hot replica if its trust is high enough, or else the least loaded replica with
    /// an import, whatever the state of the link.
    HotOrImport,
    "kept-no-budget",
    hot_or_import
);
baseline!(
    /// Chooses the least loaded replica, with an import if a store has pieces of the prompt.
    AlwaysImport,
    "always-import",
    always_import
);
baseline!(
    /// Chooses the least loaded replica other than the one that used the context last, and
    /// recomputes the whole prompt.
    AlwaysRecompute,
    "always-recompute",
    always_recompute
);

/// Lowest trust, in percent, at which [`HotOrImport`] chooses the hot replica.
const MIN_TRUST: u8 = 50;

fn random(
    found: &[&Replica],
    _: &Links,
    request: &RoutingRequest<'_>,
    random_bits: u64,
    now: Time,
) -> Choice {
    let replica = found[random_bits as u32 as usize % found.len()];
    choice(replica, own_plan(replica, request), request, now)
}

fn affinity(
    found: &[&Replica],
    links: &Links,
    request: &RoutingRequest<'_>,
    random_bits: u64,
    now: Time,
) -> Choice {
    match hot_replica(found, request, 0) {
        Some(replica) => choice(replica, own_plan(replica, request), request, now),
        None => random(found, links, request, random_bits, now),
    }
}

fn least_loaded_choice(
    found: &[&Replica],
    _: &Links,
    request: &RoutingRequest<'_>,
    random_bits: u64,
    now: Time,
) -> Choice {
    let replica = least_loaded(found, random_bits);
    choice(replica, own_plan(replica, request), request, now)
}

fn always_recompute(
    found: &[&Replica],
    _: &Links,
    request: &RoutingRequest<'_>,
    random_bits: u64,
    now: Time,
) -> Choice {
    let is_hot = |r: &Replica| request.hot.as_ref().is_some_and(|h| h.replica == r.name);
    let cold: Vec<_> = found.iter().copied().filter(|r| !is_hot(r)).collect();
    let replica = least_loaded(if cold.is_empty() { found } else { &cold }, random_bits);
    choice(replica, Plan::Recompute, request, now)
}

fn always_import(
    found: &[&Replica],
    _: &Links,
    request: &RoutingRequest<'_>,
    random_bits: u64,
    now: Time,
) -> Choice {
    let replica = least_loaded(found, random_bits);
    choice(replica, import_plan(request), request, now)
}

fn hot_or_import(
    found: &[&Replica],
    links: &Links,
    request: &RoutingRequest<'_>,
    random_bits: u64,
    now: Time,
) -> Choice {
    match hot_replica(found, request, MIN_TRUST) {
        Some(replica) => choice(replica, own_plan(replica, request), request, now),
        None => always_import(found, links, request, random_bits, now),
    }
}

/// Returns the replica with the fewest requests; `random_bits` breaks ties.
fn least_loaded<'p>(found: &[&'p Replica], random_bits: u64) -> &'p Replica {
    let start = random_bits as u32 as usize % found.len();
    let rotated = found[start..].iter().chain(&found[..start]);
    rotated.min_by_key(|r| r.demand()).expect("there is no candidate")
}

fn hot_replica<'p>(
    found: &[&'p Replica],
    request: &RoutingRequest<'_>,
    min_trust: u8,
) -> Option<&'p Replica> {
    let hot = request.hot.as_ref().filter(|h| h.trust >= min_trust)?;
    found.iter().copied().find(|r| r.name == hot.replica)
}

fn own_plan(replica: &Replica, request: &RoutingRequest<'_>) -> Plan {
    match &request.hot {
        Some(hot) if hot.replica == replica.name => Plan::Hot { pieces: hot.pieces },
        _ => Plan::Recompute,
    }
}

fn import_plan(request: &RoutingRequest<'_>) -> Plan {
    match &request.stored {
        Some(stored) if stored.pieces > 0 => {
            Plan::Import { store: stored.store.clone(), pieces: stored.pieces, bytes: stored.bytes }
        }
        _ => Plan::Recompute,
    }
}

fn choice(replica: &Replica, plan: Plan, request: &RoutingRequest<'_>, now: Time) -> Choice {
    let pieces = match &plan {
        Plan::Hot { pieces } | Plan::Import { pieces, .. } => *pieces,
        Plan::Recompute => 0,
    };
    let tokens = request.remaining_tokens(pieces);
    Choice {
        replica: replica.name.clone(),
        addr: replica.addr,
        plan,
        tokens,
        first_token: now.after(replica.prefill(tokens)),
        probe: replica.health_state(now) != HealthState::Healthy,
    }
}
