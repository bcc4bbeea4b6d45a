//! Simple policies to compare with.

use ident::Time;

use crate::{
    Ask, Choice, Links, NoRoute, Plan, Policy, Pool, Replica, health::Standing, policy::candidates,
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
                ask: &Ask<'_>,
                draw: u64,
                now: Time,
            ) -> Result<Choice, NoRoute> {
                let found = candidates(pool, ask, draw, now)?;
                Ok($choose(&found, links, ask, draw, now))
            }

            fn name(&self) -> &'static str {
                $text
            }
        }
    };
}

baseline!(
    /// Any replica; recomputes what its prefix cache does not hold.
    Random,
    "random",
    random
);
baseline!(
    /// The replica with the fewest requests; recomputes what its prefix cache does not hold.
    LeastLoaded,
    "least-loaded",
    always_recompute
);
baseline!(
    /// The replica that used the context last, whatever its load; else any.
    Affinity,
    "affinity",
    affinity
);
baseline!(
    /// The hot replica while it is trusted, else the least loaded one with an import, whatever
    /// the state of the link.
    KeptNoBudget,
    "kept-no-budget",
    kept_no_budget
);
baseline!(
    /// The least loaded replica, with an import whenever a store has something.
    AlwaysImport,
    "always-import",
    always_import
);
baseline!(
    /// The least loaded replica that is not the one that used the context last: the whole prompt
    /// is recomputed.
    AlwaysRecompute,
    "always-recompute",
    recompute_elsewhere
);

/// Least trust, in percent, at which [`KeptNoBudget`] goes to the hot replica.
const MIN_TRUST: u8 = 50;

fn random(found: &[&Replica], _: &Links, ask: &Ask<'_>, draw: u64, now: Time) -> Choice {
    let replica = found[draw as u32 as usize % found.len()];
    choice(replica, own_plan(replica, ask), ask, now)
}

fn affinity(found: &[&Replica], links: &Links, ask: &Ask<'_>, draw: u64, now: Time) -> Choice {
    match hot_replica(found, ask, 0) {
        Some(replica) => choice(replica, own_plan(replica, ask), ask, now),
        None => random(found, links, ask, draw, now),
    }
}

fn always_recompute(found: &[&Replica], _: &Links, ask: &Ask<'_>, draw: u64, now: Time) -> Choice {
    let replica = least_loaded(found, draw);
    choice(replica, own_plan(replica, ask), ask, now)
}

fn recompute_elsewhere(
    found: &[&Replica],
    _: &Links,
    ask: &Ask<'_>,
    draw: u64,
    now: Time,
) -> Choice {
    let is_hot = |r: &Replica| ask.hot.as_ref().is_some_and(|h| h.replica == r.name);
    let cold: Vec<_> = found.iter().copied().filter(|r| !is_hot(r)).collect();
    let replica = least_loaded(if cold.is_empty() { found } else { &cold }, draw);
    choice(replica, Plan::Recompute, ask, now)
}

fn always_import(found: &[&Replica], _: &Links, ask: &Ask<'_>, draw: u64, now: Time) -> Choice {
    let replica = least_loaded(found, draw);
    choice(replica, import_plan(ask), ask, now)
}

fn kept_no_budget(
    found: &[&Replica],
    links: &Links,
    ask: &Ask<'_>,
    draw: u64,
    now: Time,
) -> Choice {
    match hot_replica(found, ask, MIN_TRUST) {
        Some(replica) => choice(replica, own_plan(replica, ask), ask, now),
        None => always_import(found, links, ask, draw, now),
    }
}

/// The replica with the fewest requests; ties go by `draw`.
fn least_loaded<'p>(found: &[&'p Replica], draw: u64) -> &'p Replica {
    let first = draw as u32 as usize % found.len();
    let turned = found[first..].iter().chain(&found[..first]);
    turned.min_by_key(|r| r.demand()).expect("there is a candidate")
}

fn hot_replica<'p>(found: &[&'p Replica], ask: &Ask<'_>, trust: u8) -> Option<&'p Replica> {
    let hot = ask.hot.as_ref().filter(|h| h.trust >= trust)?;
    found.iter().copied().find(|r| r.name == hot.replica)
}

fn own_plan(replica: &Replica, ask: &Ask<'_>) -> Plan {
    match &ask.hot {
        Some(hot) if hot.replica == replica.name => Plan::Hot { pieces: hot.pieces },
        _ => Plan::Recompute,
    }
}

fn import_plan(ask: &Ask<'_>) -> Plan {
    match &ask.kept {
        Some(k) if k.pieces > 0 => {
            Plan::Import { store: k.store.clone(), pieces: k.pieces, bytes: k.bytes }
        }
        _ => Plan::Recompute,
    }
}

fn choice(replica: &Replica, plan: Plan, ask: &Ask<'_>, now: Time) -> Choice {
    let pieces = match &plan {
        Plan::Hot { pieces } | Plan::Import { pieces, .. } => *pieces,
        Plan::Recompute => 0,
    };
    let tokens = ask.rest(pieces);
    Choice {
        replica: replica.name.clone(),
        addr: replica.addr,
        plan,
        tokens,
        first_token: now.after(replica.prefill(tokens)),
        probe: replica.standing(now) != Standing::Live,
    }
}
