//! Replicas of the back ends, in one shard for each target. Each shard has its own lock.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use conf::{State, View};
use ident::{Name, Time};
use outbound::{ListEntry, ListState, Role};
use parking_lot::{Mutex, RwLock};
use route::{Choice, End, Entry, Links, Load, Policy, Pool, RouteError, RoutingRequest, Ticket};

/// Creates the routing policy of a shard.
pub type MakePolicy = Box<dyn Fn() -> Box<dyn Policy> + Send + Sync>;

/// Name and address of a replica of a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaRef {
    /// Target that the replica belongs to.
    pub target: Name,
    /// Unique name of the replica.
    pub name: Name,
    /// Socket address of the replica.
    pub addr: SocketAddr,
}

/// Replicas and routing policy of one target.
struct Shard {
    pool: Pool,
    policy: Box<dyn Policy>,
}

/// All replicas that this instance knows.
///
/// Invariant: both vectors are sorted by target.
pub struct Pools {
    engines: RwLock<Vec<(Name, Arc<Mutex<Shard>>)>>,
    services: RwLock<Vec<(Name, Vec<ListEntry>)>>,
    make_policy: MakePolicy,
}

impl Pools {
    /// Creates empty pools whose shards use policies created by `make_policy`.
    pub fn new(make_policy: MakePolicy) -> Self {
        Self { engines: RwLock::default(), services: RwLock::default(), make_policy }
    }

    /// Updates the known replicas from the platform's list. The service replicas are replaced by
    /// the listed ones. An engine replica that is not listed is leaving, and is removed once it has
    /// no request of this instance. An engine target without any listed replica is not changed.
    pub fn sync(&self, listed: &[ListEntry], now: Time) {
        self.sync_services(listed);
        let mut targets: Vec<&Name> = engines(listed).filter_map(|l| l.target.as_ref()).collect();
        targets.sort();
        targets.dedup();
        for target in targets {
            let of_target = engines(listed).filter(|l| l.target.as_ref() == Some(target));
            let entries = of_target.map(|l| entry(l, target)).collect();
            self.shard_or_new(target).lock().pool.sync_list(entries, now);
        }
    }

    fn sync_services(&self, listed: &[ListEntry]) {
        let is_service = |l: &&ListEntry| l.role == Role::Service && l.state == ListState::Live;
        let mut groups: Vec<(Name, Vec<ListEntry>)> = Vec::new();
        for replica in listed.iter().filter(is_service) {
            let Some(target) = &replica.target else { continue };
            match groups.binary_search_by(|(t, _)| t.cmp(target)) {
                Ok(at) => groups[at].1.push(replica.clone()),
                Err(at) => groups.insert(at, (target.clone(), vec![replica.clone()])),
            }
        }
        *self.services.write() = groups;
    }

    /// Applies the withdrawals of the configuration: operators can withdraw single replicas and
    /// whole targets.
    pub fn sync_withdrawn(&self, view: &View) {
        for (target, shard) in self.engines.read().iter() {
            let doc = view.target(target);
            let mut shard = shard.lock();
            match doc {
                Some(doc) if doc.state == State::Active => shard.pool.withdraw(&doc.withdrawn),
                _ => {
                    let all: Vec<Name> =
                        shard.pool.replicas().iter().map(|r| r.name.clone()).collect();
                    shard.pool.withdraw(&all);
                }
            }
        }
    }

    /// Returns the live replicas of a plain service.
    pub fn service_replicas(&self, target: &Name) -> Vec<ListEntry> {
        let services = self.services.read();
        match services.binary_search_by(|(t, _)| t.cmp(target)) {
            Ok(at) => services[at].1.clone(),
            Err(_) => Vec::new(),
        }
    }

    /// Returns at most `max` engine replicas, starting with a random one.
    pub fn sample(&self, max: usize, random: u64) -> Vec<ReplicaRef> {
        let mut all = self.replicas();
        if !all.is_empty() {
            let start = usize::try_from(random % all.len() as u64).unwrap_or(0);
            all.rotate_left(start);
        }
        all.truncate(max);
        all
    }

    /// Returns all engine replicas that are not leaving.
    pub fn replicas(&self) -> Vec<ReplicaRef> {
        let engines = self.engines.read();
        engines.iter().flat_map(|(target, shard)| refs(target, &shard.lock().pool)).collect()
    }

    /// Returns the state of all engine replicas.
    pub fn replica_states(&self) -> Vec<route::Replica> {
        let engines = self.engines.read();
        engines.iter().flat_map(|(_, shard)| shard.lock().pool.replicas().to_vec()).collect()
    }

    /// Records a replica's load report, which was requested at `requested_at`.
    pub fn record_load(
        &self,
        replica: &ReplicaRef,
        load: &outbound::Load,
        requested_at: Time,
        now: Time,
    ) {
        let Some(shard) = self.shard(&replica.target) else { return };
        let mut shard = shard.lock();
        let report = Load {
            running: load.running,
            waiting: load.waiting,
            prefill_rate: load.prefill_rate as u32,
            measured_at: requested_at,
        };
        shard.pool.report(&replica.name, report, now);
        shard.pool.set_weights(&replica.name, load.weights.clone());
        if load.leaving {
            shard.pool.report_leaving(&replica.name, now);
        } else {
            shard.pool.report_staying(&replica.name, now);
        }
    }

    /// Records the weights version that a replica serves; `None` if it is unknown.
    pub fn set_weights(&self, target: &Name, replica: &Name, weights: Option<Name>) {
        if let Some(shard) = self.shard(target) {
            shard.lock().pool.set_weights(replica, weights);
        }
    }

    /// Records that a replica is leaving.
    pub fn set_leaving(&self, target: &Name, replica: &Name, now: Time) {
        if let Some(shard) = self.shard(target) {
            shard.lock().pool.report_leaving(replica, now);
        }
    }

    /// Returns whether a replica of `target` serves `weights` and accepts new work.
    pub fn serves(&self, target: &Name, weights: &Name) -> bool {
        self.shard(target).is_some_and(|shard| {
            let shard = shard.lock();
            let fits = |r: &route::Replica| !r.is_leaving() && r.weights.as_ref() == Some(weights);
            shard.pool.replicas().iter().any(fits)
        })
    }

    /// Returns the target that a replica belongs to; `None` if the replica is unknown.
    pub fn target_of(&self, replica: &Name) -> Option<Name> {
        let engines = self.engines.read();
        let (target, _) = engines.iter().find(|(_, s)| s.lock().pool.find(replica).is_some())?;
        Some(target.clone())
    }

    /// Returns how many requests the replicas of `targets` can run or queue at once, with `slots`
    /// requests for each replica that is not leaving.
    pub fn capacity(&self, targets: &[Name], slots: u32) -> u32 {
        let available = |pool: &Pool| pool.replicas().iter().filter(|r| !r.is_leaving()).count();
        let replicas: usize = self.sum(targets, |pool, _| available(pool));
        u32::try_from(replicas).unwrap_or(u32::MAX).saturating_mul(slots)
    }

    /// Returns how many more prompt tokens `targets` can accept until their expected queueing time
    /// reaches `limit`.
    pub fn headroom(&self, targets: &[Name], limit: Duration, now: Time) -> u64 {
        self.sum(targets, |pool, target| {
            pool.headroom_tokens(std::slice::from_ref(target), limit, now)
        })
    }

    /// Returns how many prompt tokens per second `targets` compute.
    pub fn prefill_rate(&self, targets: &[Name], now: Time) -> u64 {
        self.sum(targets, |pool, target| pool.prefill_rate(std::slice::from_ref(target), now))
    }

    fn sum<F, T>(&self, targets: &[Name], f: F) -> T
    where
        F: Fn(&Pool, &Name) -> T,
        T: std::iter::Sum,
    {
        let shards = targets.iter().filter_map(|t| Some((t, self.shard(t)?)));
        shards.map(|(target, shard)| f(&shard.lock().pool, target)).sum()
    }

    /// Chooses a replica of `target` and counts the request there. `tie_breaker` is a random
    /// number. The ticket is `None` if the replica is unknown or leaving and so counts no request.
    pub fn choose(
        &self,
        target: &Name,
        links: &Mutex<Links>,
        request: &RoutingRequest<'_>,
        tie_breaker: u64,
        now: Time,
    ) -> Result<(Choice, Option<Ticket>), RouteError> {
        let shard = self.shard_or_new(target);
        let mut guard = shard.lock();
        let Shard { pool, policy } = &mut *guard;
        let choice = policy.choose(pool, &links.lock(), request, tie_breaker, now)?;
        let ticket = pool.start(&choice.replica, choice.tokens, request.class, now);
        Ok((choice, ticket))
    }

    /// Records the first token of a request.
    pub fn first_token(&self, target: &Name, ticket: &Ticket, now: Time) {
        if let Some(shard) = self.shard(target) {
            shard.lock().pool.first_token(ticket, now);
        }
    }

    /// Records the end of a request.
    pub fn ended(&self, target: &Name, ticket: Ticket, end: End, now: Time) {
        if let Some(shard) = self.shard(target) {
            shard.lock().pool.end(ticket, end, now);
        }
    }

    fn shard(&self, target: &Name) -> Option<Arc<Mutex<Shard>>> {
        let engines = self.engines.read();
        let at = engines.binary_search_by(|(t, _)| t.cmp(target)).ok()?;
        Some(engines[at].1.clone())
    }

    fn shard_or_new(&self, target: &Name) -> Arc<Mutex<Shard>> {
        if let Some(shard) = self.shard(target) {
            return shard;
        }
        let mut engines = self.engines.write();
        match engines.binary_search_by(|(t, _)| t.cmp(target)) {
            Ok(at) => engines[at].1.clone(),
            Err(at) => {
                let shard = Shard { pool: Pool::default(), policy: (self.make_policy)() };
                let shard = Arc::new(Mutex::new(shard));
                engines.insert(at, (target.clone(), shard.clone()));
                shard
            }
        }
    }
}

fn engines(listed: &[ListEntry]) -> impl Iterator<Item = &ListEntry> {
    listed.iter().filter(|l| l.role == Role::Engine)
}

fn entry(listed: &ListEntry, target: &Name) -> Entry {
    Entry {
        name: listed.name.clone(),
        target: target.clone(),
        zone: listed.zone.clone(),
        addr: listed.addr,
        leaving: listed.state == ListState::Leaving,
    }
}

fn refs(target: &Name, pool: &Pool) -> Vec<ReplicaRef> {
    let replicas = pool.replicas().iter().filter(|r| !r.is_leaving());
    let replica = |r: &route::Replica| ReplicaRef {
        target: target.clone(),
        name: r.name.clone(),
        addr: r.addr,
    };
    replicas.map(replica).collect()
}
