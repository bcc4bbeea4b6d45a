//! Assembles an instance from its settings and runs it until it is drained.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use blob::{Blob, BlobError, S3};
use conf::{Store, View};
use entry::{Admission, Backends, ContextShards, Core, Metrics, Pools, Secrets, Sizes, Stores};
use events::{EventKind, Log};
use ident::{Boot, Clock, Secret};
use ledger::Ledger;
use member::{Config, Me, Members};
use outbound::{Client, Deadlines, EngineClient, ListClient, ServiceClient, StoreClient};
use parking_lot::{Mutex, RwLock};
use table::{Dynamo, Table, TableError};
use tokio::sync::watch;
use wire::{Hub, WireError};

use crate::{
    clock::{ProcessClock, Random, boot},
    control::Operator,
    counted::Counted,
    drain::{self, Drained, Stage},
    follow::Follower,
    gossip::{self, PeerHandler},
    rollout::{self, Rollouts},
    serve::{self, Limited, ServeError},
    settings::{KeyError, Limits, Settings},
    upkeep, watch as watching,
};

/// Longest call to the table service.
const TABLE_TERM: Duration = Duration::from_millis(1500);
/// Contexts remembered.
const CONTEXTS: usize = 16 * 1024;
/// Events kept for the time line.
const EVENTS: usize = 8 * 1024;

/// Why an instance could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The deployment's key is missing.
    #[error("keys.deployment_file: {0}")]
    Key(#[from] KeyError),
    /// The table client could not be made.
    #[error("platform.table: {0}")]
    Table(#[from] TableError),
    /// The object store client could not be made.
    #[error("platform.objects: {0}")]
    Objects(#[from] BlobError),
    /// An address could not be served.
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
    stage: watch::Sender<Stage>,
    stop: watch::Sender<bool>,
    limits: watch::Sender<Limits>,
    servers: Vec<tokio::task::JoinHandle<()>>,
    most: Duration,
    addr: SocketAddr,
}

impl Node {
    /// Binds all addresses and starts all tasks.
    pub async fn start(settings: &Settings) -> Result<Self, NodeError> {
        let boot = boot();
        let material = settings.keys.deployment.material()?;
        let url = settings.platform.table.url.to_string();
        let table = Dynamo::new(&url, &settings.platform.table.name, TABLE_TERM)?;
        let metrics = Metrics::new()?;
        let table: Arc<dyn Table> = Arc::new(Counted::new(Arc::new(table), metrics.table.clone()));
        let objects = &settings.platform.objects;
        let blob: Arc<dyn Blob> = Arc::new(S3::new(&objects.url.to_string(), &objects.bucket)?);
        let parts = Parts { table, blob, boot, metrics, material: material.bytes() };
        let core = Arc::new(core(settings, &parts)?);
        core.record(EventKind::Started);

        let store = Arc::new(Store::new(parts.table.clone(), parts.blob.clone()));
        let follower = Arc::new(Follower::new(core.clone(), store.clone()));
        let rollouts = Arc::new(Rollouts::new(core.clone(), parts.table.clone()));
        let peers = Secret::derive("lentilpitch peers", material.bytes());
        let handler = Arc::new(PeerHandler::new(core.clone(), follower.clone()));
        let name = settings.name.clone();
        let hub = Arc::new(Hub::bind(settings.listen.peers, name, boot, peers, handler)?);
        let (stage, _) = watch::channel(Stage::Serving);
        let operators = settings.keys.operators.clone();
        let operator = Operator::new(
            core.clone(),
            store,
            follower.clone(),
            rollouts.clone(),
            stage.clone(),
            (boot, operators),
        );
        let (stop, stopped) = watch::channel(false);
        let servers = listen(settings, &core, Arc::new(operator), &stopped).await?;
        let (limits, changes) = watch::channel(settings.limits);
        spawn_tasks(settings, &core, follower, hub, rollouts, changes);
        let most = settings.drain.most;
        Ok(Self { core, stage, stop, limits, servers, most, addr: settings.listen.callers })
    }

    /// Where callers connect.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Orders the instance to stop.
    pub fn handle(&self) -> NodeHandle {
        NodeHandle { stage: self.stage.clone(), limits: self.limits.clone() }
    }

    /// Waits until the instance was ordered to stop and is drained, then ends its servers.
    pub async fn drained(self) -> Drained {
        let drained = drain::wait(self.core.clone(), self.stage.subscribe(), self.most).await;
        self.core.record(EventKind::Stopped);
        self.stop.send_replace(true);
        for server in self.servers {
            // A server that panicked has ended as well.
            let _ = server.await;
        }
        drained
    }
}

/// Orders a running instance.
#[derive(Clone)]
pub struct NodeHandle {
    stage: watch::Sender<Stage>,
    limits: watch::Sender<Limits>,
}

impl NodeHandle {
    /// Starts the planned stop.
    pub fn drain(&self) {
        self.stage.send_replace(Stage::Draining);
    }

    /// Applies other limits, those of [`Settings::reload`]: `running` and `queue`.
    pub fn limit(&self, limits: Limits) {
        self.limits.send_replace(limits);
    }
}

struct Parts<'a> {
    table: Arc<dyn Table>,
    blob: Arc<dyn Blob>,
    boot: Boot,
    metrics: Metrics,
    material: &'a [u8],
}

fn core(settings: &Settings, parts: &Parts<'_>) -> Result<Core, NodeError> {
    let clock: Arc<dyn Clock> = Arc::new(ProcessClock::new());
    let client = Client::new(Deadlines::default());
    let (name, zone) = (settings.name.clone(), settings.zone.clone());
    let me = Me {
        name: name.clone(),
        zone: zone.clone(),
        addr: settings.advertise,
        peer: settings.listen.peers,
        boot: parts.boot,
        started: clock.now(),
    };
    Ok(Core {
        events: Log::new(name.clone(), parts.boot, EVENTS),
        ledger: Ledger::new(parts.table.clone(), parts.blob.clone(), clock.clone(), name.clone()),
        name,
        zone,
        clock,
        draws: Arc::new(Random),
        secrets: Secrets {
            cache: Secret::derive("lentilpitch cache", parts.material),
            handle: Secret::derive("lentilpitch handle", parts.material),
        },
        sizes: Sizes { body: settings.limits.body_bytes },
        view: RwLock::new(Arc::new(View::default())),
        members: Mutex::new(Members::new(me, Config::default())),
        serving: Default::default(),
        pools: Pools::new(Box::new(|| Box::new(route::Cost))),
        stores: Stores::default(),
        contexts: ContextShards::new(CONTEXTS),
        admission: Admission::default(),
        backends: Backends {
            engine: Arc::new(EngineClient::new(client.clone())),
            store: Arc::new(StoreClient::new(client)),
            service: Arc::new(ServiceClient),
        },
        metrics: parts.metrics.clone(),
        running: Default::default(),
    })
}

async fn listen(
    settings: &Settings,
    core: &Arc<Core>,
    operator: Arc<dyn admin::Control>,
    stopped: &watch::Receiver<bool>,
) -> Result<Vec<tokio::task::JoinHandle<()>>, NodeError> {
    let callers = serve::bind(settings.listen.callers).await?;
    let callers = Limited::new(callers, settings.limits.connections);
    let admins = serve::bind(settings.listen.admin).await?;
    let router = entry::router(core.clone());
    let callers = match &settings.tls {
        Some(tls) => {
            let config = serve::tls_config(tls)?;
            tokio::spawn(serve::tls(callers, config, router, stopped.clone()))
        }
        None => tokio::spawn(serve::plain(callers, router, stopped.clone())),
    };
    let router = admin::router(operator);
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
    let instances = Arc::new(ListClient::new(Client::new(Deadlines::default()), addr, path));
    tokio::spawn(follower.clone().run());
    tokio::spawn(gossip::run(core.clone(), follower, hub));
    tokio::spawn(watching::list(core.clone(), instances));
    tokio::spawn(watching::loads(core.clone()));
    tokio::spawn(upkeep::queue(core.clone()));
    tokio::spawn(upkeep::rounds(core.clone(), limits));
    tokio::spawn(upkeep::sweeps(core.clone()));
    tokio::spawn(rollout::run(rollouts));
}
