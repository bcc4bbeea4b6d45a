//! The operators' configuration, in the form that routing uses.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::Walls;

/// The kind of a route's requests. It determines whether a request with unknown outcome may be
/// retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once each time that the caller sends it.
    Mutating,
    /// A request is answered by a stream of events. It runs at most once unless the route is
    /// resumable.
    Streaming,
}

/// A target of a route and its share of the route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteShare {
    /// Name of the target.
    pub target: Arc<str>,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route: the targets for requests with a certain host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host of the requests, without a port.
    pub host: Arc<str>,
    /// Path prefix of the requests. It begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Whether a broken stream may be resumed at another replica, after its last event.
    pub resumable: bool,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Time within which an answer counts as on time.
    pub goal: Duration,
    /// Largest number of replicas that one request of a caller may run on; at least 1.
    pub attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether requests are placed by the model and prompt parts that they describe.
    pub sticky: bool,
    /// Targets of the route; not empty.
    pub shares: Vec<RouteShare>,
}

impl Route {
    /// Whether a request that may have run already may be retried.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::Mutating => false,
            RequestKind::Streaming => self.resumable,
        }
    }
}

/// Properties of the replicas of a target that are model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Number of requests that a replica runs at once.
    pub slots: u32,
    /// Capacity of a replica's KV cache, in tokens.
    pub capacity_tokens: u64,
    /// Size of the KV cache of one token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth for transfers of KV cache, in Mbit/s.
    pub link_mbps: f64,
    /// Names of the models that the replicas serve.
    pub models: Vec<Arc<str>>,
}

/// The requests that a cold replica of a target takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// How long a replica is cold after it starts during traffic; above zero.
    pub span: Duration,
    /// Requests per second that a cold replica takes from all instances together; above 0.
    pub rate: f64,
}

/// A service that requests are routed to.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the target.
    pub name: Arc<str>,
    /// Number of connections that one replica accepts from all instances together.
    pub max_conns: u32,
    /// Properties of the engines; `None` if the replicas are not model engines.
    pub engine: Option<Engine>,
    /// What a cold replica takes; `None` for no limit.
    pub cold: Option<ColdLimit>,
}

/// A store for KV cache.
#[derive(Debug, Clone, PartialEq)]
pub struct Store {
    /// Name of the store.
    pub name: Arc<str>,
    /// Address that the store listens on.
    pub addr: SocketAddr,
    /// Availability zone of the store.
    pub zone: Arc<str>,
    /// Capacity of the store, in tokens.
    pub capacity_tokens: u64,
    /// Bandwidth of the store's link, in Mbit/s.
    pub link_mbps: f64,
    /// Number of pending event requests that the store holds at once.
    pub max_polls: u32,
    /// Additional delay of each transfer, in ms.
    pub delay_ms: f64,
    /// Whether the store frees no parts by itself, so that the instances must free them.
    pub managed: bool,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: Arc<str>,
    /// Priority of the team's requests, 0 is the highest; `None` for the route's priority.
    pub priority: Option<u8>,
    /// Whether the team shares no KV cache with other teams.
    pub dedicated: bool,
}

/// An API key and the team that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// Secret that callers send.
    pub secret: Arc<str>,
    /// Index into [`Config::teams`].
    pub team: usize,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Timeout for an idle connection.
    pub idle_timeout: Duration,
}

/// A configuration that was accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Revision of the configuration. It grows with each configuration, not always by 1.
    pub rev: u64,
    /// All routes, sorted by host, then by decreasing length of the prefix.
    pub routes: Vec<Route>,
    /// All targets, sorted by name.
    pub targets: Vec<Target>,
    /// All stores, sorted by name.
    pub stores: Vec<Store>,
    /// All teams, in the operators' order.
    pub teams: Vec<Team>,
    /// All API keys, sorted by secret.
    pub keys: Vec<Key>,
    /// Whether requests need an API key, except on public routes.
    pub requires_key: bool,
    /// The dedicated ones of `teams`. Set by [`Config::sorted`].
    pub walls: Walls,
    /// Limits on what callers may send.
    pub limits: Limits,
}

impl Config {
    /// Sorts the lists as the lookups require, and sets what follows from them.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes
            .sort_by(|a, b| a.host.cmp(&b.host).then_with(|| b.prefix.len().cmp(&a.prefix.len())));
        self.targets.sort_by(|a, b| a.name.cmp(&b.name));
        self.stores.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort_by(|a, b| a.secret.cmp(&b.secret));
        self.walls = Walls::new(&self.teams);
        self
    }

    /// Returns the route of `host` with the longest prefix that matches `path`; `None` if no route
    /// matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|r| &*r.host < host);
        let routes = self.routes[from..].iter().take_while(|r| &*r.host == host);
        routes.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Returns the target with this name; `None` if there is none.
    pub fn target(&self, name: &str) -> Option<&Target> {
        let at = self.targets.binary_search_by(|t| (*t.name).cmp(name)).ok()?;
        Some(&self.targets[at])
    }

    /// Returns the team that the API key `secret` belongs to; `None` if the key is unknown.
    pub fn team(&self, secret: &str) -> Option<&Team> {
        let at = self.keys.binary_search_by(|k| (*k.secret).cmp(secret)).ok()?;
        self.teams.get(self.keys[at].team)
    }

    /// Returns the store that listens on `addr`; `None` if there is none.
    pub fn store(&self, addr: SocketAddr) -> Option<&Store> {
        self.stores.iter().find(|s| s.addr == addr)
    }
}
