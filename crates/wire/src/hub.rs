//! The client and server of one instance for messages between instances.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use ident::{Boot, Name, Secret};
use parking_lot::Mutex;
use tokio::{
    task::JoinHandle,
    time::{Instant, timeout_at},
};

use crate::{
    MAX_FRAME_BYTES, Message, Stats, WireError,
    connection::Connection,
    decode, encode,
    seal::{Identity, OpenError, ReplayGuard},
    server,
    stats::{Counters, count},
};

/// Most idle connections kept open to one peer.
const MAX_IDLE_PER_PEER: usize = 2;

/// Answers the requests of peers.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to the request `message` of `from`, or `None` to answer without one
    /// (HTTP status 204).
    async fn handle(&self, from: Name, message: Message) -> Option<Message>;
}

/// Limits for the connections that peers open.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// A connection of a peer is closed after this time without a request.
    pub idle_timeout: Duration,
    /// Most connections of peers; further ones are refused.
    pub max_connections: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { idle_timeout: Duration::from_secs(30), max_connections: 1024 }
    }
}

/// State that the hub shares with the connections of peers.
pub(crate) struct Shared {
    pub(crate) identity: Identity,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) options: Options,
    pub(crate) counters: Arc<Counters>,
    /// Sequence numbers of each sender's pings. Invariant: sorted by name.
    replay_guards: Mutex<Vec<(Name, ReplayGuard)>>,
}

impl Shared {
    /// Returns whether a ping of `from` is not a replay, and records its sequence number.
    pub(crate) fn accept_seq(&self, from: &Name, boot: Boot, seq: u64) -> bool {
        let mut guards = self.replay_guards.lock();
        let at = match guards.binary_search_by(|(n, _)| n.cmp(from)) {
            Ok(at) => at,
            Err(at) => {
                guards.insert(at, (from.clone(), ReplayGuard::default()));
                at
            }
        };
        guards[at].1.accept(boot, seq)
    }
}

/// Sends requests to peers and answers theirs. It stops listening when dropped.
pub struct Hub {
    shared: Arc<Shared>,
    addr: SocketAddr,
    seq: AtomicU64,
    /// Idle connections to peers. Invariant: sorted by the peer's name.
    idle: Mutex<Vec<(Name, Vec<Connection>)>>,
    accept_task: JoinHandle<()>,
}

impl Drop for Hub {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

impl Hub {
    /// Listens on `addr` for the process `boot` of instance `me`, with the default [`Options`].
    /// Must be called in a tokio runtime. Fails with [`WireError::Bind`].
    pub fn bind(
        addr: SocketAddr,
        me: Name,
        boot: Boot,
        secret: Secret,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, WireError> {
        let identity = Identity { name: me, boot, secret };
        Self::bind_with(addr, identity, handler, Options::default())
    }

    /// Like [`Hub::bind`], with the given limits.
    pub fn bind_with(
        addr: SocketAddr,
        identity: Identity,
        handler: Arc<dyn Handler>,
        options: Options,
    ) -> Result<Self, WireError> {
        let fail = |source| WireError::Bind { addr, source };
        let listener = TcpListener::bind(addr).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let listener = tokio::net::TcpListener::from_std(listener).map_err(fail)?;
        let addr = listener.local_addr().map_err(fail)?;
        let counters = Arc::default();
        let shared = Arc::new(Shared {
            identity,
            handler,
            options,
            counters,
            replay_guards: Mutex::default(),
        });
        let accept_task = tokio::spawn(server::accept(listener, shared.clone()));
        Ok(Self { shared, addr, seq: AtomicU64::new(0), idle: Mutex::default(), accept_task })
    }

    /// Returns the address that the hub listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the current counts.
    pub fn stats(&self) -> Stats {
        self.shared.counters.read()
    }

    /// Closes the idle connections to a peer and forgets the sequence numbers of its pings.
    pub fn forget(&self, peer: &Name) {
        self.idle.lock().retain(|(n, _)| n != peer);
        self.shared.replay_guards.lock().retain(|(n, _)| n != peer);
    }

    /// Sends a request to `to`, which listens on `addr`, and waits at most `timeout` for the
    /// response.
    ///
    /// After any failure other than [`WireError::Refused`] all idle connections to the peer are
    /// closed, and the next request opens a new one. A response that comes late arrives on a
    /// closed connection and is never read.
    pub async fn ask(
        &self,
        to: &Name,
        addr: SocketAddr,
        message: Message,
        timeout: Duration,
    ) -> Result<Message, WireError> {
        let counters = &self.shared.counters;
        count(&counters.requests_sent);
        let result = self.exchange(to, addr, &message, timeout).await;
        match &result {
            Ok(_) => {}
            Err(WireError::Refused(_)) => count(&counters.requests_failed),
            Err(_) => {
                count(&counters.requests_failed);
                self.idle.lock().retain(|(n, _)| n != to);
            }
        }
        result
    }

    async fn exchange(
        &self,
        to: &Name,
        addr: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> Result<Message, WireError> {
        let deadline = Instant::now() + timeout;
        let body = encode(message)?;
        let mut connection = match self.take_idle(to, addr) {
            Some(connection) => connection,
            None => timeout_at(deadline, Connection::open(addr, &self.shared.counters))
                .await
                .map_err(|_| WireError::Timeout(addr))??,
        };
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        let frame = self.shared.identity.seal_request(to, seq, &body);
        if frame.len() > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge(frame.len()));
        }
        let bytes = connection.exchange(frame, deadline - Instant::now()).await?;
        let opened = self.shared.identity.open_response(to, seq, &bytes);
        let (boot, body) = opened.map_err(|e| self.count_rejected(&e))?;
        let response =
            decode(body, boot).inspect_err(|_| count(&self.shared.counters.malformed))?;
        self.put_idle(to, connection);
        Ok(response)
    }

    fn count_rejected(&self, error: &OpenError) -> WireError {
        count(match error {
            OpenError::Malformed => &self.shared.counters.malformed,
            OpenError::NotAuthentic => &self.shared.counters.not_authentic,
        });
        WireError::NotAuthentic
    }

    fn take_idle(&self, to: &Name, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let at = idle.binary_search_by(|(n, _)| n.cmp(to)).ok()?;
        idle[at].1.retain(|c| c.usable(addr));
        idle[at].1.pop()
    }

    fn put_idle(&self, to: &Name, connection: Connection) {
        let mut idle = self.idle.lock();
        match idle.binary_search_by(|(n, _)| n.cmp(to)) {
            Ok(at) if idle[at].1.len() < MAX_IDLE_PER_PEER => idle[at].1.push(connection),
            Ok(_) => {}
            Err(at) => idle.insert(at, (to.clone(), vec![connection])),
        }
    }
}

impl std::fmt::Debug for Hub {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Hub").field("addr", &self.addr).finish_non_exhaustive()
    }
}
