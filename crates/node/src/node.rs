//! Assembles an instance from its settings and runs it until it is drained.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use blob::{Blob, BlobError, S3};
use conf::{Store, View};
use entry::{
    Admission, Backends, ContextShards, Core, Metrics, Pools, RequestLimits, Secrets, Stores,
};
use events::{EventKind, Log};
use ident::{Boot, Clock, Secret};
use ledger::Ledger;
use member::{Config, LocalInstance, Members};
use outbound::{Client, EngineClient, InstanceListClient, ServiceClient, StoreClient, Timeouts};
use parking_lot::{Mutex, RwLock};
use table::{Dynamo, Table, TableError};
use tokio::sync::watch;
use wire::{Hub, WireError};

use crate::{
    clock::{ProcessClock, Random, new_boot},
    control::InstanceControl,
    counted_table::CountedTable,
    drain::{self, DrainOutcome, DrainState},
    follow::Follower,
    gossip::{self, PeerHandler},
    poll,
    rollout::{self, Rollouts},
    serve::{self, LimitedListener, ServeError},
    settings::{KeyError, Limits, Settings},
    upkeep,
};

/// Timeout of a call to the table service.
const TABLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of recently served contexts kept in memory.
const MAX_CONTEXTS: usize = 16 * 1024;
/// Maximum number of events kept for the admin API.
const MAX_EVENTS: usize = 8 * 1024;

/// An instance could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The deployment key could not be read.
    #[error("keys.deployment_file: {0}")]
    Key(#[from] KeyError),
    /// The client of the table service could not be created.
    #[error("platform.table: {0}")]
    Table(#[from] TableError),
    /// The client of the object store could not be created.
    #[error("platform.objects: {0}")]
    Objects(#[from] BlobError),
    /// A listener could not be started.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The peer socket could not be bound.
    #[error("listen.peers: {0}")]
    Peers(#[from] WireError),
    /// The metrics could not be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A running instance.
pub struct Node {
    core: Arc<Core>,
    drain_state: watch::Sender<DrainState>,
    stop: watch::Sender<bool>,
    limits: watch::Sender<Limits>,
    servers: Vec<tokio::task::JoinHandle<()>>,
    drain_grace: Duration,
    addr: SocketAddr,
}

impl Node {
    /// Binds all addresses and starts all tasks.
    pub async fn start(settings: &Settings) -> Result<Self, NodeError> {
        let boot = new_boot();
        let key = settings.keys.deployment.material()?;
        let url = settings.platform.table.url.to_string();
        let table = Dynamo::new(&url, &settings.platform.table.name, TABLE_TIMEOUT)?;
        let metrics = Metrics::new()?;
        let table: Arc<dyn Table> =
            Arc::new(CountedTable::new(Arc::new(table), metrics.table_operations.clone()));
        let objects = &settings.platform.objects;
        let blob: Arc<dyn Blob> = Arc::new(S3::new(&objects.url.to_string(), &objects.bucket)?);
        let resources = Resources { table, blob, boot, metrics, key: key.bytes() };
        let core = Arc::new(new_core(settings, &resources)?);
        core.record(EventKind::Started);

        let config_store = Arc::new(Store::new(resources.table.clone(), resources.blob.clone()));
        let follower = Arc::new(Follower::new(core.clone(), config_store.clone()));
        let rollouts =
            Arc::new(Rollouts::new(core.clone(), follower.clone(), resources.table.clone()));
        let peers = Secret::derive("lentilpitch peers", key.bytes());
        let handler = Arc::new(PeerHandler::new(core.clone(), follower.clone()));
        let name = settings.name.clone();
        let hub = Arc::new(Hub::bind(settings.listen.peers, name, boot, peers, handler)?);
        let (drain_state, _) = watch::channel(DrainState::Serving);
        let operator_key_digests = settings.keys.operators.clone();
        let control = InstanceControl::new(
            core.clone(),
            config_store,
            follower.clone(),
            rollouts.clone(),
            drain_state.clone(),
            (boot, operator_key_digests),
        );
        let (stop, stopped) = watch::channel(false);
        let servers = start_servers(settings, &core, Arc::new(control), &stopped).await?;
        let (limits, changes) = watch::channel(settings.limits);
        spawn_tasks(settings, &core, follower, hub, rollouts, changes);
        let drain_grace = settings.drain.most;
        Ok(Self {
            core,
            drain_state,
            stop,
            limits,
            servers,
            drain_grace,
            addr: settings.listen.callers,
        })
    }

    /// Address of the callers' listener.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a handle that controls the running instance.
    pub fn handle(&self) -> NodeHandle {
        NodeHandle { drain_state: self.drain_state.clone(), limits: self.limits.clone() }
    }

    /// Runs the instance until it is told to drain and is drained, then stops its servers.
    pub async fn run_until_drained(self) -> DrainOutcome {
        let outcome =
            drain::wait(self.core.clone(), self.drain_state.subscribe(), self.drain_grace).await;
        self.core.record(EventKind::Stopped);
        self.stop.send_replace(true);
        for server in self.servers {
            // An error means that the server panicked, so it has ended too.
            let _ = server.await;
        }
        outcome
    }
}

/// Controls a running instance.
#[derive(Clone)]
pub struct NodeHandle {
    drain_state: watch::Sender<DrainState>,
    limits: watch::Sender<Limits>,
}

impl NodeHandle {
    /// Starts to drain the instance.
    pub fn drain(&self) {
        self.drain_state.send_replace(DrainState::Draining);
    }

    /// Applies new limits while the instance runs. Only `running` and `queue` may differ from the
    /// old limits, see [`Settings::reload`].
    pub fn set_limits(&self, limits: Limits) {
        self.limits.send_replace(limits);
    }
}

/// What [`new_core`] needs besides the settings.
struct Resources<'a> {
    table: Arc<dyn Table>,
    blob: Arc<dyn Blob>,
    boot: Boot,
    metrics: Metrics,
    /// The secret that all instances of the deployment share.
    key: &'a [u8],
}

fn new_core(settings: &Settings, resources: &Resources<'_>) -> Result<Core, NodeError> {
    let clock: Arc<dyn Clock> = Arc::new(ProcessClock::new());
    let client = Client::new(Timeouts::default());
    let (name, zone) = (settings.name.clone(), settings.zone.clone());
    let me = LocalInstance {
        name: name.clone(),
        zone: zone.clone(),
        addr: settings.advertise,
        peer_addr: settings.listen.peers,
        boot: resources.boot,
        started: clock.now(),
    };
    Ok(Core {
        events: Log::new(name.clone(), resources.boot, MAX_EVENTS),
        ledger: Ledger::new(
            resources.table.clone(),
            resources.blob.clone(),
            clock.clone(),
            name.clone(),
        ),
        name,
        zone,
        clock,
        random: Arc::new(Random),
        secrets: Secrets {
            cache: Secret::derive("lentilpitch cache", resources.key),
            handle: Secret::derive("lentilpitch handle", resources.key),
        },
        request_limits: RequestLimits { max_body_bytes: settings.limits.body_bytes },
        view: RwLock::new(Arc::new(View::default())),
        members: Mutex::new(Members::new(me, Config::default())),
        serving_instances: Default::default(),
        pools: Pools::new(Box::new(|| Box::new(route::Cost))),
        stores: Stores::default(),
        contexts: ContextShards::new(MAX_CONTEXTS),
        admission: Admission::default(),
        backends: Backends {
            engine: Arc::new(EngineClient::new(client.clone())),
            store: Arc::new(StoreClient::new(client)),
            service: Arc::new(ServiceClient),
        },
        metrics: resources.metrics.clone(),
        running: Default::default(),
    })
}

/// Binds the listeners of callers and operators and starts their servers, which run until `stopped`
/// is true.
async fn start_servers(
    settings: &Settings,
    core: &Arc<Core>,
    control: Arc<dyn admin::Control>,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<tokio::task::JoinHandle<()>>, NodeError> {
    let callers = serve::bind(settings.listen.callers).await?;
    let callers = LimitedListener::new(callers, settings.limits.connections);
    let admins = serve::bind(settings.listen.admin).await?;
    let router = entry::router(core.clone());
    let callers = match &settings.tls {
        Some(tls) => {
            let config = serve::tls_config(tls)?;
            tokio::spawn(serve::tls(callers, config, router, stopped.clone()))
        }
        None => tokio::spawn(serve::plain(callers, router, stopped.clone())),
    };
    let router = admin::router(control);
    let admins = tokio::spawn(serve::plain(admins, router, stopped.clone()));
    Ok(vec![callers, admins])
}

fn spawn_tasks(
    settings: &Settings,
    core: &Arc<Core>,
    follower: Arc<Follower>,
    hub: Arc<Hub>,
    rollouts: Arc<Rollouts>,
    limits: watch::Receiver<Limits>,
) {
    let list = &settings.platform.list;
    let addr = settings.platform.list_addr();
    let path = list.path_and_query().map_or("/", |p| p.as_str());
    let instances = Arc::new(InstanceListClient::new(Client::new(Timeouts::default()), addr, path));
    tokio::spawn(follower.clone().run());
    tokio::spawn(gossip::run(core.clone(), follower, hub));
    tokio::spawn(poll::list(core.clone(), instances));
    tokio::spawn(poll::replica_loads(core.clone()));
    tokio::spawn(upkeep::run_queue(core.clone()));
    tokio::spawn(upkeep::update_shares(core.clone(), limits));
    tokio::spawn(upkeep::retry_outcome_writes(core.clone()));
    tokio::spawn(rollout::run(rollouts));
}
