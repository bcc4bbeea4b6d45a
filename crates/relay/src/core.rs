//! What all tasks of an instance share.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use fleet::{Setup, Snapshot, Store, View};
use ident::{Clock, Time};
use parking_lot::Mutex;
use place::{Budgets, Catalog, Pool};
use table::Table;
use tokio::sync::{Notify, Semaphore, watch};
use tracing::info;

use crate::{
    conns::Conns,
    dates::Dial,
    dialect::Dialect,
    kept,
    metrics::Metrics,
    outside::{Engines, Registry},
};

/// Where an instance listens.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Questions about readiness, and metrics.
    pub ready: SocketAddr,
    /// Questions for addresses.
    pub directory: SocketAddr,
    /// Peers' datagrams, and over TCP their questions.
    pub peer: SocketAddr,
    /// Metrics, where they have an address of their own.
    pub metrics: Option<SocketAddr>,
}

/// The bounds that an instance keeps.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends beside those, over all instances.
    pub extra: f64,
    /// The span within which repeats are counted.
    pub window: Duration,
    /// From SIGTERM to the end of the process.
    pub grace: Duration,
    /// Term of the lease for orders.
    pub lease: Duration,
    /// After new weights are named, older ones are not used any more.
    pub version: Duration,
    /// The longest time that an answer for addresses may be kept.
    pub ttl: Duration,
    /// Replicas check fencing numbers.
    pub fenced: bool,
    /// Memory that request bodies may take, in bytes.
    pub bodies: usize,
    /// Connections of callers.
    pub callers: usize,
}

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Where it listens.
    pub listen: Listen,
    /// What it keeps to.
    pub bounds: Bounds,
}

/// The adapters that an instance runs on.
pub struct Outside {
    /// How callers and replicas speak.
    pub dialect: Box<dyn Dialect>,
    /// The platform's registry.
    pub registry: Box<dyn Registry>,
    /// Engines and stores of kept KV cache.
    pub engines: Box<dyn Engines>,
    /// Rows of the instances' own, for leases.
    pub table: Arc<dyn Table>,
}

/// A store of kept KV cache and what it holds.
#[derive(Debug)]
pub struct Shelf {
    /// The store.
    pub store: Arc<Store>,
    /// What it holds.
    pub catalog: Catalog,
}

/// Bytes of a body that one permit stands for.
pub const BODY_UNIT: usize = 1024;
/// How long peers are told of a replica that leaves, and an older entry does not bring it back.
const DEPARTED_TERM: Duration = Duration::from_secs(4);

/// What all tasks of an instance share.
pub struct Core {
    /// Its settings.
    pub settings: Settings,
    /// Its adapters.
    pub outside: Outside,
    /// Never decreases and counts the time that the instance was suspended.
    pub clock: Arc<dyn Clock>,
    /// What it knows of its surroundings.
    pub view: View,
    /// Load and health of the replicas.
    pub pool: Mutex<Pool>,
    /// Repeated sends.
    pub budgets: Mutex<Budgets>,
    /// Sorted by the stores' names.
    pub shelves: Mutex<Vec<Shelf>>,
    /// Memory for the bodies of requests, in permits of [`BODY_UNIT`].
    pub bodies: Arc<Semaphore>,
    /// Connections to replicas.
    pub conns: Conns,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests in progress.
    pub active: AtomicU32,
    /// Set once the process is to end.
    pub leaving: AtomicBool,
    /// Instances that lately told of themselves, this one included.
    pub live: AtomicU32,
    /// Peers that lately told of themselves, with the time. Sorted by name.
    pub heard: Mutex<Vec<(Arc<str>, Time)>>,
    /// The bytes of the configuration in force, for peers that can't reach the registry.
    pub source: Mutex<Bytes>,
    /// Replicas that lately began to leave or vanished, and when this instance learnt of it.
    pub departed: Mutex<Vec<(Arc<str>, Time)>>,
    /// The registry's clock.
    pub dial: Mutex<Dial>,
    /// A peer is being asked for its configuration.
    pub asking: AtomicBool,
    /// Replicas that load weights by this instance's orders.
    pub loading: Mutex<Vec<Arc<str>>>,
    /// Set once no request is taken any more: listeners close, idle connections end.
    pub closing: watch::Sender<bool>,
    /// Wakes the task that tells peers.
    pub tell: Notify,
}

impl Core {
    /// The state of an instance that knows nothing yet.
    pub fn new(settings: Settings, outside: Outside, clock: Arc<dyn Clock>) -> Arc<Self> {
        let bodies = Arc::new(Semaphore::new(settings.bounds.bodies / BODY_UNIT));
        let budgets = Budgets::new(settings.bounds.ratio, settings.bounds.window);
        Arc::new(Self {
            settings,
            outside,
            clock,
            view: View::default(),
            pool: Mutex::default(),
            budgets: Mutex::new(budgets),
            shelves: Mutex::default(),
            bodies,
            conns: Conns::default(),
            metrics: Metrics::new(),
            active: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            live: AtomicU32::new(1),
            heard: Mutex::default(),
            source: Mutex::default(),
            departed: Mutex::default(),
            dial: Mutex::default(),
            asking: AtomicBool::new(false),
            loading: Mutex::default(),
            closing: watch::Sender::new(false),
            tell: Notify::new(),
        })
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether the process is to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether the instance takes requests.
    pub fn ready(&self) -> bool {
        !self.is_leaving() && self.view.get().setup.is_some()
    }

    /// Puts a configuration in force, unless it isn't newer. `bytes` are what it was read from.
    pub fn take_setup(self: &Arc<Self>, setup: Setup, bytes: Bytes, from: &str) {
        let (rev, routes) = (setup.rev, setup.routes.len());
        if self.view.offer_setup(setup) {
            *self.source.lock() = bytes;
            info!(rev, routes, from, "configuration in force");
            kept::sync_shelves(self);
        }
    }

    /// Notes that a replica leaves or is gone.
    pub fn depart(&self, id: &Arc<str>) {
        let now = self.now();
        let mut departed = self.departed.lock();
        departed.retain(|(known, at)| known != id && now.since(*at) < DEPARTED_TERM);
        departed.push((id.clone(), now));
    }

    /// Whether a replica lately began to leave or vanished.
    pub fn departed(&self, id: &str) -> bool {
        let now = self.now();
        let departed = self.departed.lock();
        departed.iter().any(|(known, at)| &**known == id && now.since(*at) < DEPARTED_TERM)
    }

    /// How many instances share what is bounded over all of them.
    pub fn sharers(&self, snapshot: &Snapshot) -> u32 {
        let live = self.live.load(Ordering::Relaxed);
        live.max(snapshot.instances.len() as u32).max(1)
    }
}
