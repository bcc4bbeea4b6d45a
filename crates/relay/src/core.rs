//! The state that all tasks of an instance share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use blame::{Blame, EndId, SuspectKey};
use bytes::Bytes;
use fleet::{Config, Replica, Snapshot, View, Weights};
use ident::{Clock, Time};
use origin::{Latest, Origins, Versions};
use parking_lot::Mutex;
use place::{ColdBound, ColdReplicas, Limits, Peers, Pool, Refusals, RetryBudgets, Tracker};
use reach::Reach;
use table::Table;
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};
use tracing::info;

use crate::{
    bodies::Bodies,
    conns::ConnPool,
    dates::RegistryClock,
    feed::Feeds,
    kept::{self, WallsChange},
    metrics::Metrics,
    origins,
    peers::{HEARD_TTL, PEER_TTL},
    protocol::Protocol,
    queue::Queues,
    releases::Releases,
    returns::{RETURN_SPAN, Returns},
    services::{Engines, Registry},
    tracking,
    versions::Listed,
    zones,
};

pub use crate::{departed::Departed, kept::StoreCatalog};

/// Older weights are no longer chosen after this share of the time for which they may be used. A
/// request may wait at the replica before it runs.
const RETIRE_SHARE: f64 = 0.75;

/// The addresses that an instance listens on.
#[derive(Debug, Clone, Copy)]
pub struct Listen {
    /// Takes callers' requests.
    pub front: SocketAddr,
    /// Answers readiness checks and serves the metrics.
    pub ready: SocketAddr,
    /// Answers queries for the addresses of instances.
    pub directory: SocketAddr,
    /// Takes peers' datagrams over UDP and their queries over TCP.
    pub peer: SocketAddr,
    /// Serves the metrics; `None` where they have no address of their own.
    pub metrics: Option<SocketAddr>,
}

/// The limits that an instance keeps.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed within `window` in addition to `ratio`, over all instances together.
    pub extra: f64,
    /// Window over which retries are counted.
    pub window: Duration,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Duration of the lease for the duties, which include orders.
    pub lease: Duration,
    /// How long older weights may still be used after a newer version is announced.
    pub version: Duration,
    /// Longest TTL of an answer that lists the addresses of instances.
    pub ttl: Duration,
    /// Whether replicas check fencing numbers.
    pub fenced: bool,
    /// Time after which no request reaches a replica of an evacuated zone.
    pub evacuation: Duration,
    /// Most requests that a cold replica gets in a second.
    pub cold: ColdBound,
    /// Memory for request bodies, in bytes.
    pub bodies: usize,
    /// Most connections that all listeners serve at a time.
    pub callers: usize,
}

/// The settings of an instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance, unique within the deployment.
    pub name: Arc<str>,
    /// Zone that the instance runs in.
    pub zone: Arc<str>,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Limits that the instance keeps.
    pub bounds: Bounds,
}

/// The adapters through which an instance reaches callers, replicas and the platform.
pub struct Adapters {
    /// Protocol of callers and replicas.
    pub protocol: Box<dyn Protocol>,
    /// The platform's registry.
    pub registry: Box<dyn Registry>,
    /// Client of engines and stores of kept KV cache.
    pub engines: Box<dyn Engines>,
    /// The instances' own table, which holds leases and the times of announced versions.
    pub table: Arc<dyn Table>,
}

/// How long after its departure a replica is listed in datagrams to peers. During this time an
/// older registry entry does not mark it as available again.
const DEPARTED_TTL: Duration = Duration::from_secs(4);
/// How long a replica that said that it is leaving is remembered. It ends sooner.
const SAID_TTL: Duration = Duration::from_secs(600);
/// How long after it was heard a peer or the registry shows that this instance's links work.
const CONTACT_TTL: Duration = Duration::from_millis(1000);

/// Time after the first configuration within which an instance that does not know the replicas yet
/// is not ready.
const REPLICAS_TIMEOUT: Duration = Duration::from_secs(1);

/// The state that all tasks of an instance share.
pub struct Core {
    /// Settings of the instance.
    pub settings: Settings,
    /// Adapters through which the instance reaches callers, replicas and the platform.
    pub adapters: Adapters,
    /// The instance's clock. It never goes back and counts the time that the instance was
    /// suspended.
    pub clock: Arc<dyn Clock>,
    /// When the first configuration was applied.
    configured_at: OnceLock<Time>,
    /// Configuration, replicas, weights and instances as last observed.
    pub view: View,
    /// Load and health of the replicas.
    pub pool: Mutex<Pool>,
    /// Retry budgets of the targets.
    pub budgets: Mutex<RetryBudgets>,
    /// Catalogs of the managed stores, sorted by the stores' names.
    pub catalogs: Mutex<Vec<StoreCatalog>>,
    /// The last change of which teams are dedicated.
    pub(crate) walls_change: Mutex<WallsChange>,
    /// Memory for request bodies.
    pub bodies: Arc<Bodies>,
    /// Connections to replicas.
    pub conns: ConnPool,
    /// Connections to peers that send requests on.
    pub(crate) peer_conns: ConnPool,
    /// Peers at which requests of this instance are, one for each request.
    pub(crate) detours: Mutex<Vec<Arc<str>>>,
    /// Which replicas this instance and its peers reach.
    pub reach: Mutex<Reach>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Number of requests in flight.
    pub active: AtomicU32,
    /// Set once the instance has been told to stop.
    pub leaving: AtomicBool,
    /// Number of peers in `last_heard`, plus one for this instance.
    pub live_instances: AtomicU32,
    /// Ready peers with the time of the last datagram, kept for four times `PEER_TTL`. A peer that
    /// reports that it is not ready is removed. Sorted by name.
    pub last_heard: Mutex<Vec<(Arc<str>, Time)>>,
    /// Releases of peers.
    pub(crate) releases: Mutex<Releases>,
    /// Bytes of the configuration in force, served to peers that can't reach the registry.
    pub config_bytes: Mutex<Bytes>,
    /// Peers with the time of the last datagram, ready or not, kept as long as in `last_heard`.
    /// Sorted by name.
    pub last_datagrams: Mutex<Vec<(Arc<str>, Time)>>,
    /// Replicas that began to leave or disappeared, for at least [`RETURN_SPAN`], in the order to tell.
    pub departed: Mutex<Vec<Departed>>,
    /// The era of the registry.
    pub returns: Returns,
    /// Maps the registry's clock to this instance's clock.
    pub registry_clock: Mutex<RegistryClock>,
    /// Set while the configuration is fetched from a peer.
    pub fetching_config: AtomicBool,
    /// Replicas that load weights by this instance's orders.
    pub loading: Mutex<Vec<Arc<str>>>,
    /// Set once no new request is accepted: listeners close and idle connections end.
    pub closing: watch::Sender<bool>,
    /// Set shortly before a stopping process ends: requests without an answer are given up.
    pub(crate) ending: watch::Sender<bool>,
    /// Wakes the task that sends datagrams to peers.
    pub notify_peers: Notify,
    /// Limits on requests that replicas name.
    pub limits: Mutex<Limits>,
    /// How many refusals replicas bear.
    pub refusals: Mutex<Refusals>,
    /// Cold replicas.
    pub cold: Mutex<ColdReplicas>,
    /// Parts of prompts, and requests, under which replicas end.
    pub blame: Mutex<Blame>,
    /// Where streams began.
    pub origins: Mutex<Origins>,
    /// Where the latest streams of this instance began.
    pub(crate) latest_origins: Mutex<Latest>,
    /// Versions of their software that replicas had lately.
    pub(crate) versions: Mutex<Versions>,
    /// The replicas as the registry listed them for take-ups of streams.
    pub(crate) listed: tokio::sync::Mutex<Option<Listed>>,
    /// Questions to peers that wait for answers.
    pub(crate) inquiries: Mutex<Vec<origins::Waiting>>,
    /// Long prompts at the engines that this instance tracks.
    pub(crate) tracker: Mutex<Tracker>,
    /// The instances among which engines are tracked.
    pub(crate) tracker_peers: Mutex<Peers>,
    /// Questions to trackers that wait for answers.
    pub(crate) work_inquiries: Mutex<Vec<tracking::Waiting>>,
    /// Socket for datagrams to peers, once it is open.
    pub(crate) peer_socket: OnceLock<Arc<UdpSocket>>,
    /// Time from which this instance may try to take a trial.
    pub(crate) next_trial: Mutex<Time>,
    /// Fatal parts and requests when they were last stored.
    pub(crate) fatal: Mutex<Vec<SuspectKey>>,
    /// Incarnations of replicas that are being checked after a connection to them broke.
    pub(crate) checked: Mutex<Vec<EndId>>,
    /// Wakes the task that tells some peers at once of new evidence in `blame` or a changed limit.
    pub(crate) notify_evidence: Notify,
    /// What peers are served of the registry, and whom this instance follows.
    pub(crate) feeds: Feeds,
    /// Requests that wait for capacity.
    pub(crate) queues: Queues,
}

impl Core {
    /// The initial state of an instance, without a configuration.
    pub fn new(settings: Settings, adapters: Adapters, clock: Arc<dyn Clock>) -> Arc<Self> {
        let metrics = Metrics::new();
        let bodies = Bodies::new(settings.bounds.bodies, clock.clone(), &metrics);
        let Bounds { ratio, window, extra, .. } = settings.bounds;
        let now = clock.now();
        // Peers know this instance by the address.
        let peer_conns = ConnPool::from_source(settings.listen.peer.ip());
        let mut cold = ColdReplicas::new(settings.bounds.cold);
        // An error means a time before 1970, by which replicas count as young.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        cold.set_origin((unix.as_millis() as u64).saturating_sub(now.0));
        let budgets = RetryBudgets::new(ratio, window, extra, now);
        Arc::new(Self {
            settings,
            adapters,
            clock,
            configured_at: OnceLock::new(),
            view: View::default(),
            pool: Mutex::default(),
            budgets: Mutex::new(budgets),
            catalogs: Mutex::default(),
            walls_change: Mutex::default(),
            bodies,
            conns: ConnPool::default(),
            peer_conns,
            detours: Mutex::default(),
            reach: Mutex::default(),
            metrics,
            active: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            live_instances: AtomicU32::new(1),
            last_heard: Mutex::default(),
            releases: Mutex::default(),
            config_bytes: Mutex::default(),
            last_datagrams: Mutex::default(),
            departed: Mutex::default(),
            returns: Returns::default(),
            registry_clock: Mutex::default(),
            fetching_config: AtomicBool::new(false),
            loading: Mutex::default(),
            closing: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            notify_peers: Notify::new(),
            limits: Mutex::default(),
            refusals: Mutex::default(),
            cold: Mutex::new(cold),
            blame: Mutex::new(Blame::new(now)),
            origins: Mutex::default(),
            latest_origins: Mutex::default(),
            versions: Mutex::default(),
            listed: tokio::sync::Mutex::default(),
            inquiries: Mutex::default(),
            tracker: Mutex::default(),
            tracker_peers: Mutex::default(),
            work_inquiries: Mutex::default(),
            peer_socket: OnceLock::new(),
            next_trial: Mutex::new(Time(0)),
            fatal: Mutex::default(),
            checked: Mutex::default(),
            notify_evidence: Notify::new(),
            feeds: Feeds::new(now),
            queues: Queues::default(),
        })
    }

    /// The current time on the instance's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether the instance has been told to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Completes shortly before the process ends.
    pub(crate) async fn ending(&self) {
        // The sender lives as long as the state does.
        let _ = self.ending.subscribe().wait_for(|ending| *ending).await;
    }

    /// Whether the instance takes requests: it has a configuration, knows the replicas and is not
    /// stopping. Where the replicas can't be read, requests are refused or go through peers after a
    /// moment.
    pub fn is_ready(&self) -> bool {
        let knows_replicas = || self.view.snapshot().confirmed.replicas > Time(0);
        let Some(since) = self.configured_at.get() else { return false };
        let waited = || self.now().since(*since) >= REPLICAS_TIMEOUT;
        !self.is_leaving() && (knows_replicas() || waited())
    }

    /// Applies a configuration if its revision is newer. `bytes` is its encoded form; `from` names
    /// its origin in the log.
    pub fn apply_config(self: &Arc<Self>, config: Config, bytes: Bytes, from: &str) {
        let (rev, routes) = (config.rev, config.routes.len());
        // How long a newer configuration may have been unknown here.
        let snapshot = self.view.snapshot();
        let known = self.now().since(snapshot.confirmed.config);
        let old = snapshot.config.as_ref().filter(|old| old.rev < rev);
        if old.is_some_and(|old| old.walls != config.walls) {
            kept::change_walls(self);
        }
        if self.view.offer_config(config) {
            // An error means that it is not the first one.
            let _ = self.configured_at.set(self.now());
            *self.config_bytes.lock() = bytes;
            self.metrics.config_rev.set(rev as i64);
            self.metrics.config_delay.observe(known.as_secs_f64());
            let known_ms = known.as_millis() as u64;
            info!(rev, routes, known_ms, from, "configuration applied");
            kept::sync_catalogs(self);
            zones::note_config(self);
        }
    }

    /// Records that a replica is leaving.
    pub fn record_departure(&self, id: &Arc<str>) {
        let started_ms = self.view.snapshot().replica(id).map_or(0, |r| r.started_ms);
        self.push_departed(id, started_ms, true, false);
    }

    /// Takes a replica that said itself that it is leaving out of the choice. Returns whether that is
    /// new.
    pub(crate) fn apply_leaving(&self, replica: &Replica) -> bool {
        if self.has_said_leaving(replica) {
            return false;
        }
        self.push_departed(&replica.id, replica.started_ms, true, true);
        let snapshot = self.view.snapshot();
        let same = |r: &&Arc<Replica>| r.started_ms == replica.started_ms;
        if snapshot.replica(&replica.id).filter(same).is_some() {
            self.view.mark_leaving(&replica.id);
            self.pool.lock().sync(&self.view.snapshot().replicas);
        }
        true
    }

    /// Whether an incarnation of a replica said itself that it is leaving.
    pub(crate) fn has_said_leaving(&self, replica: &Replica) -> bool {
        let same = |d: &Departed| d.id == replica.id && d.started_ms == replica.started_ms;
        self.departed.lock().iter().any(|d| d.said && same(d))
    }

    /// Records that a replica is gone. `started_ms` is 0 if its entry may only have expired.
    pub(crate) fn record_removal(&self, id: &Arc<str>, started_ms: u64) {
        // One that comes back counts as cold.
        self.cold.lock().retain(|known| *known != **id);
        self.push_departed(id, started_ms, false, false);
    }

    fn push_departed(&self, id: &Arc<str>, started_ms: u64, leaving: bool, said: bool) {
        let at = self.now();
        // Nothing is forgotten while the registry returns again and again.
        let forget = !self.returns.is_recent(at);
        let mut departed = self.departed.lock();
        let said =
            said || departed.iter().any(|d| d.said && d.id == *id && d.started_ms == started_ms);
        let ttl = |d: &Departed| if d.said { SAID_TTL } else { RETURN_SPAN };
        departed.retain(|d| d.id != *id && !(forget && at.since(d.at) >= ttl(d)));
        let (id, returned) = (id.clone(), false);
        departed.insert(0, Departed { id, started_ms, leaving, said, at, returned });
    }

    /// Records that a replica that had departed is registered again.
    pub(crate) fn forget_departure(&self, id: &str) {
        let mut departed = self.departed.lock();
        departed.iter_mut().filter(|d| *d.id == *id).for_each(|d| d.returned = true);
    }

    /// Whether `replica` departed before the registry returned from an older copy, in which its
    /// entry may be as it was before. That is forgotten [`RETURN_SPAN`] after the rise of the era.
    pub(crate) fn departed_before_return(&self, replica: &Replica) -> bool {
        let Some((first, last)) = self.returns.series() else { return false };
        if replica.started_ms == 0 || self.now().since(last) >= RETURN_SPAN {
            return false;
        }
        // A replica that was removed after a rise may have registered again since. One that is
        // leaving stays so, whenever a peer or an answer said it.
        let counts = |d: &Departed| (d.leaving || d.at <= last) && first.since(d.at) < RETURN_SPAN;
        let same =
            |d: &Departed| d.id == replica.id && d.started_ms == replica.started_ms && !d.returned;
        self.departed.lock().iter().any(|d| same(d) && counts(d))
    }

    /// Whether a replica began to leave or disappeared within [`DEPARTED_TTL`].
    pub fn recently_departed(&self, id: &str) -> bool {
        let now = self.now();
        let departed = self.departed.lock();
        departed.iter().any(|d| *d.id == *id && now.since(d.at) < DEPARTED_TTL)
    }

    /// Whether an incarnation of a replica had announced that it leaves.
    pub(crate) fn has_left(&self, replica: &Replica) -> bool {
        let same = |id: &str, started_ms| *id == *replica.id && started_ms == replica.started_ms;
        let snapshot = self.view.snapshot();
        let known = snapshot.replica(&replica.id).filter(|r| same(&r.id, r.started_ms));
        known.is_some_and(|r| r.leaving)
            || self.departed.lock().iter().any(|d| d.leaving && same(&d.id, d.started_ms))
    }

    /// Replicas that departed within [`DEPARTED_TTL`] and have not registered again.
    pub(crate) fn lately_departed(&self) -> Vec<Departed> {
        let now = self.now();
        let departed = self.departed.lock();
        let lately = departed.iter().filter(|d| !d.returned && now.since(d.at) < DEPARTED_TTL);
        lately.cloned().collect()
    }

    /// Whether a datagram of a peer, ready or not, came lately.
    pub(crate) fn is_heard(&self, name: &str) -> bool {
        let now = self.now();
        let heard = self.last_datagrams.lock();
        let found = heard.binary_search_by(|(n, _)| (**n).cmp(name));
        found.is_ok_and(|at| now.since(heard[at].1) < HEARD_TTL)
    }

    /// The oldest version of a model's weights that a request may use; 0 allows any.
    pub(crate) fn min_version(&self, weights: &Weights, now: Time) -> u64 {
        weights.min_version(self.settings.bounds.version.mul_f64(RETIRE_SHARE), now)
    }

    /// Whether a ready peer was heard within [`PEER_TTL`].
    pub(crate) fn is_ready_peer(&self, name: &str) -> bool {
        let now = self.now();
        let heard = self.last_heard.lock();
        let found = heard.binary_search_by(|(n, _)| (**n).cmp(name));
        found.is_ok_and(|at| now.since(heard[at].1) < PEER_TTL)
    }

    /// Whether a peer or the registry was heard lately, or there is no peer. Without that, silence
    /// of a replica may be this instance's own.
    pub(crate) fn is_in_contact(&self) -> bool {
        let now = self.now();
        let snapshot = self.view.snapshot();
        let alone = snapshot.instances.iter().all(|i| i.name == self.settings.name);
        let heard = self.last_datagrams.lock().iter().any(|(_, at)| now.since(*at) < CONTACT_TTL);
        alone || heard || now.since(snapshot.confirmed.registry) < CONTACT_TTL
    }

    /// Records the era of the registry's newest answer.
    pub(crate) fn observe_era(&self) {
        let confirmed = self.view.snapshot().confirmed.registry;
        self.returns.observe(self.adapters.registry.era(), confirmed, self.now(), &self.metrics);
    }

    /// Time until this process has run for a window of the retry budget. Peers of earlier releases ask
    /// for it.
    pub(crate) fn young_for(&self) -> Duration {
        self.feeds.started().after(self.settings.bounds.window).since(self.now())
    }

    /// Number of instances among which limits for the whole deployment are divided, at least 1.
    pub fn instance_count(&self, snapshot: &Snapshot) -> u32 {
        let live = self.live_instances.load(Ordering::Relaxed);
        live.max(snapshot.instances.len() as u32).max(1)
    }
}
