//! One entry instance: the decision crates with what they know.

use std::time::Duration;

use admit::{AdmissionRequest, Decision, Gate, Limits, Released, RetryBudget, instance_share};
use ident::{Digest, Name, RequestId, Time};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use route::{
    Choice, Contexts, Entry, HotReplica, LastUse, Links, Load, Policy, Pool, RouteError,
    RoutingRequest, StoredPieces,
};

use crate::{
    decide::Options,
    fake::Engine,
    spec::{PIECE_KV_BYTES, Spec},
    trace::Request,
};

/// Contexts remembered.
const CONTEXTS: usize = 10_000;
/// Longest expected queue at a replica that a request is started for.
const QUEUE_LIMIT: Duration = Duration::from_millis(1_500);
/// Every team's limit on requests running or queued.
const INFLIGHT: u32 = 2_000;

/// Names that stand for indices.
#[derive(Debug)]
pub(crate) struct Names {
    pub(crate) engines: Vec<Name>,
    pub(crate) stores: Vec<Name>,
    pub(crate) targets: Vec<Name>,
    pub(crate) weights: Name,
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("built-in names are valid")
}

/// The digest that stands for a context.
pub(crate) fn key(context: usize) -> Digest {
    Digest::of(&context.to_le_bytes())
}

/// The home instance of a context.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Home {
    /// Index of the instance.
    pub(crate) instance: usize,
    /// Its place among all instances in the ranking of the team.
    pub(crate) place: usize,
}

/// One entry instance.
pub(crate) struct Instance {
    pub(crate) pool: Pool,
    pub(crate) links: Links,
    pub(crate) contexts: Contexts,
    /// One gate for each part of the organisation, so that neither holds places of the other's
    /// replicas.
    gates: Vec<Gate>,
    pub(crate) budget: RetryBudget,
    policy: Box<dyn Policy>,
    zone: Name,
    members: usize,
    /// Limit of a team on requests per second, as a multiple of its usual rate.
    limit: f64,
    rng: SmallRng,
}

impl Instance {
    pub(crate) fn new(spec: &Spec, names: &Names, options: &Options, rank: usize) -> Self {
        let members = spec.instances;
        let places = |replicas| (replicas * Engine::slots() / members) as u32;
        let limits: Vec<_> =
            names.stores.iter().map(|s| (s.clone(), spec.link / members as u64)).collect();
        let mut links = Links::default();
        links.sync(&limits, Time(0));
        Self {
            pool: pool(spec, names),
            links,
            contexts: Contexts::new(CONTEXTS),
            gates: spec.replicas.iter().map(|count| Gate::new(places(*count))).collect(),
            budget: RetryBudget::default(),
            policy: options.policy.build(),
            zone: spec.zones[rank % spec.zones.len()].clone(),
            members,
            limit: options.limit,
            rng: SmallRng::seed_from_u64(options.seed ^ (rank as u64) << 48),
        }
    }

    pub(crate) fn draw(&mut self) -> u64 {
        self.rng.random()
    }

    /// The replica that may hold the request's context.
    pub(crate) fn hot(&self, names: &Names, request: &Request, now: Time) -> Option<HotReplica> {
        self.contexts.hot(&key(request.context), &names.weights, now)
    }

    /// Tells a gate how much its replicas can take.
    fn set_room(&mut self, names: &Names, org: usize, now: Time) {
        let targets = &names.targets[org..=org];
        let rate = self.pool.prefill_rate(targets, now) / self.members as u64;
        let room = self.pool.headroom_tokens(targets, QUEUE_LIMIT, now);
        self.gates[org].set_headroom(room, rate);
    }

    /// Looks at the queues of all gates.
    pub(crate) fn tick(&mut self, names: &Names, now: Time) -> Vec<Released> {
        let mut out = Vec::new();
        for org in 0..self.gates.len() {
            let draw = self.draw();
            self.set_room(names, org, now);
            out.extend(self.gates[org].tick(draw, now));
        }
        out
    }

    /// A request gives back its place.
    pub(crate) fn done(&mut self, spec: &Spec, request: &Request, job: usize, now: Time) {
        let org = spec.teams[request.team].org;
        self.gates[org].done(RequestId(job as u128), now);
    }

    /// Asks the gate.
    pub(crate) fn admit(
        &mut self,
        job: usize,
        (spec, names): (&Spec, &Names),
        request: &Request,
        home: Home,
        cached: u32,
        now: Time,
    ) -> Decision {
        let rest = request.tokens.saturating_sub(cached);
        let team = &spec.teams[request.team];
        let admission_request = AdmissionRequest {
            id: RequestId(job as u128),
            team: team.name.clone(),
            limits: instance_share(
                limits(spec, request.team, self.limit),
                team.spread,
                self.members,
                home.place,
            ),
            class: request.class,
            deadline: now.after(Duration::from_millis(request.patience)),
            prefill_tokens: rest,
            first_token: Duration::from_secs_f64(f64::from(rest) / f64::from(spec.prefill)),
        };
        let draw = self.draw();
        self.set_room(names, team.org, now);
        self.gates[team.org].admit(admission_request, draw, now)
    }

    /// Asks the policy.
    pub(crate) fn choose(
        &mut self,
        spec: &Spec,
        names: &Names,
        request: &Request,
        lookup: Lookup<'_>,
        now: Time,
    ) -> Result<Choice, RouteError> {
        let org = spec.teams[request.team].org;
        let routing_request = RoutingRequest {
            targets: &names.targets[org..=org],
            weights: &names.weights,
            tokens: request.tokens,
            pieces: Spec::pieces(request.tokens),
            stored: lookup.kept.map(|(store, pieces)| StoredPieces {
                store: names.stores[store].clone(),
                pieces,
                bytes: u64::from(pieces) * PIECE_KV_BYTES,
            }),
            hot: lookup.hot,
            class: request.class,
            value: spec.value,
            zone: &self.zone,
            deadline: lookup.deadline,
            tried: lookup.tried,
        };
        let draw = self.rng.random();
        self.policy.choose(&self.pool, &self.links, &routing_request, draw, now)
    }

    /// Takes a sample of all engines' load.
    pub(crate) fn report(&mut self, names: &Names, loads: &[Load], now: Time) {
        for (engine, load) in names.engines.iter().zip(loads) {
            self.pool.report(engine, *load, now);
        }
    }

    /// Notes that a replica now holds the request's context.
    pub(crate) fn used(&mut self, names: &Names, request: &Request, engine: usize, now: Time) {
        let used = LastUse {
            replica: names.engines[engine].clone(),
            pieces: Spec::pieces(request.shared),
            weights: names.weights.clone(),
            at: now,
        };
        self.contexts.record(key(request.context), used);
    }
}

/// What was found out about a request before it is routed.
pub(crate) struct Lookup<'a> {
    /// Index of a store and the pieces it keeps.
    pub(crate) kept: Option<(usize, u32)>,
    pub(crate) hot: Option<HotReplica>,
    pub(crate) tried: &'a [Name],
    pub(crate) deadline: Time,
}

/// A team's limits: `factor` times its usual rate.
fn limits(spec: &Spec, team: usize, factor: f64) -> Limits {
    let total: f64 = spec.teams.iter().map(|t| t.weight).sum();
    let rate = spec.rate * factor * spec.teams[team].weight / total;
    Limits { rate: rate.ceil() as u32, inflight: INFLIGHT }
}

fn pool(spec: &Spec, names: &Names) -> Pool {
    let mut pool = Pool::default();
    let orgs = spec.replicas.iter().enumerate();
    let orgs = orgs.flat_map(|(org, count)| std::iter::repeat_n(org, *count));
    let entry = |(i, (engine, org)): (usize, (&Name, usize))| Entry {
        name: engine.clone(),
        target: names.targets[org].clone(),
        zone: spec.zones[i % spec.zones.len()].clone(),
        addr: ([127, 0, 0, 1], 7_000 + i as u16).into(),
        leaving: false,
    };
    pool.sync_list(names.engines.iter().zip(orgs).enumerate().map(entry).collect(), Time(0));
    for engine in &names.engines {
        pool.set_weights(engine, Some(names.weights.clone()));
    }
    pool
}
