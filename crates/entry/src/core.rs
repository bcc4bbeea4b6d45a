//! What the handlers of one instance share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use conf::{Grant, Target, TargetKind, View};
use events::{EventKind, Log};
use ident::{Clock, Digest, Name, RequestId, Secret, Time};
use ledger::Ledger;
use member::{Freshness, Members};
use outbound::{Engine, Service, Store};
use parking_lot::{Mutex, RwLock};

use crate::{
    admission::Admission,
    asked::Asked,
    contexts::ContextShards,
    metrics::Metrics,
    pools::Pools,
    problem::{Fault, Problem},
    running::Running,
    stores::Stores,
};

/// Advice to a caller whose instance cannot take work: another address may at once.
const ELSEWHERE: Duration = Duration::from_millis(250);

/// Where random numbers come from.
pub trait Draw: Send + Sync {
    /// A random number.
    fn draw(&self) -> u64;
}

/// The keys of a deployment, one for each purpose.
pub struct Secrets {
    /// Piece keys, records and cache salts.
    pub cache: Secret,
    /// Stream handles.
    pub handle: Secret,
}

/// Clients of everything behind the instance.
pub struct Backends {
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Store instances.
    pub store: Arc<dyn Store>,
    /// Plain services.
    pub service: Arc<dyn Service>,
}

/// Limits on what one caller may send.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Largest request body, in bytes.
    pub body: usize,
}

/// State shared by all handlers and background tasks of an instance.
pub struct Core {
    /// The instance's name.
    pub name: Name,
    /// The instance's zone.
    pub zone: Name,
    /// The process clock.
    pub clock: Arc<dyn Clock>,
    /// Random numbers.
    pub draws: Arc<dyn Draw>,
    /// The deployment's keys.
    pub secrets: Secrets,
    /// Limits on bodies.
    pub sizes: Sizes,
    /// The configuration in force; replaced whole by a later revision only.
    pub view: RwLock<Arc<View>>,
    /// The instances of the deployment as this one knows them.
    pub members: Mutex<Members>,
    /// How many instances take work, as last counted.
    pub serving: AtomicUsize,
    /// Replicas, a shard for each target.
    pub pools: Pools,
    /// Store instances and their links.
    pub stores: Stores,
    /// Where contexts were last hot.
    pub contexts: ContextShards,
    /// Admission to this instance.
    pub admission: Admission,
    /// At-most-once calls.
    pub ledger: Ledger,
    /// Clients.
    pub backends: Backends,
    /// Time line of this instance.
    pub events: Log,
    /// Counters.
    pub metrics: Metrics,
    /// Work in progress.
    pub running: Running,
}

impl Core {
    /// The current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// A new random identifier.
    pub fn id(&self) -> RequestId {
        RequestId(u128::from(self.draws.draw()) << 64 | u128::from(self.draws.draw()))
    }

    /// Records an event on the time line.
    pub fn record(&self, kind: EventKind) {
        self.events.record(self.now(), kind);
    }

    /// Records that a request ends with a problem.
    pub fn refuse(&self, asked: &Asked, problem: &Problem) {
        let reason = Name::new(problem.fault.label()).expect("labels of problems are names");
        let (request, team) = (asked.id, asked.grant.team.clone());
        self.record(EventKind::Refused { request, team, reason });
    }

    /// The configuration in force.
    pub fn view(&self) -> Arc<View> {
        self.view.read().clone()
    }

    /// Puts a later configuration in force. Asserts that the revision never falls.
    pub fn install(&self, view: Arc<View>) {
        let mut slot = self.view.write();
        assert!(view.rev() >= slot.rev(), "a configuration revision must never fall");
        self.metrics.revision.set(i64::try_from(view.rev().0).unwrap_or(i64::MAX));
        *slot = view;
    }

    /// Applies what the configuration in force withdraws to the replicas now known.
    pub fn sync_withdrawn(&self) {
        self.pools.sync_withdrawn(&self.view());
    }

    /// The model deployments of an organisation.
    pub fn engines(&self, org: &Name) -> Vec<Name> {
        let view = self.view();
        let is_engine = |t: &&Arc<Target>| matches!(t.kind, TargetKind::Engine { .. });
        let own = view.targets().filter(is_engine).filter(|t| t.org == *org);
        own.map(|t| t.name.clone()).collect()
    }

    /// How many instances take work, this one included.
    pub fn instances(&self) -> usize {
        self.serving.load(Ordering::Relaxed).max(1)
    }

    /// Refuses new work where the configuration in force cannot be confirmed.
    pub fn taking(&self) -> Result<(), Problem> {
        let now = self.now();
        let freshness = self.members.lock().freshness(now);
        let fault = match freshness {
            Freshness::Fresh | Freshness::Outage => return Ok(()),
            Freshness::Stale => Fault::Stale,
        };
        Err(Problem::after(fault, ELSEWHERE))
    }

    /// The parameters of the team that owns an API key.
    pub fn grant(&self, key: &str) -> Result<Grant, Problem> {
        let view = self.view();
        let team = view.team_of(&Digest::of(key.as_bytes())).ok_or(Fault::Unauthorised)?;
        let grant = view.grant(&team).ok_or_else(|| Fault::NoTemplate(team.name.clone()))?;
        Ok(grant)
    }
}
