//! The operators' configuration, as routing uses it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

/// What may be done with a request whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    Mutating,
    /// Answered by a series of events; runs at most once unless the route is resumable.
    Streaming,
}

/// A target and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The target.
    pub target: Arc<str>,
    /// Its weight relative to the other shares of the route.
    pub weight: u32,
}

/// Where requests of a host and path prefix go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host it belongs to, without a port.
    pub host: Arc<str>,
    /// Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// A stream may go on at another replica after its last event.
    pub resumable: bool,
    /// A request is answered or given up after this long.
    pub timeout: Duration,
    /// An answer within this long is on time.
    pub goal: Duration,
    /// Most replicas that one attempt of a client may run on; at least 1.
    pub attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
    /// Requests need no key.
    pub public: bool,
    /// Requests carry a model and prompt parts.
    pub sticky: bool,
    /// Never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Mutating => false,
            Kind::Streaming => self.resumable,
        }
    }
}

/// What the replicas of a target can do, where they are model engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens of KV cache that a replica holds.
    pub capacity: u64,
    /// Bytes of KV cache for one token.
    pub bytes: u64,
    /// Bandwidth for moving KV cache, in Mbit/s.
    pub link: f64,
    /// Models that the replicas serve.
    pub models: Vec<Arc<str>>,
}

/// A service that requests are routed to.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// The target's name.
    pub name: Arc<str>,
    /// Connections that one replica accepts from all instances together.
    pub conns: u32,
    /// Set where the replicas are model engines.
    pub engine: Option<Engine>,
}

/// A store of kept KV cache.
#[derive(Debug, Clone, PartialEq)]
pub struct Store {
    /// The store's name.
    pub name: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The zone it is in.
    pub zone: Arc<str>,
    /// Tokens it has room for.
    pub capacity: u64,
    /// Bandwidth in Mbit/s.
    pub link: f64,
    /// Event calls it holds at once.
    pub calls: u32,
    /// Extra delay of each transfer, in ms.
    pub delay: f64,
    /// It frees nothing by itself.
    pub managed: bool,
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The team's name.
    pub name: Arc<str>,
    /// Overrides the route's rank.
    pub priority: Option<u8>,
    /// Shares no KV cache with other teams.
    pub dedicated: bool,
}

/// An API key and its team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Key {
    /// The secret that callers send.
    pub secret: Arc<str>,
    /// Index into [`Setup::teams`].
    pub team: usize,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
    pub body: usize,
    /// How long a head may take to arrive.
    pub patience: Duration,
    /// How long a connection may stay idle.
    pub idle: Duration,
}

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Setup {
    /// Grows with each configuration, in uneven steps.
    pub rev: u64,
    /// Sorted by host, then by falling length of the prefix.
    pub routes: Vec<Route>,
    /// Sorted by name.
    pub targets: Vec<Target>,
    /// Sorted by name.
    pub stores: Vec<Store>,
    /// In the operators' order.
    pub teams: Vec<Team>,
    /// Sorted by secret.
    pub keys: Vec<Key>,
    /// Requests need a key, but for public routes.
    pub keyed: bool,
    /// Bounds on clients.
    pub limits: Limits,
}

impl Setup {
    /// Establishes the sort orders that look-ups rely on.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes
            .sort_by(|a, b| a.host.cmp(&b.host).then_with(|| b.prefix.len().cmp(&a.prefix.len())));
        self.targets.sort_by(|a, b| a.name.cmp(&b.name));
        self.stores.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort_by(|a, b| a.secret.cmp(&b.secret));
        self
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let from = self.routes.partition_point(|r| &*r.host < host);
        let routes = self.routes[from..].iter().take_while(|r| &*r.host == host);
        routes.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// The target of that name.
    pub fn target(&self, name: &str) -> Option<&Target> {
        let at = self.targets.binary_search_by(|t| (*t.name).cmp(name)).ok()?;
        Some(&self.targets[at])
    }

    /// The team that holds `secret`.
    pub fn team(&self, secret: &str) -> Option<&Team> {
        let at = self.keys.binary_search_by(|k| (*k.secret).cmp(secret)).ok()?;
        self.teams.get(self.keys[at].team)
    }

    /// The store that listens at `addr`.
    pub fn store(&self, addr: SocketAddr) -> Option<&Store> {
        self.stores.iter().find(|s| s.addr == addr)
    }
}
