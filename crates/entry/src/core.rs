//! State shared by the handlers of one instance.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use conf::{ResolvedTeam, Target, TargetKind, View};
use events::{EventKind, Log};
use ident::{Clock, Digest, Name, RequestId, Secret, Time};
use ledger::Ledger;
use member::{Freshness, Members};
use outbound::{Engine, Service, Store};
use parking_lot::{Mutex, RwLock};

use crate::{
    admission::Admission,
    contexts::ContextShards,
    metrics::Metrics,
    pools::Pools,
    problem::{Problem, ProblemKind},
    request_meta::RequestMeta,
    running::Running,
    stores::Stores,
};

/// Retry delay sent to a caller when this instance cannot accept work. The delay is short, since
/// another instance may accept the request at once.
const OTHER_INSTANCE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Source of random numbers.
pub trait RandomSource: Send + Sync {
    /// Returns a random 64-bit number.
    fn next_u64(&self) -> u64;
}

/// Secret keys of a deployment, one for each purpose.
pub struct Secrets {
    /// Secret for piece keys, records and cache salts.
    pub cache: Secret,
    /// Secret for stream handles.
    pub handle: Secret,
}

/// Clients of the back ends of the instance.
pub struct Backends {
    /// Client of model engines.
    pub engine: Arc<dyn Engine>,
    /// Client of store instances.
    pub store: Arc<dyn Store>,
    /// Client of plain services.
    pub service: Arc<dyn Service>,
}

/// Size limits of callers' requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
}

/// State shared by all handlers and background tasks of an instance.
pub struct Core {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Clock of the process; tests may replace it.
    pub clock: Arc<dyn Clock>,
    /// Source of random numbers.
    pub random: Arc<dyn RandomSource>,
    /// Secret keys of the deployment.
    pub secrets: Secrets,
    /// Limits on request bodies.
    pub request_limits: RequestLimits,
    /// Configuration in force. It is only replaced as a whole, by a later revision.
    pub view: RwLock<Arc<View>>,
    /// Instances of the deployment, as this one knows them.
    pub members: Mutex<Members>,
    /// Number of instances that accept work, as last counted.
    pub serving_instances: AtomicUsize,
    /// Replicas, in one shard for each target.
    pub pools: Pools,
    /// Store instances and the links to them.
    pub stores: Stores,
    /// Replica that last served each context.
    pub contexts: ContextShards,
    /// Admission control of this instance.
    pub admission: Admission,
    /// Ledger of calls that run at most once.
    pub ledger: Ledger,
    /// Clients of the back ends.
    pub backends: Backends,
    /// Event log of this instance.
    pub events: Log,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Counter of the work in progress.
    pub running: Running,
}

impl Core {
    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a new random identifier.
    pub fn new_id(&self) -> RequestId {
        RequestId(u128::from(self.random.next_u64()) << 64 | u128::from(self.random.next_u64()))
    }

    /// Records an event in the event log.
    pub fn record(&self, kind: EventKind) {
        self.events.record(self.now(), kind);
    }

    /// Records in the event log that a request was refused or failed with `problem`.
    pub fn record_problem(&self, meta: &RequestMeta, problem: &Problem) {
        let reason =
            Name::new(problem.kind.label()).expect("the label of a problem is a valid name");
        let (request, team) = (meta.id, meta.grant.team.clone());
        self.record(EventKind::Refused { request, team, reason });
    }

    /// Returns the configuration in force.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Replaces the configuration in force by one of the same or a later revision.
    ///
    /// # Panics
    ///
    /// If the revision of `view` is lower than the one in force.
    pub fn install(&self, view: Arc<View>) {
        let mut slot = self.view.write();
        assert!(view.rev() >= slot.rev(), "the configuration revision must not decrease");
        self.metrics.revision.set(i64::try_from(view.rev().0).unwrap_or(i64::MAX));
        *slot = view;
    }

    /// Applies the withdrawals of the configuration in force to the known replicas.
    pub fn sync_withdrawn(&self) {
        self.pools.sync_withdrawn(&self.view());
    }

    /// Returns the targets of an organisation that are model engines.
    pub fn engines(&self, org: &Name) -> Vec<Name> {
        let view = self.view();
        let is_engine = |t: &&Arc<Target>| matches!(t.kind, TargetKind::Engine { .. });
        let own = view.targets().filter(is_engine).filter(|t| t.org == *org);
        own.map(|t| t.name.clone()).collect()
    }

    /// Returns the number of instances that accept work, this one included; at least 1.
    pub fn instance_count(&self) -> usize {
        self.serving_instances.load(Ordering::Relaxed).max(1)
    }

    /// Checks that this instance may accept new work. Fails when its configuration is stale. During
    /// an outage of the table service nobody can change the configuration, so it stays valid.
    pub fn check_accepting(&self) -> Result<(), Problem> {
        let now = self.now();
        let freshness = self.members.lock().freshness(now);
        let kind = match freshness {
            Freshness::Fresh | Freshness::Outage => return Ok(()),
            Freshness::Stale => ProblemKind::Stale,
        };
        Err(Problem::after(kind, OTHER_INSTANCE_RETRY_DELAY))
    }

    /// Returns the parameters of the team that owns an API key. Fails when the key is unknown or
    /// the team has no template.
    pub fn grant(&self, key: &str) -> Result<ResolvedTeam, Problem> {
        let view = self.view();
        let team =
            view.team_by_key(&Digest::of(key.as_bytes())).ok_or(ProblemKind::Unauthorised)?;
        let grant =
            view.resolve(&team).ok_or_else(|| ProblemKind::NoTemplate(team.name.clone()))?;
        Ok(grant)
    }
}
